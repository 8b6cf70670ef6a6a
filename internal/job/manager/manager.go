// Package manager runs the shards that a daemon owns, and knows who owns the
// others.
//
// # Model
//
// The workers of one service are a shard; those of a large service are divided
// into a shard for each failure domain, by a layout that is written once. A
// shard without an owner is claimed by the daemon that reaches the store
// fastest, or one of its domain, and after a while by any other. The owner loads the shard's jobs, follows new ones, and feeds a
// [dispatcher.Shard], whose effects it carries out:
//
//	m := manager.New(options, store, workers, directory)
//	m.SetCatalog(catalog)
//	view := m.View()           // owners and loads, for admission
//	m.Shutdown(ctx)            // hands the shards over
//
// Each owned shard has one goroutine for its control state; calls to workers
// and to the store run in goroutines of their own and report back as events.
package manager

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"dotterelcart.dev/dotterelcart/internal/job/dispatcher"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/state/leaser"
	"dotterelcart.dev/dotterelcart/internal/state/waiter"
)

// Times of the manager.
const (
	reviewInterval  = 100 * time.Millisecond
	listInterval    = 700 * time.Millisecond // between reads of the registered workers
	callTimeout     = 1500 * time.Millisecond
	watchTime       = time.Second            // that a watch waits
	watchLimit      = 800 * time.Millisecond // more, until its connection counts as silent
	outageLimit     = 8 * time.Second        // without the store, an owner stops after it
	workerLease     = 6 * time.Second
	holdWait        = 1500 * time.Millisecond
	loadTime        = 10 * time.Second // for a claim and the load of its jobs
	releaseTime     = 2 * time.Second
	renewRetry      = 200 * time.Millisecond
	tickInterval    = 50 * time.Millisecond
	inboxSize       = 4096
	afarClaimDelay  = 1500 * time.Millisecond // for shards of other failure domains
	ownedClaimDelay = 500 * time.Millisecond  // for each shard that is owned already
	claimSpread     = 200 * time.Millisecond
)

// Store is the part of the store that the manager uses.
type Store interface {
	storer.Committer
	Get(ctx context.Context, key string) (storer.Item, error)
	List(ctx context.Context, prefix string) ([]storer.Item, int64, error)
	Watch(ctx context.Context, prefix string, revision int64, wait time.Duration) ([]storer.Item, int64, error)
	leaser.Store
}

// Workers calls workers. Token fences the calls of former owners.
type Workers interface {
	Start(ctx context.Context, token int64, order dispatcher.StartRun) dispatcher.Fault
	Stop(ctx context.Context, token int64, order dispatcher.StopRun) dispatcher.Fault
	Pace(ctx context.Context, token int64, order dispatcher.PaceRun) dispatcher.Fault
	Poll(ctx context.Context, token int64, order dispatcher.PollWorker) (specifier.Inventory, dispatcher.Fault)
}

// Adviser knows which workers may run a step.
type Adviser interface {
	Advise(ctx context.Context, ask dispatcher.AskAdvice) dispatcher.AdviceAnswered
}

// Directory lists the registered workers.
type Directory interface {
	Workers(ctx context.Context) ([]specifier.Worker, error)
}

// Options are what a Manager needs to know.
type Options struct {
	Daemon string
	Domain string        // its failure domain
	TTL    time.Duration // of the ownership's lease in the store

	MaxLease   time.Duration // that a worker grants
	ClockError time.Duration // by which the time of day may be off
	Adviser    Adviser       // nil: queues that need advice wait
	Random     *rand.Rand    // used by one goroutine at a time

	Scope tally.Scope
	Log   zerolog.Logger
}

// Manager runs the owned shards.
type Manager struct {
	Done chan struct{} // closed when every part has ended

	options   Options
	log       zerolog.Logger
	store     Store
	workers   Workers
	directory Directory
	lease     *leaser.Lease
	metrics   *metrics
	cancel    context.CancelFunc
	tasks     sync.WaitGroup
	catalog   atomic.Pointer[specifier.Catalog]
	contact   atomic.Int64 // when the store last answered, Unix nanoseconds
	leaving   atomic.Bool

	mu         sync.Mutex
	view       View
	registered []specifier.Worker
	listed     bool
	grown      time.Time     // when the number of registered workers last rose
	distance   time.Duration // of the store: the shortest read
	owned      map[string]*owned
	claiming   map[string]bool
	advising   chan struct{} // held by the call to the adviser, which takes one at a time
	ownerless  map[string]time.Time
}

