package reducer

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
)

// schedule sets the worker's next inventory to its own place within the
// interval, so that the calls of a shard are spread evenly.
func (h *shard) schedule(w *worker) {
	interval := h.state.options.SyncInterval
	if interval <= 0 {
		return
	}
	place := time.Duration(xxhash.Sum64String(w.name) % uint64(interval))
	passed := time.Duration(h.state.now.UnixNano()) % interval
	wait := (place - passed + interval) % interval
	if wait < interval/8 {
		wait += interval
	}
	due := h.state.now.Add(wait)
	if due.Equal(w.due) {
		return
	}
	w.due = due
	h.after(wait, timer{kind: timerSync, worker: w})
}

// sync renews the leases on a worker and asks for its inventory.
func (h *shard) sync(w *worker) {
	if h.workers[w.name] != w || h.phase != owning {
		return
	}
	if w.calling {
		h.schedule(w)
		return
	}
	if !w.listed && len(w.runs) == 0 {
		h.forget(w)
		return
	}
	if w.account.Host.Control == "" {
		h.silent(w)
		return
	}
	w.calls++
	w.calling = true
	w.called = h.state.now
	call := runner.SyncRequest{
		Shard: h.id,
		Epoch: h.epoch,
		Lease: h.state.options.TaskLease,
		Renew: h.renewals(w),
		Ack:   w.acknowledge(),
	}
	if len(call.Renew) > 0 {
		call.Until = h.extend(w)
	}
	h.state.emit(SyncWorker{Worker: w.name, Address: w.account.Host.Control, Sync: call})
}

// renewals lists the runs to keep. A worker that doesn't answer gets none, so
// that its leases are sure to lapse; nor does a run that is to end for good.
func (h *shard) renewals(w *worker) []runner.Run {
	if w.failures >= silentAfter || len(w.runs) == 0 || !w.heard || h.closing || !h.mayRenew() {
		return nil
	}
	runs := make([]runner.Run, 0, len(w.runs))
	for _, t := range w.runs {
		if t.phase == decided || t.job.cancelled {
			continue
		}
		runs = append(runs, runner.Run{Task: t.id(), Token: t.token})
	}
	return runs
}

// mayRenew reports whether this daemon may count as the owner still. Without
// the store it can't tell an outage from a partition with a successor on the
// other side, so it gives up when it hears of one, and at the latest after
// the time that every successor waits.
func (h *shard) mayRenew() bool {
	s := h.state
	if s.now.Sub(s.contact) >= s.options.OutageLimit {
		return false
	}
	return s.reached || s.holder(h.id) == ""
}

// extend moves the time by which all leases on the worker have lapsed, and
// returns it by the worker's clock. The worker's clock was read between the
// beginning and the end of its latest call, so the lease is longer than asked
// for by no more than that call took.
func (h *shard) extend(w *worker) time.Time {
	lease := h.state.options.TaskLease
	end := h.state.now.Add(lease + w.slack)
	if end.After(w.extent) {
		w.extent = end
	}
	if w.clock.IsZero() {
		return time.Time{}
	}
	return w.clock.Add(h.state.now.Sub(w.clockAt) + lease)
}

func (w *worker) acknowledge() []runner.Run {
	if len(w.acks) == 0 {
		return nil
	}
	runs := make([]runner.Run, len(w.acks))
	for i := range w.acks {
		runs[i] = runner.Run{Task: w.acks[i], Token: w.ackRuns[i]}
	}
	return runs
}

// unanswered leaves a silent worker's leases to lapse after some failures.
func (h *shard) unanswered(e WorkerFailed) {
	w := h.workers[e.Worker]
	if w == nil || !w.calling {
		return
	}
	w.calling = false
	if e.Fenced {
		// A greater epoch exists; the leaser will say that the shard is lost.
		h.schedule(w)
		return
	}
	h.silent(w)
}

// silent counts a call that brought nothing.
func (h *shard) silent(w *worker) {
	w.failures++
	h.refresh(w)
	if w.failures >= silentAfter && len(w.runs) > 0 {
		h.awaitLapse(w)
	}
	h.schedule(w)
}

func (h *shard) awaitLapse(w *worker) {
	if w.lapsing {
		return
	}
	w.lapsing = true
	over := w.extent.Add(h.state.options.LeaseMargin)
	h.after(max(over.Sub(h.state.now), 0), timer{kind: timerLapse, worker: w})
}

