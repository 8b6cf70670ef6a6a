package reducer

import (
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/accountant"
	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/escalator"
	"dotterelcart.dev/dotterelcart/internal/control/restorer"
)

const (
	// maxMissedSyncs is the number of unanswered syncs in a row after which a worker
	// counts as unreachable: it gets no tasks and its leases are left to expire.
	maxMissedSyncs = 3

	// refusalPause is how long nothing is placed on a worker that refused a start.
	refusalPause = 5 * time.Second
)

// worker is the state of one worker as its shard's owner knows it.
type worker struct {
	name         string
	account      *accountant.Worker
	listed       bool // whether the host list has it
	runs         []*task
	pendingStops int // stops that have no answer yet

	syncs           uint64             // number of syncs sent
	syncPending     bool               // whether the latest sync has no outcome yet
	syncSentAt      time.Time          // time of the latest sync
	synced          bool               // whether it has answered a sync under this epoch
	missedSyncs     int                // unanswered syncs in a row
	clock           time.Time          // the worker's clock at its latest inventory
	clockReadAt     time.Time          // this daemon's clock at the start of that sync
	clockError      time.Duration      // upper bound of the duration of that sync
	nextSyncAt      time.Time          // time of the next scheduled sync
	expiryScheduled bool               // whether a timer for the expiry of its leases is set
	leasesEnd       time.Time          // end of the longest lease granted so far, without the margin
	ackTasks        []describer.TaskID // finished runs to acknowledge with the next sync
	ackTokens       []describer.Token  // tokens of the runs in ackTasks
	pausedUntil     time.Time          // nothing is placed before this time

	failureStreak    failureStreak
	probeAllowed     bool // whether one task may be placed in spite of the quarantine
	restoreState     restorer.State
	restoreBlockedBy string    // what delays its restore; empty if nothing does
	restoredBatch    int64     // batch of the record that its restore is complete
	resizedAt        time.Time // last time that grants were adapted to use
	interference     float64   // interference in the latest routing table
	escalationState  escalator.State
	missingSince     time.Time // time from which the host list lacks it; zero if it is listed
}

func (s *State) updateWorkers() {
	for _, sh := range s.sortedShards {
		if sh.view != nil {
			sh.updateWorkers()
		}
	}
}

// updateWorkers adopts the workers of the shard's racks from the host list. A worker that
// is no longer listed stays as long as it has runs, because the list may be out of date.
func (sh *shard) updateWorkers() {
	racks := make(map[string]bool, len(sh.config.Racks))
	for _, rack := range sh.config.Racks {
		racks[rack] = true
	}
	for _, w := range sh.sortedWorkers {
		w.listed = false
	}
	for i := range sh.state.hosts {
		host := &sh.state.hosts[i]
		if host.Role == describer.Worker && host.Domain == sh.config.Domain && racks[host.Rack] {
			sh.updateListed(host)
		}
	}
	for _, w := range slices.Clone(sh.sortedWorkers) {
		sh.reviewWorker(w)
	}
}

// updateListed adopts an entry of the host list. A capacity that the worker itself has
// reported takes precedence over the listed one.
func (sh *shard) updateListed(host *describer.Host) {
	w := sh.ensureWorker(host.Name)
	capacity := w.account.Host.Capacity
	w.account.Host = *host
	if w.synced {
		w.account.Host.Capacity = capacity
	}
	w.listed = true
	w.missingSince = time.Time{}
}

// reviewWorker removes a worker that is no longer listed and not needed any more, and
// updates the others.
func (sh *shard) reviewWorker(w *worker) {
	if !w.listed && w.missingSince.IsZero() {
		w.missingSince = sh.state.now
	}
	if !w.listed && len(w.runs) == 0 && !w.syncPending {
		sh.removeWorker(w)
		return
	}
	sh.updateClosed(w)
}

// removeWorker removes a worker that has no runs.
func (sh *shard) removeWorker(w *worker) {
	delete(sh.workers, w.name)
	delete(sh.fleet.Workers, w.name)
	sh.state.timeline.Forget(w.name)
	sh.sortedWorkers = slices.DeleteFunc(sh.sortedWorkers, func(o *worker) bool { return o == w })
}

// formerLeasesEnd returns when all leases granted by former owners have expired, without
// the margin. An owner that lost contact to the store may have renewed leases for the
// outage limit. An owner that released the shard recorded how long its leases last.
func (sh *shard) formerLeasesEnd() time.Time {
	if sh.formerRelease.Token.Epoch == sh.epoch-1 && sh.formerRelease.Kind == describer.ShardReleased {
		return sh.claimedAt.Add(sh.formerRelease.LeaseWait)
	}
	return sh.claimedAt.Add(sh.state.options.OutageLimit + sh.state.options.TaskLease)
}

