// Package reserver plans reservations of workers for tasks that fit nowhere, and
// decides which other tasks may be started on such a worker before (backfill).
//
// # Load
//
// Tasks of very different sizes share workers, most of whose capacity long-running
// tasks hold. Small tasks take each piece of room that becomes free, so that a task
// that needs several of them waits for as long as small ones arrive. To keep a whole
// worker free for it wastes that worker, and the wrong one may be kept.
//
// # Algorithm
//
// The free resources of a worker over time follow from the expected ends of its runs. A
// reservation takes resources from some time on. A task gets a reservation on the worker
// on which it fits first, from then on. Another task may start on a worker if what it needs
// is free there until its expected end, after all reservations: it has ended when they
// begin or fits beside them.
//
//	p := reserver.New(now, len(workers), load)
//	for _, r := range p.Spread(need, waiting, maxWorkers, limit) {
//		...
//	}
//	if p.MayStart(i, small, now.Add(runTime)) { ... }
package reserver

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// End is the expected end of a run.
type End struct {
	At    time.Time
	Freed describer.Resources
}

// Worker is what is known of one worker. Runs without an expected end are in neither field.
type Worker struct {
	Free describer.Resources // not taken by any run
	Ends []End               // in any order
}

// Reservation gives one task room on a worker from a time on.
type Reservation struct {
	Worker int
	At     time.Time
}

// Plan is the reservations of one placement round. It reads a worker when it is first
// needed.
type Plan struct {
	now      time.Time
	load     func(i int) Worker
	workers  []profile
	reserved int // number of workers with reservations
}

// profile is the free resources of a worker over time.
type profile struct {
	loaded   bool
	free     describer.Resources // now
	total    describer.Resources // after all known ends, without reservations
	changes  []change            // sorted
	reserved int                 // number of reservations among changes
}

// change is a change of the free resources. A negative one is the start of a reservation.
type change struct {
	at    time.Duration // from Plan.now
	freed describer.Resources
}

// New returns a plan without reservations for n workers. load returns the worker with an
// index.
func New(now time.Time, n int, load func(i int) Worker) *Plan {
	return &Plan{now: now, load: load, workers: make([]profile, n)}
}

// IsReserved reports whether the worker has reservations.
func (p *Plan) IsReserved(i int) bool { return p.workers[i].reserved > 0 }

// ReservedWorkers returns the number of workers with reservations.
func (p *Plan) ReservedWorkers() int { return p.reserved }

// minOverrun is the minimum time for which an overdue run is expected to go on.
const minOverrun = 50 * time.Millisecond

// worker returns the profile of a worker.
func (p *Plan) worker(i int) *profile {
	w := &p.workers[i]
	if w.loaded {
		return w
	}
	loaded := p.load(i)
	w.loaded, w.free, w.total = true, loaded.Free, loaded.Free
	w.changes = make([]change, 0, len(loaded.Ends)+4)
	for _, e := range loaded.Ends {
		w.changes = append(w.changes, change{p.remaining(e.At), e.Freed})
		w.total = w.total.Add(e.Freed)
	}
	slices.SortFunc(w.changes, func(a, b change) int { return cmp.Compare(a.at, b.at) })
	return w
}

// remaining returns how long a run is expected to go on by its expected end, which may be
// over: it then goes on for as long as it is overdue.
func (p *Plan) remaining(end time.Time) time.Duration {
	if d := end.Sub(p.now); d > 0 {
		return d
	}
	return max(p.now.Sub(end), minOverrun)
}

// insert adds a change in order, after those of the same time.
func (w *profile) insert(c change) {
	at := len(w.changes)
	for at > 0 && w.changes[at-1].at > c.at {
		at--
	}
	w.changes = slices.Insert(w.changes, at, c)
}

// Started takes the resources of a run that was started in this round. end is its
// expected end, zero if it isn't known.
func (p *Plan) Started(i int, need describer.Resources, end time.Time) {
	w := &p.workers[i]
	if !w.loaded {
		return // load will see the run
	}
	w.free = w.free.Sub(need)
	if end.IsZero() {
		w.total = w.total.Sub(need)
		return
	}
	w.insert(change{p.remaining(end), need})
}

// IsPredictable reports whether the worker would have room for a task some time by the known
// ends if it had no reservations.
func (p *Plan) IsPredictable(i int, need describer.Resources) bool {
	return fits(need, p.worker(i).total)
}

// Earliest returns the time from which on the worker has room for a task, or false if
// there is none by the known ends.
func (p *Plan) Earliest(i int, need describer.Resources) (time.Time, bool) {
	d, ok := p.worker(i).earliest(need)
	return p.now.Add(d), ok
}

// earliest is Earliest relative to Plan.now.
func (w *profile) earliest(need describer.Resources) (time.Duration, bool) {
	free := w.free
	for k := range w.changes {
		free = free.Add(w.changes[k].freed)
	}
	if !fits(need, free) {
		return 0, false
	}
	for k := len(w.changes) - 1; k >= 0; k-- {
		c := &w.changes[k]
		free = free.Sub(c.freed)
		if k > 0 && w.changes[k-1].at == c.at {
			continue
		}
		if !fits(need, free) {
			return max(c.at, 0), true
		}
	}
	return 0, true
}

