package placer

import (
	"fmt"
	"maps"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/accountant"
	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/learner"
)

// InterferenceAware weighs the expected slow-down of services against their targets,
// spread over racks, and drained tasks that are owed back to their worker.
type InterferenceAware struct {
	Learner  *learner.Learner
	Services map[string]describer.Service // by name
	Weights  describer.Weights
	Limits   Limits
}

// Limits bound what Default accepts. Zero fields take defaults.
type Limits struct {
	MaxSlowdown    float64       // cautious relative slow-down of a service that batch may cause at most
	TargetShare    float64       // share of the service's target that the expected latency may take
	ComfortShare   float64       // share of the service's target below which slow-down does not matter
	TrialShare     float64       // share of an idle worker's processors that a task may take while nothing is known
	DeadlineWindow time.Duration // before its deadline, in which a task may take twice the slow-down
}

// orDefault fills in the defaults. A deployment that weighs latency more
// accepts less slow-down.
func (l Limits) orDefault(w describer.Weights) Limits {
	if l.MaxSlowdown == 0 {
		l.MaxSlowdown = 0.12
		if w.Latency > w.Throughput {
			l.MaxSlowdown = 0.08
		}
	}
	if l.TargetShare == 0 {
		l.TargetShare = 0.9
	}
	if l.ComfortShare == 0 {
		l.ComfortShare = 0.47
	}
	if l.TrialShare == 0 {
		l.TrialShare = 0.1
	}
	if l.DeadlineWindow == 0 {
		l.DeadlineWindow = 30 * time.Minute
	}
	return l
}

// Place implements Policy.
func (d InterferenceAware) Place(fleet *accountant.Fleet, r Request, now time.Time) Choice {
	limits := d.Limits.orDefault(d.Weights)
	if !r.Deadline.IsZero() && r.Deadline.Sub(now) < limits.DeadlineWindow {
		limits.MaxSlowdown *= 2
	}
	if r.Job.Priority == describer.Urgent {
		limits.MaxSlowdown *= 4
	}
	racks := busyRacks(fleet, r.Job.ID)
	scarcity := d.scarcity(fleet)
	best, why := Choice{Reason: noRoom}, objection{}
	score := 0.0
	for _, name := range fleet.Names() {
		w := fleet.Workers[name]
		if !suits(w, r) || !r.Want.Fits(w.FreeForBatch()) {
			continue
		}
		cost, o := d.effect(w, r, limits, now)
		if o.kind != none {
			why = o
			continue
		}
		if len(w.Host.Services) == 0 {
			cost = scarcity * w.Share(r.Want)
		}
		s := d.score(w, r, cost, racks)
		if best.Worker == "" || s > score {
			best, score = Choice{Worker: name}, s
		}
	}
	if best.Worker == "" && why.kind != none {
		best.Reason = why.String()
	}
	return best
}

// objection is why a task must stay off a worker with room for it.
type objection struct {
	kind    objectionKind
	service string
	upper   float64
}

type objectionKind uint8

const (
	none objectionKind = iota
	recovering
	slows
	endangers
)

func (o objection) String() string {
	switch o.kind {
	case recovering:
		return "kept off while services recover"
	case slows:
		return fmt.Sprintf("would slow %s by up to %.0f %%", o.service, 100*o.upper)
	case endangers:
		return fmt.Sprintf("would bring %s too close to its target", o.service)
	}
	return ""
}

// effect returns the cost of the task for the worker's services: what it is
// expected to add to their relative slow-down, and a part of the whole. Or it
// returns why the task must stay off.
func (d InterferenceAware) effect(
	w *accountant.Worker, r Request, limits Limits, now time.Time,
) (cost float64, o objection) {
	if r.Job.Kind == describer.LatencyCritical || len(w.Host.Services) == 0 {
		return 0, objection{}
	}
	if now.Before(w.BatchBlockedUntil) && r.Job.Priority != describer.Urgent {
		return 0, objection{kind: recovering}
	}
	before := w.BatchShares()
	shares := maps.Clone(before)
	shares[r.Job.Class] += w.Share(r.Want)
	for _, service := range w.Host.Services {
		load := w.Reports[service].Load
		mean, upper := d.slowdown(service, shares, load)
		isTrial := len(before) == 0 && w.Share(r.Want) <= limits.TrialShare
		if o := d.objects(service, load, upper, isTrial, limits); o.kind != none {
			return 0, o
		}
		present, _ := d.slowdown(service, before, load)
		cost += mean - present + totalWeight*mean*w.Share(r.Want)
	}
	return cost, objection{}
}

