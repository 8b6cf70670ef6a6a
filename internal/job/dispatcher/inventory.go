package dispatcher

import (
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// pollAnswered applies a worker's inventory to the state.
func (s *Shard) pollAnswered(e PollAnswered) {
	w := s.workers[e.Worker]
	if w == nil {
		return
	}
	w.endsDelayed = w.failedPolls > 0
	s.congestion.answered(s.now, s.now.Sub(e.Sent), w.pollWait, len(e.Inventory.Ended) == 0)
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

// reconcile compares the runs that a worker lists with those that the shard
// expects there.
func (s *Shard) reconcile(w *worker, e PollAnswered) {
	listed := make(map[specifier.TaskID]int64, len(e.Inventory.Active))
	for _, a := range e.Inventory.Active {
		listed[a.Task] = a.Number
		s.reconcileRun(w, a, e.Sent)
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

// reconcileRun updates the state of one run that a worker lists in an inventory requested at sent.
func (s *Shard) reconcileRun(w *worker, listed specifier.Run, sent time.Time) {
	r := w.runs[listed.Task]
	switch {
	case r == nil:
		s.logUnexpected(Log{Message: "unexpected run found", Worker: w.reg.ID, Run: listed.Number}, listed.Task)
		s.adopt(w, listed, sent)
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
	if r.task != nil {
		s.noteActivity(r.task, sent)
	}
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

// adopt adds a run that this owner didn't start, listed in an inventory requested at sent, and
// stops it unless its task is waiting for one.
func (s *Shard) adopt(w *worker, listed specifier.Run, sent time.Time) {
	t := s.findTask(listed.Task)
	r := &run{id: listed.Task, worker: w, number: listed.Number, phase: active, listed: true, incarnation: w.reg.Incarnation, answeredAt: s.now, startedAt: s.now, progressedAt: s.now, progress: listed.ProgressPercent, metric: listed.Metric, pace: unknownPace}
	s.setNeeds(r)
	if t != nil {
		t.lastRun = max(t.lastRun, listed.Number)
	}
	if t == nil || t.done || t.elsewhere || t.worker != nil && !t.mayAdoptSecond() {
		s.addOrphan(r)
		return
	}
	r.task = t
	r.beginAdoptedClock(s.now)
	if loss := t.loss(listed.Number); loss != nil {
		r.isolated = loss.Isolated
	}
	isFirst := t.worker == nil
	t.adopted = true
	t.runKnown = t.runKnown || !t.mayHaveDuplicate()
	s.noteActivity(t, sent)
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
