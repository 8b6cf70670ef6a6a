package dispatcher

import (
	"fmt"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/isolator"
	"dotterelcart.dev/dotterelcart/internal/job/recorder"
)

// A task may crash the workers that run it. A crashed worker lists no ends, and nothing
// says which of its runs was to blame, or whether any was. So a run that is lost with its
// worker is a loss of its task, and a task with losses is suspect:
//
//   - Its starts are durable before they are ordered, so that no owner forgets one.
//   - It isn't started beside another suspect task if there is room elsewhere.
//   - After some losses it is started in isolation: see isolation.go. A worker that
//     crashes then has only this run to blame, or itself: see flapping.go.
//   - Losses of a long-running task while many other workers crash are forgiven: see package
//     isolator.
//   - After some isolated losses, or a few more of either kind, its job fails: see
//     package isolator.
//
// A worker may seem to have crashed that was only cut off. When it answers again, the
// losses on it are refuted.

const (
	// provenTime is how long a long-running run has to be ready until it counts as proven.
	provenTime = 5 * time.Second

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
	LossReplaced                      // another worker runs at its address
)

// String returns the text of the cause in logs and metrics.
func (c LossCause) String() string {
	return [...]string{"restarted", "left", "unregistered", "silent", "replaced"}[c]
}

// RunsLost reports runs that were lost together with their worker.
type RunsLost struct {
	Worker string
	Cause  LossCause
	Runs   int
}

func (RunsLost) effect() {}

// lossCause returns why the runs of a worker are lost whose leases have expired.
func (s *Shard) lossCause(w *worker) LossCause {
	switch {
	case s.hasLeftAsAnnounced(w):
		return LossDeparture
	case !w.unregisteredAt.IsZero():
		return LossUnregistered
	}
	return LossSilence
}

// loseRuns removes all runs of a worker, which have ended with it, and requeues
// their tasks.
func (s *Shard) loseRuns(w *worker, cause LossCause) {
	if s.partlyListed[w.reg.ID] {
		delete(s.partlyListed, w.reg.ID) // the ends are lost, too
		s.placementDue = true
	}
	circumstances := s.circumstancesOfLoss(w)
	var lost []*run
	for _, id := range sortedTasks(w.runs) {
		r := w.runs[id]
		if cause == LossRestart && r.mayBeOfNext() {
			r.keep(circumstances)
			continue
		}
		lost = append(lost, r)
	}
	s.loseEach(w, cause, lost, circumstances)
}

// lossCircumstances are what decides whether lost runs make their tasks suspect.
type lossCircumstances struct {
	hasLeft     bool  // the worker has left as it had announced
	alone       bool  // no other run on the worker may have crashed it
	incarnation int64 // of the worker, that the runs have ended with
}

// circumstancesOfLoss returns the circumstances of a loss of the worker's runs now.
func (s *Shard) circumstancesOfLoss(w *worker) lossCircumstances {
	// A late start may have invalidated an isolation.
	alone := w.unprovenStarts() == 1
	return lossCircumstances{hasLeft: s.hasLeftAsAnnounced(w), alone: alone, incarnation: w.reg.Incarnation}
}

// loseEach removes runs of a worker that have ended with it, and requeues their tasks.
func (s *Shard) loseEach(w *worker, cause LossCause, runs []*run, c lossCircumstances) {
	if len(runs) == 0 {
		return
	}
	s.emit(RunsLost{Worker: w.reg.ID, Cause: cause, Runs: len(runs)})
	var suspects []*task
	for _, r := range runs {
		s.emit(Log{
			Message: "run lost with its worker", Task: r.id.String(), Job: r.id.Job, Worker: w.reg.ID, Run: r.number,
			Reason: cause.String(), Age: s.ageOf(r),
		})
		if !c.hasLeft && r.mayHaveCrashed() {
			s.countLoss(r, c)
			suspects = append(suspects, r.task)
		}
		s.forgetRun(r, cause.String())
		if r.task != nil && w.failedPolls > 0 {
			r.task.lostSince = w.silentSince
		}
	}
	for _, t := range suspects {
		s.failIfExhausted(t)
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
	return !r.proven
}

// countLoss adds a loss to the task of a run.
func (s *Shard) countLoss(r *run, c lossCircumstances) {
	t := r.task
	loss := t.loss(r.number)
	if loss == nil {
		loss = s.addLoss(r)
		loss.Incarnation = c.incarnation
	}
	loss.Open = false
	loss.Isolated = loss.Isolated && c.alone
	crashed := s.countOtherCrashes(r)
	loss.Correlated = t.wasProven && isolator.IsCorrelated(crashed, len(s.sortedWorkers)-1, t.forgivenCount())
	s.markDirty(t.step.job)
	s.logLoss(t, loss, crashed)
}

// logLoss logs that a loss of a task counts, and how many other workers crashed while the run
// was active.
func (s *Shard) logLoss(t *task, loss *recorder.Loss, otherCrashes int) {
	reason := "beside others"
	if loss.Isolated {
		reason = "in isolation"
	}
	if loss.Correlated {
		reason += ", correlated"
	}
	if otherCrashes > 0 {
		reason += fmt.Sprintf(", %d other workers crashed meanwhile", otherCrashes)
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

// countLosses returns the numbers of losses, without open and forgiven ones.
func (t *task) countLosses() isolator.Losses {
	l := isolator.Losses{LongRunning: t.step.spec.LongRunning}
	for i := range t.losses {
		loss := &t.losses[i]
		if loss.Open || t.isForgiven(loss) {
			continue
		}
		l.Total++
		if loss.Isolated && !t.hasEarlierIsolatedLoss(i) {
			l.Isolated++
		}
	}
	return l
}

// isForgiven reports whether a loss doesn't count against the task: it is long-running and has
// to be restarted as often as its workers fail.
func (t *task) isForgiven(l *recorder.Loss) bool { return l.Correlated && t.step.spec.LongRunning }

// hasEarlierIsolatedLoss reports whether an earlier isolated loss than the one with an
// index was on the same worker. A worker that crashes again may itself be the cause.
func (t *task) hasEarlierIsolatedLoss(index int) bool {
	return slices.ContainsFunc(t.losses[:index], func(l recorder.Loss) bool {
		return l.Isolated && !l.Open && !t.isForgiven(&l) && l.Worker == t.losses[index].Worker
	})
}

// isExhausted reports whether the task, or its gang, must not be started any more.
func (t *task) isExhausted() bool {
	if len(t.losses) == 0 {
		return false
	}
	return t.countLosses().IsExhausted() || t.step.spec.Gang && t.step.gangLosses().IsExhausted()
}

// gangLosses returns the losses of a gang: of each member those that it had in isolation,
// valid or not, and one for all members of the same start. Otherwise members that crash in
// turn would each reach the limits after many starts of all.
func (st *step) gangLosses() isolator.Losses {
	total, isolated := make(map[int64]bool), make(map[int64]bool)
	for _, t := range st.tasks {
		n := 0
		for i := range t.losses {
			l := &t.losses[i]
			if l.Open || t.isForgiven(l) {
				continue
			}
			if n++; n <= isolator.SharedLosses {
				continue
			}
			total[l.Run] = true
			if l.Isolated {
				isolated[l.Run] = true
			}
		}
	}
	return isolator.Losses{Total: isolator.SharedLosses + len(total), Isolated: len(isolated), LongRunning: st.spec.LongRunning}
}