// New starts a manager that knows no catalog.
func New(o Options, store Store, workers Workers, directory Directory) *Manager {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Manager{
		Done:      make(chan struct{}),
		options:   o,
		log:       o.Log.With().Str("part", "manager").Logger(),
		store:     store,
		workers:   workers,
		directory: directory,
		metrics:   newMetrics(o.Scope),
		cancel:    cancel,
		view:      newView(),
		owned:     make(map[string]*owned),
		claiming:  make(map[string]bool),
		advising:  make(chan struct{}, 1),
		ownerless: make(map[string]time.Time),
	}
	m.catalog.Store(&specifier.Catalog{})
	m.lease = leaser.New(leaser.Options{
		TTL: o.TTL, Renewed: m.renewed, Ended: func(int64) { m.leaseEnded(ctx) }, Log: o.Log,
	}, store)
	m.tasks.Go(func() { m.followView(ctx) })
	m.tasks.Go(func() { m.listWorkers(ctx) })
	m.tasks.Go(func() { m.reviewOwnership(ctx) })
	go func() {
		defer close(m.Done)
		m.tasks.Wait()
		<-m.lease.Done
	}()
	return m
}

// SetCatalog puts a version of the configuration in force. A version that is
// not greater changes nothing.
func (m *Manager) SetCatalog(c *specifier.Catalog) {
	for {
		present := m.catalog.Load()
		if c.Version <= present.Version {
			return
		}
		if m.catalog.CompareAndSwap(present, c) {
			break
		}
	}
	m.log.Info().Int64("version", c.Version).Int("queues", len(c.Queues)).Msg("configuration in force")
	m.post(dispatcher.CatalogUpdated{Catalog: c})
}

// Catalog is the configuration in force.
func (m *Manager) Catalog() *specifier.Catalog { return m.catalog.Load() }

// LastContact is when the store last answered.
func (m *Manager) LastContact() time.Time { return time.Unix(0, m.contact.Load()) }

func (m *Manager) reached() { m.contact.Store(time.Now().UnixNano()) }

// post hands an event to every owned shard.
func (m *Manager) post(event dispatcher.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, o := range m.owned {
		o.post(event)
	}
}

// shard returns an owned shard, or nil.
func (m *Manager) shard(name string) *owned {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owned[name]
}

// Cancelled hands an accepted cancellation to the job's shard, if it is owned here.
func (m *Manager) Cancelled(shard, id string) {
	if o := m.shard(shard); o != nil {
		o.post(dispatcher.JobCancelled{ID: id})
	}
}

// JobState is the state of a job in a shard that is owned here.
func (m *Manager) JobState(shard, id string) (specifier.State, bool) {
	o := m.shard(shard)
	if o == nil {
		return "", false
	}
	return o.jobState(id)
}

// listWorkers reads the registered workers until ctx ends.
func (m *Manager) listWorkers(ctx context.Context) {
	failing := false
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		sent := time.Now()
		list, err := m.directory.Workers(limited)
		took := time.Since(sent)
		cancel()
		switch {
		case err != nil && !failing:
			failing = true
			m.log.Warn().Err(err).Msg("registered workers unreadable")
		case err == nil:
			if failing {
				m.log.Info().Msg("registered workers readable again")
			}
			failing = false
			m.takeWorkers(list, took)
		}
		waiter.Sleep(ctx, listInterval)
	}
}

func (m *Manager) takeWorkers(list []specifier.Worker, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(list) > len(m.registered) {
		m.grown = time.Now()
	}
	if m.distance == 0 || took < m.distance {
		m.distance = took
	}
	m.registered = list
	m.listed = true
	for _, o := range m.owned {
		o.post(dispatcher.WorkersListed{Workers: o.workersOf(list)})
	}
}

// Shutdown hands the shards over and ends the manager.
func (m *Manager) Shutdown(ctx context.Context) {
	m.leaving.Store(true)
	m.mu.Lock()
	shards := make([]*owned, 0, len(m.owned))
	for _, o := range m.owned {
		shards = append(shards, o)
	}
	m.mu.Unlock()
	var releases sync.WaitGroup
	for _, o := range shards {
		releases.Go(func() { o.release(ctx) })
	}
	releases.Wait()
	if err := m.lease.Revoke(ctx); err != nil {
		m.log.Info().Err(err).Msg("lease not revoked, it will lapse")
	}
	m.Close()
}

// Close ends the manager at once, as a crash would.
func (m *Manager) Close() {
	m.cancel()
	m.lease.Close()
	<-m.Done
}
