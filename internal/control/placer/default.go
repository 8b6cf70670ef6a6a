package placer

import (
	"fmt"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/accountant"
	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/learner"
)

// Default weighs the expected slow-down of services against their targets,
// spread over racks, and drained tasks that are owed back to their worker.
type Default struct {
	Learner  *learner.Learner
	Services map[string]describer.Service // by name
	Weights  describer.Weights
	Limits   Limits
}

// Limits bound what Default accepts. Zero fields take defaults.
type Limits struct {
	Slowdown float64       // cautious relative slow-down of a service that batch may cause at most
	Target   float64       // share of the service's target that the expected latency may take
	Patience time.Duration // before its deadline, in which a task may take twice the slow-down
}

// orDefault fills in the defaults. A deployment that weighs latency more
// accepts less slow-down.
func (l Limits) orDefault(w describer.Weights) Limits {
	if l.Slowdown == 0 {
		l.Slowdown = 0.12
		if w.Latency > w.Throughput {
			l.Slowdown = 0.08
		}
	}
	if l.Target == 0 {
		l.Target = 0.9
	}
	if l.Patience == 0 {
		l.Patience = 30 * time.Minute
	}
	return l
}

// Place implements Policy.
func (d Default) Place(fleet *accountant.Fleet, r Request, now time.Time) Choice {
	limits := d.Limits.orDefault(d.Weights)
	if !r.Deadline.IsZero() && r.Deadline.Sub(now) < limits.Patience {
		limits.Slowdown *= 2
	}
	if r.Job.Priority == describer.Urgent {
		limits.Slowdown *= 4
	}
	racks := busyRacks(fleet, r.Job.ID)
	best, why := Choice{Why: noRoom}, ""
	score := 0.0
	for _, name := range fleet.Names() {
		w := fleet.Workers[name]
		if !suits(w, r) || !r.Want.Fits(w.Room()) {
			continue
		}
		slower, reason := d.effect(w, r, limits, now)
		if reason != "" {
			why = reason
			continue
		}
		s := d.score(w, r, slower, racks)
		if best.Worker == "" || s > score {
			best, score = Choice{Worker: name}, s
		}
	}
	if best.Worker == "" && why != "" {
		best.Why = why
	}
	return best
}

// effect returns the expected slow-down of the worker's services with the
// task, or the reason why the task must stay off.
func (d Default) effect(
	w *accountant.Worker, r Request, limits Limits, now time.Time,
) (slower float64, reason string) {
	if r.Job.Kind == describer.LatencyCritical || len(w.Host.Services) == 0 {
		return 0, ""
	}
	if now.Before(w.KeepOff) && r.Job.Priority != describer.Urgent {
		return 0, "kept off while services recover"
	}
	shares := w.Shares()
	shares[r.Job.Class] += float64(r.Want.CPU) / float64(max(w.Host.Capacity.CPU, 1))
	for _, service := range w.Host.Services {
		load := w.Reports[service].Load
		mean, upper := d.slowdown(service, shares, load)
		if upper > limits.Slowdown {
			return 0, fmt.Sprintf("would slow %s by up to %.0f %%", service, 100*upper)
		}
		base, ok := d.baseline(service, load)
		target := d.Services[service].Target
		if ok && target > 0 && base.Seconds()*(1+upper) > limits.Target*target.Seconds() && upper > 0.01 {
			return 0, fmt.Sprintf("would bring %s too close to its target", service)
		}
		slower += mean
	}
	return slower, ""
}

func (d Default) slowdown(service string, shares map[string]float64, load float64) (mean, upper float64) {
	if d.Learner == nil {
		return 0, 0
	}
	return d.Learner.Slowdown(service, shares, load)
}

func (d Default) baseline(service string, load float64) (time.Duration, bool) {
	if d.Learner == nil {
		return 0, false
	}
	return d.Learner.Baseline(service, load)
}

// Terms of the score. Slow-down of 10 % weighs as much as one tenth.
const (
	homeBonus   = 1.0  // the worker that a drained task is owed back to
	rackPenalty = 0.1  // for the share of the job's tasks that the rack holds
	packBonus   = 0.05 // for a worker that is full already: keeps room for large tasks
	slowPenalty = 1.0
)

func (d Default) score(w *accountant.Worker, r Request, slower float64, racks map[string]float64) float64 {
	score := -slowPenalty * slower
	if r.HomeTo == w.Host.Name {
		score += homeBonus
	}
	score -= rackPenalty * racks[w.Host.Rack]
	score += packBonus * (1 - float64(w.Free().CPU)/float64(max(w.Host.Capacity.CPU, 1)))
	return score
}

// busyRacks returns the share of the job's running tasks in each rack.
func busyRacks(fleet *accountant.Fleet, job string) map[string]float64 {
	counts, total := make(map[string]float64), 0.0
	for _, w := range fleet.Workers {
		for task := range w.Grants {
			if task.Job == job {
				counts[w.Host.Rack]++
				total++
			}
		}
	}
	for rack := range counts {
		counts[rack] /= total
	}
	return counts
}
