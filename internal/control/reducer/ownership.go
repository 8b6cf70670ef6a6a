package reducer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dotterelcart.dev/dotterelcart/internal/control/accountant"
	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// Times of ownership.
const (
	reviewInterval = time.Second
	minClaimRetry  = 2 * time.Second  // after a failed claim, doubled each time
	maxClaimRetry  = 30 * time.Second // upper bound of the same
	settleTime     = 10 * time.Second // of stable membership before a shard is handed over
	rankDelay      = 10 * time.Second // the n-th daemon of a shard's ranking claims it after n times this
	heldClaimDelay = 30 * time.Second // between claims of a shard that a live peer says it owns
	maxTenure      = time.Hour        // of a shard that nobody takes over, before it is offered again
	handOverPause  = 30 * time.Second // before a shard that was handed over is claimed again
)

// HomeShard returns the id of the shard whose ledger holds the job, by
// rendezvous hashing over all shards of the configuration. It is empty if
// there are none.
func HomeShard(c *describer.Configuration, job string) string {
	best, most := "", uint64(0)
	seed := xxhash.Sum64String(job)
	for i := range c.Shards {
		id := c.Shards[i].ID
		weight := mixHashes(seed, xxhash.Sum64String(id))
		if best == "" || weight > most || weight == most && id < best {
			best, most = id, weight
		}
	}
	return best
}

