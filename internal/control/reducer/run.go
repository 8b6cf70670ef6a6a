package reducer

import (
	"encoding/json"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// repeatAfter is the wait before a call whose answer was lost is repeated.
const repeatAfter = time.Second

// ask sends a durable start to its worker, unless it was overtaken.
func (h *shard) ask(t *task, token describer.Token) {
	if t.state != describer.Started || t.token != token || t.phase != decided {
		return
	}
	w := h.worker(t.worker)
	if t.job.cancelled || t.stop != nil || h.phase != owning || !w.heard {
		h.release(t, released{reason: reasonNotBegun})
		return
	}
	h.emitStart(t, w)
}

func (h *shard) emitStart(t *task, w *worker) {
	t.phase = asked
	until := h.extend(w)
	h.state.emit(StartTask{
		Shard:   h.id,
		Epoch:   h.epoch,
		Worker:  w.name,
		Address: w.account.Host.Control,
		Start: runner.StartRequest{
			Task:       t.id(),
			Token:      t.token,
			Class:      t.job.Class,
			Kind:       t.job.Kind,
			Granted:    t.granted,
			Lease:      h.state.options.TaskLease,
			Until:      until,
			RunTime:    t.job.RunTime,
			Checkpoint: t.checkpoint,
			Payload:    t.job.Payload,
		},
	})
}

func (h *shard) startAnswered(e StartAnswered) {
	t := h.book.task(e.Task)
	if t == nil || t.state != describer.Started || t.token != e.Token || t.phase != asked {
		return
	}
	w := h.worker(t.worker)
	switch {
	case e.Err == "":
		h.confirm(t, w)
	case e.Verdict == classifier.NotRun:
		h.refused(t, w)
	default:
		t.phase = uncertain
		h.after(repeatAfter, timer{kind: timerStart, task: t, worker: w})
	}
}

// refused gives the task back to the queue and leaves the worker alone for a
// while.
func (h *shard) refused(t *task, w *worker) {
	h.release(t, released{reason: reasonNotBegun})
	w.pause = h.state.now.Add(refusalPause)
	h.refresh(w)
	h.after(refusalPause, timer{kind: timerOpen, worker: w})
}

// repeatStart asks again with the same token, which is idempotent.
func (h *shard) repeatStart(t *task) {
	if t.state != describer.Started || t.phase != uncertain || h.phase != owning || t.stop != nil {
		return
	}
	w := h.worker(t.worker)
	if w.failures >= silentAfter || !h.mayRenew() {
		// The lapse of its lease decides, and another call would put it off.
		h.after(repeatAfter, timer{kind: timerStart, task: t, worker: w})
		return
	}
	h.emitStart(t, w)
}

// released says how a run ended without a result.
type released struct {
	reason     string
	checkpoint string
	drainedOff string
}

// release records that the task's run is known to be over.
func (h *shard) release(t *task, r released) {
	h.append(describer.Record{
		Kind:       describer.TaskReleased,
		Task:       t.id(),
		Token:      t.token,
		Reason:     r.reason,
		Checkpoint: r.checkpoint,
		DrainedOff: r.drainedOff,
	})
}

func (h *shard) finished(t *task, w *worker, result json.RawMessage) {
	h.append(describer.Record{
		Kind:   describer.TaskFinished,
		Task:   t.id(),
		Token:  t.token,
		Result: result,
	})
	t.job.batch = h.journal.next()
	h.trust(w)
}