// MayGrow reports whether a running task may get the processors of a greater
// grant, which is weighed like a placement.
func (d InterferenceAware) MayGrow(w *accountant.Worker, g accountant.Grant, to describer.Resources, now time.Time) bool {
	if to.CPU <= g.Resources.CPU {
		return true
	}
	r := Request{
		Job:  &describer.Job{Class: g.Class, Kind: g.Kind, Priority: g.Priority},
		Want: to.Sub(g.Resources),
	}
	_, o := d.effect(w, r, d.Limits.orDefault(d.Weights), now)
	return o.kind == none
}

// objects compares the cautious latency with what the service has at its busy
// times without batch tasks, and with its target. Without any report, one small
// task at a time is tried: nothing would ever be known otherwise.
func (d InterferenceAware) objects(service string, load, upper float64, isTrial bool, limits Limits) objection {
	base, known := d.baseline(service, load)
	if !known {
		if upper > limits.MaxSlowdown && !isTrial {
			return objection{slows, service, upper}
		}
		return objection{}
	}
	latency := base.Seconds() * (1 + upper)
	if latency > d.bound(service, base, limits).Seconds() {
		return objection{slows, service, upper}
	}
	target := d.Services[service].Target
	if target > 0 && latency > limits.TargetShare*target.Seconds() && upper > 0.01 {
		return objection{endangers, service, upper}
	}
	return objection{}
}

// bound is the latency that batch tasks may bring a service to.
func (d InterferenceAware) bound(service string, base time.Duration, limits Limits) time.Duration {
	busy, _ := d.Learner.BusyLatency(service)
	comfort := limits.ComfortShare * float64(d.Services[service].Target)
	return max(time.Duration(float64(base)*(1+limits.MaxSlowdown)), busy, time.Duration(comfort))
}

// LatencyBounds returns for each service of a worker the latency that batch tasks
// may bring it to at its present load, where there is evidence.
func (d InterferenceAware) LatencyBounds(w *accountant.Worker) map[string]time.Duration {
	limits := d.Limits.orDefault(d.Weights)
	bounds := make(map[string]time.Duration)
	for _, service := range w.Host.Services {
		if base, ok := d.baseline(service, w.Reports[service].Load); ok {
			bounds[service] = d.bound(service, base, limits)
		}
	}
	return bounds
}

func (d InterferenceAware) slowdown(service string, shares map[string]float64, load float64) (mean, upper float64) {
	if d.Learner == nil {
		return 0, 0
	}
	return d.Learner.Slowdown(service, shares, load)
}

func (d InterferenceAware) baseline(service string, load float64) (time.Duration, bool) {
	if d.Learner == nil {
		return 0, false
	}
	return d.Learner.Baseline(service, load)
}

// Terms of the score, in units of relative slow-down.
const (
	homeBonus   = 1.0   // the worker that a drained task is owed back to
	rackPenalty = 0.005 // for the share of the job's tasks that the rack holds
	packBonus   = 0.002 // for a worker that is full already: keeps room for large tasks
	totalWeight = 0.25  // of the worker's whole slow-down, besides what the task adds
)

func (d InterferenceAware) score(w *accountant.Worker, r Request, cost float64, racks map[string]float64) float64 {
	score := -cost
	if r.ReturnTo == w.Host.Name {
		score += homeBonus
	}
	score -= rackPenalty * racks[w.Host.Rack]
	score += packBonus * (1 - float64(w.Free().CPU)/float64(max(w.Host.Capacity.CPU, 1)))
	return score
}

// scarcity is the cost, for each share of processors, of the workers without
// a service: as much as a typical class slows a service, rising with their
// use. Classes that do less harm go beside services and leave that room to
// those that do more.
func (d InterferenceAware) scarcity(fleet *accountant.Fleet) float64 {
	var granted, capacity int64
	for _, name := range fleet.Names() {
		w := fleet.Workers[name]
		if len(w.Host.Services) > 0 || w.Closed {
			continue
		}
		granted += w.Granted.CPU
		capacity += w.Host.Capacity.CPU
	}
	if capacity == 0 || d.Learner == nil {
		return 0
	}
	use := float64(granted) / float64(capacity)
	return use * use * d.Learner.Options.Prior
}

// busyRacks returns the share of the job's running tasks in each rack.
func busyRacks(fleet *accountant.Fleet, job string) map[string]float64 {
	counts, total := make(map[string]float64), 0.0
	for _, name := range fleet.Names() {
		w := fleet.Workers[name]
		if n := w.Running(job); n > 0 {
			counts[w.Host.Rack] += float64(n)
			total += float64(n)
		}
	}
	for rack := range counts {
		counts[rack] /= total
	}
	return counts
}
