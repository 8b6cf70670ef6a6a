// Package reducer is the control plane of a daemon as a pure function.
//
// # Model
//
// The caller owns a [State] and feeds it one [Event] at a time; each returns
// the [Effect] values to be carried out. Nothing in this package does I/O,
// reads a clock or starts a goroutine, so a sequence of events gives the same
// effects every time.
//
//	s := reducer.New(options, reducer.Policies{})
//	for event := range events {
//		execute(s.Reduce(event))
//	}
//
// # Write-ahead
//
// A decision becomes a [describer.Record], is applied to the shard's book at
// once and sent with the shard's next [AppendRecords]. What the decision causes
// outside (a start, an answer to a caller) waits for [RecordsAppended]. The book is
// therefore always ahead of the ledger, never beside it, and it is thrown
// away with the ownership of the shard.
package reducer

import (
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/learner"
	"dotterelcart.dev/dotterelcart/internal/control/placer"
)

// Options are what a State needs to know from its daemon's settings.
type Options struct {
	Daemon string // this daemon's name in membership
	Domain string // its failure domain
	Region string

	TaskLease    time.Duration // granted to workers with each renewal
	LeaseMargin  time.Duration // for clock drift, added before a lapsed run counts as over
	SyncInterval time.Duration // between inventories of one worker

	// OutageLimit is how long an owner that can't reach the store goes on
	// renewing task leases. A successor waits as long before it counts the
	// leases on a worker that it can't reach as lapsed. The default is
	// 15 minutes.
	OutageLimit time.Duration
}

const defaultOutageLimit = 15 * time.Minute

// State is the control state of one daemon. Only one goroutine may use it.
type State struct {
	options        Options
	policies       Policies
	placer         placer.Policy
	services       map[string]describer.Service // by name
	timeline       learner.Timeline
	usage          placer.Usage
	now            time.Time
	config         describer.Configuration
	hosts          []describer.Host
	peers          []Peer
	peersChangedAt time.Time // when membership last changed
	storeReachable bool      // the store answered the last call
	storeContactAt time.Time // when it last did
	stopping       bool

	shards        map[string]*shard      // of the own failure domain
	sortedShards  []*shard               // the same, sorted by id
	drains        map[string]workerDrain // by worker
	timers        timers
	effects       []Effect
	tableUpToDate bool      // the routing table is up to date
	publishedAt   time.Time // when it was made
	reviewedAt    time.Time

	minSnapshotRecords int // records between snapshots, at least
}

// New returns the state of a daemon that knows nothing yet.
func New(o Options, p Policies) *State {
	if p.Learner == nil {
		p.Learner = learner.New(learner.Options{})
	}
	if o.OutageLimit <= 0 {
		o.OutageLimit = defaultOutageLimit
	}
	s := &State{
		options:        o,
		policies:       p,
		storeReachable: true,
		shards:         make(map[string]*shard),
		drains:         make(map[string]workerDrain),

		minSnapshotRecords: defaultMinSnapshotRecords,
	}
	s.updatePolicies()
	return s
}

// Reduce takes in one event and returns what is to be done, in order. The
// slice is the caller's.
func (s *State) Reduce(event Event) []Effect {
	s.effects = nil
	s.dispatch(event)
	for _, sh := range s.sortedShards {
		sh.decideAndFlush()
	}
	if !s.tableUpToDate && s.now.Sub(s.publishedAt) >= publishInterval {
		s.publish()
	}
	return s.effects
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// take hands the event to the part that it concerns.
func (s *State) dispatch(event Event) {
	switch e := event.(type) {
	case Tick:
		s.tick(e.Now)
	case ConfigurationReceived:
		s.applyConfiguration(e.Configuration)
	case HostsReceived:
		s.updateHosts(e.Hosts)
	case PeersChanged:
		s.updatePeers(e.Alive)
	case StoreChecked:
		s.storeReachable = e.Reachable
		if e.Reachable {
			s.storeContactAt = s.now
		}
	case StopRequested:
		s.beginStop()
	case SubmitRequested:
		s.submit(e)
	case CancelRequested:
		s.cancel(e)
	case JobStatusRequested:
		s.replyJobStatus(e)
	case KeyClaimRequested:
		s.claimKey(e)
	case PlanRequested:
		s.replyPlan(e)
	case StatusRequested:
		s.replyStatus(e)
	case DrainUpdateAnswered:
		// The configuration that follows says whether it took effect.
	default:
		s.dispatchToShard(event)
	}
}

// takeShard handles events about one shard. Those of an earlier ownership are
// dropped.
func (s *State) dispatchToShard(event Event) {
	switch e := event.(type) {
	case ShardClaimed:
		s.handleClaimed(e)
	case ClaimFailed:
		s.handleClaimFailed(e)
	case ShardLost:
		if sh := s.ownedShard(e.Shard, e.Epoch); sh != nil {
			sh.dropOwnership()
		}
	case RecordsAppended:
		if sh := s.ownedShard(e.Shard, e.Epoch); sh != nil {
			s.storeContactAt = s.now
			sh.handleAppended(e.Batch)
		}
	case WorkerSynced:
		if sh := s.ownedShard(e.Shard, e.Epoch); sh != nil {
			sh.handleSynced(e)
		}
	case WorkerSyncFailed:
		if sh := s.ownedShard(e.Shard, e.Epoch); sh != nil {
			sh.handleSyncFailed(e)
		}
	case StartAnswered:
		if sh := s.ownedShard(e.Shard, e.Epoch); sh != nil {
			sh.handleStartAnswered(e)
		}
	case StopAnswered:
		if sh := s.ownedShard(e.Shard, e.Epoch); sh != nil {
			sh.handleStopAnswered(e)
		}
	}
}

func (s *State) ownedShard(id string, epoch int64) *shard {
	sh := s.shards[id]
	if sh == nil || sh.view == nil || sh.epoch != epoch {
		return nil
	}
	return sh
}

func (s *State) tick(now time.Time) {
	if now.Before(s.now) {
		return
	}
	s.now = now
	s.timers.fireDue(now)
	if now.Sub(s.reviewedAt) < reviewInterval {
		return
	}
	s.reviewedAt = now
	s.reviewOwnership()
	s.advanceDrains()
}

// configure applies a greater revision only, so no stale copy reverts it.
func (s *State) applyConfiguration(c describer.Configuration) {
	if c.Revision <= s.config.Revision {
		return
	}
	s.config = c
	s.updatePolicies()
	s.indexDrains()
	s.updateShards()
	s.updateWorkers()
	s.tableUpToDate = false
}

func (s *State) updateHosts(hosts []describer.Host) {
	s.hosts = slices.Clone(hosts)
	slices.SortFunc(s.hosts, func(a, b describer.Host) int { return compareStrings(a.Name, b.Name) })
	s.updateWorkers()
	s.tableUpToDate = false
}

func (s *State) beginStop() {
	if s.stopping {
		return
	}
	s.stopping = true
	s.reviewOwnership()
}
