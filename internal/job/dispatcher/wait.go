package dispatcher

import (
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

const (
	reportDelay    = 3 * time.Second // waiting time after which a long-running task is reported
	reportInterval = 2 * time.Second // minimum time between reports
)

// WaitReason is why a long-running task has no run.
type WaitReason uint8

// Reasons, in the order in which they are checked.
const (
	WaitUnconfirmed WaitReason = iota // the store hasn't confirmed the ownership, the registrations or the evacuations, so nothing starts
	WaitEarlierRuns                   // workers may have a run by an earlier owner
	WaitUnsettled                     // what became of its last run isn't known or durable yet
	WaitMove                          // the job may be moved to another shard
	WaitLimit                         // long-running tasks have their share of the CPU
	WaitIsolation                     // the task may crash its workers, and none is free for it alone
	WaitReserved                      // a worker has room, but it is kept for tasks that rank higher
	WaitAdvice                        // workers have room, but no ticket for the step
	WaitRefused                       // the adviser allows none of the workers that have room
	WaitUnusable                      // only workers that are avoided or don't answer have room
	WaitEvacuated                     // only workers of evacuated failure domains have room
	WaitNoRoom                        // no worker of the shard has room
	WaitReasons                       // number of reasons
)

// String returns the text of the reason in logs and metrics.
func (r WaitReason) String() string {
	return [...]string{"unconfirmed", "earlier-runs", "unsettled", "move", "limit", "isolation", "reserved", "advice", "refused", "unusable", "evacuated", "no-room"}[r]
}

// Wait is the long-running tasks that wait for the same reason.
type Wait struct {
	Reason WaitReason
	Tasks  int              // number of tasks, 0 if none wait
	Oldest specifier.TaskID // the one that has waited longest
	Age    time.Duration    // how long it has waited, or may have under a new owner
	Losses int              // runs of it that were lost with their workers
	CPU    int64            // CPU that it needs, millicores
	Free   int64            // most free CPU on one usable worker, millicores

	Inherited InheritedWait // for WaitEarlierRuns
	Limit     LimitWait     // for WaitLimit
	Isolation IsolationWait // for WaitIsolation
}

// InheritedWait is why an owner doesn't know all runs of earlier owners yet.
type InheritedWait struct {
	Workers   int           // inherited workers that haven't answered, and whose leases haven't expired
	Answered  int           // inherited workers that have answered, or ended
	Remaining time.Duration // until the last of their leases expires
}

// LimitWait is the CPU that the limit of long-running tasks depends on, on usable workers,
// millicores.
type LimitWait struct {
	LongRunning int64 // reserved by running long-running tasks
	Finite      int64 // reserved by running finite tasks
	Limit       int64 // for long-running tasks
}

// IsolationWait says why no usable worker can isolate a task. A worker counts once, for the first
// obstacle that applies.
type IsolationWait struct {
	Unproven     int // workers with runs that may crash them
	Inconclusive int // workers that crashed lately, or under this task
	Full         int // workers without room, or closed for another task
}

// reportWaiting reports why long-running tasks wait, at most one Wait for each
// reason. Reasons that don't apply any more are reported once without tasks.
func (s *Shard) reportWaiting() {
	if s.now.Sub(s.lastReport) < reportInterval {
		return
	}
	s.lastReport = s.now
	var waits [WaitReasons]Wait
	p := s.newPlacement()
	for _, st := range s.waitingSteps {
		if t := st.oldestWaiting(); t != nil && st.spec.LongRunning && s.now.Sub(t.waitingSince) >= reportDelay {
			p.addWait(&waits, t)
		}
	}
	var report ReportWaiting
	for reason, w := range waits {
		w.Reason = WaitReason(reason)
		if w.Tasks > 0 || s.reported[reason] {
			report.Waits = append(report.Waits, w)
		}
		s.reported[reason] = w.Tasks > 0
	}
	if len(report.Waits) > 0 {
		s.emit(report)
	}
	p.reportAdvice()
}

// addWait counts the tasks of a step that have waited for long, under the reason of t,
// which has waited longest.
func (p *placement) addWait(waits *[WaitReasons]Wait, t *task) {
	reason := p.waitReason(t)
	w := &waits[reason]
	for _, other := range t.step.tasks {
		if other.isWaiting() && p.shard.now.Sub(other.waitingSince) >= reportDelay {
			w.Tasks++
		}
	}
	if age := p.shard.now.Sub(t.waitingSince); age > w.Age {
		w.Oldest, w.Age, w.Losses = t.id(), age, t.lossCount()
		w.CPU, w.Free = t.step.needs.reserved.CPU, p.largest.Free.CPU
		p.explainWait(w, reason, t)
	}
}

// explainWait sets what the reason rests on, for the task that has waited longest.
func (p *placement) explainWait(w *Wait, reason WaitReason, t *task) {
	switch reason {
	case WaitEarlierRuns:
		w.Inherited = p.shard.inheritedWait()
	case WaitLimit:
		w.Limit = p.limitWait()
	case WaitIsolation:
		w.Isolation = p.isolationWait(t)
	}
}

func (s *Shard) inheritedWait() InheritedWait {
	w := InheritedWait{Workers: len(s.inheritedExpiry), Answered: len(s.fenced)}
	for _, expiry := range s.inheritedExpiry {
		w.Remaining = max(w.Remaining, expiry.Sub(s.now))
	}
	return w
}

func (p *placement) limitWait() LimitWait {
	w := LimitWait{LongRunning: p.longRunningCPU, Limit: p.longRunningLimit}
	for _, worker := range p.workers {
		w.Finite += worker.allocated.reserved.CPU - worker.allocated.longRunning
	}
	return w
}

func (p *placement) isolationWait(t *task) (w IsolationWait) {
	for _, worker := range p.workers {
		switch {
		case worker.unprovenRuns() > 0:
			w.Unproven++
		case !p.isConclusive(t, worker):
			w.Inconclusive++
		default:
			w.Full++
		}
	}
	return w
}

// waitReason returns why the task has no run. p is a round in which nothing has
// been placed.
func (p *placement) waitReason(t *task) WaitReason {
	s, st := p.shard, t.step
	switch {
	case !s.mayStartRuns():
		return WaitUnconfirmed
	case s.mayEarlierOwnerStart(t):
		return WaitEarlierRuns
	case !t.isSettled(s.now) || s.hasOrphan(t):
		return WaitUnsettled
	case st.job.moving || s.options.Divided && p.isMovePending(st.job):
		return WaitMove
	case p.isDeferred(st):
		return WaitLimit
	case p.mustIsolate(t) && p.chooseWorker(st, t, st.request(), false) < 0:
		return WaitIsolation
	case p.chooseWorker(st, t, st.request(), false) >= 0:
		return WaitReserved
	case st.job.queue.Advice.Needed && p.couldStart(t, func(w *worker) bool { return !st.isRefused(w) }):
		return WaitAdvice
	case st.job.queue.Advice.Needed && p.couldStart(t, anyWorker):
		return WaitRefused
	case slices.ContainsFunc(s.sortedWorkers, func(w *worker) bool { return !w.isUsable(s.now) && !w.evacuated && w.stays() && w.hasRoomFor(st) }):
		return WaitUnusable
	case slices.ContainsFunc(s.sortedWorkers, func(w *worker) bool { return w.evacuated && w.stays() && w.hasRoomFor(st) }):
		return WaitEvacuated
	}
	return WaitNoRoom
}

// couldStart reports whether one of some workers has room for the task and only lacks a ticket.
func (p *placement) couldStart(t *task, among func(*worker) bool) bool {
	request := t.step.request()
	for i, w := range p.workers {
		if request.Fits(&p.candidates[i]) && among(w) && p.mayStartOn(t, i, true) {
			return true
		}
	}
	return false
}

// reportAdvice logs the finite task that has waited longest for advice, and the one that the
// adviser allows on no worker with room, if they have waited for long.
func (p *placement) reportAdvice() {
	var oldest [WaitReasons]*task
	for _, st := range p.shard.waitingSteps {
		t := st.oldestWaiting()
		if t == nil || st.spec.LongRunning || !st.job.queue.Advice.Needed || p.shard.now.Sub(t.waitingSince) < reportDelay {
			continue
		}
		reason := p.waitReason(t)
		if other := oldest[reason]; other == nil || t.waitingSince.Before(other.waitingSince) {
			oldest[reason] = t
		}
	}
	for _, reason := range [...]WaitReason{WaitAdvice, WaitRefused} {
		if t := oldest[reason]; t != nil {
			p.shard.emit(Log{
				Message: "task waiting for advice", Job: t.step.job.spec.ID, Task: t.id().String(),
				Reason: reason.String(), Age: p.shard.now.Sub(t.waitingSince),
			})
		}
	}
}

// stays reports whether the worker is registered and isn't about to leave.
func (w *worker) stays() bool { return w.unregisteredAt.IsZero() && !w.reg.Draining }

// hasRoomFor reports whether the worker has room for a task of the step, whether
// it is usable or not.
func (w *worker) hasRoomFor(st *step) bool {
	request, candidate := st.request(), w.candidate()
	isAllowed := w.reg.HasLabel(st.spec.Label) && (st.spec.MaxPerWorker == 0 || w.perStep[st] < st.spec.MaxPerWorker)
	return isAllowed && request.Fits(&candidate)
}
