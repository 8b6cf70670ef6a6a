package dispatcher

import (
	"slices"
	"time"
)

// Limits of long-running tasks. Finite tasks are those that aren't long-running.
const (
	// longRunningShare is the fraction of all CPU that long-running tasks may
	// reserve. The rest is for finite tasks.
	longRunningShare = 0.9
	// finiteMemory is how long that limit applies after the last start of a
	// finite task. Bursts of finite tasks tend to recur.
	finiteMemory = time.Minute
	// deferralLimit is how long a long-running task above the limit has no run before
	// it may exceed it. The task's users notice longer interruptions.
	deferralLimit = 4 * time.Second
	// minFreeSlots is how many such tasks must fit before one may exceed the
	// limit, so that some room remains for other tasks.
	minFreeSlots = 2
)

// longRunningLimit returns how much of capacity long-running tasks may reserve,
// both in millicores. It is all of it if no finite task has started lately; a
// new owner assumes that one has.
func (s *Shard) longRunningLimit(capacity int64) int64 {
	last := s.claimedAt
	if s.lastFiniteStart.After(last) {
		last = s.lastFiniteStart
	}
	if s.now.Sub(last) > finiteMemory {
		return capacity
	}
	return int64(longRunningShare * float64(capacity))
}

// isDeferred reports whether the step's tasks must not start now, because its
// job is being moved or because long-running tasks would exceed their limit. If
// the service has several shards, the limit defers only jobs that may still be
// moved: the others can't run elsewhere, and the shard doesn't know whether
// another has room.
func (p *placement) isDeferred(st *step) bool {
	switch {
	case st.job.moving:
		return true
	case !st.spec.LongRunning || st.mayExceedLimit:
		return false
	case p.shard.options.Divided:
		return p.isMovePending(st.job)
	}
	return p.longRunningCPU+st.needs.longRunning > p.longRunningLimit
}

// mayExceedLimit reports whether long-running tasks of the step may start above
// the limit: they have waited for deferralLimit and there is room for several.
func (p *placement) mayExceedLimit(st *step) bool {
	if !st.spec.LongRunning || p.longRunningCPU+st.needs.longRunning <= p.longRunningLimit {
		return false
	}
	t := st.oldestWaiting()
	return t != nil && p.shard.now.Sub(t.idleSince()) >= deferralLimit && p.countSlots(st, t) >= minFreeSlots
}

// idleSince returns since when the task has had no run, as far as known: if its last run was lost,
// not only since the leases on the worker have expired.
func (t *task) idleSince() time.Time {
	if !t.lostSince.IsZero() && t.lostSince.Before(t.waitingSince) {
		return t.lostSince
	}
	return t.waitingSince
}

// countSlots returns how many tasks like t would fit now, at most minFreeSlots.
func (p *placement) countSlots(st *step, t *task) int {
	saved := slices.Clone(p.candidates)
	defer func() { p.candidates = saved }()
	request := st.request()
	n := 0
	for n < minFreeSlots {
		i := p.chooseWorker(st, t, request, false)
		if i < 0 {
			break
		}
		p.candidates[i].Reserve(&request)
		n++
	}
	return n
}