// lapse releases the runs of a worker that has been silent for so long that
// every lease has ended by the worker's own clock.
func (h *shard) lapse(w *worker) {
	w.lapsing = false
	over := w.extent.Add(h.state.options.LeaseMargin)
	if w.failures < silentAfter || h.phase != owning || h.workers[w.name] != w {
		return
	}
	if h.state.now.Before(over) {
		h.awaitLapse(w)
		return
	}
	for len(w.runs) > 0 {
		h.release(w.runs[len(w.runs)-1], released{reason: "lease lapsed"})
	}
}

// synced takes in an inventory.
func (h *shard) synced(e WorkerSynced) {
	w := h.workers[e.Worker]
	if w == nil || !w.calling || e.Sent.Before(w.called) {
		return
	}
	w.calling = false
	w.failures = 0
	first := !w.heard
	w.heard = true
	if first {
		// From now on the worker refuses a former owner's renewals.
		w.extent = h.state.now.Add(h.state.options.TaskLease)
	}
	if !e.Synced.Clock.IsZero() {
		w.clock = e.Synced.Clock
		w.clockAt = e.Sent
		w.slack = max(0, h.state.now.Sub(e.Sent))
	}
	if !e.Synced.Capacity.IsZero() {
		w.account.Host.Capacity = e.Synced.Capacity
	}
	w.account.Heard = e.Sent
	h.takeRunning(w, e.Synced.Running)
	h.takeFinished(w, e.Synced.Finished)
	h.takeAbsent(w)
	h.observe(w, &e.Synced)
	h.noteInterference(w)
	h.refresh(w)
	if first && len(w.runs) > 0 {
		h.sync(w)
	}
	h.schedule(w)
}

func (h *shard) noteInterference(w *worker) {
	if len(w.account.Host.Services) == 0 {
		return
	}
	slower := h.interference(w)
	if math.Abs(slower-w.slower) >= interferenceDelta {
		w.slower = slower
		h.state.published = false
	}
}

// takeRunning confirms runs and stops those that nobody wants any more.
func (h *shard) takeRunning(w *worker, running []runner.ActiveRun) {
	var used describer.Resources
	for i := range running {
		r := &running[i]
		used = used.Add(r.Used)
		t := h.book.task(r.Task)
		if !isRun(t, w, r.Run) {
			h.emitStop(w, r.Run, false)
			continue
		}
		t.seen = w.calls
		if t.phase != confirmed {
			h.confirm(t, w)
		}
		h.settleGrant(t, r)
		h.observeRun(w, r)
		if t.job.cancelled && t.stop == nil {
			h.end(t, stopping{reason: "cancelled"})
		}
	}
	w.account.Used = used
}

// isRun reports whether the run is the task's present one.
func isRun(t *task, w *worker, r runner.Run) bool {
	return t != nil && t.state == describer.Started && t.token == r.Token && t.worker == w.name
}

func (h *shard) confirm(t *task, w *worker) {
	t.phase = confirmed
	t.call = w.calls
}

// takeFinished records ends. A run is acknowledged once that is durable.
func (h *shard) takeFinished(w *worker, finished []runner.FinishedRun) {
	w.acks = w.acks[:0]
	w.ackRuns = w.ackRuns[:0]
	for i := range finished {
		f := &finished[i]
		t := h.book.task(f.Task)
		if isRun(t, w, f.Run) {
			t.seen = w.calls
			h.conclude(t, w, f)
			continue
		}
		if f.OK && t != nil && t.state == describer.Pending && t.token == f.Token {
			// Its worker was out of reach until its lease lapsed, and it had
			// completed before. No newer run has begun, so the result counts.
			h.finished(t, w, f.Result)
			continue
		}
		if t == nil || h.journal.isDurable(t.batch) {
			w.acks = append(w.acks, f.Task)
			w.ackRuns = append(w.ackRuns, f.Token)
		}
	}
}

func (h *shard) conclude(t *task, w *worker, f *runner.FinishedRun) {
	switch {
	case f.OK:
		h.finished(t, w, f.Result)
	case f.Lapsed:
		h.release(t, released{reason: "lease lapsed", checkpoint: f.Checkpoint})
	default:
		h.failed(t, w, f.Reason)
	}
}

// takeAbsent looks at the runs that the inventory doesn't name. One of a
// former epoch can't begin any more, since the call raised the worker's epoch;
// one that was confirmed before the call is over. A start in flight is left.
func (h *shard) takeAbsent(w *worker) {
	for i := len(w.runs) - 1; i >= 0; i-- {
		t := w.runs[i]
		if t.seen == w.calls || t.stop != nil && t.stop.asked {
			continue
		}
		switch {
		case t.phase == adopted:
			h.release(t, released{reason: "unknown to its worker"})
		case t.phase == confirmed && t.call < w.calls:
			h.release(t, released{reason: "lost by its worker"})
		}
	}
}
