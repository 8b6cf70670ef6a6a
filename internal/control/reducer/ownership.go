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
	claimRetry     = 2 * time.Second  // after a failed claim, doubled each time
	claimRetryMost = 30 * time.Second // upper bound of the same
	settleTime     = 10 * time.Second // of stable membership before a shard is handed over
	rankDelay      = 10 * time.Second // the n-th daemon of a shard's ranking claims it after n times this
	doubtDelay     = 30 * time.Second // between claims of a shard that a live peer says it owns
	tenureMost     = time.Hour        // of a shard that nobody takes over, before it is offered again
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
		weight := mix(seed, xxhash.Sum64String(id))
		if best == "" || weight > most || weight == most && id < best {
			best, most = id, weight
		}
	}
	return best
}

// mix combines two hashes into one (the finaliser of splitmix64).
func mix(a, b uint64) uint64 {
	x := a ^ b*0x9e3779b97f4a7c15
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// arrangeShards follows the configuration's shards of the own failure domain.
// An owned shard that was removed is handed over.
func (s *State) arrangeShards() {
	found := make(map[string]bool)
	for _, c := range s.config.Shards {
		if c.Domain != s.options.Domain {
			continue
		}
		found[c.ID] = true
		h := s.shards[c.ID]
		if h == nil {
			h = &shard{state: s, id: c.ID, freeAt: s.now, tenure: settleTime}
			s.shards[c.ID] = h
		}
		h.config = c
	}
	for id, h := range s.shards {
		if found[id] {
			continue
		}
		switch h.phase {
		case foreign:
			delete(s.shards, id)
		case owning:
			h.phase = releasing
		}
	}
	s.order = s.order[:0]
	for _, h := range s.shards {
		s.order = append(s.order, h)
	}
	slices.SortFunc(s.order, func(a, b *shard) int { return compareText(a.id, b.id) })
	s.reviewOwnership()
}

func (s *State) changePeers(alive []Peer) {
	alive = slices.Clone(alive)
	slices.SortFunc(alive, func(a, b Peer) int { return compareText(a.Name, b.Name) })
	if !slices.EqualFunc(alive, s.peers, func(a, b Peer) bool {
		return a.Name == b.Name && a.Domain == b.Domain && a.Leaving == b.Leaving
	}) {
		s.settled = s.now
	}
	s.peers = alive
	s.published = false
	s.reviewOwnership()
}

// rank returns how many live peers go before this daemon for the shard, one
// of them not counted.
func (s *State) rank(id, without string) int {
	seed := xxhash.Sum64String(id)
	mine := mix(seed, xxhash.Sum64String(s.options.Daemon))
	before := 0
	for _, p := range s.peers {
		if p.Name == s.options.Daemon || p.Name == without || p.Domain != s.options.Domain || p.Leaving {
			continue
		}
		weight := mix(seed, xxhash.Sum64String(p.Name))
		if weight > mine || weight == mine && p.Name < s.options.Daemon {
			before++
		}
	}
	return before
}

// holder returns the live peer that says it owns the shard, or an empty name.
func (s *State) holder(id string) string {
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
	for _, h := range s.order {
		switch h.phase {
		case foreign:
			h.considerClaim()
		case owning:
			h.considerRelease()
		}
	}
}

func (h *shard) considerClaim() {
	s := h.state
	wait := time.Duration(s.rank(h.id, "")) * rankDelay
	if holder := s.holder(h.id); holder == "" {
		h.heldAt = time.Time{}
	} else {
		// It may be cut off from the store and not know that it lost the shard.
		h.freeAt = time.Time{}
		if h.heldAt.IsZero() {
			h.heldAt = s.now
		}
		wait = s.doubt(h, holder)
	}
	if s.stopping || s.now.Before(h.tryAt) || s.now.Sub(h.since()) < wait {
		return
	}
	h.phase = claiming
	s.emit(Claim{Shard: h.id})
}

// since returns from when a claim's wait counts.
func (h *shard) since() time.Time {
	if !h.heldAt.IsZero() {
		return h.heldAt
	}
	if h.freeAt.IsZero() {
		h.freeAt = h.state.now
	}
	return h.freeAt
}

// doubt returns how long a daemon waits before it tries to claim a shard that
// a live peer says it owns.
func (s *State) doubt(h *shard, holder string) time.Duration {
	return doubtDelay + time.Duration(s.rank(h.id, holder))*rankDelay
}

// considerRelease hands a shard to a better placed daemon once membership
// has been stable for a while.
func (h *shard) considerRelease() {
	s := h.state
	if s.stopping {
		h.phase = releasing
		return
	}
	stable := s.now.Sub(s.settled) >= settleTime && s.now.Sub(h.claimed) >= h.tenure
	if s.rank(h.id, "") == 0 || !stable || !s.reached || h.isRecovering() || h.isRestoring() {
		return
	}
	// Whoever is better placed may be cut off from the store. If nobody takes
	// the shard over and it comes back, it stays longer each time.
	h.tenure = min(2*max(h.tenure, settleTime), tenureMost)
	h.phase = releasing
}

// isRestoring reports whether a worker is being given its work back. The steps
// that it has reached are in memory only; a new owner would begin them again.
func (h *shard) isRestoring() bool {
	for _, w := range h.order {
		if h.state.drains[w.name].state == describer.Restoring {
			return true
		}
	}
	return false
}

// isRecovering reports whether some worker with runs has not been heard yet.
// A hand-over would begin the wait for it anew.
func (h *shard) isRecovering() bool {
	for _, w := range h.order {
		if !w.heard && len(w.runs) > 0 {
			return true
		}
	}
	return false
}

// closeLedger writes the owner's last record. A successor need not wait for
// this daemon to notice an outage; the leases that it granted are all there is.
func (h *shard) closeLedger() {
	if h.closing {
		return
	}
	h.closing = true
	wait := time.Duration(0)
	for _, w := range h.order {
		if len(w.runs) > 0 {
			wait = max(wait, w.extent.Sub(h.state.now))
		}
	}
	h.append(describer.Record{Kind: describer.ShardReleased, Token: describer.Token{Epoch: h.epoch}, LeaseWait: wait})
}

// handOver emits Release once every decision has been sent to the ledger.
func (h *shard) handOver() {
	if h.handing || !h.journal.isSent() {
		return
	}
	h.handing = true
	h.state.emit(Release{Shard: h.id, Epoch: h.epoch})
}

func (s *State) claimFailed(e ClaimFailed) {
	h := s.shards[e.Shard]
	if h == nil || h.phase != claiming {
		return
	}
	h.phase = foreign
	wait := min(claimRetry<<min(h.tries, 8), claimRetryMost)
	h.heldAt = time.Time{}
	h.tries++
	h.tryAt = s.now.Add(wait)
}

// claimed replays the ledger. Started tasks keep their grants until an
// inventory under the new epoch or the lapse of their leases says more.
func (s *State) claimed(e ShardClaimed) {
	h := s.shards[e.Shard]
	if h == nil {
		s.emit(Release{Shard: e.Shard, Epoch: e.Epoch})
		return
	}
	if h.book != nil {
		h.lose()
	}
	h.phase = owning
	h.epoch = e.Epoch
	h.book = newBook()
	h.claimed = s.now
	s.contact = s.now
	h.sequence = 0
	h.workers = make(map[string]*worker)
	h.fleet = &accountant.Fleet{Workers: make(map[string]*accountant.Worker)}
	h.teams = make(map[string]*team)
	h.journal = journal{shard: h}
	h.proposed = make(map[string]time.Time)
	h.idle = false
	h.passed = s.now
	h.tries = 0
	h.arrangeWorkers()
	h.budget = h.newBudget(s.now)
	h.released = describer.Record{}
	if h.restore(e.Snapshot) != nil {
		// A shard whose past can't be read must not decide anything.
		h.phase = releasing
		return
	}
	for _, r := range e.Records {
		h.apply(r)
	}
	h.journal.sinceSnapshot = len(e.Records)
	for _, w := range h.order {
		w.extent = h.formerExtent()
	}
	for _, w := range slices.Clone(h.order) { // sync may forget one
		h.refresh(w)
		h.sync(w)
	}
	s.published = false
}
