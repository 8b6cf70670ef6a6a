package dispatcher

import (
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// Delays after failed runs.
const (
	failureThreshold  = 3               // a worker is avoided after this many failures in a row
	failureBackoff    = 2 * time.Second // time to avoid it, doubled with each further failure
	maxFailureBackoff = 4 * time.Second
)

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
		Run: end.Run, Reason: string(end.Outcome), Age: s.now.Sub(w.pollSent),
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
