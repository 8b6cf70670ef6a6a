// Package distributor distributes the configuration from the store to every
// entry host, and writes operators' changes to the store.
//
// # Model
//
// The configuration is one document in the store, which is changed by
// compare-and-swap. Each change increments its revision by one. In each failure
// domain one entry host watches the document: the first of the live hosts by
// rendezvous hash. Two watchers at the same time do no harm. The watcher relays
// changes to the other hosts of its domain along a tree. Heartbeats carry the
// installed revision, so that a host that missed a relay, or a domain that is
// partitioned from the store, pulls the configuration from any peer with a
// greater revision.
//
// A host installs greater revisions only. A host that has received no
// configuration yet, from the store or from a peer, is not ready, since any
// configuration that it assumed could revert a change.
//
//	d := distributor.New(options, store, node, sink)
//	d.SetPeers(alive)
//	d.ObserveRevision("10.0.0.7:7400", 42) // from a heartbeat
//	c, err := d.Propose(ctx, func(c describer.Configuration) (describer.Configuration, error) {
//		c.Teams = append(c.Teams, team)
//		return c, nil
//	})
package distributor

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/reducer"
	"dotterelcart.dev/dotterelcart/internal/peer/messenger"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
)

// DocumentKey is the store key of the configuration document.
const DocumentKey = "configuration"

// Store is the subset of the store operations that a distributor uses.
type Store interface {
	Get(ctx context.Context, key string) (storer.Item, error)
	List(ctx context.Context, prefix string) ([]storer.Item, int64, error)
	Swap(ctx context.Context, key string, value []byte, expected, lease int64) (int64, error)
	Delete(ctx context.Context, key string, expected int64) error
	Watch(ctx context.Context, prefix string, revision int64, wait time.Duration) ([]storer.Item, int64, error)
}

// Node sends calls to peers and handles their calls.
type Node interface {
	messenger.Caller
	Handle(method string, h messenger.Handler)
}

// Defaults of Options.
const (
	DefaultWatchTimeout    = 25 * time.Second
	DefaultPollInterval    = 8 * time.Second
	DefaultMinReadInterval = 2 * time.Second
	DefaultTimeout         = 5 * time.Second
)

// Options configure a Distributor. Zero values take the defaults.
type Options struct {
	Daemon          string        // name of the daemon in membership
	Domain          string        // failure domain
	WatchTimeout    time.Duration // duration of one watch call without changes
	PollInterval    time.Duration // time between reads by the host that stands by for the watcher
	MinReadInterval time.Duration // shortest time between two reads of changes
	Timeout         time.Duration // limit of any other store call and of a call to a peer
	Log             zerolog.Logger
}

// Distributor holds the installed configuration, the latest that this host
// knows. It is safe for concurrent use.
type Distributor struct {
	Ready chan struct{} // closed once a configuration is installed
	Done  chan struct{} // closed when the distributor will not make any call any more

	options Options
	store   Store
	node    Node
	sink    func(describer.Configuration)
	log     zerolog.Logger
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup

	followWake chan struct{} // makes followLoop check its rank and the store
	pullWake   chan struct{} // makes pullLoop check for peers with greater revisions

	installMu     sync.Mutex // held during install, so that the sink is called in order
	mu            sync.Mutex // guards the fields below
	closed        bool
	current       describer.Configuration // its lists are never changed in place
	recentChanges []change                // the latest changes that led to current, oldest first
	peers         []reducer.Peer
	newerPeers    map[string]int64 // revisions of peers by address, greater than that of current
}

// New starts a Distributor. The sink is called with every configuration that is
// installed, in order of revision; it must not change the configuration.
func New(o Options, store Store, node Node, sink func(describer.Configuration)) *Distributor {
	o.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	d := &Distributor{
		Ready:      make(chan struct{}),
		Done:       make(chan struct{}),
		options:    o,
		store:      store,
		node:       node,
		sink:       sink,
		log:        o.Log.With().Str("part", "distributor").Logger(),
		ctx:        ctx,
		cancel:     cancel,
		followWake: make(chan struct{}, 1),
		pullWake:   make(chan struct{}, 1),
		newerPeers: map[string]int64{},
	}
	node.Handle(messenger.Configure, d.handleUpdate)
	d.startTask(d.followLoop)
	d.startTask(d.pullLoop)
	go func() {
		defer close(d.Done)
		<-ctx.Done()
		d.tasks.Wait()
	}()
	return d
}

// Current returns the installed configuration. Its Revision is 0 if there is
// none yet. The caller must not change it.
func (d *Distributor) Current() describer.Configuration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.current
}

// IsReady reports whether a configuration is installed.
func (d *Distributor) IsReady() bool {
	select {
	case <-d.Ready:
		return true
	default:
		return false
	}
}

// SetPeers sets the live entry hosts of all failure domains. The distributor
// keeps the slice.
func (d *Distributor) SetPeers(alive []reducer.Peer) {
	d.mu.Lock()
	d.peers = alive
	d.mu.Unlock()
	signal(d.followWake)
	signal(d.pullWake)
}

// ObserveRevision records that the peer at address has installed the revision,
// as its heartbeat says.
func (d *Distributor) ObserveRevision(address string, revision int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if revision <= d.current.Revision {
		return
	}
	d.newerPeers[address] = revision
	signal(d.pullWake)
}

// Close ends the distributor. It does not wait; see Done.
func (d *Distributor) Close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.cancel()
}

// install replaces the current configuration if the revision of c is greater,
// and reports whether it did. The changes are those that led to c, as far as
// known.
func (d *Distributor) install(c describer.Configuration, changes []change) bool {
	d.installMu.Lock()
	defer d.installMu.Unlock()
	d.mu.Lock()
	before := d.current.Revision
	if c.Revision <= before {
		d.mu.Unlock()
		return false
	}
	d.current = c
	d.recentChanges = appendChanges(d.recentChanges, changes, c.Revision)
	for address, revision := range d.newerPeers {
		if revision <= c.Revision {
			delete(d.newerPeers, address)
		}
	}
	d.mu.Unlock()
	d.sink(c)
	if before == 0 {
		close(d.Ready)
	}
	d.log.Info().Int64("revision", c.Revision).Msg("configuration installed")
	signal(d.followWake)
	return true
}

// startTask runs f on a goroutine unless the distributor is closed.
func (d *Distributor) startTask(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return
	}
	d.tasks.Add(1)
	go func() {
		defer d.tasks.Done()
		f()
	}()
}

// waitFor waits for t or until wake receives a signal. It returns false if the
// distributor is closed.
func (d *Distributor) waitFor(t time.Duration, wake <-chan struct{}) bool {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-d.ctx.Done():
		return false
	case <-timer.C:
	case <-wake:
	}
	return true
}

// signal sends on c unless a signal is pending already.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (o *Options) setDefaults() {
	for _, f := range []struct {
		option       *time.Duration
		defaultValue time.Duration
	}{
		{&o.WatchTimeout, DefaultWatchTimeout},
		{&o.PollInterval, DefaultPollInterval},
		{&o.MinReadInterval, DefaultMinReadInterval},
		{&o.Timeout, DefaultTimeout},
	} {
		if *f.option <= 0 {
			*f.option = f.defaultValue
		}
	}
}
