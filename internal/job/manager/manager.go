// Package manager claims shards for a daemon, runs the shards that it owns, and
// keeps a view of all shards.
//
// # Model
//
// The workers of a service are divided into shards by what the entry hosts can
// carry, see package divider. The layout says which racks a shard has; racks that
// come later are added to it. A shard without an owner is claimed after a delay
// that is shortest for daemons that can carry it easily, in the shard's failure
// domain, and with a fast connection to the store. An overloaded owner releases a
// shard that another host would carry better. The owner loads the shard's jobs,
// watches for new ones, and feeds a [dispatcher.Shard], whose effects it executes:
//
//	m := manager.New(options, store, workers, registrations)
//	m.SetEvacuations(domains, readAt)
//	m.SetCatalog(catalog)
//	view := m.View()           // owners and load summaries, for admission
//	m.Shutdown(ctx)            // releases the shards
//
// Each owned shard has one goroutine that runs the state machine. Calls to
// workers and to the store run in separate goroutines and return events.
package manager

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"dotterelcart.dev/dotterelcart/internal/control/evacuator"
	"dotterelcart.dev/dotterelcart/internal/job/dispatcher"
	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/state/leaser"
)

// Intervals, timeouts and sizes of the manager.
const (
	ownershipInterval = 100 * time.Millisecond  // interval of checks for shards to claim
	callTimeout       = 1500 * time.Millisecond // limit for a call to a worker, the store or the adviser
	watchWait         = time.Second             // how long the store may hold a watch call without changes
	outageLimit       = 8 * time.Second         // see dispatcher.Options.OutageLimit
	workerLease       = 6 * time.Second         // lease of the runs on a worker
	pollWait          = 1500 * time.Millisecond // see dispatcher.Options.PollWait
	claimTimeout      = 10 * time.Second        // limit for a claim and loading the jobs
	releaseTimeout    = 2 * time.Second         // limit for writing the release of a shard
	retryDelay        = 200 * time.Millisecond  // delay before a failed store call is repeated
	tickInterval      = 50 * time.Millisecond   // interval of dispatcher.Tick
	inboxSize         = 4096                    // events queued for a shard
	maxClaimJitter    = 200 * time.Millisecond  // maximum delay by which daemons differ
	hostTTL           = 12 * time.Second        // lifetime of the host record without renewals
)

// Store is the part of the key-value store's client that the manager uses. List and Watch
// fail by themselves when their responses make no progress or take too long.
type Store interface {
	storer.Committer
	Get(ctx context.Context, key string) (storer.Item, error)
	List(ctx context.Context, prefix string) ([]storer.Item, int64, error)
	Watch(ctx context.Context, prefix string, revision int64, wait time.Duration) ([]storer.Item, int64, error)
	leaser.Store
}

// Workers sends orders to workers. A worker refuses orders with a lower fencing
// token than it has seen, so that earlier owners can't give any.
type Workers interface {
	Start(ctx context.Context, token int64, order dispatcher.StartRun) dispatcher.Fault
	Stop(ctx context.Context, token int64, order dispatcher.StopRun) dispatcher.Fault
	Pace(ctx context.Context, token int64, order dispatcher.PaceRun) dispatcher.Fault
	Poll(ctx context.Context, token int64, order dispatcher.PollWorker) (specifier.Inventory, dispatcher.Fault)
}

// Adviser requests placement advice: which workers may run a step.
type Adviser interface {
	Advise(ctx context.Context, request dispatcher.RequestAdvice) dispatcher.AdviceAnswered
}

// Options configure a Manager.
type Options struct {
	Daemon string        // name of this daemon, unique
	Domain string        // failure domain of this daemon
	TTL    time.Duration // lifetime of the owner records' lease in the store

	Regions map[string]string // region of each failure domain
	CPU     int64             // millicores of this host; 0 if not known
	Link    int64             // bandwidth of this host's link, kbit/s; 0 if not known

	MaxLease   time.Duration // longest lease that workers accept
	ClockError time.Duration // maximum error of the wall clock
	RoomNotice time.Duration // see dispatcher.Options

	CancellationNotice time.Duration // longest time from the acceptance of a cancellation until no task of the job is started; 0: none is given

	Reservations bool       // see dispatcher.Options
	Adviser      Adviser    // if nil, jobs of queues that need advice wait
	Random       *rand.Rand // used by one goroutine at a time

	EvacuationNotice time.Duration // longest time from an evacuation of a failure domain until no task is started there; 0: no evacuations are expected

	Scope tally.Scope
	Log   zerolog.Logger
}

// Manager claims and runs shards. It is safe for concurrent use.
type Manager struct {
	Done chan struct{} // closed when all goroutines have ended

	options       Options
	log           zerolog.Logger
	store         Store
	workers       Workers
	registrations Registry
	lease         *leaser.Lease // of the owner records
	presence      *leaser.Lease // of the host record
	presenceLost  chan struct{} // signals that the host record has expired
	hostRecord    register      // used by announce alone
	metrics       *metrics
	cancel        context.CancelFunc
	background    sync.WaitGroup
	catalog       atomic.Pointer[specifier.Catalog]
	process       atomic.Int64 // see recorder.Host.Process
	lastContact   atomic.Int64 // when the store last answered, Unix nanoseconds
	shuttingDown  atomic.Bool
	evacuations   evacuations

	workersNeeded chan struct{} // signals that the registered workers are needed

	mu              sync.Mutex
	view            View
	registry        registry
	unplannedSince  time.Time              // since when a service has no layout; zero if all have one
	overloadedSince time.Time              // since when another host would carry a shard better
	storeLatency    time.Duration          // shortest duration of writing the host record
	owned           map[string]*ownedShard // by name
	claiming        map[string]bool        // names of shards with a claim in progress
	adviceSlot      chan struct{}          // semaphore: the adviser takes one call at a time
	ownerlessSince  map[string]time.Time   // when a shard was first seen without an owner, by name
	claimedBefore   map[string]bool        // names of shards that this process has tried to claim

	leftToOthersUntil map[string]time.Time // until when this daemon doesn't claim a shard that it has released, by name
}

