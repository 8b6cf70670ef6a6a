package dispatcher

import (
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
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
	alone := w.unprovenRuns() == 1
	for _, id := range sortedTasks(w.runs) {
		r := w.runs[id]
		s.emit(Log{
			Message: "run lost with its worker", Task: r.id.String(), Job: r.id.Job, Worker: w.reg.ID, Run: r.number,
			Reason: cause.String(), Age: s.ageOf(r),
		})
		if !w.reg.Draining && r.mayHaveCrashed() {
			s.countLoss(r, alone)
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

// countLoss adds a loss to the task of a run. alone says whether no other run on the
// worker may have crashed it: a late start may have spoilt the isolation.
func (s *Shard) countLoss(r *run, alone bool) {
	t := r.task
	loss := t.loss(r.number)
	if loss == nil {
		loss = s.addLoss(r)
	}
	loss.Open = false
	loss.Isolated = loss.Isolated && alone
	s.markDirty(t.step.job)
	s.logLoss(t, loss)
}

// logLoss logs that a loss of a task counts.
func (s *Shard) logLoss(t *task, loss *recorder.Loss) {
	reason := "beside others"
	if loss.Isolated {
		reason = "in isolation"
	}
	s.emit(Log{
		Message: "task suspected of crashing its worker", Task: t.id().String(), Job: t.step.job.spec.ID,
		Worker: loss.Worker, Run: loss.Run, Reason: reason,
	})
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
