package dispatcher

import (
	"fmt"
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// pendingEnd is the end of a run that isn't acknowledged to the worker yet. What the end has
// changed may be part of an earlier change: of the end of the job, or of the same end when the
// worker listed it before. So it waits for the job's state as a whole.
type pendingEnd struct {
	specifier.End

	job        *job  // job of the run, or nil if the shard doesn't have it
	jobVersion int64 // version of the job that has to be durable first

	others    []*run // other runs of the task when the end was processed, see duplicate.go
	inherited bool   // an earlier owner may have ordered another run of the task
}

// acknowledge advances ackedEnd over the ends whose changes are durable and after which
// no other run of the task can start. The next poll tells the worker.
func (s *Shard) acknowledge(w *worker) {
	inheritedAnswered := s.haveInheritedAnswered()
	durable, unknown := 0, 0
	for i := range w.pendingEnds {
		end := &w.pendingEnds[i]
		if !end.isDurable() || end.mayStillStart(inheritedAnswered) {
			break
		}
		w.ackedEnd = end.Number
		if end.job != nil {
			durable++
			continue
		}
		unknown++
		s.logUnknown(w, end)
	}
	if durable+unknown == 0 {
		return
	}
	w.pendingEnds = w.pendingEnds[durable+unknown:]
	s.emit(Log{
		Message: "ends acknowledged", Worker: w.reg.ID,
		Reason: fmt.Sprintf("up to %d: %d of durable jobs, %d of jobs not known", w.ackedEnd, durable, unknown),
	})
}

// waitFor makes the acknowledgement wait until the state that the job has now is durable.
func (e *pendingEnd) waitFor(j *job) {
	if j == nil {
		return
	}
	e.job, e.jobVersion = j, j.version
}

// isDurable reports whether the job's state after the end is durable.
func (e *pendingEnd) isDurable() bool { return e.job == nil || e.job.durable >= e.jobVersion }

// logUnknown logs an end of a job that the shard doesn't have. Such an end waits for no commit.
func (s *Shard) logUnknown(w *worker, end *pendingEnd) {
	reason := "job not known"
	if _, ended := s.ended[end.Task.Job]; ended {
		reason = "end of the job durable"
	}
	s.emit(Log{
		Message: "end of an unknown job acknowledged", Task: end.Task.String(), Job: end.Task.Job, Worker: w.reg.ID,
		Run: end.Run, Reason: string(end.Outcome) + ", " + reason,
	})
}

// describePendingEnds returns how many ends aren't acknowledged, for logs; empty without any.
func (w *worker) describePendingEnds() string {
	if len(w.pendingEnds) == 0 {
		return ""
	}
	return fmt.Sprintf("%d ends not acknowledged", len(w.pendingEnds))
}

// newPendingEnd returns the end of a run for its acknowledgement. r is the run, or nil if
// it wasn't known any more.
func (s *Shard) newPendingEnd(w *worker, end specifier.End, r *run) pendingEnd {
	pending := pendingEnd{End: end}
	var t *task
	if r != nil {
		t = r.task
	}
	if j := s.jobs[end.Task.Job]; j != nil && t == nil {
		t = j.task(end.Task)
	}
	switch {
	case t == nil:
		pending.inherited = s.options.Epoch > 0
	case t.mayHaveDuplicate():
		pending.inherited = t.step.job.arrivedAt.IsZero()
		for _, other := range t.runs() {
			if other.worker != w {
				pending.others = append(pending.others, other)
			}
		}
	}
	return pending
}

// mayStillStart reports whether another run of the task may start after the end.
func (e *pendingEnd) mayStillStart(inheritedAnswered bool) bool {
	if e.inherited && !inheritedAnswered {
		return true
	}
	for _, r := range e.others {
		if r.worker.runs[r.id] == r && r.startedAt.IsZero() {
			return true
		}
	}
	return false
}

// pollDelay returns the delay until the next poll of a worker whose oldest end that isn't
// acknowledged is e. Other runs take longer to become known than commits.
func (e *pendingEnd) pollDelay(inheritedAnswered bool) time.Duration {
	if e.mayStillStart(inheritedAnswered) {
		return pollRetryDelay
	}
	return pendingPollDelay
}
