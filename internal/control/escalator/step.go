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
	premature   = 30 * time.Minute // an undoing after which a throttle comes sooner was premature
	longestHold = time.Hour
)

// suspect is a batch task with its part in the slow-down of a service.
type suspect struct {
	task  describer.TaskID
	coeff float64 // log slow-down for all of the worker's processors
	cpu   int64   // granted, millicores
	slow  float64 // log slow-down at its grant
}

// escalate takes the next step.
func escalate(in Input, service string, ratio float64) []Action {
	actions := []Action{{
		Kind:   BlockBatch,
		Until:  in.Now.Add(2 * in.Options.StepInterval),
		Reason: fmt.Sprintf("%s is at %.0f %% of its target", service, 100*ratio),
	}}
	if in.Now.Sub(in.State.LastStep) < in.Options.StepInterval {
		return actions
	}
	suspects := suspectsOf(in, service)
	total := 0.0
	for _, s := range suspects {
		total += s.slow
	}
	if math.Expm1(total) < in.Options.MinSlowdown {
		return actions // without batch tasks it would be as slow
	}
	need := math.Log(ratio / in.Options.EscalateAbove)
	if throttles := throttle(in, suspects, need, service); len(throttles) > 0 {
		in.State.backOff(in.Now)
		return in.State.acted(in.Now, Throttle, append(actions, throttles...))
	}
	if in.Now.Sub(in.State.MissedSince) < in.Options.EvictAfter {
		return actions // a wave passes, an eviction does not
	}
	kind := Move
	if in.State.Level >= Move && ratio > 2*in.Options.EscalateAbove {
		kind = Stop
	}
	evictions := evict(in, suspects, kind, need, service)
	if len(evictions) == 0 {
		return actions
	}
	return in.State.acted(in.Now, kind, append(actions, evictions...))
}

// prevent throttles, and no more, where a service is expected to exceed its
// bound because load has risen since its batch tasks were placed.
func prevent(in Input, service string, excess float64) []Action {
	if in.Now.Sub(in.State.LastStep) < in.Options.StepInterval {
		return nil
	}
	throttles := throttle(in, suspectsOf(in, service), math.Log(excess), service)
	if len(throttles) == 0 {
		return nil
	}
	in.State.backOff(in.Now)
	return in.State.acted(in.Now, max(in.State.Level, Throttle), throttles)
}

// relax undoes throttles, one task at a time, the largest first.
func relax(in Input) []Action {
	in.State.UnthrottleDelay = max(in.State.UnthrottleDelay, 2*in.Options.StepInterval)
	if in.Now.Sub(in.State.LastStep) < in.Options.StepInterval || in.Now.Sub(in.State.RelaxedSince) < in.State.UnthrottleDelay {
		return nil
	}
	var best describer.TaskID
	missing := int64(0)
	for _, task := range in.Worker.Tasks() {
		before, ok := in.State.Throttled[task]
		if !ok {
			continue
		}
		if m := before - in.Worker.Grants[task].Resources.CPU; m > missing {
			best, missing = task, m
		}
	}
	if missing == 0 {
		in.State.Level = Unthrottle
		clear(in.State.Throttled)
		return nil
	}
	missing = min(missing, in.Worker.Free().CPU)
	if missing <= 0 {
		return nil
	}
	in.State.LastUnthrottle = in.Now
	g := in.Worker.Grants[best]
	delete(in.State.Throttled, best)
	return in.State.acted(in.Now, Unthrottle, []Action{{
		Kind: Unthrottle, Task: best, Token: g.Token, CPU: g.Resources.CPU + missing,
		Reason: "services are within their targets again",
	}})
}

// backOff doubles the calm that the next undoing needs if the last one was
// premature, and halves it otherwise.
func (s *State) backOff(now time.Time) {
	if s.LastUnthrottle.IsZero() {
		return
	}
	if now.Sub(s.LastUnthrottle) < premature {
		s.UnthrottleDelay = min(2*s.UnthrottleDelay, longestHold)
	} else {
		s.UnthrottleDelay /= 2
	}
}

func (s *State) acted(now time.Time, level Kind, actions []Action) []Action {
	s.LastStep = now
	s.Level = level
	return actions
}

// suspectsOf returns the batch tasks, those with the greatest part in the
// slow-down of the service first.
func suspectsOf(in Input, service string) []suspect {
	load := in.Worker.Reports[service].Load
	capacity := float64(max(in.Worker.Host.Capacity.CPU, 1))
	var out []suspect
	for _, task := range in.Worker.Tasks() {
		g := in.Worker.Grants[task]
		if g.Kind != describer.Batch {
			continue
		}
		mean := 0.3
		if in.Learner != nil {
			mean, _ = in.Learner.Coefficient(service, g.Class, load)
		}
		slow := max(mean, 0) * float64(g.Resources.CPU) / capacity
		out = append(out, suspect{task, mean, g.Resources.CPU, slow})
	}
	slices.SortStableFunc(out, func(a, b suspect) int { return cmp.Compare(b.slow, a.slow) })
	return out
}

// throttle lowers the grants of as few tasks as are expected to restore the
// target, or of all.
func throttle(in Input, suspects []suspect, need float64, service string) []Action {
	var actions []Action
	for _, s := range suspects {
		_, done := in.State.Throttled[s.task]
		to := int64(float64(s.cpu) * in.Options.ThrottleShare)
		if done || to < 1 || s.slow <= 0 {
			continue
		}
		if need <= 0 {
			break
		}
		in.State.Throttled[s.task] = s.cpu
		need -= s.slow * (1 - in.Options.ThrottleShare)
		actions = append(actions, Action{
			Kind: Throttle, Task: s.task, Token: in.Worker.Grants[s.task].Token, CPU: to,
			Reason: "slows " + service,
		})
	}
	return actions
}

// evict picks as few runs as are expected to restore the target, as far as
// the budget goes. Urgent tasks stay.
func evict(in Input, suspects []suspect, kind Kind, need float64, service string) []Action {
	var actions []Action
	for _, s := range suspects {
		g := in.Worker.Grants[s.task]
		if need <= 0 || s.slow <= 0 {
			break
		}
		if g.Priority == describer.Urgent {
			continue
		}
		if in.Budget != nil && !in.Budget.Take(in.Now) {
			break
		}
		need -= s.slow
		actions = append(actions, Action{
			Kind: kind, Task: s.task, Token: g.Token,
			Reason: fmt.Sprintf("slows %s, and throttling was not enough", service),
		})
	}
	return actions
}