// ensureWorker returns the worker with the given name, which it adds if necessary. A
// worker that is known only from the ledger is closed and has no capacity.
func (sh *shard) ensureWorker(name string) *worker {
	if w := sh.workers[name]; w != nil {
		return w
	}
	account := &accountant.Worker{
		Host:   describer.Host{Name: name},
		Grants: make(map[describer.TaskID]accountant.Grant),
		Closed: true,
	}
	w := &worker{name: name, account: account}
	w.leasesEnd = sh.formerLeasesEnd()
	sh.workers[name] = w
	sh.fleet.Workers[name] = account
	at, _ := slices.BinarySearchFunc(sh.sortedWorkers, name, func(o *worker, n string) int { return compareStrings(o.name, n) })
	sh.sortedWorkers = slices.Insert(sh.sortedWorkers, at, w)
	sh.scheduleSync(w)
	if sh.view.quarantined[name] != "" {
		sh.addTimer(probeInterval, timer{kind: timerProbe, worker: w})
	}
	return w
}

// updateClosed recomputes whether the worker is closed to new tasks, and removes the
// limits of a drain that is over.
func (sh *shard) updateClosed(w *worker) {
	if _, drained := sh.state.drains[w.name]; !drained {
		sh.setBatchLimit(w, false, 0)
		w.restoreBlockedBy = ""
	}
	closed := sh.closedReason(w) != ""
	if w.account.Closed && !closed {
		w.account.OpenedAt = sh.state.now
		sh.placementIdle = false
	}
	if w.account.Closed != closed {
		sh.state.tableUpToDate = false
	}
	w.account.Closed = closed
}

// closedReason returns why no tasks are placed on the worker, or an empty string if they
// may be.
func (sh *shard) closedReason(w *worker) string {
	d, drained := sh.state.drains[w.name]
	switch {
	case !w.listed:
		return "not in the host list"
	case w.account.Host.State == describer.Leaving:
		return "leaving"
	case sh.isEvacuated():
		return sh.state.evacuationReason(sh.config.Domain)
	case drained && d.state == describer.Draining:
		return "draining for " + d.id
	case !w.synced:
		return "no inventory yet"
	case w.missedSyncs >= maxMissedSyncs:
		return "no answer"
	case sh.view.quarantined[w.name] != "" && !w.probeAllowed:
		return sh.view.quarantined[w.name]
	case sh.state.now.Before(w.pausedUntil):
		return "refused a start"
	case w.hasIsolatedRun(sh.state.now):
		return "a task runs in isolation"
	}
	return ""
}

// addRun adds a started task and its grant to the accounts of its worker and team. During
// replay the grant may exceed the worker's known capacity; it is accounted all the same.
func (sh *shard) addRun(t *task) {
	w := sh.ensureWorker(t.worker)
	g := accountant.Grant{
		Token:     t.token,
		Class:     t.job.Class,
		Team:      t.job.Team,
		Kind:      t.job.Kind,
		Priority:  t.job.Priority,
		Resources: t.granted,
		ReturnTo:  t.drainedFrom,
		Since:     sh.state.now,
	}
	if w.account.Allocate(t.id(), g) != nil {
		w.account.Adopt(t.id(), g)
	}
	t.slot = int32(len(w.runs))
	w.runs = append(w.runs, t)
	team := sh.ensureTeam(t.job.Team)
	team.used = team.used.Add(t.granted)
	sh.recordShares(w)
}

// recordShares notes the batch tasks that run on the worker from now on. The learner needs
// them when a latency report for this time arrives later.
func (sh *shard) recordShares(w *worker) {
	if len(w.account.Host.Services) > 0 {
		sh.state.timeline.Record(w.name, sh.state.now, w.account.BatchShares())
	}
}

// removeRun removes a task that is no longer started from the accounts of its worker and
// team.
func (sh *shard) removeRun(t *task) {
	w := sh.ensureWorker(t.worker)
	w.account.Release(t.id(), t.token)
	last := len(w.runs) - 1
	w.runs[t.slot] = w.runs[last]
	w.runs[t.slot].slot = t.slot
	w.runs[last] = nil
	w.runs = w.runs[:last]
	if t.stop != nil && t.stop.sent {
		w.pendingStops--
	}
	team := sh.ensureTeam(t.job.Team)
	team.used = team.used.Sub(t.granted)
	sh.placementIdle = false
	sh.recordShares(w)
	if !w.listed && last == 0 {
		sh.scheduleSync(w)
	}
}
