package dispatcher

import (
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// Times of orders and faults.
const (
	orderRetry  = 250 * time.Millisecond // until a stop without an answer is ordered again
	refusedWait = 500 * time.Millisecond // without starts, after a worker refused one
	faultLimit  = 3                      // failed runs in a row before a worker is avoided
	faultWait   = 2 * time.Second        // for which it is avoided, doubled with each further one
	faultMost   = 4 * time.Second
)

// held takes in a worker's inventory.
func (s *Shard) held(e PollAnswered) {
	w := s.workers[e.Worker]
	if w == nil {
		return
	}
	w.holding = false
	if e.Inventory.Incarnation > w.reg.Incarnation {
		s.rebirth(w, e.Inventory.Incarnation)
		w.holding = false
	}
	if e.Inventory.Incarnation != 0 && e.Inventory.Incarnation < w.reg.Incarnation {
		return
	}
	if w.failing > 0 {
		s.emit(Log{Message: "worker answers again", Worker: e.Worker})
	}
	w.failing = 0
	w.synced = true
	s.unnamed = s.unnamed || !w.named
	w.answered = s.now
	w.clock = e.Inventory.Clock
	s.takeEnds(w, e.Inventory.Ended)
	s.takeActive(w, e)
	if _, was := s.inherited[w.reg.ID]; was {
		delete(s.inherited, w.reg.ID)
		s.changed = true
	}
	w.acknowledge()
	w.next = s.now
	if len(w.ends) > 0 {
		w.next = s.now.Add(endPause)
	}
	s.pace(w)
	s.replaceStalled(w)
	s.hold(w)
}

// takeEnds takes in the ends that are new.
func (s *Shard) takeEnds(w *worker, ends []specifier.End) {
	for _, end := range ends {
		if end.Number <= w.seen {
			continue
		}
		w.seen = end.Number
		s.takeEnd(w, end)
	}
}

func (s *Shard) takeEnd(w *worker, end specifier.End) {
	r := w.runs[end.Task]
	t := s.find(end.Task)
	if r != nil && r.number <= end.Run {
		s.drop(r)
	}
	pending := pendingEnd{number: end.Number}
	if t != nil {
		t.number = max(t.number, end.Run)
		if s.applyEnd(w, t, end) {
			pending.job = t.step.job
			pending.version = t.step.job.version
		}
	}
	w.ends = append(w.ends, pending)
	s.emit(Log{
		Message: "run ended", Task: end.Task.String(), Job: end.Task.Job, Worker: w.reg.ID,
		Run: end.Run, Reason: string(end.Outcome),
	})
}

// applyEnd changes the task by the end of one of its runs. It reports whether
// the change has to be durable before the end is acknowledged.
func (s *Shard) applyEnd(w *worker, t *task, end specifier.End) bool {
	switch end.Outcome {
	case specifier.OutcomeDone:
		w.faults = 0
		if t.step.spec.Lasting {
			return false
		}
		s.completeAll(w, t)
		return true
	case specifier.OutcomeFailed:
		s.suspect(w)
		s.fail(t, w, end.Run)
		return true
	}
	if end.Checkpoint != "" && end.Checkpoint != t.checkpoint {
		t.checkpoint = end.Checkpoint
		s.touch(t.step.job)
		return true
	}
	return false
}

// completeAll completes a task, and with it the other members of its gang.
func (s *Shard) completeAll(w *worker, t *task) {
	members := []*task{t}
	if t.step.spec.Gang {
		members = t.step.tasks
	}
	for _, m := range members {
		if m.done {
			continue
		}
		if other := m.worker; other != nil && other != w {
			if r := other.runs[m.id()]; r != nil && !t.step.spec.Gang {
				s.stopRun(r, "completed elsewhere")
			}
		}
		s.complete(m)
	}
}

// suspect avoids a worker for a while on which one run after the other fails.
func (s *Shard) suspect(w *worker) {
	w.faults++
	if w.faults < faultLimit {
		return
	}
	wait := min(faultWait<<min(w.faults-faultLimit, 3), faultMost)
	w.avoided = s.now.Add(wait)
	s.emit(Log{Message: "worker avoided: its runs fail", Worker: w.reg.ID, Age: wait})
}

// takeActive compares the runs that a worker lists with those it should have.
func (s *Shard) takeActive(w *worker, e PollAnswered) {
	listed := make(map[specifier.TaskID]int64, len(e.Inventory.Active))
	for _, a := range e.Inventory.Active {
		listed[a.Task] = a.Number
		s.takeRun(w, a)
	}
	for _, id := range sortedTasks(w.runs) {
		r := w.runs[id]
		if number, ok := listed[id]; ok && number >= r.number {
			continue
		}
		s.takeAbsence(r, e.Sent)
	}
}

// takeRun takes in one run that a worker lists.
func (s *Shard) takeRun(w *worker, a specifier.Run) {
	r := w.runs[a.Task]
	switch {
	case r == nil:
		s.adopt(w, a)
		return
	case a.Number < r.number:
		s.emit(StopRun{Worker: w.reg, Task: a.Task, Run: a.Number})
		return
	}
	if r.phase == starting || r.phase == unsettled {
		s.begin(r)
	}
	if r.percent != a.ProgressPercent {
		r.moved = s.now
	}
	r.percent = a.ProgressPercent
	r.figure = a.Metric
	if r.task != nil && a.Checkpoint != "" {
		r.task.checkpoint = a.Checkpoint
	}
}

// begin takes in that a run is on its worker.
func (s *Shard) begin(r *run) {
	r.phase = active
	r.settled = s.now
	r.begun = s.now
	r.moved = s.now
	if j := r.task.step.job; !j.begun {
		j.begun = true
		s.touch(j)
	}
}

// adopt books a run that this owner did not start, or stops it if its task
// has no use for it.
func (s *Shard) adopt(w *worker, a specifier.Run) {
	t := s.find(a.Task)
	r := &run{id: a.Task, worker: w, number: a.Number, phase: active, settled: s.now, begun: s.now, moved: s.now, percent: a.ProgressPercent, figure: a.Metric, pace: unknownPace}
	if t != nil {
		r.needs = t.step.needs
		t.number = max(t.number, a.Number)
	} else if j := s.jobs[a.Task.Job]; j != nil {
		if ended := j.task(a.Task); ended != nil {
			r.needs = ended.step.needs
		}
	} else {
		r.strange = true
	}
	if t == nil || t.done || t.worker != nil {
		w.add(r)
		s.stopRun(r, "not wanted")
		return
	}
	r.task = t
	t.located, t.watched, t.adopted = true, true, true
	t.step.waiting--
	t.step.job.begun = true
	if a.Checkpoint != "" {
		t.checkpoint = a.Checkpoint
	}
	w.add(r)
	s.emit(Log{Message: "run taken over", Task: a.Task.String(), Job: a.Task.Job, Worker: w.reg.ID, Run: a.Number})
}

// takeAbsence decides on a run that an inventory asked for at sent lacks.
func (s *Shard) takeAbsence(r *run, sent time.Time) {
	if r.settled.IsZero() || !sent.After(r.settled) {
		return
	}
	switch r.phase {
	case starting:
	case unsettled:
		// It may still come. After the stop the worker refuses it.
		s.stopRun(r, "start not answered")
	case active:
		s.emit(Log{Message: "run lost", Task: r.id.String(), Job: r.id.Job, Worker: r.worker.reg.ID, Run: r.number})
		s.drop(r)
	case stopping:
		s.drop(r)
	}
}

// acknowledge moves the mark of durable ends.
func (w *worker) acknowledge() {
	n := 0
	for _, end := range w.ends {
		if end.job != nil && end.job.durable < end.version {
			break
		}
		w.observed = end.number
		n++
	}
	if n > 0 {
		w.ends = w.ends[n:]
	}
}

// answeredRun returns the run that the answer to an order is about, or nil if
// the run is no longer in the phase that it was ordered in.
func (s *Shard) answeredRun(e StartAnswered, phase runPhase) *run {
	w := s.workers[e.Worker]
	if w == nil {
		return nil
	}
	if e.Fault == Fenced {
		s.resign(w)
		return nil
	}
	r := w.runs[e.Task]
	if r == nil || r.number != e.Run || r.phase != phase || e.Incarnation != w.reg.Incarnation {
		return nil
	}
	return r
}

func (s *Shard) startAnswered(e StartAnswered) {
	r := s.answeredRun(e, starting)
	if r == nil {
		return
	}
	if e.Fault == NoFault {
		s.begin(r)
		return
	}
	s.emit(Log{
		Message: "start not done", Task: e.Task.String(), Job: e.Task.Job, Worker: e.Worker, Run: e.Run,
		Reason: e.Fault.String(), Age: s.now.Sub(r.ordered),
	})
	if e.Fault == OutcomeUnknown {
		r.phase = unsettled
		r.settled = s.now
		return
	}
	w := r.worker
	r.task.later = s.now.Add(orderRetry)
	w.avoided = s.now.Add(refusedWait)
	s.drop(r)
	if e.Fault == WorkerRestarted {
		w.synced = false
	}
}

func (s *Shard) stopAnswered(e StopAnswered) {
	r := s.answeredRun(StartAnswered(e), stopping)
	if r == nil {
		return
	}
	if e.Fault == NoFault || e.Fault == StaleRun {
		r.settled = s.now
	}
}

// stopRun orders the end of a run.
func (s *Shard) stopRun(r *run, reason string) {
	if r.phase == stopping {
		return
	}
	r.phase = stopping
	r.settled = time.Time{}
	s.emit(Log{Message: "stop ordered", Task: r.id.String(), Job: r.id.Job, Worker: r.worker.reg.ID, Run: r.number, Reason: reason})
	s.orderStop(r)
}

func (s *Shard) orderStop(r *run) {
	r.ordered = s.now
	s.emit(StopRun{Worker: r.worker.reg, Task: r.id, Run: r.number})
}

// settleRuns repeats the stops that had no answer.
func (s *Shard) settleRuns(w *worker) {
	for _, r := range w.runs {
		if r.phase == stopping && r.settled.IsZero() && s.now.Sub(r.ordered) >= orderRetry && s.mayAct() {
			s.orderStop(r)
		}
	}
}

// evacuate moves tasks off a worker that leaves, while it still runs them.
func (s *Shard) evacuate(w *worker) {
	if !w.reg.Draining {
		return
	}
	for _, id := range sortedTasks(w.runs) {
		r := w.runs[id]
		if r.phase != active || r.task == nil {
			continue
		}
		spec := r.task.step.spec
		leaves := spec.Checkpoint && w.reg.Remaining > 0 && w.reg.Remaining < checkpointNotice
		if (spec.Lasting || leaves) && s.hasRoom(r, anyWorker) {
			s.stopRun(r, "worker leaves")
		}
	}
}

// checkpointNotice is how long before a worker leaves its tasks are stopped
// for a last checkpoint.
const checkpointNotice = 2500 * time.Millisecond
