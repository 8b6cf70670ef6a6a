// Package reducer implements the control plane of one daemon as a
// deterministic state machine. It decides which shards the daemon owns, where
// tasks run, and how leases, drains and failures are handled.
//
// # Model
//
// A shard is a group of racks of one failure domain, with the jobs that run
// there. At any time one daemon owns it, under an epoch that increases with
// each change of owner. All state of a shard that must survive its owner is
// kept in a ledger: a snapshot and the records appended since.
//
// A job consists of one or more tasks. Each start of a task on a worker is a run,
// which is identified by a token and granted resources and a lease. The owner renews
// leases with periodic syncs, in which the worker reports its inventory: the runs that
// are running or have ended. When a worker is unreachable, its runs count as over only
// after their leases have expired.
//
// The caller owns a [State] and passes it one [Event] at a time. Each call of
// [State.Reduce] returns the [Effect] values that the caller must execute; their
// outcomes come back as events. Nothing in this package does I/O, reads a clock
// or starts a goroutine, so the same sequence of events always gives the same
// effects.
//
//	s := reducer.New(options, reducer.Policies{})
//	for event := range events {
//		execute(s.Reduce(event))
//	}
//
// # Write-ahead
//
// Each decision is a [describer.Record]. It is applied to the in-memory view of
// the shard's ledger at once and written with the shard's next [AppendRecords].
// Effects that depend on the decision (starting a run, answering a caller) wait
// for [RecordsAppended]. The view may therefore be ahead of the ledger, but never
// contradicts it, and it is discarded when the daemon loses the shard.
package reducer

import (
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/evacuator"
	"dotterelcart.dev/dotterelcart/internal/control/learner"
	"dotterelcart.dev/dotterelcart/internal/control/placer"
)

// Options are the daemon settings that a State depends on.
type Options struct {
	// Daemon is the name of this daemon in the membership list.
	Daemon string

	// Domain is the failure domain of this daemon. Only shards of this domain
	// are claimed.
	Domain string

	// Region is the region of this daemon.
	Region string

	// TaskLease is the length of the lease that each start and each renewal
	// grants to a run.
	TaskLease time.Duration

	// LeaseMargin allows for clock drift: a run counts as over only this long
	// after its lease has expired.
	LeaseMargin time.Duration

	// SyncInterval is the time between two syncs with the same worker.
	SyncInterval time.Duration

	// OutageLimit is how long an owner that can't reach the store keeps
	// renewing task leases. A new owner waits as long before it treats the
	// leases on an unreachable worker as expired. The default is 15 minutes.
	OutageLimit time.Duration
}

// defaultOutageLimit is the default of [Options.OutageLimit].
const defaultOutageLimit = 15 * time.Minute

// State is the control state of one daemon. It is not safe for concurrent use.
type State struct {
	options          Options
	policies         Policies
	placer           placer.Policy
	services         map[string]describer.Service // configured services by name
	timeline         learner.Timeline             // batch tasks on each worker over time
	usage            placer.Usage                 // measured resource use by team and class of job
	now              time.Time                    // time of the latest tick
	latest           time.Time                    // latest time by the daemon's clock, not before now; see Observe
	config           describer.Configuration
	hosts            []describer.Host
	peers            []Peer
	peersChangedAt   time.Time // last change of the live peers, their domains or their leaving flags
	storeReachable   bool      // whether the last store call was answered
	lastStoreContact time.Time // last answer of the store
	stopping         bool

	shards        map[string]*shard      // shards of this failure domain by id
	sortedShards  []*shard               // values of shards, sorted by id
	drains        map[string]workerDrain // unfinished drains by worker name
	evacuations   evacuator.Set          // domains that the configuration evacuates
	timers        timers
	effects       []Effect // effects of the current Reduce call
	tableUpToDate bool     // false if the routing table must be published again
	publishedAt   time.Time
	reviewedAt    time.Time // last review of ownership and drains

	minSnapshotRecords int // minimum number of records between snapshots of a shard
}

// New returns the state of a daemon that has no configuration, hosts or shards yet.
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

// Observe notes the time by the daemon's clock when an event is handled. A daemon that
// stood still gets the tick of that time late, so that an event may be later than the
// latest tick. What must not be dated too early depends on the observed time. Without
// calls of Observe, that is the time of the latest tick.
func (s *State) Observe(now time.Time) {
	if now.After(s.latest) {
		s.latest = now
	}
}

// Reduce applies one event and returns the effects to execute, in order. The
// returned slice belongs to the caller.
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

// dispatch calls the handler of the event.
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
			s.lastStoreContact = s.now
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
		// The outcome shows in the next configuration; unchanged drains are proposed again.
	default:
		s.dispatchToShard(event)
	}
}

// dispatchToShard handles events about one shard. It drops events of an earlier
// epoch.
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
			s.lastStoreContact = s.now
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

// ownedShard returns the shard if this daemon owns it under the given epoch, or nil.
func (s *State) ownedShard(id string, epoch int64) *shard {
	sh := s.shards[id]
	if sh == nil || sh.view == nil || sh.epoch != epoch {
		return nil
	}
	return sh
}

// tick advances the clock, fires due timers and reviews ownership and drains. A
// clock that goes backwards is ignored.
func (s *State) tick(now time.Time) {
	if now.Before(s.now) {
		return
	}
	s.now = now
	s.Observe(now)
	s.timers.fireDue(now)
	if now.Sub(s.reviewedAt) < reviewInterval {
		return
	}
	s.reviewedAt = now
	s.reviewOwnership()
	s.advanceDrains()
}

// applyConfiguration applies a configuration with a greater revision than the
// current one and ignores others, so that a stale copy can't revert a change.
func (s *State) applyConfiguration(c describer.Configuration) {
	if c.Revision <= s.config.Revision {
		return
	}
	s.config = c
	s.updatePolicies()
	s.indexDrains()
	s.evacuations.Update(evacuatedDomains(c), s.now)
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

// beginStop releases all owned shards and claims no more.
func (s *State) beginStop() {
	if s.stopping {
		return
	}
	s.stopping = true
	s.reviewOwnership()
}
