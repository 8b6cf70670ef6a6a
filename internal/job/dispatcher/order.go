package dispatcher

import "time"

// Delays after refused orders.
const (
	orderRetryDelay = 250 * time.Millisecond // before an order without effect is repeated
	refusalBackoff  = 500 * time.Millisecond // no runs are started on a worker for this time after it refused one
)

// orderedRun returns the run that an answer refers to, or nil if the run isn't
// in the expected phase any more. It resigns if the worker fenced off the order.
func (s *Shard) orderedRun(e StartAnswered, phase runPhase) *run {
	w := s.workers[e.Worker]
	if w == nil {
		return nil
	}
	if e.Fault == Fenced {
		s.resign(w)
		return nil
	}
	r := w.runs[e.Task]
	if r == nil || r.number != e.Run || r.phase != phase || e.Incarnation != r.incarnation {
		return nil
	}
	if e.Fault != OutcomeUnknown && e.Fault != NotSent {
		s.congestion.answered(s.now, s.now.Sub(r.orderedAt), 0, false)
	}
	return r
}

// startAnswered handles the outcome of a start. After a refusal the task waits to
// be started again, and for a while no runs are started on the worker.
func (s *Shard) startAnswered(e StartAnswered) {
	r := s.orderedRun(e, starting)
	if r == nil {
		return
	}
	if e.Fault == NoFault {
		s.markActive(r)
		r.task.step.advice.started()
		return
	}
	s.emit(Log{
		Message: "run start failed", Task: e.Task.String(), Job: e.Task.Job, Worker: e.Worker, Run: e.Run,
		Reason: e.Fault.String(), Age: s.now.Sub(r.orderedAt),
	})
	if e.Fault == OutcomeUnknown {
		r.phase = startUnknown
		r.answeredAt = s.now
		r.worker.startUnanswered = true
		return
	}
	w, t := r.worker, r.task
	waitingSince, lostSince := t.waitingSince, t.lostSince
	if e.Fault == InvalidTicket && t.step.job.queue.Advice.Needed {
		t.step.rejectTicket(r, s.now)
	} else {
		w.avoidUntil = s.now.Add(refusalBackoff)
	}
	s.forgetRun(r, "start refused: "+e.Fault.String())
	t.notBefore = s.now.Add(orderRetryDelay)
	t.waitingSince, t.lostSince = waitingSince, lostSince // no run has interrupted the wait
	if e.Fault == WorkerRestarted {
		w.reported = false
	}
}

// stopAnswered handles the outcome of a stop. The run has ended once it is
// missing from an inventory that was requested later.
func (s *Shard) stopAnswered(e StopAnswered) {
	r := s.orderedRun(StartAnswered(e), stopping)
	if r == nil || e.Incarnation != r.worker.reg.Incarnation {
		return // an earlier incarnation has carried out the stop, and the present one doesn't know of it
	}
	if e.Fault == NoFault || e.Fault == StaleRun {
		r.answeredAt = s.now
	}
}

// stopRun orders the worker to stop a run.
func (s *Shard) stopRun(r *run, reason string) {
	switch r.phase {
	case stopping:
		return
	case preparing:
		s.removeRun(r)
		return
	}
	r.phase = stopping
	r.answeredAt = time.Time{}
	s.emit(Log{Message: "run stop ordered", Task: r.id.String(), Job: r.id.Job, Worker: r.worker.reg.ID, Run: r.number, Reason: reason})
	s.orderStop(r)
}

// orderStop sends a stop, also repeatedly.
func (s *Shard) orderStop(r *run) {
	r.orderedAt, r.incarnation = s.now, r.worker.reg.Incarnation
	s.emit(StopRun{Worker: r.worker.reg, Task: r.id, Run: r.number})
}

// retryStops repeats stops that got no answer.
func (s *Shard) retryStops(w *worker) {
	for _, r := range w.runs {
		if r.phase == stopping && r.answeredAt.IsZero() && s.now.Sub(r.orderedAt) >= orderRetryDelay && s.mayAct() {
			s.orderStop(r)
		}
	}
}

// stopDraining stops runs on a draining worker so that their tasks start elsewhere:
// long-running ones as soon as there is room, and checkpointing ones shortly
// before the worker leaves.
func (s *Shard) stopDraining(w *worker) {
	if !w.reg.Draining {
		return
	}
	for _, id := range sortedTasks(w.runs) {
		r := w.runs[id]
		if r.phase != active || r.task == nil {
			continue
		}
		spec := r.task.step.spec
		leavesSoon := spec.Checkpoint && w.reg.Remaining > 0 && w.reg.Remaining < checkpointNotice
		if (spec.LongRunning || leavesSoon) && s.hasRoom(r, anyWorker) {
			s.stopRun(r, "worker draining")
		}
	}
}

// checkpointNotice is how long before a worker leaves its runs are stopped so
// that they write a last checkpoint.
const checkpointNotice = 2500 * time.Millisecond
