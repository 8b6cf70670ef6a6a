package placer

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/accountant"
	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// UrgentStartLimit is the time from acceptance within which an urgent task is
// started or refused.
const UrgentStartLimit = 6800 * time.Millisecond

// Costs are the expected times of a preemption. Zero fields take defaults.
type Costs struct {
	Throttle      time.Duration // time until a lower processor grant takes effect
	Checkpoint    time.Duration // time until a run has saved its progress and ended
	Start         time.Duration // time from the decision until the task runs, with the durable record
	ThrottleShare float64       // share of its grant that a throttled task keeps
}

// orDefault fills in the defaults.
func (c Costs) orDefault() Costs {
	if c.Throttle == 0 {
		c.Throttle = 500 * time.Millisecond
	}
	if c.Checkpoint == 0 {
		c.Checkpoint = 3 * time.Second
	}
	if c.Start == 0 {
		c.Start = 1500 * time.Millisecond
	}
	if c.ThrottleShare == 0 {
		c.ThrottleShare = 0.5
	}
	return c
}

// Preemption is how an urgent task gets its resources. If it can't get them in
// time, Worker is empty and Reason says why, for operators.
type Preemption struct {
	Worker   string
	Throttle []GrantReduction    // processor grants to lower
	Evict    []describer.TaskID  // runs to checkpoint and end, in order
	Freed    describer.Resources // resources freed by Throttle and Evict together
	Wait     time.Duration       // expected time until the urgent task runs
	Reason   string
}

// GrantReduction is a lower processor grant for a run.
type GrantReduction struct {
	Task describer.TaskID
	From int64 // millicores
	To   int64 // millicores
}

// Preempt returns how to place an urgent request at the lowest cost: without a
// change, by throttling, or with the fewest evictions. evictions is the maximum
// number of them. Only batch tasks of normal priority are throttled or evicted.
// elapsed is how long the request has waited so far. Preempt changes nothing.
func Preempt(
	fleet *accountant.Fleet, r Request, costs Costs, evictions int, elapsed time.Duration,
) Preemption {
	costs = costs.orDefault()
	best, reason := Preemption{}, "no open worker is large enough"
	for _, name := range fleet.Names() {
		w := fleet.Workers[name]
		if w.Closed || r.Avoid[name] || !r.Want.Fits(w.Host.Capacity.Sub(w.Reserved)) {
			continue
		}
		p, obstacle := preemptOn(w, r.Want, costs, evictions)
		if obstacle != "" {
			reason = obstacle
			continue
		}
		if elapsed+p.Wait > UrgentStartLimit {
			reason = fmt.Sprintf("making room takes %s, more than is left of %s", p.Wait, UrgentStartLimit)
			continue
		}
		if best.Worker == "" || cheaper(p, best) {
			best = p
		}
	}
	if best.Worker == "" {
		best.Reason = reason
	}
	return best
}

// cheaper reports whether a costs less than b: fewer evictions, then fewer
// throttles.
func cheaper(a, b Preemption) bool {
	if c := cmp.Compare(len(a.Evict), len(b.Evict)); c != 0 {
		return c < 0
	}
	return len(a.Throttle) < len(b.Throttle)
}

// preemptOn returns the preemption on one worker, or why it is impossible there.
// It evicts runs one by one, those with the least progress first, since they
// lose the least, until throttling the others frees the rest.
func preemptOn(w *accountant.Worker, want describer.Resources, costs Costs, evictions int) (Preemption, string) {
	p := Preemption{Worker: w.Host.Name, Wait: costs.Start}
	missing := want.Sub(w.Free())
	if isMet(missing) {
		return p, ""
	}
	candidates := preemptible(w)
	for _, task := range candidates {
		if isMet(missingAfterThrottling(w, candidates, missing, p.Evict, costs.ThrottleShare)) {
			break
		}
		if len(p.Evict) == evictions {
			return Preemption{}, "the eviction budget is used up"
		}
		missing = missing.Sub(w.Grants[task].Resources)
		p.Evict = append(p.Evict, task)
	}
	if !isMet(missingAfterThrottling(w, candidates, missing, p.Evict, costs.ThrottleShare)) {
		return Preemption{}, "latency-critical and urgent tasks hold the capacity"
	}
	p.Throttle = reductions(w, candidates, missing.CPU, p.Evict, costs.ThrottleShare)
	p.Freed = want.Sub(w.Free()).Sub(missing)
	for _, r := range p.Throttle {
		p.Freed.CPU += r.From - r.To
	}
	if len(p.Throttle) > 0 {
		p.Wait = costs.Start + costs.Throttle
	}
	if len(p.Evict) > 0 {
		p.Wait = costs.Start + costs.Checkpoint
	}
	return p, ""
}

// preemptible returns the tasks that may be throttled or evicted, those with the
// least progress first.
func preemptible(w *accountant.Worker) []describer.TaskID {
	tasks := slices.DeleteFunc(w.Tasks(), func(t describer.TaskID) bool {
		g := w.Grants[t]
		return g.Kind != describer.Batch || g.Priority == describer.Urgent
	})
	slices.SortStableFunc(tasks, func(a, b describer.TaskID) int {
		return cmp.Compare(w.Grants[a].Progress, w.Grants[b].Progress)
	})
	return tasks
}

// missingAfterThrottling returns what is still missing when the candidates that
// are not evicted have been throttled.
func missingAfterThrottling(
	w *accountant.Worker, candidates []describer.TaskID, missing describer.Resources,
	evicted []describer.TaskID, keptShare float64,
) describer.Resources {
	for _, r := range reductions(w, candidates, missing.CPU, evicted, keptShare) {
		missing.CPU -= r.From - r.To
	}
	return missing
}

// reductions returns the grant reductions that free the given millicores, or as
// much of them as possible. keptShare is the share of its grant that each task
// keeps.
func reductions(
	w *accountant.Worker, candidates []describer.TaskID, cpu int64, evicted []describer.TaskID, keptShare float64,
) []GrantReduction {
	var out []GrantReduction
	for _, task := range candidates {
		if cpu <= 0 {
			break
		}
		if slices.Contains(evicted, task) {
			continue
		}
		from := w.Grants[task].Resources.CPU
		freed := min(cpu, int64(float64(from)*(1-keptShare)))
		if freed <= 0 {
			continue
		}
		cpu -= freed
		out = append(out, GrantReduction{task, from, from - freed})
	}
	return out
}

// isMet reports whether nothing is missing.
func isMet(missing describer.Resources) bool {
	return missing.CPU <= 0 && missing.Memory <= 0 && missing.Accelerators <= 0
}
