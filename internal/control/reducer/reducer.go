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
	options  Options
	policies Policies
	placer   placer.Policy
	services map[string]describer.Service // by name
	timeline learner.Timeline
	usage    placer.Usage
	now      time.Time
	config   describer.Configuration
	hosts    []describer.Host
	peers    []Peer
	settled  time.Time // when membership last changed
	reached  bool      // the store answered the last call
	contact  time.Time // when it last did
	stopping bool

	shards    map[string]*shard // of the own failure domain
	order     []*shard          // the same, sorted by id
	drains    map[string]drain  // by worker
	timers    timers
	effects   []Effect
	published bool      // the routing table is up to date
	tabled    time.Time // when it was made
	reviewed  time.Time

	snapshotLeast int // records between snapshots, at least
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
		options:  o,
		policies: p,
		reached:  true,
		shards:   make(map[string]*shard),
		drains:   make(map[string]drain),

		snapshotLeast: defaultSnapshotLeast,
	}
	s.adaptPolicies()
	return s
}

// Reduce takes in one event and returns what is to be done, in order. The
// slice is the caller's.
func (s *State) Reduce(event Event) []Effect {
	s.effects = nil
	s.take(event)
	for _, h := range s.order {
		h.settle()
	}
	if !s.published && s.now.Sub(s.tabled) >= publishInterval {
		s.publish()
	}
	return s.effects
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// take hands the event to the part that it concerns.
func (s *State) take(event Event) {
	switch e := event.(type) {
	case Tick:
		s.tick(e.Now)
	case ConfigurationReceived:
		s.configure(e.Configuration)
	case HostsReceived:
		s.listHosts(e.Hosts)
	case PeersChanged:
		s.changePeers(e.Alive)
	case StoreChecked:
		s.reached = e.Reachable
		if e.Reachable {
			s.contact = s.now
		}
	case StopRequested:
		s.stop()
	case SubmitRequested:
		s.submit(e)
	case CancelRequested:
		s.cancel(e)
	case JobStatusRequested:
		s.inquire(e)
	case KeyClaimRequested:
		s.claimKey(e)
	case PlanRequested:
		s.plan(e)
	case StatusRequested:
		s.status(e)
	case DrainUpdateAnswered:
		// The configuration that follows says whether it took effect.
	default:
		s.takeShard(event)
	}
}

// takeShard handles events about one shard. Those of an earlier ownership are
// dropped.
func (s *State) takeShard(event Event) {
	switch e := event.(type) {
	case ShardClaimed:
		s.claimed(e)
	case ClaimFailed:
		s.claimFailed(e)
	case ShardLost:
		if h := s.owned(e.Shard, e.Epoch); h != nil {
			h.lose()
		}
	case RecordsAppended:
		if h := s.owned(e.Shard, e.Epoch); h != nil {
			s.contact = s.now
			h.appended(e.Batch)
		}
	case WorkerSynced:
		if h := s.owned(e.Shard, e.Epoch); h != nil {
			h.synced(e)
		}
	case WorkerSyncFailed:
		if h := s.owned(e.Shard, e.Epoch); h != nil {
			h.unanswered(e)
		}
	case StartAnswered:
		if h := s.owned(e.Shard, e.Epoch); h != nil {
			h.startAnswered(e)
		}
	case StopAnswered:
		if h := s.owned(e.Shard, e.Epoch); h != nil {
			h.stopAnswered(e)
		}
	}
}

func (s *State) owned(id string, epoch int64) *shard {
	h := s.shards[id]
	if h == nil || h.book == nil || h.epoch != epoch {
		return nil
	}
	return h
}

func (s *State) tick(now time.Time) {
	if now.Before(s.now) {
		return
	}
	s.now = now
	s.timers.run(now)
	if now.Sub(s.reviewed) < reviewInterval {
		return
	}
	s.reviewed = now
	s.reviewOwnership()
	s.reviewDrains()
}

// configure applies a greater revision only, so no stale copy reverts it.
func (s *State) configure(c describer.Configuration) {
	if c.Revision <= s.config.Revision {
		return
	}
	s.config = c
	s.adaptPolicies()
	s.indexDrains()
	s.arrangeShards()
	s.arrangeWorkers()
	s.published = false
}

func (s *State) listHosts(hosts []describer.Host) {
	s.hosts = slices.Clone(hosts)
	slices.SortFunc(s.hosts, func(a, b describer.Host) int { return compareText(a.Name, b.Name) })
	s.arrangeWorkers()
	s.published = false
}

func (s *State) stop() {
	if s.stopping {
		return
	}
	s.stopping = true
	s.reviewOwnership()
}
