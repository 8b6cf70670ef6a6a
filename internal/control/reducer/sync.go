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
func (sh *shard) scheduleSync(w *worker) {
	interval := sh.state.options.SyncInterval
	if interval <= 0 {
		return
	}
	offset := time.Duration(xxhash.Sum64String(w.name) % uint64(interval))
	elapsed := time.Duration(sh.state.now.UnixNano()) % interval
	wait := (offset - elapsed + interval) % interval
	if wait < interval/8 {
		wait += interval
	}
	due := sh.state.now.Add(wait)
	if due.Equal(w.nextSyncAt) {
		return
	}
	w.nextSyncAt = due
	sh.addTimer(wait, timer{kind: timerSync, worker: w})
}

// sync renews the leases on a worker and asks for its inventory.
func (sh *shard) sendSync(w *worker) {
	if sh.workers[w.name] != w || sh.ownership != owning {
		return
	}
	if w.syncPending {
		sh.scheduleSync(w)
		return
	}
	if !w.listed && len(w.runs) == 0 {
		sh.removeWorker(w)
		return
	}
	if w.account.Host.Control == "" {
		sh.countMissedSync(w)
		return
	}
	w.syncs++
	w.syncPending = true
	w.syncSentAt = sh.state.now
	call := runner.SyncRequest{
		Shard: sh.id,
		Epoch: sh.epoch,
		Lease: sh.state.options.TaskLease,
		Renew: sh.renewableRuns(w),
		Ack:   w.acknowledgements(),
	}
	if len(call.Renew) > 0 {
		call.Until = sh.extendLeases(w)
	}
	sh.state.emit(SyncWorker{Worker: w.name, Address: w.account.Host.Control, Sync: call})
}