// mix combines two hashes into one (the finaliser of splitmix64).
func mixHashes(a, b uint64) uint64 {
	x := a ^ b*0x9e3779b97f4a7c15
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// arrangeShards follows the configuration's shards of the own failure domain.
// An owned shard that was removed is handed over.
func (s *State) updateShards() {
	found := make(map[string]bool)
	for _, c := range s.config.Shards {
		if c.Domain != s.options.Domain {
			continue
		}
		found[c.ID] = true
		sh := s.shards[c.ID]
		if sh == nil {
			sh = &shard{state: s, id: c.ID, freeSince: s.now, minTenure: settleTime}
			s.shards[c.ID] = sh
		}
		sh.config = c
	}
	for id, sh := range s.shards {
		if found[id] {
			continue
		}
		switch sh.ownership {
		case notOwned:
			delete(s.shards, id)
		case owning:
			sh.ownership = releasing
		}
	}
	s.sortedShards = s.sortedShards[:0]
	for _, sh := range s.shards {
		s.sortedShards = append(s.sortedShards, sh)
	}
	slices.SortFunc(s.sortedShards, func(a, b *shard) int { return compareStrings(a.id, b.id) })
	s.reviewOwnership()
}

func (s *State) updatePeers(alive []Peer) {
	alive = slices.Clone(alive)
	slices.SortFunc(alive, func(a, b Peer) int { return compareStrings(a.Name, b.Name) })
	if !slices.EqualFunc(alive, s.peers, func(a, b Peer) bool {
		return a.Name == b.Name && a.Domain == b.Domain && a.Leaving == b.Leaving
	}) {
		s.peersChangedAt = s.now
	}
	s.peers = alive
	s.tableUpToDate = false
	s.reviewOwnership()
}

// rank returns how many live peers go before this daemon for the shard, one
// of them not counted.
func (s *State) rank(id, without string) int {
	seed := xxhash.Sum64String(id)
	mine := mixHashes(seed, xxhash.Sum64String(s.options.Daemon))
	before := 0
	for _, p := range s.peers {
		if p.Name == s.options.Daemon || p.Name == without || p.Domain != s.options.Domain || p.Leaving {
			continue
		}
		weight := mixHashes(seed, xxhash.Sum64String(p.Name))
		if weight > mine || weight == mine && p.Name < s.options.Daemon {
			before++
		}
	}
	return before
}

// holder returns the live peer that says it owns the shard, or an empty name.
func (s *State) peerHolding(id string) string {
	for _, p := range s.peers {
		if p.Name != s.options.Daemon && p.Domain == s.options.Domain && slices.Contains(p.Shards, id) {
			return p.Name
		}
	}
	return ""
}

// reviewOwnership claims and hands over shards. Views of membership may
// differ between daemons; the store's lease decides.
func (s *State) reviewOwnership() {
	for _, sh := range s.sortedShards {
		switch sh.ownership {
		case notOwned:
			sh.maybeClaim()
		case owning:
			sh.maybeRelease()
		}
	}
}

func (sh *shard) maybeClaim() {
	s := sh.state
	wait := time.Duration(s.rank(sh.id, "")) * rankDelay
	if holder := s.peerHolding(sh.id); holder == "" {
		sh.heldSince = time.Time{}
	} else {
		// It may be cut off from the store and not know that it lost the shard.
		sh.freeSince = time.Time{}
		if sh.heldSince.IsZero() {
			sh.heldSince = s.now
		}
		wait = s.heldClaimWait(sh, holder)
	}
	if s.stopping || s.now.Before(sh.nextClaimAt) || s.now.Sub(sh.claimWaitSince()) < wait {
		return
	}
	sh.ownership = claiming
	s.emit(ClaimShard{Shard: sh.id})
}

// since returns from when a claim's wait counts.
func (sh *shard) claimWaitSince() time.Time {
	if !sh.heldSince.IsZero() {
		return sh.heldSince
	}
	if sh.freeSince.IsZero() {
		sh.freeSince = sh.state.now
	}
	return sh.freeSince
}

// doubt returns how long a daemon waits before it tries to claim a shard that
// a live peer says it owns.
func (s *State) heldClaimWait(sh *shard, holder string) time.Duration {
	return heldClaimDelay + time.Duration(s.rank(sh.id, holder))*rankDelay
}

// considerRelease hands a shard to a better placed daemon once membership
// has been stable for a while.
func (sh *shard) maybeRelease() {
	s := sh.state
	if s.stopping {
		sh.ownership = releasing
		return
	}
	stable := s.now.Sub(s.peersChangedAt) >= settleTime && s.now.Sub(sh.claimedAt) >= sh.minTenure
	if s.rank(sh.id, "") == 0 || !stable || !s.storeReachable || sh.hasUnsyncedRuns() || sh.hasRestoringWorker() {
		return
	}
	// Whoever is better placed may be cut off from the store. If nobody takes
	// the shard over and it comes back, it stays longer each time.
	sh.minTenure = min(2*max(sh.minTenure, settleTime), maxTenure)
	sh.ownership = releasing
}

// isRestoring reports whether a worker is being given its work back. The steps
// that it has reached are in memory only; a new owner would begin them again.
func (sh *shard) hasRestoringWorker() bool {
	for _, w := range sh.sortedWorkers {
		if sh.state.drains[w.name].state == describer.Restoring {
			return true
		}
	}
	return false
}

// isRecovering reports whether some worker with runs has not been heard yet.
// A hand-over would begin the wait for it anew.
func (sh *shard) hasUnsyncedRuns() bool {
	for _, w := range sh.sortedWorkers {
		if !w.synced && len(w.runs) > 0 {
			return true
		}
	}
	return false
}

// closeLedger writes the owner's last record. A successor need not wait for
// this daemon to notice an outage; the leases that it granted are all there is.
func (sh *shard) recordRelease() {
	if sh.releaseRecorded {
		return
	}
	sh.releaseRecorded = true
	wait := time.Duration(0)
	for _, w := range sh.sortedWorkers {
		if len(w.runs) > 0 {
			wait = max(wait, w.leasesEnd.Sub(sh.state.now))
		}
	}
	sh.appendRecord(describer.Record{Kind: describer.ShardReleased, Token: describer.Token{Epoch: sh.epoch}, LeaseWait: wait})
}

// handOver emits Release once every decision has been sent to the ledger.
func (sh *shard) sendRelease() {
	if sh.releaseSent || !sh.journal.allSent() {
		return
	}
	sh.releaseSent = true
	sh.state.emit(ReleaseShard{Shard: sh.id, Epoch: sh.epoch})
}

func (s *State) handleClaimFailed(e ClaimFailed) {
	sh := s.shards[e.Shard]
	if sh == nil || sh.ownership != claiming {
		return
	}
	sh.ownership = notOwned
	wait := min(minClaimRetry<<min(sh.failedClaims, 8), maxClaimRetry)
	sh.heldSince = time.Time{}
	sh.failedClaims++
	sh.nextClaimAt = s.now.Add(wait)
}

// claimed replays the ledger. Started tasks keep their grants until an
// inventory under the new epoch or the lapse of their leases says more.
func (s *State) handleClaimed(e ShardClaimed) {
	sh := s.shards[e.Shard]
	if sh == nil {
		s.emit(ReleaseShard{Shard: e.Shard, Epoch: e.Epoch})
		return
	}
	if sh.view != nil {
		sh.dropOwnership()
	}
	sh.ownership = owning
	sh.epoch = e.Epoch
	sh.view = newLedgerView()
	sh.claimedAt = s.now
	s.storeContactAt = s.now
	sh.lastSequence = 0
	sh.workers = make(map[string]*worker)
	sh.fleet = &accountant.Fleet{Workers: make(map[string]*accountant.Worker)}
	sh.teams = make(map[string]*team)
	sh.journal = journal{shard: sh}
	sh.proposedAt = make(map[string]time.Time)
	sh.placementIdle = false
	sh.lastPassAt = s.now
	sh.failedClaims = 0
	sh.arrangeWorkers()
	sh.evictionBudget = sh.newEvictionBudget(s.now)
	sh.releaseRecord = describer.Record{}
	if sh.restore(e.Snapshot) != nil {
		// A shard whose past can't be read must not decide anything.
		sh.ownership = releasing
		return
	}
	for _, r := range e.Records {
		sh.apply(r)
	}
	sh.journal.recordsSinceSnapshot = len(e.Records)
	for _, w := range sh.sortedWorkers {
		w.leasesEnd = sh.formerLeasesEnd()
	}
	for _, w := range slices.Clone(sh.sortedWorkers) { // sync may forget one
		sh.updateClosed(w)
		sh.sendSync(w)
	}
	s.tableUpToDate = false
}
