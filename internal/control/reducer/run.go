package reducer

import (
	"encoding/json"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// repeatDelay is the wait before an unanswered call to a worker is repeated.
const repeatDelay = time.Second

// sendStart calls the worker to start a run whose start record is durable, unless the
// run has ended or must not start any more.
func (sh *shard) sendStart(t *task, token describer.Token) {
	if t.state != describer.Started || t.token != token || t.startPhase != startRecorded {
		return
	}
	w := sh.ensureWorker(t.worker)
	if t.job.cancelled || t.stop != nil || sh.ownership != owning || !w.synced || sh.isEvacuated() {
		sh.recordReleased(t, runEnd{reason: reasonNotStarted})
		return
	}
	sh.emitStart(t, w)
}

// emitStart emits the call and extends the worker's leases by it.
func (sh *shard) emitStart(t *task, w *worker) {
	t.startPhase = startSent
	until := sh.extendLeases(w)
	sh.state.emit(StartTask{
		Shard:   sh.id,
		Epoch:   sh.epoch,
		Worker:  w.name,
		Address: w.account.Host.Control,
		Start: runner.StartRequest{
			Task:       t.id(),
			Token:      t.token,
			Class:      t.job.Class,
			Kind:       t.job.Kind,
			Granted:    t.granted,
			Lease:      sh.state.options.TaskLease,
			Until:      until,
			RunTime:    t.job.RunTime,
			Checkpoint: t.checkpoint,
			Payload:    t.job.Payload,
		},
	})
}

// handleStartAnswered confirms the start, gives the task back to its queue if the run
// certainly did not start, or repeats the call.
func (sh *shard) handleStartAnswered(e StartAnswered) {
	t := sh.view.task(e.Task)
	if t == nil || t.state != describer.Started || t.token != e.Token || t.startPhase != startSent {
		return
	}
	w := sh.ensureWorker(t.worker)
	switch {
	case e.Err == "":
		sh.confirmStart(t, w)
	case e.Verdict == classifier.NotRun:
		sh.handleStartRefused(t, w)
	default:
		t.startPhase = startUnanswered
		t.confirmedSync = w.syncs
		sh.addTimer(repeatDelay, timer{kind: timerRepeatStart, task: t, worker: w})
	}
}

// handleStartRefused gives the task back to its queue and places nothing on the worker
// for refusalPause.
func (sh *shard) handleStartRefused(t *task, w *worker) {
	sh.recordReleased(t, runEnd{reason: reasonNotStarted})
	w.pausedUntil = sh.state.now.Add(refusalPause)
	sh.updateClosed(w)
	sh.addTimer(refusalPause, timer{kind: timerReopen, worker: w})
}

// repeatStart repeats an unanswered start with the same token, which is idempotent.
func (sh *shard) repeatStart(t *task) {
	if t.state != describer.Started || t.startPhase != startUnanswered || sh.ownership != owning || t.stop != nil {
		return
	}
	w := sh.ensureWorker(t.worker)
	if w.missedSyncs >= maxMissedSyncs || !sh.mayRenew() || sh.isEvacuated() {
		// The run counts as over when its lease expires; another call would extend it.
		// In an evacuated domain the call might start it; an inventory settles it there.
		sh.addTimer(repeatDelay, timer{kind: timerRepeatStart, task: t, worker: w})
		return
	}
	sh.emitStart(t, w)
}

// runEnd describes the end of a run without a result.
type runEnd struct {
	reason      string
	checkpoint  string // checkpoint to resume from; empty keeps the previous one
	drainedFrom string // worker that the run was drained from, or empty
	loss        describer.Loss
}

// recordReleased records that the task's run is known to be over. The task becomes
// pending again unless its job was cancelled.
func (sh *shard) recordReleased(t *task, end runEnd) {
	sh.appendRecord(describer.Record{
		Kind:        describer.TaskReleased,
		Task:        t.id(),
		Token:       t.token,
		Reason:      end.reason,
		Checkpoint:  end.checkpoint,
		DrainedFrom: end.drainedFrom,
		Loss:        end.loss,
	})
}

// recordFinished records the result of a task.
func (sh *shard) recordFinished(t *task, w *worker, result json.RawMessage) {
	sh.appendRecord(describer.Record{
		Kind:   describer.TaskFinished,
		Task:   t.id(),
		Token:  t.token,
		Result: result,
	})
	t.job.lastBatch = sh.journal.nextBatch()
	sh.clearFailures(w)
}
