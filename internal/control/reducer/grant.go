package reducer

import (
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/placer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
)

// Limits on resizing grants.
const (
	resizeInterval  = 15 * time.Second // minimum time between rounds of changes on one worker
	maxResizes      = 4                // maximum number of runs resized in one round
	maxGrowthFactor = 4                // maximum grant as a multiple of the declared CPU
)

// adaptGrants resizes grants towards the measured use. A run is resized only if the
// inventory shows the recorded grant, because otherwise an older change may still be
// on its way to the worker.
func (sh *shard) adaptGrants(w *worker, running []runner.ActiveRun) {
	if sh.state.now.Sub(w.resizedAt) < resizeInterval {
		return
	}
	changes := 0
	for i := range running {
		t := sh.view.task(running[i].Task)
		if changes == maxResizes || !isCurrentRun(t, w, running[i].Run) {
			continue
		}
		if t.shrinkTo == 0 && t.stop == nil && running[i].Granted.CPU == t.granted.CPU && sh.adaptGrant(t, w, &running[i]) {
			changes++
			w.resizedAt = sh.state.now
		}
	}
}

// adaptGrant resizes the grant of one batch run towards its measured use and reports
// whether it did. Grants grow only while no task is pending, to leave capacity to tasks
// that wait.
func (sh *shard) adaptGrant(t *task, w *worker, r *runner.ActiveRun) bool {
	if t.job.Kind != describer.Batch {
		return false
	}
	to := placer.ResizeGrant(w.account.Grants[r.Task], w.account.FreeForBatch()).CPU
	switch {
	case to < t.granted.CPU:
		sh.shrink(t, to)
		return true
	case to > t.granted.CPU && sh.isQueueEmpty():
		to = min(to, maxGrowthFactor*t.job.Declared.CPU)
		return sh.mayGrow(t, w, to) && sh.grow(t, to)
	}
	return false
}

func (sh *shard) isQueueEmpty() bool {
	for _, t := range sh.teams {
		if t.pending.Len() > 0 {
			return false
		}
	}
	return true
}

// grow records a larger CPU grant, in millicores, and sends it to the worker once
// the record is durable, so that the worker never uses more than is recorded.
func (sh *shard) grow(t *task, cpu int64) bool {
	w := sh.ensureWorker(t.worker)
	more := cpu - t.granted.CPU
	if more <= 0 || more > w.account.Free().CPU || t.shrinkTo != 0 {
		return false
	}
	sh.recordResize(t, cpu)
	sh.journal.whenDurable(followUp{grown: t, token: t.token})
	return true
}

// shrink sends a smaller CPU grant, in millicores, to the worker first. It is
// recorded once an inventory shows it, because the run may use the old grant until then.
func (sh *shard) shrink(t *task, cpu int64) {
	if cpu <= 0 || cpu >= t.granted.CPU || t.shrinkTo > 0 && cpu >= t.shrinkTo {
		return
	}
	t.shrinkTo = cpu
	t.shrinkSequence = sh.lastSequence + 1
	sh.sendThrottle(t, cpu)
}

// recordResize records a new CPU grant, in millicores.
func (sh *shard) recordResize(t *task, cpu int64) {
	granted := t.granted
	granted.CPU = cpu
	sh.appendRecord(describer.Record{
		Kind: describer.TaskResized, Task: t.id(), Token: t.token, Granted: granted,
	})
}

// reconcileGrant compares the grant that an inventory shows with the recorded one, and
// sends the change again if it has not been applied. A smaller grant is recorded only if
// the inventory shows that the worker applied the throttle itself: a low grant alone may
// be older than a growth that is still on its way.
func (sh *shard) reconcileGrant(t *task, r *runner.ActiveRun) {
	switch {
	case t.shrinkTo > 0 && r.ThrottleToken.Epoch == sh.epoch && r.ThrottleToken.Sequence >= t.shrinkSequence:
		t.shrinkTo = 0
		sh.recordResize(t, r.Granted.CPU)
		sh.placementIdle = false
	case t.shrinkTo > 0:
		sh.sendThrottle(t, t.shrinkTo)
	case r.Granted.CPU < t.granted.CPU && sh.journal.isDurable(t.lastBatch):
		sh.sendThrottle(t, t.granted.CPU)
	}
}

// sendThrottle sends a CPU grant, in millicores, to the worker of the run.
func (sh *shard) sendThrottle(t *task, cpu int64) {
	w := sh.ensureWorker(t.worker)
	if w.account.Host.Control == "" || sh.ownership != owning {
		return
	}
	sh.lastSequence++
	sh.state.emit(ThrottleTask{
		Worker:  w.name,
		Address: w.account.Host.Control,
		Throttle: runner.ThrottleRequest{
			Epoch: sh.epoch, Sequence: sh.lastSequence, Task: t.id(), Token: t.token, CPU: cpu,
		},
	})
}

// applyResize updates the accounts of the worker and the team for a resized grant. The
// run keeps its place in worker.runs.
func (sh *shard) applyResize(t *task, to describer.Resources) {
	w := sh.ensureWorker(t.worker)
	id := t.id()
	if w.account.Resize(id, t.token, to) != nil {
		// During replay the worker's capacity may not be known yet.
		g := w.account.Grants[id]
		w.account.Release(id, t.token)
		g.Resources = to
		w.account.Adopt(id, g)
	}
	team := sh.ensureTeam(t.job.Team)
	team.used = team.used.Add(to.Sub(t.granted))
	t.granted = to
	sh.recordShares(w)
}
