package escalator

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

const (
	prematureWithin    = 30 * time.Minute // an Unthrottle followed by a Throttle within this time was premature
	maxUnthrottleDelay = time.Hour
)

// contributor is a batch task with its estimated share in the slowdown of a
// service.
type contributor struct {
	task        describer.TaskID
	coefficient float64 // log slowdown if it held all of the worker's processors
	cpu         int64   // granted millicores
	slowdown    float64 // log slowdown by the processors granted to it
}

// escalate blocks batch placement while a service misses its target, and takes
// the next step when the previous one has had time to show its effect.
func escalate(in Input, service string, ratio float64) []Action {
	actions := []Action{{
		Kind:   BlockBatch,
		Until:  in.Now.Add(2 * in.Options.StepInterval),
		Reason: fmt.Sprintf("%s is at %.0f %% of its target", service, 100*ratio),
	}}
	if in.Now.Sub(in.State.LastStep) < in.Options.StepInterval {
		return actions
	}
	batch := contributors(in, service)
	total := 0.0
	for _, c := range batch {
		total += c.slowdown
	}
	if math.Expm1(total) < in.Options.MinSlowdown {
		return actions // it would be about as slow without batch tasks
	}
	need := math.Log(ratio / in.Options.EscalateAbove)
	if throttles := throttle(in, batch, need, service); len(throttles) > 0 {
		in.State.adjustDelay(in.Now)
		return in.State.record(in.Now, Throttle, append(actions, throttles...))
	}
	if in.Now.Sub(in.State.MissedSince) < in.Options.EvictAfter {
		return actions // a short rise in latency does not justify the loss of progress by an eviction
	}
	kind := Move
	if in.State.Level >= Move && ratio > 2*in.Options.EscalateAbove {
		kind = Stop
	}
	evictions := evict(in, batch, kind, need, service)
	if len(evictions) == 0 {
		return actions
	}
	return in.State.record(in.Now, kind, append(actions, evictions...))
}

// throttleAhead throttles batch tasks when a service is expected to exceed its
// latency bound although it still meets its target, as when load has risen since
// the tasks were placed. It never evicts.
func throttleAhead(in Input, service string, excess float64) []Action {
	if in.Now.Sub(in.State.LastStep) < in.Options.StepInterval {
		return nil
	}
	throttles := throttle(in, contributors(in, service), math.Log(excess), service)
	if len(throttles) == 0 {
		return nil
	}
	in.State.adjustDelay(in.Now)
	return in.State.record(in.Now, max(in.State.Level, Throttle), throttles)
}

// relax undoes throttles after latency has stayed low for long enough, one task
// at a time, starting with the one that lost the most processors.
func relax(in Input) []Action {
	in.State.UnthrottleDelay = max(in.State.UnthrottleDelay, 2*in.Options.StepInterval)
	if in.Now.Sub(in.State.LastStep) < in.Options.StepInterval || in.Now.Sub(in.State.RelaxedSince) < in.State.UnthrottleDelay {
		return nil
	}
	var best describer.TaskID
	reduction := int64(0)
	for _, task := range in.Worker.Tasks() {
		before, ok := in.State.Throttled[task]
		if !ok {
			continue
		}
		if r := before - in.Worker.Grants[task].Resources.CPU; r > reduction {
			best, reduction = task, r
		}
	}
	if reduction == 0 {
		in.State.Level = Unthrottle
		clear(in.State.Throttled)
		return nil
	}
	reduction = min(reduction, in.Worker.Free().CPU)
	if reduction <= 0 {
		return nil
	}
	in.State.LastUnthrottle = in.Now
	g := in.Worker.Grants[best]
	delete(in.State.Throttled, best)
	return in.State.record(in.Now, Unthrottle, []Action{{
		Kind: Unthrottle, Task: best, Token: g.Token, CPU: g.Resources.CPU + reduction,
		Reason: "services are within their targets again",
	}})
}

// adjustDelay is called at each new throttle. It doubles the delay before the
// next Unthrottle if the last one was premature, and halves it otherwise.
func (s *State) adjustDelay(now time.Time) {
	if s.LastUnthrottle.IsZero() {
		return
	}
	if now.Sub(s.LastUnthrottle) < prematureWithin {
		s.UnthrottleDelay = min(2*s.UnthrottleDelay, maxUnthrottleDelay)
	} else {
		s.UnthrottleDelay /= 2
	}
}

// record notes the time and the kind of a step and returns its actions.
func (s *State) record(now time.Time, level Kind, actions []Action) []Action {
	s.LastStep = now
	s.Level = level
	return actions
}

// contributors returns the worker's batch tasks, ordered by their estimated
// share in the slowdown of the service, the largest first.
func contributors(in Input, service string) []contributor {
	load := in.Worker.Reports[service].Load
	capacity := float64(max(in.Worker.Host.Capacity.CPU, 1))
	var out []contributor
	for _, task := range in.Worker.Tasks() {
		g := in.Worker.Grants[task]
		if g.Kind != describer.Batch {
			continue
		}
		mean := 0.3 // assumed coefficient without a learner
		if in.Learner != nil {
			mean, _ = in.Learner.Coefficient(service, g.Class, load)
		}
		slowdown := max(mean, 0) * float64(g.Resources.CPU) / capacity
		out = append(out, contributor{task, mean, g.Resources.CPU, slowdown})
	}
	slices.SortStableFunc(out, func(a, b contributor) int { return cmp.Compare(b.slowdown, a.slowdown) })
	return out
}

// throttle lowers the grants of as few tasks as are expected to reduce the log
// latency by need, or of all tasks if that is not enough.
func throttle(in Input, batch []contributor, need float64, service string) []Action {
	var actions []Action
	for _, c := range batch {
		_, isThrottled := in.State.Throttled[c.task]
		to := int64(float64(c.cpu) * in.Options.ThrottleShare)
		if isThrottled || to < 1 || c.slowdown <= 0 {
			continue
		}
		if need <= 0 {
			break
		}
		in.State.Throttled[c.task] = c.cpu
		need -= c.slowdown * (1 - in.Options.ThrottleShare)
		actions = append(actions, Action{
			Kind: Throttle, Task: c.task, Token: in.Worker.Grants[c.task].Token, CPU: to,
			Reason: "slows " + service,
		})
	}
	return actions
}

// evict picks as few tasks as are expected to reduce the log latency by need,
// within the eviction budget. Urgent tasks are never evicted.
func evict(in Input, batch []contributor, kind Kind, need float64, service string) []Action {
	var actions []Action
	for _, c := range batch {
		g := in.Worker.Grants[c.task]
		if need <= 0 || c.slowdown <= 0 {
			break
		}
		if g.Priority == describer.Urgent {
			continue
		}
		if in.Budget != nil && !in.Budget.Take(in.Now) {
			break
		}
		need -= c.slowdown
		actions = append(actions, Action{
			Kind: kind, Task: c.task, Token: g.Token,
			Reason: fmt.Sprintf("slows %s, and throttling was not enough", service),
		})
	}
	return actions
}
