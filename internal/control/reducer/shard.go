package reducer

import (
	"fmt"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/accountant"
	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/escalator"
)

// ownership is how far this daemon is with a shard.
type ownership uint8

const (
	notOwned  ownership = iota // not owned here
	claiming                   // Claim without an answer yet
	owning                     // owned, book present
	releasing                  // giving up, nothing is decided any more
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

// shard is one shard of the own failure domain. The fields below the line
// exist only while it is owned.
type shard struct {
	state           *State
	id              string
	config          describer.Shard
	ownership       ownership
	nextClaimAt     time.Time // of the next claim
	failedClaims    int
	heldSince       time.Time     // since when a live peer says that it owns the shard, or the latest claim
	freeSince       time.Time     // since when no live peer says that it owns the shard
	minTenure       time.Duration // before it may be handed over to a better placed daemon
	releaseRecorded bool          // the last record is written; no lease is granted or renewed any more
	releaseSent     bool          // Release was emitted

	epoch          int64
	view           *ledgerView
	claimedAt      time.Time
	releaseRecord  describer.Record // the former owner's last one, if it gave the shard up
	lastSequence   int64            // of tokens
	workers        map[string]*worker
	sortedWorkers  []*worker // sorted by name
	fleet          *accountant.Fleet
	teams          map[string]*team
	journal        journal
	lastPassAt     time.Time // when tasks were last placed
	placementIdle  bool      // nothing changed since the last placement found nothing to do
	evictionBudget *escalator.Budget
	reservations   []reservation        // for urgent tasks
	proposedAt     map[string]time.Time // proposals that the configuration doesn't show yet
}

// settle decides and flushes after each event.
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

// append applies a record at once and makes it part of the next Append.
func (sh *shard) appendRecord(r describer.Record) {
	r.Time = sh.state.now
	sh.journal.add(r)
	if t := sh.view.task(r.Task); t != nil {
		t.lastBatch = sh.journal.nextBatch()
	}
	sh.apply(r)
}

// isDeciding reports whether new decisions may be recorded.
func (sh *shard) isWritable() bool { return sh.ownership == owning && !sh.state.stopping }

// lose forgets everything about the shard. Callers whose records are not
// known to be durable are told so.
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
