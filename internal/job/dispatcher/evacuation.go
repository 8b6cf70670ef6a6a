package dispatcher

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/evacuator"
	"dotterelcart.dev/dotterelcart/internal/job/recorder"
)

// Nothing is started on workers of an evacuated failure domain. They are polled and
// renewed as before, and their runs continue. Work that waits and that only they could
// run leaves the shard without delay: jobs that have never run as a whole, if the shard has no
// other usable workers, and tasks of others one by one.

// EvacuationsListed delivers the evacuated failure domains as the store had them after
// ReadAt, when the request for them was sent.
type EvacuationsListed struct {
	Domains []string
	ReadAt  time.Time // zero if they were never read
}

// EvacuationsOutdated makes the evacuated domains count as outdated until the next
// reading. It follows a suspension of the host.
type EvacuationsOutdated struct{}

func (EvacuationsListed) event()   {}
func (EvacuationsOutdated) event() {}

const (
	displacedInterval = 200 * time.Millisecond // minimum time between requests for other shards for one displaced step
	moveRetryInterval = time.Second            // minimum time between attempts to move one job out of an evacuated shard
)

// evacuation is what the shard knows of evacuated domains.
type evacuation struct {
	set        evacuator.Set
	isPaused   bool           // the last review found the set outdated
	workers    map[string]int // number of workers in each evacuated domain at the last review
	coversAll  bool           // Shard.isFullyEvacuated at the last review
	reviewedAt time.Time      // last review of the work that can't be started
}

// applyEvacuations applies the evacuated domains.
func (s *Shard) applyEvacuations(e EvacuationsListed) {
	if e.ReadAt.IsZero() {
		return
	}
	s.evacuation.set.Update(e.Domains, e.ReadAt)
	for _, w := range s.sortedWorkers {
		s.updateEvacuated(w)
	}
	s.placementDue = true
}

// updateEvacuated updates whether a worker is evacuated.
func (s *Shard) updateEvacuated(w *worker) {
	w.evacuated = s.evacuation.set.IsEvacuated(w.reg.Domain)
}

// areEvacuationsKnown reports whether the evacuated domains are known recently enough to
// start runs.
func (s *Shard) areEvacuationsKnown() bool {
	return s.evacuation.set.IsCurrent(s.now, s.options.MaxEvacuationAge)
}

// reviewEvacuation logs what has changed, and makes work leave the shard that only
// evacuated workers could run.
func (s *Shard) reviewEvacuation() {
	e := &s.evacuation
	if isPaused := !s.areEvacuationsKnown(); isPaused != e.isPaused {
		e.isPaused = isPaused
		s.logPause()
	}
	if len(e.workers) == 0 && !slices.ContainsFunc(s.sortedWorkers, func(w *worker) bool { return w.evacuated }) {
		return
	}
	s.countEvacuated()
	e.coversAll = s.isFullyEvacuated()
	if len(e.workers) == 0 || s.now.Sub(e.reviewedAt) < displacedInterval {
		return
	}
	e.reviewedAt = s.now
	s.moveDisplaced()
	s.requestTransfers()
}

// logPause logs that starts are paused because the evacuated domains aren't known, or
// that they are resumed.
func (s *Shard) logPause() {
	line := Log{Message: "run starts resumed", Reason: "evacuations known"}
	if s.evacuation.isPaused {
		line = Log{Message: "run starts paused", Reason: "evacuations never read"}
		if readAt := s.evacuation.set.ReadAt(); !readAt.IsZero() {
			line.Reason, line.Age = "evacuations outdated", s.now.Sub(readAt)
		}
	}
	s.emit(line)
}

// countEvacuated counts the shard's workers in evacuated domains. It logs the domains of
// which some are new or none are left, and has the load summary published soon.
func (s *Shard) countEvacuated() {
	e := &s.evacuation
	count := make(map[string]int)
	for _, w := range s.sortedWorkers {
		if w.evacuated {
			count[w.reg.Domain]++
		}
	}
	for _, domain := range sortedKeys(count) {
		if e.workers[domain] == 0 {
			s.emit(Log{Message: "domain evacuated", Reason: fmt.Sprintf("%s, %d of %d workers", domain, count[domain], len(s.workers))})
			s.lastPublish = time.Time{}
		}
	}
	for _, domain := range sortedKeys(e.workers) {
		if count[domain] == 0 {
			s.emit(Log{Message: "domain returned", Reason: domain})
			s.lastPublish = time.Time{}
		}
	}
	e.workers = count
}