// fits is Resources.Fits for a capacity that may be negative: a component that isn't
// needed doesn't matter.
func fits(need, free describer.Resources) bool {
	return (need.CPU <= 0 || need.CPU <= free.CPU) &&
		(need.Memory <= 0 || need.Memory <= free.Memory) &&
		(need.Accelerators <= 0 || need.Accelerators <= free.Accelerators)
}

// MayStart reports whether a task that fits on the worker now may start there: until its
// end, what it needs is free beside all reservations. A zero end is never.
func (p *Plan) MayStart(i int, need describer.Resources, end time.Time) bool {
	if p.workers[i].reserved == 0 {
		return true
	}
	w := p.worker(i)
	free := w.free
	until := time.Duration(math.MaxInt64)
	if !end.IsZero() {
		until = end.Sub(p.now)
	}
	for k := range w.changes {
		c := &w.changes[k]
		if c.at > 0 && c.at >= until {
			break
		}
		free = free.Add(c.freed)
		if k+1 < len(w.changes) && (w.changes[k+1].at == c.at || w.changes[k+1].at <= 0) {
			continue
		}
		if !fits(need, free) {
			return false
		}
	}
	return true
}

// Reserve adds a reservation.
func (p *Plan) Reserve(r Reservation, need describer.Resources) {
	w := p.worker(r.Worker)
	w.insert(change{r.At.Sub(p.now), describer.Resources{}.Sub(need)})
	if w.reserved++; w.reserved == 1 {
		p.reserved++
	}
}

// Release removes a reservation.
func (p *Plan) Release(r Reservation, need describer.Resources) {
	w := &p.workers[r.Worker]
	at := slices.Index(w.changes, change{r.At.Sub(p.now), describer.Resources{}.Sub(need)})
	w.changes = slices.Delete(w.changes, at, at+1)
	if w.reserved--; w.reserved == 0 {
		p.reserved--
	}
}

// sameWorkerTolerance is how much later a task may start on a worker that its step has
// already reserved, so that a wide step reserves few workers.
const sameWorkerTolerance = 50 * time.Millisecond

// Spread reserves room for up to count equal tasks that may start one by one, each where it
// can start first. limit returns how many of them a worker may run; the reservations of all
// steps use maxWorkers workers at most.
func (p *Plan) Spread(need describer.Resources, count, maxWorkers int, limit func(i int) int) []Reservation {
	options := make([]option, 0, len(p.workers))
	for i := range p.workers {
		if p.workers[i].reserved == 0 && p.reserved >= maxWorkers {
			continue
		}
		if most := limit(i); most > 0 {
			if at, ok := p.worker(i).earliest(need); ok {
				options = append(options, option{worker: i, at: at, limit: most})
			}
		}
	}
	var out []Reservation
	for len(out) < count {
		o := p.first(options, maxWorkers)
		if o == nil {
			break
		}
		r := Reservation{o.worker, p.now.Add(o.at)}
		p.Reserve(r, need)
		out = append(out, r)
		o.used++
		var ok bool
		if o.at, ok = p.workers[o.worker].earliest(need); !ok {
			o.limit = 0
		}
	}
	return out
}

// option is a worker on which a task of a step may be reserved room.
type option struct {
	worker int
	at     time.Duration // when the next task of the step fits, from Plan.now
	used   int           // tasks of the step that have a reservation there
	limit  int
}

// first returns the option for one more task of a step, or nil.
func (p *Plan) first(options []option, maxWorkers int) *option {
	var best, same *option
	for k := range options {
		o := &options[k]
		if o.used >= o.limit || p.workers[o.worker].reserved == 0 && p.reserved >= maxWorkers {
			continue
		}
		if best == nil || o.at < best.at {
			best = o
		}
		if o.used > 0 && (same == nil || o.at < same.at) {
			same = o
		}
	}
	if same != nil && same.at <= best.at+sameWorkerTolerance {
		return same
	}
	return best
}

// Gang reserves room for count equal tasks that start together, on as few workers as
// possible at the first time when all fit. It returns nil if there is none.
func (p *Plan) Gang(need describer.Resources, count int, limit func(i int) int) []Reservation {
	first := p.Spread(need, count, len(p.workers), limit)
	var at time.Time
	for _, r := range first {
		if r.At.After(at) {
			at = r.At
		}
		p.Release(r, need)
	}
	if len(first) < count {
		return nil
	}
	slots := make([]int, len(p.workers))
	for i := range p.workers {
		slots[i] = p.slots(i, need, min(count, limit(i)), at)
	}
	var out []Reservation
	for len(out) < count {
		most := 0
		for i, n := range slots {
			if n > slots[most] {
				most = i
			}
		}
		for range min(slots[most], count-len(out)) {
			r := Reservation{most, at}
			p.Reserve(r, need)
			out = append(out, r)
		}
		slots[most] = 0
	}
	return out
}

// slots returns how many tasks fit on a worker from a time on, up to limit.
func (p *Plan) slots(i int, need describer.Resources, limit int, at time.Time) int {
	n := 0
	for n < limit {
		first, ok := p.Earliest(i, need)
		if !ok || first.After(at) {
			break
		}
		p.Reserve(Reservation{i, at}, need)
		n++
	}
	for range n {
		p.Release(Reservation{i, at}, need)
	}
	return n
}
