package placer

import (
	"fmt"
	"maps"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/accountant"
	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/learner"
)

// InterferenceAware is the default policy. It refuses workers on which a batch
// task would slow down a service too much. Among the others it prefers the
// lowest expected slowdown, then racks with few tasks of the job and workers
// that are already full. A drained task goes back to its former worker if that
// accepts it.
type InterferenceAware struct {
	Learner  *learner.Learner             // estimates of interference; nil means that none is expected
	Services map[string]describer.Service // all services by name
	Weights  describer.Weights
	Limits   Limits
}

// Limits are the bounds on what InterferenceAware accepts. Zero fields take
// defaults.
type Limits struct {
	// MaxSlowdown is the maximum relative slowdown of a service by batch tasks. It
	// is compared with the upper bound of the estimate. Urgent tasks may cause 4
	// times as much.
	MaxSlowdown float64
	// TargetShare is the maximum latency of a service beside batch tasks, as a share
	// of its target.
	TargetShare float64
	// ComfortShare is the latency, as a share of the service's target, below which
	// any slowdown is acceptable.
	ComfortShare float64
	// TrialShare is the share of a worker's processors that the first batch task
	// there may take while there are no reports.
	TrialShare float64
	// DeadlineWindow is the time before its deadline in which a task may cause twice
	// the slowdown.
	DeadlineWindow time.Duration
}

// orDefault fills in the defaults. A deployment that weighs latency higher than
// throughput accepts less slowdown.
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
func (p InterferenceAware) Place(fleet *accountant.Fleet, r Request, now time.Time) Choice {
	limits := p.Limits.orDefault(p.Weights)
	if !r.Deadline.IsZero() && r.Deadline.Sub(now) < limits.DeadlineWindow {
		limits.MaxSlowdown *= 2
	}
	if r.Job.Priority == describer.Urgent {
		limits.MaxSlowdown *= 4
	}
	racks := jobShareByRack(fleet, r.Job.ID)
	dedicatedCost := p.dedicatedCost(fleet)
	best, refused := Choice{Reason: noRoom}, refusal{}
	score := 0.0
	for _, name := range fleet.Names() {
		w := fleet.Workers[name]
		if !accepts(w, r) || !r.Want.Fits(w.FreeForBatch()) {
			continue
		}
		cost, why := p.effect(w, r, limits, now)
		if why.kind != none {
			refused = why
			continue
		}
		if len(w.Host.Services) == 0 {
			cost = dedicatedCost * w.Share(r.Want)
		}
		s := p.score(w, r, cost, racks)
		if best.Worker == "" || s > score {
			best, score = Choice{Worker: name}, s
		}
	}
	if best.Worker == "" && refused.kind != none {
		best.Reason = refused.String()
	}
	return best
}

// refusal is why a task must not run on a worker that has room for it. Its zero
// value is no refusal.
type refusal struct {
	kind    refusalKind
	service string
	upper   float64 // upper bound of the service's relative slowdown
}

// refusalKind is the kind of a refusal.
type refusalKind uint8

const (
	none       refusalKind = iota
	blocked                // batch placement is blocked while services recover
	tooSlow                // a service would slow down by too much
	nearTarget             // a service's latency would come too close to its target
)

// String returns the reason for operators.
func (r refusal) String() string {
	switch r.kind {
	case blocked:
		return "kept off while services recover"
	case tooSlow:
		return fmt.Sprintf("would slow %s by up to %.0f %%", r.service, 100*r.upper)
	case nearTarget:
		return fmt.Sprintf("would bring %s too close to its target", r.service)
	}
	return ""
}

// effect returns the cost of the task for the worker's services, in units of
// relative slowdown: what the task is expected to add, and a part of the total.
// It returns a refusal instead if the task must not run there.
func (p InterferenceAware) effect(
	w *accountant.Worker, r Request, limits Limits, now time.Time,
) (cost float64, why refusal) {
	if r.Job.Kind == describer.LatencyCritical || len(w.Host.Services) == 0 {
		return 0, refusal{}
	}
	if now.Before(w.BatchBlockedUntil) && r.Job.Priority != describer.Urgent {
		return 0, refusal{kind: blocked}
	}
	before := w.BatchShares()
	shares := maps.Clone(before)
	shares[r.Job.Class] += w.Share(r.Want)
	for _, service := range w.Host.Services {
		load := w.Reports[service].Load
		mean, upper := p.slowdown(service, shares, load)
		isTrial := len(before) == 0 && w.Share(r.Want) <= limits.TrialShare
		if why := p.refuse(service, load, upper, isTrial, limits); why.kind != none {
			return 0, why
		}
		current, _ := p.slowdown(service, before, load)
		cost += mean - current + totalWeight*mean*w.Share(r.Want)
	}
	return cost, refusal{}
}

