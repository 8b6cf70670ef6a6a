package dispatcher

import "time"

// mayStart reports whether the task waits for a run and needn't wait for anything
// but a worker.
func (s *Shard) mayStart(t *task) bool {
	return !s.mayEarlierOwnerStart(t) && t.isSettled(s.now) && !s.hasOrphan(t)
}

// isSettled reports whether the task waits for a run, and what became of its last one is known
// and durable.
func (t *task) isSettled(now time.Time) bool {
	return t.isWaiting() && !now.Before(t.notBefore) && t.step.job.durable >= t.arrivalVersion && !t.hasOpenLoss() && !t.returns && !t.isExhausted()
}

// startRun begins a run of a task on a worker. It is ordered at once, unless the start
// has to be durable before.
func (s *Shard) startRun(t *task, w *worker, number int64) *run {
	t.runKnown = true
	t.triedShards = nil
	t.step.waiting--
	r := s.addNewRun(t, w, number)
	if isReserved := s.reserveRunNumber(t, number); t.step.mustPrepare(t) || !isReserved {
		s.prepareRun(r)
	} else {
		s.orderStart(r)
	}
	return r
}

// addNewRun adds a run of a task to a worker.
func (s *Shard) addNewRun(t *task, w *worker, number int64) *run {
	t.lastRun = number
	if !t.step.spec.LongRunning && t.step.needs.reserved.CPU > 0 {
		s.lastFiniteStart = s.now
	}
	isIsolated := t.needsIsolation() && !t.step.sharesWorkers && w.unprovenRuns() == 0
	r := &run{task: t, id: t.id(), worker: w, number: number, orderedAt: s.now, needs: t.step.needs, pace: full, isolated: isIsolated}
	w.addRun(r)
	if r.isFiller() && len(w.servingRuns) > 0 {
		w.newFillers = append(w.newFillers, r)
	}
	return r
}

// orderStart orders the worker to start a run.
func (s *Shard) orderStart(r *run) {
	t, w := r.task, r.worker
	r.phase, r.orderedAt, r.incarnation = starting, s.now, w.reg.Incarnation
	order := StartRun{
		Worker: w.reg, Task: t.id(), Run: r.number, Payload: t.step.job.spec.Payload, LeaseEnd: s.startLeaseEnd(w),
	}
	if t.step.spec.Checkpoint {
		order.Checkpoint = t.checkpoint
		r.clock.resumed = t.checkpoint != ""
	}
	order.Ticket, _ = t.step.ticketFor(w, s.now)
	s.emit(order)
	s.emit(Log{
		Message: "run start ordered", Task: order.Task.String(), Job: order.Task.Job, Worker: w.reg.ID, Run: r.number,
		Age: s.now.Sub(w.polledAt), Reason: s.describeBasis(t),
	})
}
