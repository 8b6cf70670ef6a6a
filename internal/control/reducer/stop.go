package reducer

import (
	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
)

// maxStops is how many runs of a worker are stopped with a checkpoint at once.
const maxStops = 4

// stopping is the wish to end a run.
type stopRequest struct {
	reason     string
	checkpoint bool
	drainedOff string
	sent       bool // StopTask has no answer yet
}

// end asks the worker to end the task's run. A run that is only decided isn't
// asked for any more once its record is durable.
func (sh *shard) stopRun(t *task, why stopRequest) {
	if t.state != describer.Started || t.stop != nil && t.stop.sent {
		return
	}
	w := sh.ensureWorker(t.worker)
	if w.account.Host.Control == "" {
		return // known from the ledger only; whoever wants the end tries again
	}
	t.stop = &why
	if t.startPhase == startRecorded {
		return
	}
	t.stop.sent = true
	w.pendingStops++
	sh.emitStop(w, runner.Run{Task: t.id(), Token: t.token}, why.checkpoint)
}

func (sh *shard) emitStop(w *worker, r runner.Run, checkpoint bool) {
	sh.state.emit(StopTask{
		Shard:   sh.id,
		Epoch:   sh.epoch,
		Worker:  w.name,
		Address: w.account.Host.Control,
		Stop:    runner.StopRequest{Epoch: sh.epoch, Task: r.Task, Token: r.Token, Checkpoint: checkpoint},
	})
}

func (sh *shard) handleStopAnswered(e StopAnswered) {
	t := sh.view.task(e.Task)
	if t == nil || t.state != describer.Started || t.token != e.Token || t.stop == nil {
		return
	}
	w := sh.ensureWorker(t.worker)
	if e.Err != "" {
		sh.addTimer(repeatDelay, timer{kind: timerRepeatStop, task: t, worker: w})
		return
	}
	if e.Stopped.Finished {
		sh.recordFinished(t, w, e.Stopped.Result)
		return
	}
	reason := t.stop.reason
	if !e.Stopped.Ran {
		reason = reasonNotStarted
	}
	sh.recordReleased(t, runEnd{reason, e.Stopped.Checkpoint, t.stop.drainedOff})
}

// repeatStop asks again; the worker's answer is the same each time.
func (sh *shard) repeatStop(t *task) {
	if t.state != describer.Started || t.stop == nil || !t.stop.sent || sh.ownership != owning {
		return
	}
	w := sh.ensureWorker(t.worker)
	if w.missedSyncs >= maxMissedSyncs {
		sh.addTimer(repeatDelay, timer{kind: timerRepeatStop, task: t, worker: w})
		return
	}
	sh.emitStop(w, runner.Run{Task: t.id(), Token: t.token}, t.stop.checkpoint)
}