// isFullyEvacuated reports whether the shard has evacuated workers, and no others that
// could be used.
func (s *Shard) isFullyEvacuated() bool {
	isOther := func(w *worker) bool { return !w.evacuated && w.stays() && w.failedPolls == 0 }
	return len(s.evacuation.workers) > 0 && !slices.ContainsFunc(s.sortedWorkers, isOther)
}

// isDisplaced reports whether only workers in evacuated domains could run the step.
func (s *Shard) isDisplaced(st *step) bool {
	if len(s.evacuation.workers) == 0 || !s.workersListed {
		return false
	}
	isSuitable := func(w *worker) bool { return w.stays() && w.couldRun(st) }
	return !s.hasSuitableWorker(st) && slices.ContainsFunc(s.sortedWorkers, isSuitable)
}

// couldRun reports whether the worker could run the step if nothing else ran there.
func (w *worker) couldRun(st *step) bool {
	return w.reg.HasLabel(st.spec.Label) && st.needs.reserved.Fits(w.reg.Capacity)
}

// minTransferWait returns how long tasks of the step wait before they may be transferred.
func (st *step) minTransferWait() time.Duration {
	if st.displaced {
		return 0
	}
	return transferDelay
}

// findInterval returns the minimum time between requests for other shards for the step.
// A displaced step has no other way to run, and each request moves few of its tasks.
func (st *step) findInterval() time.Duration {
	if st.displaced {
		return displacedInterval
	}
	return findShardInterval
}

// mayBeMoved reports whether the step's job, which is movable, may soon be moved as a whole,
// so that single tasks stay. A displaced step waits for that only in a shard that is
// evacuated entirely, and for one attempt.
func (s *Shard) mayBeMoved(st *step) bool {
	if st.displaced {
		return s.evacuation.coversAll && st.job.moveTriedAt.IsZero()
	}
	return s.now.Sub(st.job.arrivedAt) < moveWait
}

// moveDisplaced moves jobs that have never run out of a shard whose usable workers are
// all evacuated. Those whose last attempt is oldest come first: moves may fail for many.
func (s *Shard) moveDisplaced() {
	if !s.options.Divided || !s.evacuation.coversAll || !s.isRecentlyConfirmed() {
		return
	}
	var displaced []*job
	for _, j := range s.jobs {
		if j.isMovable() && s.now.Sub(j.moveTriedAt) >= moveRetryInterval {
			displaced = append(displaced, j)
		}
	}
	slices.SortFunc(displaced, func(a, b *job) int {
		return cmp.Or(a.moveTriedAt.Compare(b.moveTriedAt), cmp.Compare(a.spec.ID, b.spec.ID))
	})
	for _, j := range displaced[:min(len(displaced), max(maxConcurrentMoves-s.countMoves(), 0))] {
		if j.moveTriedAt.IsZero() {
			s.emit(Log{Message: "job move requested", Job: j.spec.ID, Reason: "all usable workers evacuated"})
		}
		j.moving, j.moveTriedAt = true, s.now
		s.emit(MoveJob{Job: j.spec, LongRunningCPU: j.longRunningCPU()})
	}
}

// addEvacuatedCapacity adds workers in evacuated domains to the largest capacity of a load
// summary: a job that exceeds it is refused for good.
func (s *Shard) addEvacuatedCapacity(l *recorder.Load) {
	usable := l.MaxCapacity
	for _, w := range s.sortedWorkers {
		if !w.evacuated || !w.stays() {
			continue
		}
		l.MaxCapacity = l.MaxCapacity.Max(w.reg.Capacity)
	}
	if l.MaxCapacity != usable {
		l.MaxUsable = usable
	}
}
