package dispatcher

import (
	"slices"
	"time"
)

// The start of a suspect task is recorded before it is ordered. Until that is durable the
// run is preparing: it has its room on the worker, which knows nothing of it. Where a start
// needs a ticket that has expired meanwhile, the run waits for a new one.

// mustPrepare reports whether a start of the task has to be durable before it is ordered:
// the task is suspect, or another of its gang.
func (st *step) mustPrepare(t *task) bool {
	return t.isSuspect() || st.spec.Gang && slices.ContainsFunc(st.tasks, (*task).isSuspect)
}

// prepareRun makes a start wait for the next commit of its job.
func (s *Shard) prepareRun(r *run) {
	r.phase = preparing
	if r.task.isSuspect() {
		s.addLoss(r)
	}
	s.markDirty(r.task.step.job)
	r.version = r.task.step.job.version
	s.preparing = append(s.preparing, r)
}

// orderPrepared orders the prepared runs that are durable and have their tickets.
func (s *Shard) orderPrepared() {
	list := s.preparing
	s.preparing = nil
	for _, r := range list {
		switch {
		case r.worker.runs[r.id] != r || r.phase != preparing:
		case !r.isDurable() || s.needsTickets(r):
			s.preparing = append(s.preparing, r)
		default:
			s.orderOrDrop(r)
		}
	}
}

// isDurable reports whether the start of a prepared run is durable.
func (r *run) isDurable() bool { return r.task.step.job.durable >= r.version }

// needsTickets reports whether a prepared run, or another one of its gang, needs a ticket that
// it may still get.
func (s *Shard) needsTickets(r *run) bool {
	if !r.task.step.spec.Gang {
		return r.needsTicket(s.now)
	}
	return slices.ContainsFunc(r.task.step.tasks, func(t *task) bool {
		return slices.ContainsFunc(t.runs(), func(other *run) bool { return other.phase == preparing && other.needsTicket(s.now) })
	})
}

// needsTicket reports whether the run can't be ordered yet for want of a ticket.
func (r *run) needsTicket(now time.Time) bool {
	st := r.task.step
	return !st.hasTicket(r.worker, now) && !st.isRefused(r.worker)
}

// orderOrDrop orders a prepared run if it may still start.
func (s *Shard) orderOrDrop(r *run) {
	if reason := s.startObstacle(r); reason != "" {
		s.dropPrepared(r, reason)
		return
	}
	s.orderStart(r)
}

// startObstacle returns why a prepared run may not start any more, or "". All members of a
// gang start together.
func (s *Shard) startObstacle(r *run) string {
	free := r.worker.candidate().Free // without what the run needs
	switch {
	case !s.mayStartRuns():
		return "the owner may not start runs"
	case !r.worker.isUsable(s.now):
		return "the worker is not usable"
	case r.task.step.isRefused(r.worker):
		return "the worker may not run the step"
	case r.isolated && r.worker.unprovenRuns() > 1:
		return "the worker has other runs that may crash it"
	case free.CPU < 0 || free.Memory < 0 || free.Accelerators < 0:
		return "the worker's capacity has shrunk"
	case r.task.step.spec.Gang && slices.ContainsFunc(r.task.step.tasks, func(t *task) bool { return t.worker == nil }):
		return "the gang is incomplete"
	}
	return ""
}

// dropPrepared removes a prepared run, and those of its gang.
func (s *Shard) dropPrepared(r *run, reason string) {
	s.emit(Log{
		Message: "prepared run dropped", Task: r.id.String(), Job: r.id.Job, Worker: r.worker.reg.ID, Run: r.number,
		Reason: reason,
	})
	s.removeRun(r)
	if !r.task.step.spec.Gang {
		return
	}
	for _, t := range r.task.step.tasks {
		if t.worker == nil {
			continue
		}
		if other := t.worker.runs[t.id()]; other != nil {
			s.stopRun(other, "gang incomplete")
		}
	}
}