// MayGrow reports whether the processors of a running task's grant may be raised
// to those of to, by the same rules as a placement.
func (p InterferenceAware) MayGrow(w *accountant.Worker, g accountant.Grant, to describer.Resources, now time.Time) bool {
	if to.CPU <= g.Resources.CPU {
		return true
	}
	r := Request{
		Job:  &describer.Job{Class: g.Class, Kind: g.Kind, Priority: g.Priority},
		Want: to.Sub(g.Resources),
	}
	_, why := p.effect(w, r, p.Limits.orDefault(p.Weights), now)
	return why.kind == none
}

// refuse compares the upper bound of the service's latency with the latency that
// batch tasks may cause, and with its target. Without reports there is no
// latency to compare: then it accepts one small task at a time, as otherwise
// there would never be reports of interference.
func (p InterferenceAware) refuse(service string, load, upper float64, isTrial bool, limits Limits) refusal {
	base, known := p.baseline(service, load)
	if !known {
		if upper > limits.MaxSlowdown && !isTrial {
			return refusal{tooSlow, service, upper}
		}
		return refusal{}
	}
	latency := base.Seconds() * (1 + upper)
	if latency > p.latencyBound(service, base, limits).Seconds() {
		return refusal{tooSlow, service, upper}
	}
	target := p.Services[service].Target
	// A latency near the target is no reason to refuse tasks that hardly change it.
	if target > 0 && latency > limits.TargetShare*target.Seconds() && upper > 0.01 {
		return refusal{nearTarget, service, upper}
	}
	return refusal{}
}

// latencyBound returns the latency that batch tasks may cause for a service: the
// highest of what MaxSlowdown allows, its latency at busy times, and
// ComfortShare of its target.
func (p InterferenceAware) latencyBound(service string, base time.Duration, limits Limits) time.Duration {
	busy, _ := p.Learner.BusyLatency(service)
	comfort := limits.ComfortShare * float64(p.Services[service].Target)
	return max(time.Duration(float64(base)*(1+limits.MaxSlowdown)), busy, time.Duration(comfort))
}

// LatencyBounds returns for each service of a worker the latency that batch
// tasks may cause at its current load. Services without reports are left out.
func (p InterferenceAware) LatencyBounds(w *accountant.Worker) map[string]time.Duration {
	limits := p.Limits.orDefault(p.Weights)
	bounds := make(map[string]time.Duration)
	for _, service := range w.Host.Services {
		if base, ok := p.baseline(service, w.Reports[service].Load); ok {
			bounds[service] = p.latencyBound(service, base, limits)
		}
	}
	return bounds
}

// slowdown returns the expected relative slowdown of a service and its upper
// bound, or 0 without a learner.
func (p InterferenceAware) slowdown(service string, shares map[string]float64, load float64) (mean, upper float64) {
	if p.Learner == nil {
		return 0, 0
	}
	return p.Learner.Slowdown(service, shares, load)
}

// baseline returns the expected latency of a service without batch tasks, and
// false if it is unknown.
func (p InterferenceAware) baseline(service string, load float64) (time.Duration, bool) {
	if p.Learner == nil {
		return 0, false
	}
	return p.Learner.Baseline(service, load)
}

// Weights of the score, in units of relative slowdown.
const (
	returnBonus = 1.0   // bonus for the worker that a drained task returns to
	rackPenalty = 0.005 // penalty times the share of the job's tasks in the rack
	packBonus   = 0.002 // bonus times the used share of the worker, so that others keep room for large tasks
	totalWeight = 0.25  // weight of the worker's total slowdown besides what the task adds
)

// score rates a worker that accepts the task; higher is better.
func (p InterferenceAware) score(w *accountant.Worker, r Request, cost float64, racks map[string]float64) float64 {
	score := -cost
	if r.ReturnTo == w.Host.Name {
		score += returnBonus
	}
	score -= rackPenalty * racks[w.Host.Rack]
	score += packBonus * (1 - float64(w.Free().CPU)/float64(max(w.Host.Capacity.CPU, 1)))
	return score
}

// dedicatedCost returns the cost of using a worker without a service, per share
// of its processors. It rises with the use of these workers up to what a typical
// class costs on a worker with a service. So classes that interfere little run
// beside services and leave the dedicated workers to classes that interfere
// more.
func (p InterferenceAware) dedicatedCost(fleet *accountant.Fleet) float64 {
	var granted, capacity int64
	for _, name := range fleet.Names() {
		w := fleet.Workers[name]
		if len(w.Host.Services) > 0 || w.Closed {
			continue
		}
		granted += w.Granted.CPU
		capacity += w.Host.Capacity.CPU
	}
	if capacity == 0 || p.Learner == nil {
		return 0
	}
	use := float64(granted) / float64(capacity)
	return use * use * p.Learner.Options.Prior
}

// jobShareByRack returns the share of the job's running tasks in each rack.
func jobShareByRack(fleet *accountant.Fleet, job string) map[string]float64 {
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
