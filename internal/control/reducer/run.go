package reducer

import (
	"encoding/json"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// repeatAfter is the wait before a call whose answer was lost is repeated.
const repeatDelay = time.Second

// ask sends a durable start to its worker, unless it was overtaken.
func (sh *shard) sendStart(t *task, token describer.Token) {
	if t.state != describer.Started || t.token != token || t.startPhase != startRecorded {
		return
	}
	w := sh.ensureWorker(t.worker)
	if t.job.cancelled || t.stop != nil || sh.ownership != owning || !w.synced {
		sh.recordReleased(t, runEnd{reason: reasonNotStarted})
		return
	}
	sh.emitStart(t, w)
}

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
		sh.addTimer(repeatDelay, timer{kind: timerRepeatStart, task: t, worker: w})
	}
}

// refused gives the task back to the queue and leaves the worker alone for a
// while.
func (sh *shard) handleStartRefused(t *task, w *worker) {
	sh.recordReleased(t, runEnd{reason: reasonNotStarted})
	w.pausedUntil = sh.state.now.Add(refusalPause)
	sh.updateClosed(w)
	sh.addTimer(refusalPause, timer{kind: timerReopen, worker: w})
}

// repeatStart asks again with the same token, which is idempotent.
func (sh *shard) repeatStart(t *task) {
	if t.state != describer.Started || t.startPhase != startUnanswered || sh.ownership != owning || t.stop != nil {
		return
	}
	w := sh.ensureWorker(t.worker)
	if w.missedSyncs >= maxMissedSyncs || !sh.mayRenew() {
		// The lapse of its lease decides, and another call would put it off.
		sh.addTimer(repeatDelay, timer{kind: timerRepeatStart, task: t, worker: w})
		return
	}
	sh.emitStart(t, w)
}

// released says how a run ended without a result.
type runEnd struct {
	reason     string
	checkpoint string
	drainedOff string
}

// release records that the task's run is known to be over.
func (sh *shard) recordReleased(t *task, r runEnd) {
	sh.appendRecord(describer.Record{
		Kind:        describer.TaskReleased,
		Task:        t.id(),
		Token:       t.token,
		Reason:      r.reason,
		Checkpoint:  r.checkpoint,
		DrainedFrom: r.drainedOff,
	})
}

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
