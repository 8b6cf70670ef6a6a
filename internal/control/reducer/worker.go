package reducer

import (
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/accountant"
	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/escalator"
	"dotterelcart.dev/dotterelcart/internal/control/restorer"
)

// Bounds on workers.
const (
	maxMissedSyncs = 3               // unanswered inventories in a row before leases are left to lapse
	refusalPause   = 5 * time.Second // without placements after a refused start
)

// worker is the owner's view of one worker.
type worker struct {
	name         string
	account      *accountant.Worker
	listed       bool // in the host list
	runs         []*task
	pendingStops int // stops without an answer

	syncs          uint64        // inventories asked for
	syncPending    bool          // one is without an answer
	syncSentAt     time.Time     // when it was asked for
	synced         bool          // an inventory under this epoch has come
	missedSyncs    int           // unanswered in a row
	clock          time.Time     // of the worker, by its latest inventory
	clockReadAt    time.Time     // when that call began
	clockError     time.Duration // how long that call took at most
	nextSyncAt     time.Time     // of the next inventory
	lapseScheduled bool          // a timer for the lapse of its leases is set
	leasesEnd      time.Time     // no lease given so far lasts longer, margin not counted
	ackTasks       []describer.TaskID
	ackTokens      []describer.Token
	pausedUntil    time.Time // no placements before

	failureStreak   failureStreak
	probeAllowed    bool // one task may be placed in spite of being set aside
	restoreState    restorer.State
	restoreHold     string    // what holds its restore back
	restoredBatch   int64     // of the record that it is restored
	resizedAt       time.Time // when grants were last adapted to use
	interference    float64   // published interference
	escalationState escalator.State
	missingSince    time.Time // since when it is missing in the host list
}

func (s *State) updateWorkers() {
	for _, sh := range s.sortedShards {
		if sh.view != nil {
			sh.arrangeWorkers()
		}
	}
}

// arrangeWorkers follows the host list and the shard's racks. A worker that
// vanished from the lagging list stays as long as it has grants.
func (sh *shard) arrangeWorkers() {
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

// list takes in a line of the host list. The capacity that the worker itself
// has stated goes before the listed one.
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

func (sh *shard) removeWorker(w *worker) {
	delete(sh.workers, w.name)
	delete(sh.fleet.Workers, w.name)
	sh.state.timeline.Forget(w.name)
	sh.sortedWorkers = slices.DeleteFunc(sh.sortedWorkers, func(o *worker) bool { return o == w })
}

// formerExtent is when the leases that former owners granted have lapsed. One
// that was cut off may have gone on renewing for the outage limit; one that
// gave the shard up to this owner said how long its leases last.
func (sh *shard) formerLeasesEnd() time.Time {
	if sh.releaseRecord.Token.Epoch == sh.epoch-1 && sh.releaseRecord.Kind == describer.ShardReleased {
		return sh.claimedAt.Add(sh.releaseRecord.LeaseWait)
	}
	return sh.claimedAt.Add(sh.state.options.OutageLimit + sh.state.options.TaskLease)
}

// worker returns the worker of that name. One that is known from the ledger
// only is closed and has no capacity.
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

// refresh recomputes whether tasks may be placed on the worker.
func (sh *shard) updateClosed(w *worker) {
	if _, drained := sh.state.drains[w.name]; !drained {
		sh.setBatchLimit(w, false, 0)
		w.restoreHold = ""
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

// closedBy says why no task is placed on the worker, or nothing.
func (sh *shard) closedReason(w *worker) string {
	d, drained := sh.state.drains[w.name]
	switch {
	case !w.listed:
		return "not in the host list"
	case w.account.Host.State == describer.Leaving:
		return "leaving"
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
	}
	return ""
}

// hold accounts a started task's grant. In replay it may exceed what the
// worker has; it is still there.
func (sh *shard) addRun(t *task) {
	w := sh.ensureWorker(t.worker)
	g := accountant.Grant{
		Token:     t.token,
		Class:     t.job.Class,
		Team:      t.job.Team,
		Kind:      t.job.Kind,
		Priority:  t.job.Priority,
		Resources: t.granted,
		ReturnTo:  t.drainedOff,
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

// noteShares keeps what runs on the worker for late reports.
func (sh *shard) recordShares(w *worker) {
	if len(w.account.Host.Services) > 0 {
		sh.state.timeline.Record(w.name, sh.state.now, w.account.BatchShares())
	}
}

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
