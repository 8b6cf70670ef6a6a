package reducer

import (
	"fmt"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/isolator"
)

// A worker that crashes reports nothing about its runs. A run that is lost with its worker
// soon after its start may be what crashed it. Package isolator decides when a task with
// such losses starts in isolation, on a worker without other young runs and with none
// started beside it, and when it is abandoned.

// provenAge is the age from which a run doesn't crash its worker. It is far above the time
// in which tasks were seen to do so.
const provenAge = time.Minute

// lossOf returns what the loss of the task's run with its worker says about the task.
// answered says whether the worker has answered without the run; otherwise it is silent.
func (sh *shard) lossOf(t *task, w *worker, answered bool) describer.Loss {
	switch {
	case t.isProven():
		return describer.RunProven
	case t.startPhase == startRecorded:
		return describer.NoLoss // the worker hasn't been called
	case w.account.Host.State == describer.Leaving && !answered:
		return describer.NoLoss // it may have left
	case t.startPhase == startAdopted:
		return describer.LostBeside // the former owner may not have called the worker
	}
	for _, other := range w.runs {
		if other != t && other.startPhase != startRecorded && t.startedAt.Sub(other.startedAt) < provenAge {
			return describer.LostBeside
		}
	}
	return describer.LostAlone
}

// isProven reports whether the task's run had reached provenAge when its worker last listed
// it to this owner. A later inventory without it says nothing about its age.
func (t *task) isProven() bool { return t.listedAt.Sub(t.startedAt) >= provenAge }

// lossesOn returns the result of lossOf for each task that runs on the worker.
func (sh *shard) lossesOn(w *worker, answered bool) map[*task]describer.Loss {
	losses := make(map[*task]describer.Loss, len(w.runs))
	for _, t := range w.runs {
		losses[t] = sh.lossOf(t, w, answered)
	}
	return losses
}

// applyLoss counts a run that was lost with its worker. After a proven run the earlier
// losses don't count any more; a long-running task would otherwise reach a limit over time.
func (t *task) applyLoss(loss describer.Loss) {
	switch loss {
	case describer.LostBeside:
		t.losses++
	case describer.LostAlone:
		t.losses++
		t.isolatedLosses++
	case describer.RunProven:
		t.losses, t.isolatedLosses = 0, 0
	}
}

// countLosses returns the numbers of losses of the task.
func (t *task) countLosses() isolator.Losses {
	return isolator.Losses{Total: int(t.losses), Isolated: int(t.isolatedLosses)}
}

// needsIsolation reports whether the task is started in isolation only.
func (t *task) needsIsolation() bool { return t.countLosses().NeedsIsolation() }

// recordLost records that the run of a task was lost with its worker, and abandons the
// task if it has reached a limit of losses.
func (sh *shard) recordLost(t *task, loss describer.Loss, reason string) {
	sh.recordReleased(t, runEnd{reason: reason, loss: loss})
	sh.abandonIfExhausted(t)
}

// abandonIfExhausted abandons a pending task that has reached a limit of losses, and reports
// whether it did. A former owner may have ended before it abandoned such a task.
func (sh *shard) abandonIfExhausted(t *task) bool {
	if t.state != describer.Pending || !t.countLosses().IsExhausted() {
		return false
	}
	sh.abandon(t, fmt.Sprintf("%d workers were lost under it, %d of them with no other young run", t.losses, t.isolatedLosses))
	return true
}

// isYoung reports whether the run of a task may still crash its worker.
func (t *task) isYoung(now time.Time) bool { return now.Sub(t.startedAt) < provenAge }

// hasYoungRuns reports whether a run on the worker may crash it.
func (w *worker) hasYoungRuns(now time.Time) bool {
	for _, t := range w.runs {
		if t.isYoung(now) {
			return true
		}
	}
	return false
}

// hasIsolatedRun reports whether a task runs on the worker in isolation.
func (w *worker) hasIsolatedRun(now time.Time) bool {
	for _, t := range w.runs {
		if t.needsIsolation() && t.isYoung(now) {
			return true
		}
	}
	return false
}
