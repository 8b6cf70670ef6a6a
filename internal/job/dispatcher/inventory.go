package dispatcher

import (
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// Delays after refused orders and failed runs.
const (
	orderRetryDelay   = 250 * time.Millisecond // before an order without effect is repeated
	refusalBackoff    = 500 * time.Millisecond // no runs are started on a worker for this time after it refused one
	failureThreshold  = 3                      // a worker is avoided after this many failures in a row
	failureBackoff    = 2 * time.Second        // time to avoid it, doubled with each further failure
	maxFailureBackoff = 4 * time.Second
)

// pollAnswered applies a worker's inventory to the state.
func (s *Shard) pollAnswered(e PollAnswered) {
	w := s.workers[e.Worker]
	if w == nil {
		return
	}
	w.endsDelayed = w.failedPolls > 0
	s.congestion.answered(s.now, s.now.Sub(e.Sent), w.pollWait)
	if e.Inventory.Incarnation > w.reg.Incarnation {
		s.logRestart(w, e.Inventory.Incarnation, "inventory")
		s.resetWorker(w, e.Inventory.Incarnation)
		w.outdated = true
	}
	w.polling = false
	if w.replaced || e.Inventory.Incarnation != 0 && e.Inventory.Incarnation < w.reg.Incarnation {
		return
	}
	if w.failedPolls > 0 {
		s.refuteCrash(w)
		s.emit(Log{Message: "worker poll recovered", Worker: e.Worker})
	}
	if w.failedPolls > 0 || !w.reported {
		s.refuteLosses(w, e.Inventory.Clock)
	}
	if e.Inventory.Incarnation == w.reg.Incarnation {
		w.noteAcceptance(e.Sent)
	}
	s.applyInventory(w, e)
	s.acknowledge(w)
	w.nextPoll = s.now
	if len(w.pendingEnds) > 0 {
		w.nextPoll = s.now.Add(w.pendingEnds[0].pollDelay(s.haveInheritedAnswered()))
	}
	s.measureSpeeds(w)
	s.paceFillers(w)
	s.replaceStalled(w)
	s.poll(w)
}

// applyInventory applies the ends and runs that a worker lists. Its first inventory settles
// what earlier owners have started there.
func (s *Shard) applyInventory(w *worker, e PollAnswered) {
	isFirst := !w.reported
	w.failedPolls = 0
	w.startUnanswered = false
	w.reported = true
	s.reviewListing(w)
	w.noteClock(s.now, e.Inventory.Clock)
	w.grantedLeaseEnd = max(w.grantedLeaseEnd, w.pollLeaseEnd)
	w.confirmedAck = max(w.confirmedAck, w.pollAck)
	s.processEnds(w, e.Inventory.Ended)
	s.reconcile(w, e)
	if isFirst {
		w.proveInheritedRuns()
	}
	if !e.Inventory.MoreEnds && s.partlyListed[w.reg.ID] {
		delete(s.partlyListed, w.reg.ID)
		s.placementDue = true
	}
	if expiry, wasInherited := s.inheritedExpiry[w.reg.ID]; wasInherited {
		s.inheritLease(w, expiry)
		delete(s.inheritedExpiry, w.reg.ID)
		isFirstFence := s.noteFence(w, expiry)
		s.placementDue = true
		if e.Inventory.MoreEnds {
			s.partlyListed[w.reg.ID] = true
		}
		if isFirstFence && e.Inventory.Clock < recentStart {
			s.addCrash(workerCrash{worker: w.reg.ID, at: s.now}) // of an earlier incarnation
			s.inferLosses(w.reg.ID)
		}
	}
}

// noteClock records the worker's monotonic clock in an inventory that arrived at now. If the
// answer took long, the inventories before tell more about the clock.
func (w *worker) noteClock(now time.Time, clock time.Duration) {
	elapsed := now.Sub(w.polledAt)
	w.clockFloor = max(clock, w.clockFloor+elapsed-time.Duration(float64(elapsed)*maxClockDrift))
	if w.polledAt.IsZero() || clock < w.polledClock {
		w.clockFloor = clock // the first inventory, or an unnoticed restart
	}
	w.polledAt, w.polledClock = now, clock
}

// processEnds applies the ends that haven't been processed before.
func (s *Shard) processEnds(w *worker, ends []specifier.End) {
	for _, end := range ends {
		if end.Number <= w.lastEnd {
			continue
		}
		w.lastEnd = end.Number
		s.processEnd(w, end)
	}
}

// processEnd applies the end of one run and queues its acknowledgement.
func (s *Shard) processEnd(w *worker, end specifier.End) {
	r := w.runs[end.Task]
	if r == nil {
		s.logUnexpected(Log{Message: "unexpected end found", Worker: w.reg.ID, Run: end.Run}, end.Task)
	}
	t := s.findTask(end.Task)
	if r != nil && r.number <= end.Run {
		if r.number == end.Run && end.Outcome == specifier.OutcomeDone {
			s.observeSpeed(r)
		}
		s.observeEnd(r, end)
		if r.number == end.Run {
			s.noteEnd(r)
		}
		s.removeRun(r)
	}
	pending := s.newPendingEnd(w, end, r)
	if r != nil && end.Outcome == specifier.OutcomeDone {
		s.noteWinner(r)
	}
	if t != nil {
		t.lastRun = max(t.lastRun, end.Run)
		s.refuteLoss(t, end.Run)
		s.applyEnd(w, t, end)
	}
	pending.waitFor(s.jobs[end.Task.Job])
	w.pendingEnds = append(w.pendingEnds, pending)
	s.emit(Log{
		Message: "run ended", Task: end.Task.String(), Job: end.Task.Job, Worker: w.reg.ID,
		Run: end.Run, Reason: string(end.Outcome),
	})
}

// applyEnd updates a task after the end of one of its runs.
func (s *Shard) applyEnd(w *worker, t *task, end specifier.End) {
	switch end.Outcome {
	case specifier.OutcomeDone:
		w.failuresInRow = 0
		s.applyCompletion(w, t)
	case specifier.OutcomeFailed:
		s.countFailure(w)
		s.failTask(t, w, end.Run)
	default:
		if end.Checkpoint != "" && end.Checkpoint != t.checkpoint {
			t.setCheckpoint(end.Checkpoint, s.now)
			s.markDirty(t.step.job)
		}
	}
}

// applyCompletion updates a task of which a run is done.
func (s *Shard) applyCompletion(w *worker, t *task) {
	switch {
	case t.step.spec.LongRunning || t.elsewhere:
	case s.isPart(t.step.job):
		t.completedHere = true
		s.returnTask(t)
	default:
		s.completeWithGang(w, t)
	}
}

// completeWithGang completes a task and the other tasks of its gang. A run of a
// task without a gang that is still on another worker is stopped.
func (s *Shard) completeWithGang(w *worker, t *task) {
	members := []*task{t}
	if t.step.spec.Gang {
		members = t.step.tasks
	}
	for _, m := range members {
		if m.done {
			continue
		}
		if !t.step.spec.Gang {
			s.stopRuns(m, w, "completed elsewhere")
		}
		s.completeTask(m)
	}
}

// countFailure counts a failed run. A worker on which several runs in a row
// have failed is avoided for a while.
func (s *Shard) countFailure(w *worker) {
	w.failuresInRow++
	if w.failuresInRow < failureThreshold {
		return
	}
	wait := min(failureBackoff<<min(w.failuresInRow-failureThreshold, 3), maxFailureBackoff)
	if s.avoid(w, wait) {
		s.emit(Log{Message: "worker avoided after failed runs", Worker: w.reg.ID, Age: wait})
	}
}

// reconcile compares the runs that a worker lists with those that the shard
// expects there.
func (s *Shard) reconcile(w *worker, e PollAnswered) {
	listed := make(map[specifier.TaskID]int64, len(e.Inventory.Active))
	for _, a := range e.Inventory.Active {
		listed[a.Task] = a.Number
		s.reconcileRun(w, a)
	}
	if e.Inventory.MoreEnds {
		return // the ends of missing runs may follow
	}
	for _, id := range sortedTasks(w.runs) {
		r := w.runs[id]
		if r == nil {
			continue // its job has ended with the run before it
		}
		if number, ok := listed[id]; ok && number >= r.number {
			continue
		}
		s.handleMissingRun(r, e.Sent)
	}
}

// reconcileRun updates the state of one run that a worker lists.
func (s *Shard) reconcileRun(w *worker, listed specifier.Run) {
	r := w.runs[listed.Task]
	switch {
	case r == nil:
		s.logUnexpected(Log{Message: "unexpected run found", Worker: w.reg.ID, Run: listed.Number}, listed.Task)
		s.adopt(w, listed)
		return
	case listed.Number < r.number:
		s.emit(StopRun{Worker: w.reg, Task: listed.Task, Run: listed.Number})
		return
	}
	if r.phase == startUnknown {
		s.emit(Log{
			Message: "run found after an unanswered start", Task: r.id.String(), Job: r.id.Job, Worker: w.reg.ID, Run: r.number,
			Age: s.now.Sub(r.orderedAt),
		})
	}
	if r.phase == starting || r.phase == startUnknown {
		s.markActive(r)
	}
	s.settle(r)
	r.noteProgress(s.now, listed.ProgressPercent)
	if r.progress != listed.ProgressPercent {
		r.progressedAt = s.now
	}
	r.progress = listed.ProgressPercent
	r.metric = listed.Metric
	s.noteReadiness(r)
	if r.task != nil && listed.Checkpoint != "" {
		r.task.setCheckpoint(listed.Checkpoint, s.now)
	}
}

// markActive records that the worker has the run.
func (s *Shard) markActive(r *run) {
	r.phase = active
	r.answeredAt = s.now
	r.startedAt = s.now
	r.progressedAt = s.now
	r.beginClock(s.now)
	s.noteDuplicable(r)
	if r.startsSlowly && r.pace > slowStartPace {
		s.setPace(r, slowStartPace)
	}
	if j := r.task.step.job; !j.started {
		j.started = true
		s.markDirty(j)
	}
}

// adopt adds a run that this owner didn't start, and stops it unless its task
// is waiting for one.
func (s *Shard) adopt(w *worker, listed specifier.Run) {
	t := s.findTask(listed.Task)
	r := &run{id: listed.Task, worker: w, number: listed.Number, phase: active, listed: true, incarnation: w.reg.Incarnation, answeredAt: s.now, startedAt: s.now, progressedAt: s.now, progress: listed.ProgressPercent, metric: listed.Metric, pace: unknownPace}
	s.setNeeds(r)
	if t != nil {
		t.lastRun = max(t.lastRun, listed.Number)
	}
	if t == nil || t.done || t.elsewhere || t.worker != nil && !t.mayAdoptSecond() {
		w.addRun(r)
		s.stopRun(r, "task needs no run")
		return
	}
	r.task = t
	r.beginAdoptedClock(s.now)
	if loss := t.loss(listed.Number); loss != nil {
		r.isolated = loss.Isolated
	}
	isFirst := t.worker == nil
	t.adopted = true
	t.allRunsKnown = t.allRunsKnown || !t.mayHaveDuplicate()
	if isFirst {
		t.step.waiting--
	}
	t.step.job.started = true
	if listed.Checkpoint != "" {
		t.setCheckpoint(listed.Checkpoint, s.now)
	}
	w.addRun(r)
	s.noteDuplicable(r)
	s.noteReadiness(r)
	reason := ""
	if !isFirst {
		reason = "second run of the task"
	}
	s.emit(Log{Message: "run adopted", Task: listed.Task.String(), Job: listed.Task.Job, Worker: w.reg.ID, Run: listed.Number, Reason: reason})
}

// setNeeds sets what a listed run needs, also if its job has a final state.
func (s *Shard) setNeeds(r *run) {
	j := s.jobs[r.id.Job]
	if j == nil {
		r.unknown = true
		return
	}
	if t := j.task(r.id); t != nil {
		r.needs = t.step.needs
	}
}

// handleMissingRun handles a run that is missing from an inventory requested at
// sent. An inventory requested before the last order was answered proves nothing,
// since the worker may have made it before it executed the order.
func (s *Shard) handleMissingRun(r *run, sent time.Time) {
	if r.answeredAt.IsZero() || !sent.After(r.answeredAt) {
		return
	}
	switch {
	case r.phase == starting:
	case r.phase == startUnknown:
		// The start may still arrive. After a stop the worker refuses it.
		s.stopRun(r, "start outcome unknown")
	case r.unsettled != nil:
		s.loseUnsettled(r)
	case r.phase == stopping:
		s.forgetRun(r, "not listed after its stop")
	default:
		s.emit(Log{Message: "run lost", Task: r.id.String(), Job: r.id.Job, Worker: r.worker.reg.ID, Run: r.number})
		s.forgetRun(r, "not listed")
	}
}

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
		s.congestion.answered(s.now, s.now.Sub(r.orderedAt), 0)
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
