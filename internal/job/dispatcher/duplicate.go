package dispatcher

// A task of a step that allows duplicates may have two runs, on different workers. One is
// that on task.worker, the first run, the other is task.duplicate. When the first run
// ends, the duplicate takes its place; the task waits for a new run only when it has none
// left. So all other code deals with the first run as with the only one.
//
// The end of one run is acknowledged only when the other one can't start any more: its
// worker has it, or it is gone. Otherwise a start that is carried out late might follow the
// acknowledged end. An earlier owner may have ordered a start as well, so that a new owner
// acknowledges such ends only when it knows all inherited runs.

// DuplicateStarted reports the start of a second run of a task.
type DuplicateStarted struct{}

// DuplicateWon reports that the second run of a task was done first.
type DuplicateWon struct{}

func (DuplicateStarted) effect() {}
func (DuplicateWon) effect()     {}

// mayHaveDuplicate reports whether the task may have two runs.
func (t *task) mayHaveDuplicate() bool {
	spec := t.step.spec
	return spec.AllowDuplicates && !spec.LongRunning && !spec.Gang
}

// mayAdoptSecond reports whether a further run that a worker lists is kept.
func (t *task) mayAdoptSecond() bool {
	return t.mayHaveDuplicate() && t.duplicate == nil && len(t.losses) == 0 && !t.returns
}

// mayHaveUnknownRun reports whether a worker that hasn't answered yet may have a second run
// of a task of which another one was adopted.
func (s *Shard) mayHaveUnknownRun(t *task) bool {
	return t.adopted && t.mayHaveDuplicate() && !s.knowsInheritedRuns()
}

// runs returns the runs that the task has, the first run first.
func (t *task) runs() []*run {
	var list []*run
	if t.worker != nil {
		if r := t.worker.runs[t.id()]; r != nil {
			list = append(list, r)
		}
	}
	if t.duplicate != nil {
		list = append(list, t.duplicate)
	}
	return list
}

// attach adds the run to its task.
func (r *run) attach() {
	if r.task.worker == nil {
		r.task.worker = r.worker
		return
	}
	r.task.duplicate = r
	r.isDuplicate = true
}

// detach removes a run that has ended from its task. The task waits for a new one if it
// has no other.
func (s *Shard) detach(r *run) {
	t := r.task
	switch {
	case t.duplicate == r:
		t.duplicate = nil
	case t.worker != r.worker:
		return
	case t.duplicate == nil:
		s.requeue(t)
		return
	default:
		t.worker, t.duplicate = t.duplicate.worker, nil
	}
	s.recordRemaining(t)
}

// recordRemaining adds an open loss for the remaining run of a task that has become suspect
// by the loss of the other one, as each start of a suspect task has one.
func (s *Shard) recordRemaining(t *task) {
	if !t.isSuspect() || t.done || t.step.job.final != "" {
		return
	}
	for _, r := range t.runs() {
		if t.loss(r.number) == nil {
			s.addLoss(r)
		}
	}
}

// stopRuns stops the runs of a task, without one on the worker except.
func (s *Shard) stopRuns(t *task, except *worker, reason string) {
	for _, r := range t.runs() {
		if r.worker != except {
			s.stopRun(r, reason)
		}
	}
}

// startDuplicate starts a second run of a task.
func (s *Shard) startDuplicate(t *task, w *worker) *run {
	r := s.addNewRun(t, w, t.nextRun(s.options.Epoch))
	if s.reserveRunNumber(t, r.number) {
		s.orderStart(r)
	} else {
		s.prepareRun(r)
	}
	s.emit(DuplicateStarted{})
	return r
}