// renewals lists the runs to keep. A worker that doesn't answer gets none, so
// that its leases are sure to lapse; nor does a run that is to end for good.
func (sh *shard) renewableRuns(w *worker) []runner.Run {
	if w.missedSyncs >= maxMissedSyncs || len(w.runs) == 0 || !w.synced || sh.releaseRecorded || !sh.mayRenew() {
		return nil
	}
	runs := make([]runner.Run, 0, len(w.runs))
	for _, t := range w.runs {
		if t.startPhase == startRecorded || t.job.cancelled {
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
func (sh *shard) mayRenew() bool {
	s := sh.state
	if s.now.Sub(s.storeContactAt) >= s.options.OutageLimit {
		return false
	}
	return s.storeReachable || s.peerHolding(sh.id) == ""
}

// extend moves the time by which all leases on the worker have lapsed, and
// returns it by the worker's clock. The worker's clock was read between the
// beginning and the end of its latest call, so the lease is longer than asked
// for by no more than that call took.
func (sh *shard) extendLeases(w *worker) time.Time {
	lease := sh.state.options.TaskLease
	end := sh.state.now.Add(lease + w.clockError)
	if end.After(w.leasesEnd) {
		w.leasesEnd = end
	}
	if w.clock.IsZero() {
		return time.Time{}
	}
	return w.clock.Add(sh.state.now.Sub(w.clockReadAt) + lease)
}

func (w *worker) acknowledgements() []runner.Run {
	if len(w.ackTasks) == 0 {
		return nil
	}
	runs := make([]runner.Run, len(w.ackTasks))
	for i := range w.ackTasks {
		runs[i] = runner.Run{Task: w.ackTasks[i], Token: w.ackTokens[i]}
	}
	return runs
}

// unanswered leaves a silent worker's leases to lapse after some failures.
func (sh *shard) handleSyncFailed(e WorkerSyncFailed) {
	w := sh.workers[e.Worker]
	if w == nil || !w.syncPending {
		return
	}
	w.syncPending = false
	if e.Fenced {
		// A greater epoch exists; the leaser will say that the shard is lost.
		sh.scheduleSync(w)
		return
	}
	sh.countMissedSync(w)
}

// silent counts a call that brought nothing.
func (sh *shard) countMissedSync(w *worker) {
	w.missedSyncs++
	sh.updateClosed(w)
	if w.missedSyncs >= maxMissedSyncs && len(w.runs) > 0 {
		sh.scheduleLapse(w)
	}
	sh.scheduleSync(w)
}

func (sh *shard) scheduleLapse(w *worker) {
	if w.lapseScheduled {
		return
	}
	w.lapseScheduled = true
	end := w.leasesEnd.Add(sh.state.options.LeaseMargin)
	sh.addTimer(max(end.Sub(sh.state.now), 0), timer{kind: timerLapse, worker: w})
}

// lapse releases the runs of a worker that has been silent for so long that
// every lease has ended by the worker's own clock.
func (sh *shard) releaseLapsed(w *worker) {
	w.lapseScheduled = false
	end := w.leasesEnd.Add(sh.state.options.LeaseMargin)
	if w.missedSyncs < maxMissedSyncs || sh.ownership != owning || sh.workers[w.name] != w {
		return
	}
	if sh.state.now.Before(end) {
		sh.scheduleLapse(w)
		return
	}
	for len(w.runs) > 0 {
		sh.recordReleased(w.runs[len(w.runs)-1], runEnd{reason: "lease lapsed"})
	}
}

// synced takes in an inventory.
func (sh *shard) handleSynced(e WorkerSynced) {
	w := sh.workers[e.Worker]
	if w == nil || !w.syncPending || e.SentAt.Before(w.syncSentAt) {
		return
	}
	w.syncPending = false
	w.missedSyncs = 0
	first := !w.synced
	w.synced = true
	if first {
		// From now on the worker refuses a former owner's renewals.
		w.leasesEnd = sh.state.now.Add(sh.state.options.TaskLease)
	}
	if !e.Synced.Clock.IsZero() {
		w.clock = e.Synced.Clock
		w.clockReadAt = e.SentAt
		w.clockError = max(0, sh.state.now.Sub(e.SentAt))
	}
	if !e.Synced.Capacity.IsZero() {
		w.account.Host.Capacity = e.Synced.Capacity
	}
	w.account.LastInventory = e.SentAt
	sh.reconcileRunning(w, e.Synced.Running)
	sh.reconcileFinished(w, e.Synced.Finished)
	sh.reconcileMissing(w)
	sh.observeInventory(w, &e.Synced)
	sh.updateInterference(w)
	sh.updateClosed(w)
	if first && len(w.runs) > 0 {
		sh.sendSync(w)
	}
	sh.scheduleSync(w)
}

func (sh *shard) updateInterference(w *worker) {
	if len(w.account.Host.Services) == 0 {
		return
	}
	slower := sh.interference(w)
	if math.Abs(slower-w.interference) >= interferenceDelta {
		w.interference = slower
		sh.state.tableUpToDate = false
	}
}

// takeRunning confirms runs and stops those that nobody wants any more.
func (sh *shard) reconcileRunning(w *worker, running []runner.ActiveRun) {
	var used describer.Resources
	for i := range running {
		r := &running[i]
		used = used.Add(r.Used)
		t := sh.view.task(r.Task)
		if !isCurrentRun(t, w, r.Run) {
			sh.emitStop(w, r.Run, false)
			continue
		}
		t.seenAt = w.syncs
		if t.startPhase != startConfirmed {
			sh.confirmStart(t, w)
		}
		sh.reconcileGrant(t, r)
		sh.observeRun(w, r)
		if t.job.cancelled && t.stop == nil {
			sh.stopRun(t, stopRequest{reason: "cancelled"})
		}
	}
	w.account.Used = used
}

// isRun reports whether the run is the task's present one.
func isCurrentRun(t *task, w *worker, r runner.Run) bool {
	return t != nil && t.state == describer.Started && t.token == r.Token && t.worker == w.name
}

func (sh *shard) confirmStart(t *task, w *worker) {
	t.startPhase = startConfirmed
	t.confirmedAt = w.syncs
}

// takeFinished records ends. A run is acknowledged once that is durable.
func (sh *shard) reconcileFinished(w *worker, finished []runner.FinishedRun) {
	w.ackTasks = w.ackTasks[:0]
	w.ackTokens = w.ackTokens[:0]
	for i := range finished {
		f := &finished[i]
		t := sh.view.task(f.Task)
		if isCurrentRun(t, w, f.Run) {
			t.seenAt = w.syncs
			sh.recordEnd(t, w, f)
			continue
		}
		if f.OK && t != nil && t.state == describer.Pending && t.token == f.Token {
			// Its worker was out of reach until its lease lapsed, and it had
			// completed before. No newer run has begun, so the result counts.
			sh.recordFinished(t, w, f.Result)
			continue
		}
		if t == nil || sh.journal.isDurable(t.lastBatch) {
			w.ackTasks = append(w.ackTasks, f.Task)
			w.ackTokens = append(w.ackTokens, f.Token)
		}
	}
}

func (sh *shard) recordEnd(t *task, w *worker, f *runner.FinishedRun) {
	switch {
	case f.OK:
		sh.recordFinished(t, w, f.Result)
	case f.Lapsed:
		sh.recordReleased(t, runEnd{reason: "lease lapsed", checkpoint: f.Checkpoint})
	default:
		sh.recordFailure(t, w, f.Reason)
	}
}

// takeAbsent looks at the runs that the inventory doesn't name. One of a
// former epoch can't begin any more, since the call raised the worker's epoch;
// one that was confirmed before the call is over. A start in flight is left.
func (sh *shard) reconcileMissing(w *worker) {
	for i := len(w.runs) - 1; i >= 0; i-- {
		t := w.runs[i]
		if t.seenAt == w.syncs || t.stop != nil && t.stop.sent {
			continue
		}
		switch {
		case t.startPhase == startAdopted:
			sh.recordReleased(t, runEnd{reason: "unknown to its worker"})
		case t.startPhase == startConfirmed && t.confirmedAt < w.syncs:
			sh.recordReleased(t, runEnd{reason: "lost by its worker"})
		}
	}
}
