package reducer

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
)

// scheduleSync sets a timer for the worker's next sync. Each worker has a fixed offset
// within the sync interval, so that the calls of a shard are spread evenly. A time that
// is less than an eighth of the interval away is skipped.
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

// sendSync calls the worker to renew its leases and report its inventory. An unlisted
// worker without runs is removed instead.
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

// renewableRuns returns the runs whose leases are renewed. A worker that doesn't answer
// gets no renewals, so that its leases are certain to expire. Runs of cancelled jobs are
// not renewed either.
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

// mayRenew reports whether this daemon may still act as the owner. While the store is
// unreachable it can't tell an outage from a partition with a new owner on the other
// side. It stops when a peer reports the shard as its own, and at the latest after the
// outage limit, which every new owner waits for.
func (sh *shard) mayRenew() bool {
	s := sh.state
	if s.now.Sub(s.lastStoreContact) >= s.options.OutageLimit {
		return false
	}
	return s.storeReachable || s.peerHolding(sh.id) == ""
}

// extendLeases advances leasesEnd for a lease that is granted now. It returns the end of
// the lease by the worker's clock, or zero if that clock is not known. The clock was read
// at an unknown moment of the latest sync, so a lease may end later than intended by up
// to the duration of that call; leasesEnd allows for it.
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

// acknowledgements returns the finished runs that the worker may forget.
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

// handleSyncFailed counts a failed sync, unless the worker refused it as fenced.
func (sh *shard) handleSyncFailed(e WorkerSyncFailed) {
	w := sh.workers[e.Worker]
	if w == nil || !w.syncPending {
		return
	}
	w.syncPending = false
	if e.Fenced {
		// Another daemon owns the shard under a greater epoch; ShardLost will follow.
		sh.scheduleSync(w)
		return
	}
	sh.countMissedSync(w)
}

// countMissedSync counts a sync without an inventory. After maxMissedSyncs in a row the
// worker's leases are left to expire.
func (sh *shard) countMissedSync(w *worker) {
	w.missedSyncs++
	sh.updateClosed(w)
	if w.missedSyncs >= maxMissedSyncs && len(w.runs) > 0 {
		sh.scheduleExpiry(w)
	}
	sh.scheduleSync(w)
}

// scheduleExpiry sets a timer for the time when all leases on the worker have expired,
// with the margin for clock drift.
func (sh *shard) scheduleExpiry(w *worker) {
	if w.expiryScheduled {
		return
	}
	w.expiryScheduled = true
	end := w.leasesEnd.Add(sh.state.options.LeaseMargin)
	sh.addTimer(max(end.Sub(sh.state.now), 0), timer{kind: timerLeaseExpiry, worker: w})
}

// releaseExpired releases all runs of a worker that has not answered for so long that
// every lease has expired by the worker's own clock.
func (sh *shard) releaseExpired(w *worker) {
	w.expiryScheduled = false
	end := w.leasesEnd.Add(sh.state.options.LeaseMargin)
	if w.missedSyncs < maxMissedSyncs || sh.ownership != owning || sh.workers[w.name] != w {
		return
	}
	if sh.state.now.Before(end) {
		sh.scheduleExpiry(w)
		return
	}
	losses := sh.lossesOn(w, false)
	for len(w.runs) > 0 {
		t := w.runs[len(w.runs)-1]
		sh.recordLost(t, losses[t], "lease lapsed")
	}
}

// handleSynced processes a worker's inventory. An answer to an earlier call than the
// latest one is ignored.
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
		// From now on the worker refuses renewals by former owners.
		w.leasesEnd = sh.state.latest.Add(sh.state.options.TaskLease)
	}
	if !e.Synced.Clock.IsZero() {
		w.clock = e.Synced.Clock
		w.clockReadAt = e.SentAt
		w.clockError = max(0, sh.state.latest.Sub(e.SentAt))
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

// updateInterference has a routing table published if the worker's interference changed
// noticeably.
func (sh *shard) updateInterference(w *worker) {
	if len(w.account.Host.Services) == 0 {
		return
	}
	current := sh.interference(w)
	if math.Abs(current-w.interference) >= interferenceDelta {
		w.interference = current
		sh.state.tableUpToDate = false
	}
}

// reconcileRunning compares the running tasks of an inventory with the view. It confirms
// starts, and stops runs that are not the current run of their task.
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
		t.seenSync = w.syncs
		t.listedAt = w.account.LastInventory
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

// isCurrentRun reports whether r is the current run of the task, on this worker.
func isCurrentRun(t *task, w *worker, r runner.Run) bool {
	return t != nil && t.state == describer.Started && t.token == r.Token && t.worker == w.name
}

// confirmStart notes that the worker is known to have started the run.
func (sh *shard) confirmStart(t *task, w *worker) {
	t.startPhase = startConfirmed
	t.confirmedSync = w.syncs
}

// reconcileFinished records the ends of runs that an inventory reports. Runs whose end is
// durable are acknowledged with the next sync.
func (sh *shard) reconcileFinished(w *worker, finished []runner.FinishedRun) {
	w.ackTasks = w.ackTasks[:0]
	w.ackTokens = w.ackTokens[:0]
	for i := range finished {
		f := &finished[i]
		t := sh.view.task(f.Task)
		if isCurrentRun(t, w, f.Run) {
			t.seenSync = w.syncs
			sh.recordEnd(t, w, f)
			continue
		}
		if f.OK && t != nil && t.state == describer.Pending && t.token == f.Token {
			// The worker was unreachable until the lease expired, but the run had
			// finished before. No newer run has started, so the result counts.
			sh.recordFinished(t, w, f.Result)
			continue
		}
		if t == nil || sh.journal.isDurable(t.lastBatch) {
			w.ackTasks = append(w.ackTasks, f.Task)
			w.ackTokens = append(w.ackTokens, f.Token)
		}
	}
}

// recordEnd records how a run ended: with a result, by the expiry of its lease or with a
// failure.
func (sh *shard) recordEnd(t *task, w *worker, f *runner.FinishedRun) {
	switch {
	case f.OK:
		sh.recordFinished(t, w, f.Result)
	case f.LeaseExpired:
		sh.recordReleased(t, runEnd{reason: "lease lapsed", checkpoint: f.Checkpoint})
	default:
		sh.recordFailure(t, w, f.Reason)
	}
}

// reconcileMissing releases runs that the latest inventory doesn't list. A run of a former
// epoch can't start any more, because the sync raised the worker's epoch. A run that was
// confirmed before the sync is over. A start that is still in flight is left alone.
func (sh *shard) reconcileMissing(w *worker) {
	var losses map[*task]describer.Loss // by what ran there before any is released
	for i := len(w.runs) - 1; i >= 0; i-- {
		t := w.runs[i]
		if t.seenSync == w.syncs || t.stop != nil && t.stop.sent {
			continue
		}
		if losses == nil {
			losses = sh.lossesOn(w, true)
		}
		switch {
		case t.startPhase == startAdopted:
			sh.recordLost(t, losses[t], "unknown to its worker")
		case t.startPhase == startConfirmed && t.confirmedSync < w.syncs:
			sh.recordLost(t, losses[t], "lost by its worker")
		case t.startPhase == startUnanswered && t.confirmedSync < w.syncs && sh.isEvacuated():
			sh.stopUnanswered(t)
		}
	}
}
