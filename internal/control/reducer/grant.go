package reducer

import (
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/placer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
)

// Bounds on changes of grants.
const (
	resizeInterval  = 15 * time.Second // between changes on one worker
	maxResizes      = 4                // at once on one worker
	maxGrowthFactor = 4                // times the declared processors
)

// adaptGrants lets grants follow measured use. A run is resized only when the
// inventory shows the booked grant in force, so no older change is on its way.
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

// adapt resizes one run by its use. Growth leaves room to tasks that wait.
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

// grow books a greater grant first and tells the worker once that is durable.
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

// shrink tells the worker first and books the smaller grant once an inventory
// shows it in force.
func (sh *shard) shrink(t *task, cpu int64) {
	if cpu <= 0 || cpu >= t.granted.CPU || t.shrinkTo > 0 && cpu >= t.shrinkTo {
		return
	}
	t.shrinkTo = cpu
	t.shrinkSequence = sh.lastSequence + 1
	sh.sendThrottle(t, cpu)
}

func (sh *shard) recordResize(t *task, cpu int64) {
	granted := t.granted
	granted.CPU = cpu
	sh.appendRecord(describer.Record{
		Kind: describer.TaskResized, Task: t.id(), Token: t.token, Granted: granted,
	})
}

// settleGrant compares the grant in force with the booked one, and repeats
// what was not carried out. A smaller grant is booked only when the worker has
// taken the throttle itself: a low grant may be older than a growth that is
// still on its way.
func (sh *shard) reconcileGrant(t *task, r *runner.ActiveRun) {
	switch {
	case t.shrinkTo > 0 && r.Order.Epoch == sh.epoch && r.Order.Sequence >= t.shrinkSequence:
		t.shrinkTo = 0
		sh.recordResize(t, r.Granted.CPU)
		sh.placementIdle = false
	case t.shrinkTo > 0:
		sh.sendThrottle(t, t.shrinkTo)
	case r.Granted.CPU < t.granted.CPU && sh.journal.isDurable(t.lastBatch):
		sh.sendThrottle(t, t.granted.CPU)
	}
}

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

// applyResize changes the accounts in place; a run keeps its slot.
func (sh *shard) applyResize(t *task, to describer.Resources) {
	w := sh.ensureWorker(t.worker)
	id := t.id()
	if w.account.Resize(id, t.token, to) != nil {
		// In replay the worker's capacity may not be known yet.
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
