package reducer

import (
	"fmt"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/accountant"
	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/escalator"
)

// ownership is the state of a shard's ownership by this daemon.
type ownership uint8

const (
	notOwned  ownership = iota // not owned by this daemon
	claiming                   // ClaimShard was emitted and has no outcome yet
	owning                     // owned; the ledger is loaded
	releasing                  // being released; nothing is decided any more
)

func (o ownership) String() string {
	switch o {
	case notOwned:
		return "foreign"
	case claiming:
		return "claiming"
	case owning:
		return "owned"
	case releasing:
		return "releasing"
	}
	return fmt.Sprintf("ownership(%d)", uint8(o))
}

// shard is one shard of this failure domain. The fields from epoch on are valid only
// while it is owned, that is while view is not nil.
type shard struct {
	state           *State
	id              string
	config          describer.Shard
	ownership       ownership
	nextClaimAt     time.Time     // earliest time of the next claim
	failedClaims    int           // failed claims in a row
	heldSince       time.Time     // when a live peer was first seen to report the shard as its own, counted anew after a failed claim; zero if none does
	freeSince       time.Time     // since when no live peer reports the shard as its own; zero if one does
	minTenure       time.Duration // minimum time of ownership before it is handed over to a daemon that ranks higher
	releaseRecorded bool          // whether the last record is written; no lease is granted or renewed any more
	releaseSent     bool          // whether ReleaseShard was emitted

	epoch          int64
	view           *ledgerView
	claimedAt      time.Time          // not before the claim
	formerRelease  describer.Record   // last record of a former owner that released the shard; zero if none did
	lastSequence   int64              // sequence number of the latest token or throttle
	workers        map[string]*worker // workers of the shard by name
	sortedWorkers  []*worker          // values of workers, sorted by name
	fleet          *accountant.Fleet
	teams          map[string]*team // teams with tasks in the shard by name
	journal        journal
	lastPassAt     time.Time // last placement pass
	placementIdle  bool      // whether nothing changed since a pass that placed all it could
	evictionBudget *escalator.Budget
	reservations   []reservation        // capacity being freed for urgent tasks
	proposedAt     map[string]time.Time // last time of each proposal, by drain id or worker name
}

// decideAndFlush runs after each event: it places tasks, sends new records and proceeds
// with a release.
func (sh *shard) decideAndFlush() {
	if sh.view == nil {
		return
	}
	sh.placePending()
	if sh.ownership == releasing {
		sh.recordRelease()
	}
	sh.flush()
	if sh.ownership == releasing {
		sh.sendRelease()
	}
}

// appendRecord applies a record to the view at once and adds it to the journal.
func (sh *shard) appendRecord(r describer.Record) {
	r.Time = sh.state.now
	sh.journal.add(r)
	if t := sh.view.task(r.Task); t != nil {
		t.lastBatch = sh.journal.nextBatch()
	}
	sh.apply(r)
}

// isWritable reports whether new decisions may be recorded.
func (sh *shard) isWritable() bool { return sh.ownership == owning && !sh.state.stopping }

// dropOwnership discards the shard's state. Callers whose records are not known to be
// durable are told so.
func (sh *shard) dropOwnership() {
	sh.journal.refuseWaiting(sh.state)
	wasHandingOver := sh.ownership == releasing
	sh.ownership = notOwned
	sh.view = nil
	sh.workers = nil
	sh.sortedWorkers = nil
	sh.fleet = nil
	sh.teams = nil
	sh.reservations = nil
	sh.journal = journal{}
	sh.releaseRecorded = false
	sh.releaseSent = false
	sh.failedClaims = 0
	sh.nextClaimAt = sh.state.now.Add(minClaimRetry)
	if wasHandingOver {
		sh.nextClaimAt = sh.state.now.Add(handOverPause)
	}
	sh.state.tableUpToDate = false
}
