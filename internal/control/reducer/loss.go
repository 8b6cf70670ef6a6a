package reducer

import (
	"fmt"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// A worker that crashes reports nothing about its runs. A run that is lost with its worker
// soon after its start may be what crashed it. After isolationLosses of them a task starts
// in isolation, on a worker without other young runs, and none starts beside it. After
// maxLonelyLosses there it is abandoned.
const (
	isolationLosses = 2
	maxLonelyLosses = 2
	provenAge       = time.Minute // a run of this age doesn't crash its worker
)

// lossOf returns what it says about a task if its run is lost now.
func (sh *shard) lossOf(t *task, w *worker) describer.Loss {
	if w.account.Host.State == describer.Leaving || w.account.LastInventory.Sub(t.startedAt) >= provenAge {
		return describer.NoLoss
	}
	if t.startPhase == startAdopted {
		return describer.LostBeside // what else ran there under the former owner isn't known
	}
	for _, other := range w.runs {
		if other != t && t.startedAt.Sub(other.startedAt) < provenAge {
			return describer.LostBeside
		}
	}
	return describer.LostAlone
}

// lossesOn returns the lossOf of all tasks that run on the worker.
func (sh *shard) lossesOn(w *worker) map[*task]describer.Loss {
	losses := make(map[*task]describer.Loss, len(w.runs))
	for _, t := range w.runs {
		losses[t] = sh.lossOf(t, w)
	}
	return losses
}

// applyLoss counts a run that was lost with its worker.
func (t *task) applyLoss(loss describer.Loss) {
	switch loss {
	case describer.LostBeside:
		t.losses++
	case describer.LostAlone:
		t.losses++
		t.lonelyLosses++
	}
}

// needsIsolation reports whether the task is started in isolation only.
func (t *task) needsIsolation() bool { return t.losses >= isolationLosses }

// recordLost records that the run of a task was lost with its worker, and abandons the
// task if it crashes its workers.
func (sh *shard) recordLost(t *task, loss describer.Loss, reason string) {
	sh.recordReleased(t, runEnd{reason: reason, loss: loss})
	if t.state == describer.Pending && t.lonelyLosses >= maxLonelyLosses {
		sh.abandon(t, fmt.Sprintf("%d workers were lost under it, %d of them with no other young run", t.losses, t.lonelyLosses))
	}
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
