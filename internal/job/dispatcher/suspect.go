package dispatcher

import (
	"slices"
	"strconv"
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// dropLosses removes the losses of a task for which match returns true.
func (s *Shard) dropLosses(t *task, match func(*recorder.Loss) bool) {
	before := len(t.losses)
	t.losses = slices.DeleteFunc(t.losses, func(l recorder.Loss) bool { return match(&l) })
	if len(t.losses) == before {
		return
	}
	if t.step.job.final == "" {
		s.markDirty(t.step.job)
	}
	if len(t.losses) == 0 {
		delete(s.suspects, t.id())
		t.emptying = nil
	}
}

// dropOpenLoss removes the open loss of a run that has ended, but not with its worker.
func (s *Shard) dropOpenLoss(t *task, run int64) {
	if len(t.losses) > 0 {
		s.dropLosses(t, func(l *recorder.Loss) bool { return l.Open && l.Run == run })
	}
}

// refuteLoss removes the loss of a run of which the worker has listed an end.
func (s *Shard) refuteLoss(t *task, run int64) {
	if len(t.losses) > 0 {
		s.dropLosses(t, func(l *recorder.Loss) bool { return l.Run == run })
	}
}

// refuteLosses removes the losses on a worker that has answered: it hasn't crashed. clock
// is the time since the worker's start.
func (s *Shard) refuteLosses(w *worker, clock time.Duration) {
	for _, id := range sortedSuspects(s.suspects) {
		t := s.suspects[id]
		before := len(t.losses)
		s.dropLosses(t, func(l *recorder.Loss) bool {
			isSame := l.Incarnation == w.reg.Incarnation || l.Run == 0 && clock >= recentStart
			return !l.Open && l.Worker == w.reg.ID && isSame
		})
		if len(t.losses) < before {
			s.emit(Log{Message: "suspicion refuted", Task: id.String(), Job: id.Job, Worker: w.reg.ID, Reason: "the worker has answered"})
		}
	}
}

// inferLosses makes tasks suspect that an earlier owner may have started on a worker that
// is gone. Which tasks it has started there isn't durable, so this applies to all that wait
// without a loss; a task gets no second loss in this way.
func (s *Shard) inferLosses(worker string) {
	n := 0
	for _, st := range s.waitingSteps {
		for _, t := range st.tasks {
			if t.isWaiting() && !t.hasKnownRuns() && len(t.losses) == 0 {
				t.losses = append(t.losses, recorder.Loss{Worker: worker, Correlated: s.isInheritedCorrelated(t, worker)})
				s.suspects[t.id()] = t
				n++
			}
		}
	}
	if n > 0 {
		s.emit(Log{Message: "tasks suspected of crashing an earlier owner's worker", Worker: worker, Reason: strconv.Itoa(n) + " tasks"})
	}
}

// hasKnownRuns reports whether this owner has had the task from the start, or known a run of it
// beside which there was no other one.
func (t *task) hasKnownRuns() bool { return (t.runKnown || t.proof != noProof) && !t.failuresUnknown }

// settleLosses decides what became of the runs of a waiting task that an earlier owner
// has recorded. All workers that may have one have answered or their leases have expired.
func (s *Shard) settleLosses(t *task) {
	s.dropLosses(t, func(l *recorder.Loss) bool {
		w := s.workers[l.Worker]
		return l.Open && w != nil && w.reported && w.reg.Incarnation == l.Incarnation
	})
	for i := range t.losses {
		if l := &t.losses[i]; l.Open {
			l.Open = false
			l.Correlated = s.isInheritedCorrelated(t, l.Worker)
			s.markDirty(t.step.job)
			s.logLoss(t, l, 0) // the crashes that an earlier owner has seen aren't known
		}
	}
	s.failIfExhausted(t)
}

// restoreLosses sets the losses of a task from a record.
func (s *Shard) restoreLosses(t *task, losses []recorder.Loss) {
	t.losses = slices.Clone(losses)
	if len(losses) == 0 {
		delete(s.suspects, t.id())
		return
	}
	s.suspects[t.id()] = t
}

// reviewSuspects does what is due for suspect tasks.
func (s *Shard) reviewSuspects() {
	for _, id := range sortedSuspects(s.suspects) {
		t := s.suspects[id]
		j := t.step.job
		if t.done || j.final != "" || s.jobs[id.Job] != j {
			delete(s.suspects, id)
			continue
		}
		switch {
		case t.worker == nil:
			if !t.elsewhere && !s.mayEarlierOwnerStart(t) {
				s.settleLosses(t)
			}
		case t.worker.runs[id] != nil && t.worker.runs[id].proven:
			s.dropLosses(t, func(*recorder.Loss) bool { return true })
			s.emit(Log{Message: "suspicion refuted", Task: id.String(), Job: id.Job, Worker: t.worker.reg.ID, Reason: "the task runs"})
		}
	}
}

// failIfExhausted ends the job of a task that has reached a limit of losses. If another
// shard keeps the job's state, the task goes back there.
func (s *Shard) failIfExhausted(t *task) {
	j := t.step.job
	if !t.isExhausted() || j.final != "" || t.elsewhere {
		return
	}
	switch {
	case !s.isPart(j):
		s.endJob(j, specifier.Failed, "workers crashed under a task")
	case t.worker == nil:
		s.returnTask(t)
	}
}

// sortedSuspects returns the sorted ids of suspect tasks.
func sortedSuspects(m map[specifier.TaskID]*task) []specifier.TaskID {
	ids := make([]specifier.TaskID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, compareTasks)
	return ids
}
