package reducer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dotterelcart.dev/dotterelcart/internal/control/accountant"
	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

const (
	// reviewInterval is the time between reviews of ownership and drains.
	reviewInterval = time.Second

	// The delay between failed claims of a shard doubles with each failure.
	minClaimRetry = 2 * time.Second
	maxClaimRetry = 30 * time.Second

	// stableTime is how long membership must not change before a shard is handed
	// over to a daemon that ranks higher.
	stableTime = 10 * time.Second

	// rankDelay staggers claims: a daemon waits this long for each peer that ranks
	// higher for the shard.
	rankDelay = 10 * time.Second

	// heldClaimDelay is the additional wait before claiming a shard that a live peer
	// reports as its own.
	heldClaimDelay = 30 * time.Second

	// maxTenure is the longest time between two attempts to hand over a shard that
	// no other daemon takes.
	maxTenure = time.Hour

	// handOverPause is the wait before a shard that was handed over is claimed again.
	handOverPause = 30 * time.Second
)

// HomeShard returns the id of the shard whose ledger holds the job. It is chosen by
// rendezvous hashing of the job id over all shards of the configuration, and empty if
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

// mixHashes combines two hashes into one with the finalizer of splitmix64.
func mixHashes(a, b uint64) uint64 {
	x := a ^ b*0x9e3779b97f4a7c15
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// updateShards adopts the configuration's shards of this failure domain. An owned shard
// that was removed from the configuration is released.
func (s *State) updateShards() {
	found := make(map[string]bool)
	for _, c := range s.config.Shards {
		if c.Domain != s.options.Domain {
			continue
		}
		found[c.ID] = true
		sh := s.shards[c.ID]
		if sh == nil {
			sh = &shard{state: s, id: c.ID, freeSince: s.now, minTenure: stableTime}
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

// updatePeers adopts the live peers and notes when membership changed.
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

// rank returns how many live peers of this failure domain rank higher than this daemon
// as owner of the shard, by rendezvous hashing. Leaving peers and the peer named
// excluded are not counted.
func (s *State) rank(id, excluded string) int {
	seed := xxhash.Sum64String(id)
	mine := mixHashes(seed, xxhash.Sum64String(s.options.Daemon))
	higher := 0
	for _, p := range s.peers {
		if p.Name == s.options.Daemon || p.Name == excluded || p.Domain != s.options.Domain || p.Leaving {
			continue
		}
		weight := mixHashes(seed, xxhash.Sum64String(p.Name))
		if weight > mine || weight == mine && p.Name < s.options.Daemon {
			higher++
		}
	}
	return higher
}

// peerHolding returns the name of a live peer that reports the shard as its own, or an
// empty string.
func (s *State) peerHolding(id string) string {
	for _, p := range s.peers {
		if p.Name != s.options.Daemon && p.Domain == s.options.Domain && slices.Contains(p.Shards, id) {
			return p.Name
		}
	}
	return ""
}

// reviewOwnership claims and hands over shards. The daemons' views of membership may
// differ; the shard lease in the store decides who owns a shard.
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

// maybeClaim claims the shard after a wait that depends on the daemon's rank and on
// whether a live peer reports the shard as its own.
func (sh *shard) maybeClaim() {
	s := sh.state
	wait := time.Duration(s.rank(sh.id, "")) * rankDelay
	if holder := s.peerHolding(sh.id); holder == "" {
		sh.heldSince = time.Time{}
	} else {
		// The peer may be cut off from the store and not know that it lost the shard.
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

// claimWaitSince returns when the wait before the next claim began.
func (sh *shard) claimWaitSince() time.Time {
	if !sh.heldSince.IsZero() {
		return sh.heldSince
	}
	if sh.freeSince.IsZero() {
		sh.freeSince = sh.state.now
	}
	return sh.freeSince
}

// heldClaimWait returns how long this daemon waits before it claims a shard that the
// live peer holder reports as its own.
func (s *State) heldClaimWait(sh *shard, holder string) time.Duration {
	return heldClaimDelay + time.Duration(s.rank(sh.id, holder))*rankDelay
}

// maybeRelease starts to release the shard on a planned stop, or to hand it over to a
// daemon that ranks higher after membership has been stable for stableTime.
func (sh *shard) maybeRelease() {
	s := sh.state
	if s.stopping {
		sh.ownership = releasing
		return
	}
	stable := s.now.Sub(s.peersChangedAt) >= stableTime && s.now.Sub(sh.claimedAt) >= sh.minTenure
	if s.rank(sh.id, "") == 0 || !stable || !s.storeReachable || sh.hasUnsyncedRuns() || sh.hasRestoringWorker() {
		return
	}
	// The daemon that ranks higher may be cut off from the store. If no daemon takes
	// the shard and this one claims it again, it keeps it twice as long as before.
	sh.minTenure = min(2*max(sh.minTenure, stableTime), maxTenure)
	sh.ownership = releasing
}

// hasRestoringWorker reports whether a worker of the shard is being restored. The
// progress of a restore is only in memory, so a new owner would start it again.
func (sh *shard) hasRestoringWorker() bool {
	for _, w := range sh.sortedWorkers {
		if sh.state.drains[w.name].state == describer.Restoring {
			return true
		}
	}
	return false
}

// hasUnsyncedRuns reports whether a worker with runs has not answered a sync since this
// daemon claimed the shard. A hand-over would start the wait for it again.
func (sh *shard) hasUnsyncedRuns() bool {
	for _, w := range sh.sortedWorkers {
		if !w.synced && len(w.runs) > 0 {
			return true
		}
	}
	return false
}

// recordRelease writes the owner's last record, which says when all leases that it
// granted have expired. The next owner then waits only this long for unreachable
// workers, instead of the outage limit. No lease is granted or renewed afterwards.
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

// sendRelease emits ReleaseShard once all records have been sent to the ledger.
func (sh *shard) sendRelease() {
	if sh.releaseSent || !sh.journal.allSent() {
		return
	}
	sh.releaseSent = true
	sh.state.emit(ReleaseShard{Shard: sh.id, Epoch: sh.epoch})
}

// handleClaimFailed schedules the next claim with a growing delay.
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

// handleClaimed rebuilds the shard from its ledger. Started tasks keep their grants until
// an inventory under the new epoch arrives or their leases expire.
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
	sh.claimedAt = s.latest
	s.lastStoreContact = s.now
	sh.lastSequence = 0
	sh.workers = make(map[string]*worker)
	sh.fleet = &accountant.Fleet{Workers: make(map[string]*accountant.Worker)}
	sh.teams = make(map[string]*team)
	sh.journal = journal{shard: sh}
	sh.proposedAt = make(map[string]time.Time)
	sh.placementIdle = false
	sh.lastPassAt = s.now
	sh.failedClaims = 0
	sh.updateWorkers()
	sh.evictionBudget = sh.newEvictionBudget(s.now)
	sh.formerRelease = describer.Record{}
	if sh.restore(e.Snapshot) != nil {
		// Without the complete state no decision would be safe.
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
	for _, w := range slices.Clone(sh.sortedWorkers) { // sendSync may remove a worker
		sh.updateClosed(w)
		sh.sendSync(w)
	}
	s.tableUpToDate = false
}
