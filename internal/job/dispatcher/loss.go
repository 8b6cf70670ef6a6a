package dispatcher

import (
	"slices"
	"strconv"
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// A task may crash the workers that run it. A crashed worker lists no ends, and nothing
// says which of its runs was to blame, or whether any was. So a run that is lost with its
// worker is a loss of its task, and a task with losses is suspect:
//
//   - Its starts are durable before they are ordered, so that no owner forgets one.
//   - It isn't started beside another suspect task if there is room elsewhere.
//   - After some losses it is started in isolation: see isolation.go. A worker that
//     crashes then has only this run to blame.
//   - After some isolated losses its job fails.
//
// A worker may seem to have crashed that was only cut off. When it answers again, the
// losses on it are refuted.

const (
	isolationLosses   = 2               // losses after which a task is started in isolation
	maxIsolatedLosses = 2               // isolated losses after which its job fails
	provenTime        = 5 * time.Second // a long-running task that has been ready for this time hasn't crashed its worker

	// recentStart is the time since its start up to which a worker may have been started
	// again under the last owner.
	recentStart = 20 * time.Second
)

// LossCause is why runs ended without an end that their worker lists.
type LossCause uint8

// Causes of lost runs.
const (
	LossRestart      LossCause = iota // another incarnation of the worker runs
	LossDeparture                     // the worker was draining and has left
	LossUnregistered                  // the worker is no longer registered, and its leases have expired
	LossSilence                       // the worker is registered but doesn't answer, and its leases have expired
	LossCauses                        // number of causes
)

// String returns the text of the cause in logs and metrics.
func (c LossCause) String() string {
	return [...]string{"restarted", "left", "unregistered", "silent"}[c]
}

// RunsLost reports runs that were lost together with their worker.
type RunsLost struct {
	Worker string
	Cause  LossCause
	Runs   int
}

func (RunsLost) effect() {}

// lossCause returns why the runs of a worker are lost whose leases have expired.
func (w *worker) lossCause() LossCause {
	switch {
	case w.reg.Draining:
		return LossDeparture
	case !w.unregisteredAt.IsZero():
		return LossUnregistered
	}
	return LossSilence
}

// loseRuns removes all runs of a worker, which have ended with it, and requeues
// their tasks.
func (s *Shard) loseRuns(w *worker, cause LossCause) {
	if len(w.runs) == 0 {
		return
	}
	s.emit(RunsLost{Worker: w.reg.ID, Cause: cause, Runs: len(w.runs)})
	var suspects []*task
	for _, id := range sortedTasks(w.runs) {
		r := w.runs[id]
		s.emit(Log{
			Message: "run lost with its worker", Task: r.id.String(), Job: r.id.Job, Worker: w.reg.ID, Run: r.number,
			Reason: cause.String(), Age: s.ageOf(r),
		})
		if cause != LossDeparture && r.mayHaveCrashed() {
			s.countLoss(r)
			suspects = append(suspects, r.task)
		}
		s.removeRun(r)
	}
	for _, t := range suspects {
		s.giveUpIfDeadly(t)
	}
}

// ageOf returns how long ago the run was known to have begun, or was ordered.
func (s *Shard) ageOf(r *run) time.Duration {
	if !r.startedAt.IsZero() {
		return s.now.Sub(r.startedAt)
	}
	return s.now.Sub(r.orderedAt)
}

// mayHaveCrashed reports whether the run may have crashed its worker.
func (r *run) mayHaveCrashed() bool {
	if r.task == nil || r.phase == preparing || r.task.done || r.task.step.job.final != "" {
		return false
	}
	return !r.isProven()
}

// isProven reports whether the run has gone on for so long that it doesn't crash its
// worker: it is long-running, and had been ready when the worker last answered.
func (r *run) isProven() bool {
	ready := r.phase == active && r.progress >= full
	return ready && r.task != nil && r.task.step.spec.LongRunning && r.worker.polledAt.Sub(r.startedAt) >= provenTime
}

// countLoss adds a loss to the task of a run.
func (s *Shard) countLoss(r *run) {
	t := r.task
	loss := t.loss(r.number)
	if loss == nil {
		loss = s.addLoss(r)
	}
	loss.Open = false
	s.markDirty(t.step.job)
	s.emit(Log{Message: "task suspected of crashing its worker", Task: t.id().String(), Job: r.id.Job, Worker: r.worker.reg.ID, Run: r.number, Reason: lossText(loss)})
}

func lossText(loss *recorder.Loss) string {
	if loss.Isolated {
		return "in isolation"
	}
	return "beside others"
}

// addLoss records an open loss of a run, which may still be active.
func (s *Shard) addLoss(r *run) *recorder.Loss {
	t := r.task
	t.losses = append(t.losses, recorder.Loss{
		Run: r.number, Worker: r.worker.reg.ID, Incarnation: r.worker.reg.Incarnation, Isolated: r.isolated, Open: true,
	})
	s.suspects[t.id()] = t
	s.markDirty(t.step.job)
	return &t.losses[len(t.losses)-1]
}

// loss returns the loss of the run with a number, or nil.
func (t *task) loss(run int64) *recorder.Loss {
	i := slices.IndexFunc(t.losses, func(l recorder.Loss) bool { return l.Run == run })
	if i < 0 {
		return nil
	}
	return &t.losses[i]
}

// lossCount returns the number of losses, without open ones.
func (t *task) lossCount() int {
	n := 0
	for i := range t.losses {
		if !t.losses[i].Open {
			n++
		}
	}
	return n
}

// hasOpenLoss reports whether it isn't known yet what became of a run of the task.
func (t *task) hasOpenLoss() bool { return t.lossCount() < len(t.losses) }

// isolatedLosses returns the number of isolated losses, without open ones.
func (t *task) isolatedLosses() int {
	n := 0
	for i := range t.losses {
		if l := &t.losses[i]; l.Isolated && !l.Open {
			n++
		}
	}
	return n
}

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
			if t.isWaiting() && !t.allRunsKnown && len(t.losses) == 0 {
				t.losses = append(t.losses, recorder.Loss{Worker: worker})
				s.suspects[t.id()] = t
				n++
			}
		}
	}
	if n > 0 {
		s.emit(Log{Message: "tasks suspected of crashing an earlier owner's worker", Worker: worker, Reason: strconv.Itoa(n) + " tasks"})
	}
}

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
			s.markDirty(t.step.job)
			s.emit(Log{Message: "task suspected of crashing its worker", Task: t.id().String(), Job: t.step.job.spec.ID, Worker: l.Worker, Run: l.Run, Reason: lossText(l)})
		}
	}
	s.giveUpIfDeadly(t)
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
			if !t.elsewhere && (t.allRunsKnown || s.knowsInheritedRuns()) {
				s.settleLosses(t)
			}
		case t.worker.runs[id] != nil && t.worker.runs[id].isProven():
			s.dropLosses(t, func(*recorder.Loss) bool { return true })
			s.emit(Log{Message: "suspicion refuted", Task: id.String(), Job: id.Job, Worker: t.worker.reg.ID, Reason: "the task runs"})
		}
	}
}

// giveUpIfDeadly ends the job of a task that crashes its workers. If another shard keeps
// the job's state, the task goes back there.
func (s *Shard) giveUpIfDeadly(t *task) {
	j := t.step.job
	if t.isolatedLosses() < maxIsolatedLosses || j.final != "" || t.elsewhere {
		return
	}
	switch {
	case !s.isPart(j):
		s.endJob(j, specifier.Failed, "workers crashed under a task")
	case t.worker == nil:
		s.handOver(t, j.home)
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
