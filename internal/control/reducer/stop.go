package reducer

import (
	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
)

// maxStops is how many runs of a worker are stopped with a checkpoint at once.
const maxStops = 4

// stopping is the wish to end a run.
type stopping struct {
	reason     string
	checkpoint bool
	drainedOff string
	asked      bool // StopTask has no answer yet
}

// end asks the worker to end the task's run. A run that is only decided isn't
// asked for any more once its record is durable.
func (h *shard) end(t *task, why stopping) {
	if t.state != describer.Started || t.stop != nil && t.stop.asked {
		return
	}
	w := h.worker(t.worker)
	if w.account.Host.Control == "" {
		return // known from the ledger only; whoever wants the end tries again
	}
	t.stop = &why
	if t.phase == decided {
		return
	}
	t.stop.asked = true
	w.stops++
	h.emitStop(w, runner.Run{Task: t.id(), Token: t.token}, why.checkpoint)
}

func (h *shard) emitStop(w *worker, r runner.Run, checkpoint bool) {
	h.state.emit(StopTask{
		Shard:   h.id,
		Epoch:   h.epoch,
		Worker:  w.name,
		Address: w.account.Host.Control,
		Stop:    runner.StopRequest{Epoch: h.epoch, Task: r.Task, Token: r.Token, Checkpoint: checkpoint},
	})
}

func (h *shard) stopAnswered(e StopAnswered) {
	t := h.book.task(e.Task)
	if t == nil || t.state != describer.Started || t.token != e.Token || t.stop == nil {
		return
	}
	w := h.worker(t.worker)
	if e.Err != "" {
		h.after(repeatAfter, timer{kind: timerStop, task: t, worker: w})
		return
	}
	if e.Stopped.Finished {
		h.finished(t, w, e.Stopped.Result)
		return
	}
	reason := t.stop.reason
	if !e.Stopped.Ran {
		reason = reasonNotBegun
	}
	h.release(t, released{reason, e.Stopped.Checkpoint, t.stop.drainedOff})
}

// repeatStop asks again; the worker's answer is the same each time.
func (h *shard) repeatStop(t *task) {
	if t.state != describer.Started || t.stop == nil || !t.stop.asked || h.phase != owning {
		return
	}
	w := h.worker(t.worker)
	if w.failures >= silentAfter {
		h.after(repeatAfter, timer{kind: timerStop, task: t, worker: w})
		return
	}
	h.emitStop(w, runner.Run{Task: t.id(), Token: t.token}, t.stop.checkpoint)
}
