package placer

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/accountant"
	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// UrgentStartLimit is the time within which an urgent task starts or is refused.
const UrgentStartLimit = 6800 * time.Millisecond

// Costs are the times that making room takes. Zero fields take defaults.
type Costs struct {
	Throttle      time.Duration // until a lower processor grant is in force
	Checkpoint    time.Duration // until a run has saved its progress and ended
	Start         time.Duration // from decision to running, with the durable record
	ThrottleShare float64       // share of its grant that a throttled task keeps
}

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

// Preemption is how an urgent task gets its place. Worker is empty if it can't
// within the bound, and Why says the reason.
type Preemption struct {
	Worker   string
	Throttle []GrantReduction    // lower these processor grants
	Evict    []describer.TaskID  // checkpoint and end these runs, in order
	Freed    describer.Resources // by Throttle and Evict together
	Wait     time.Duration       // expected until the urgent task runs
	Reason   string
}

// GrantReduction lowers the processor grant of a run.
type GrantReduction struct {
	Task describer.TaskID
	From int64 // millicores
	To   int64 // millicores
}

// Preempt finds the worker on which the request fits after the cheapest
// change: none, throttling, or the fewest evictions, at most evictions many.
// Only batch tasks of normal priority give way. elapsed is how long the
// request has waited already.
func Preempt(
	fleet *accountant.Fleet, r Request, costs Costs, evictions int, elapsed time.Duration,
) Preemption {
	costs = costs.orDefault()
	best, why := Preemption{}, "no open worker is large enough"
	for _, name := range fleet.Names() {
		w := fleet.Workers[name]
		if w.Closed || r.Avoid[name] || !r.Want.Fits(w.Host.Capacity.Sub(w.Reserved)) {
			continue
		}
		room, reason := roomOn(w, r.Want, costs, evictions)
		if reason != "" {
			why = reason
			continue
		}
		if elapsed+room.Wait > UrgentStartLimit {
			why = fmt.Sprintf("making room takes %s, more than is left of %s", room.Wait, UrgentStartLimit)
			continue
		}
		if best.Worker == "" || cheaper(room, best) {
			best = room
		}
	}
	if best.Worker == "" {
		best.Reason = why
	}
	return best
}

func cheaper(a, b Preemption) bool {
	if c := cmp.Compare(len(a.Evict), len(b.Evict)); c != 0 {
		return c < 0
	}
	return len(a.Throttle) < len(b.Throttle)
}

// roomOn makes room on one worker: first by throttling, then by evicting the
// run with the least progress, whose loss is the smallest, and so on.
func roomOn(w *accountant.Worker, want describer.Resources, costs Costs, evictions int) (Preemption, string) {
	room := Preemption{Worker: w.Host.Name, Wait: costs.Start}
	missing := want.Sub(w.Free())
	if isMet(missing) {
		return room, ""
	}
	victims := victimsOf(w)
	for _, task := range victims {
		if isMet(throttled(w, victims, missing, room.Evict, costs.ThrottleShare)) {
			break
		}
		if len(room.Evict) == evictions {
			return Preemption{}, "the eviction budget is used up"
		}
		missing = missing.Sub(w.Grants[task].Resources)
		room.Evict = append(room.Evict, task)
	}
	if !isMet(throttled(w, victims, missing, room.Evict, costs.ThrottleShare)) {
		return Preemption{}, "latency-critical and urgent tasks hold the capacity"
	}
	room.Throttle = shrinks(w, victims, missing.CPU, room.Evict, costs.ThrottleShare)
	room.Freed = want.Sub(w.Free()).Sub(missing)
	for _, s := range room.Throttle {
		room.Freed.CPU += s.From - s.To
	}
	if len(room.Throttle) > 0 {
		room.Wait = costs.Start + costs.Throttle
	}
	if len(room.Evict) > 0 {
		room.Wait = costs.Start + costs.Checkpoint
	}
	return room, ""
}

// victimsOf returns the tasks that may give way, least progress first.
func victimsOf(w *accountant.Worker) []describer.TaskID {
	tasks := slices.DeleteFunc(w.Tasks(), func(t describer.TaskID) bool {
		g := w.Grants[t]
		return g.Kind != describer.Batch || g.Priority == describer.Urgent
	})
	slices.SortStableFunc(tasks, func(a, b describer.TaskID) int {
		return cmp.Compare(w.Grants[a].Progress, w.Grants[b].Progress)
	})
	return tasks
}

// throttled returns what is missing after all victims that stay are throttled.
func throttled(
	w *accountant.Worker, victims []describer.TaskID, missing describer.Resources,
	evicted []describer.TaskID, floor float64,
) describer.Resources {
	for _, s := range shrinks(w, victims, missing.CPU, evicted, floor) {
		missing.CPU -= s.From - s.To
	}
	return missing
}

func shrinks(
	w *accountant.Worker, victims []describer.TaskID, cpu int64, evicted []describer.TaskID, floor float64,
) []GrantReduction {
	var out []GrantReduction
	for _, task := range victims {
		if cpu <= 0 {
			break
		}
		if slices.Contains(evicted, task) {
			continue
		}
		from := w.Grants[task].Resources.CPU
		give := min(cpu, int64(float64(from)*(1-floor)))
		if give <= 0 {
			continue
		}
		cpu -= give
		out = append(out, GrantReduction{task, from, from - give})
	}
	return out
}

func isMet(missing describer.Resources) bool {
	return missing.CPU <= 0 && missing.Memory <= 0 && missing.Accelerators <= 0
}