// New starts a manager. It claims shards only after SetCatalog. The caller ends
// it with Shutdown or Close.
func New(o Options, store Store, workers Workers, registrations Registry) *Manager {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Manager{
		Done:           make(chan struct{}),
		options:        o,
		log:            o.Log.With().Str("part", "manager").Logger(),
		store:          store,
		workers:        workers,
		registrations:  registrations,
		presenceLost:   make(chan struct{}, 1),
		hostRecord:     register{store: store, key: recorder.HostKey(o.Daemon)},
		workersNeeded:  make(chan struct{}, 1),
		metrics:        newMetrics(o.Scope),
		cancel:         cancel,
		view:           newView(),
		owned:          make(map[string]*ownedShard),
		claiming:       make(map[string]bool),
		adviceSlot:     make(chan struct{}, 1),
		ownerlessSince: make(map[string]time.Time),
		claimedBefore:  make(map[string]bool),

		leftToOthersUntil: make(map[string]time.Time),
	}
	m.catalog.Store(&specifier.Catalog{})
	m.evacuations.maxAge = evacuator.MaxAge(o.EvacuationNotice, callTimeout)
	m.lease = leaser.New(leaser.Options{
		TTL: o.TTL, Renewed: m.leaseRenewed, Ended: func(old int64) { m.leaseEnded(ctx, old) }, Log: o.Log,
	}, store)
	m.presence = leaser.New(leaser.Options{TTL: hostTTL, Ended: func(int64) { m.losePresence() }, Log: o.Log}, store)
	m.background.Go(func() { m.followView(ctx) })
	m.background.Go(func() { m.followWorkers(ctx) })
	m.background.Go(func() { m.announce(ctx) })
	m.background.Go(func() { m.reviewOwnership(ctx) })
	go func() {
		defer close(m.Done)
		m.background.Wait()
		<-m.lease.Done
		<-m.presence.Done
	}()
	return m
}

// SetCatalog applies a configuration, unless its version isn't higher than
// the current one.
func (m *Manager) SetCatalog(c *specifier.Catalog) {
	for {
		current := m.catalog.Load()
		if c.Version <= current.Version {
			return
		}
		if m.catalog.CompareAndSwap(current, c) {
			break
		}
	}
	m.log.Info().Int64("version", c.Version).Int("queues", len(c.Queues)).Msg("configuration applied")
	m.post(dispatcher.CatalogUpdated{Catalog: c})
}

// Catalog returns the current configuration. It must not be modified.
func (m *Manager) Catalog() *specifier.Catalog { return m.catalog.Load() }

// LastContact returns when the store last answered.
func (m *Manager) LastContact() time.Time { return time.Unix(0, m.lastContact.Load()) }

// recordContact records that the store has answered.
func (m *Manager) recordContact() { m.lastContact.Store(time.Now().UnixNano()) }

// post delivers an event to every owned shard.
func (m *Manager) post(event dispatcher.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, o := range m.owned {
		o.post(event)
	}
}

// shard returns an owned shard, or nil.
func (m *Manager) shard(name string) *ownedShard {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owned[name]
}

// Cancelled delivers an accepted cancellation to the job's shard, if this daemon
// owns it. Otherwise the owner sees it in the store. received is when the caller's
// request arrived.
func (m *Manager) Cancelled(shard, id string, received time.Time) {
	if o := m.shard(shard); o != nil {
		o.post(dispatcher.JobCancelled{ID: id, Received: received})
	}
}

// JobState returns the state of a job, or false if this daemon doesn't own the
// shard or the shard doesn't have the job.
func (m *Manager) JobState(shard, id string) (specifier.State, bool) {
	o := m.shard(shard)
	if o == nil {
		return "", false
	}
	return o.jobState(id)
}

// Shutdown releases the owned shards so that other daemons can claim them at
// once, and ends the manager. A shard that can't be released is free when the
// lease in the store expires.
func (m *Manager) Shutdown(ctx context.Context) {
	m.shuttingDown.Store(true)
	m.mu.Lock()
	shards := make([]*ownedShard, 0, len(m.owned))
	for _, o := range m.owned {
		shards = append(shards, o)
	}
	m.mu.Unlock()
	var releases sync.WaitGroup
	var isKept atomic.Bool
	for _, o := range shards {
		releases.Go(func() {
			if !o.release(ctx, "planned shutdown") {
				isKept.Store(true)
			}
		})
	}
	releases.Wait()
	if !isKept.Load() {
		m.revoke(ctx, m.lease)
	}
	m.revoke(ctx, m.presence)
	m.Close()
}

// revoke ends a lease. That of the owner records has to expire by itself while one of them is left: the
// next owner relies on its TTL, see dispatcher.Options.RecordTTL.
func (m *Manager) revoke(ctx context.Context, lease *leaser.Lease) {
	if err := lease.Revoke(ctx); err != nil {
		m.log.Info().Err(err).Msg("lease revocation failed")
	}
}

// Close ends the manager without releasing shards. Their ownership ends when the
// lease in the store expires, as after a crash.
func (m *Manager) Close() {
	m.cancel()
	m.lease.Close()
	m.presence.Close()
	<-m.Done
}
