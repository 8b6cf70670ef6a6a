package reducer

import (
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/placer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
)

// Bounds on changes of grants.
const (
	resizeInterval = 15 * time.Second // between changes on one worker
	maxResizes     = 4                // at once on one worker
	maxGrowth      = 4                // times the declared processors
)

// adaptGrants lets grants follow measured use. A run is resized only when the
// inventory shows the booked grant in force, so no older change is on its way.
func (h *shard) adaptGrants(w *worker, running []runner.ActiveRun) {
	if h.state.now.Sub(w.resized) < resizeInterval {
		return
	}
	changes := 0
	for i := range running {
		t := h.book.task(running[i].Task)
		if changes == maxResizes || !isRun(t, w, running[i].Run) {
			continue
		}
		if t.shrinkTo == 0 && t.stop == nil && running[i].Granted.CPU == t.granted.CPU && h.adapt(t, w, &running[i]) {
			changes++
			w.resized = h.state.now
		}
	}
}

// adapt resizes one run by its use. Growth leaves room to tasks that wait.
func (h *shard) adapt(t *task, w *worker, r *runner.ActiveRun) bool {
	if t.job.Kind != describer.Batch {
		return false
	}
	to := placer.Resize(w.account.Grants[r.Task], w.account.Room()).CPU
	switch {
	case to < t.granted.CPU:
		h.shrink(t, to)
		return true
	case to > t.granted.CPU && h.isQueueEmpty():
		to = min(to, maxGrowth*t.job.Declared.CPU)
		return h.mayGrow(t, w, to) && h.grow(t, to)
	}
	return false
}

func (h *shard) isQueueEmpty() bool {
	for _, t := range h.teams {
		if t.pending.Len() > 0 {
			return false
		}
	}
	return true
}

// grow books a greater grant first and tells the worker once that is durable.
func (h *shard) grow(t *task, cpu int64) bool {
	w := h.worker(t.worker)
	more := cpu - t.granted.CPU
	if more <= 0 || more > w.account.Free().CPU || t.shrinkTo != 0 {
		return false
	}
	h.resize(t, cpu)
	h.journal.then(consequence{grown: t, token: t.token})
	return true
}

// shrink tells the worker first and books the smaller grant once an inventory
// shows it in force.
func (h *shard) shrink(t *task, cpu int64) {
	if cpu <= 0 || cpu >= t.granted.CPU || t.shrinkTo > 0 && cpu >= t.shrinkTo {
		return
	}
	t.shrinkTo = cpu
	t.shrinkFrom = h.sequence + 1
	h.throttle(t, cpu)
}

func (h *shard) resize(t *task, cpu int64) {
	granted := t.granted
	granted.CPU = cpu
	h.append(describer.Record{
		Kind: describer.TaskResized, Task: t.id(), Token: t.token, Granted: granted,
	})
}

// settleGrant compares the grant in force with the booked one, and repeats
// what was not carried out. A smaller grant is booked only when the worker has
// taken the throttle itself: a low grant may be older than a growth that is
// still on its way.
func (h *shard) settleGrant(t *task, r *runner.ActiveRun) {
	switch {
	case t.shrinkTo > 0 && r.Order.Epoch == h.epoch && r.Order.Sequence >= t.shrinkFrom:
		t.shrinkTo = 0
		h.resize(t, r.Granted.CPU)
		h.idle = false
	case t.shrinkTo > 0:
		h.throttle(t, t.shrinkTo)
	case r.Granted.CPU < t.granted.CPU && h.journal.isDurable(t.batch):
		h.throttle(t, t.granted.CPU)
	}
}

func (h *shard) throttle(t *task, cpu int64) {
	w := h.worker(t.worker)
	if w.account.Host.Control == "" || h.phase != owning {
		return
	}
	h.sequence++
	h.state.emit(ThrottleTask{
		Worker:  w.name,
		Address: w.account.Host.Control,
		Throttle: runner.ThrottleRequest{
			Epoch: h.epoch, Sequence: h.sequence, Task: t.id(), Token: t.token, CPU: cpu,
		},
	})
}

// applyResize changes the accounts in place; a run keeps its slot.
func (h *shard) applyResize(t *task, to describer.Resources) {
	w := h.worker(t.worker)
	id := t.id()
	if w.account.Resize(id, t.token, to) != nil {
		// In replay the worker's capacity may not be known yet.
		g := w.account.Grants[id]
		w.account.Drop(id, t.token)
		g.Resources = to
		w.account.Adopt(id, g)
	}
	team := h.team(t.job.Team)
	team.used = team.used.Add(to.Sub(t.granted))
	t.granted = to
	h.noteShares(w)
}
