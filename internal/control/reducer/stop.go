package reducer

import (
	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
)

// maxStops is the maximum number of drained runs of one worker that are being stopped at
// the same time.
const maxStops = 4

// stopRequest is the decision to stop a run.
type stopRequest struct {
	reason      string
	checkpoint  bool   // whether the run is to save a checkpoint
	drainedFrom string // worker that the run is drained from, or empty
	sent        bool   // whether StopTask was emitted
}

// stopRun calls the worker to stop the task's run. If the worker has not been called to
// start the run yet, it won't be. A stop that is already under way is not changed.
func (sh *shard) stopRun(t *task, request stopRequest) {
	if t.state != describer.Started || t.stop != nil && t.stop.sent {
		return
	}
	w := sh.ensureWorker(t.worker)
	if w.account.Host.Control == "" {
		return // the worker's address is unknown; callers try again
	}
	t.stop = &request
	if t.startPhase == startRecorded {
		return
	}
	t.stop.sent = true
	w.pendingStops++
	sh.emitStop(w, runner.Run{Task: t.id(), Token: t.token}, request.checkpoint)
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

// handleStopAnswered records the end of the run, or repeats the call if it failed.
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
	end := runEnd{reason: t.stop.reason, checkpoint: e.Stopped.Checkpoint, drainedFrom: t.stop.drainedFrom}
	switch {
	case e.Stopped.Started && t.isProven():
		end.loss = describer.RunProven
	case !e.Stopped.Started && t.startPhase == startConfirmed:
		// The worker has been started again since it confirmed the start.
		end.reason, end.loss = "lost by its worker", sh.lossOf(t, w, true)
	case !e.Stopped.Started:
		end.reason = reasonNotStarted
	}
	sh.recordReleased(t, end)
	sh.abandonIfExhausted(t)
}

// repeatStop repeats an unanswered stop, which is idempotent.
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
