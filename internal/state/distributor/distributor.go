// Package distributor brings the configuration from the store to every entry
// host, and operators' changes into the store.
//
// # Model
//
// The configuration is one document in the store, changed by compare-and-swap,
// with a revision that grows by one. In each failure domain one entry host
// watches it, the first by rendezvous hash among the live ones; two at once do
// no harm. It relays changes to its domain along a tree of peers. Heartbeats
// carry the revision in force, so a host that missed a relay, or a domain cut
// off from the store, pulls from any peer that knows more.
//
// A host applies greater revisions only. One that has got no configuration
// from the store or from a peer that has one is not ready, since whatever it
// assumed could be a revert.
//
//	d := distributor.New(options, store, node, sink)
//	d.SetPeers(alive)
//	d.Seen("10.0.0.7:7400", 42) // from a heartbeat
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

// DocumentKey is the key of the document in the store.
const DocumentKey = "configuration"

// Store is the part of the store that a distributor uses.
type Store interface {
	Get(ctx context.Context, key string) (storer.Item, error)
	List(ctx context.Context, prefix string) ([]storer.Item, int64, error)
	Swap(ctx context.Context, key string, value []byte, expected, lease int64) (int64, error)
	Delete(ctx context.Context, key string, expected int64) error
	Watch(ctx context.Context, prefix string, revision int64, wait time.Duration) ([]storer.Item, int64, error)
}

// Node calls peers and serves their calls.
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
	Daemon          string        // name in membership
	Domain          string        // failure domain
	WatchTimeout    time.Duration // of one watch call
	PollInterval    time.Duration // between reads by the stand-by of the watcher
	MinReadInterval time.Duration // shortest time between two reads of changes
	Timeout         time.Duration // of one call
	Log             zerolog.Logger
}

// Distributor holds the configuration in force. It is safe for concurrent use.
type Distributor struct {
	Ready chan struct{} // closed once a configuration is in force
	Done  chan struct{} // closed when nothing will be called or reported any more

	options Options
	store   Store
	node    Node
	sink    func(describer.Configuration)
	log     zerolog.Logger
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
	wake    chan struct{}
	behind  chan struct{}

	apply   sync.Mutex // orders the sink's calls
	mu      sync.Mutex
	closed  bool
	current describer.Configuration // its lists are never changed in place
	recent  []change                // that led to current, oldest first
	peers   []reducer.Peer
	ahead   map[string]int64 // revision seen at an address, greater than current
}

// New starts a Distributor. The sink gets every configuration that comes into
// force, in order; it must not change it.
func New(o Options, store Store, node Node, sink func(describer.Configuration)) *Distributor {
	o.fill()
	ctx, cancel := context.WithCancel(context.Background())
	d := &Distributor{
		Ready:   make(chan struct{}),
		Done:    make(chan struct{}),
		options: o,
		store:   store,
		node:    node,
		sink:    sink,
		log:     o.Log.With().Str("part", "distributor").Logger(),
		ctx:     ctx,
		cancel:  cancel,
		wake:    make(chan struct{}, 1),
		behind:  make(chan struct{}, 1),
		ahead:   map[string]int64{},
	}
	node.Handle(messenger.Configure, d.serve)
	d.begin(d.follow)
	d.begin(d.catchUp)
	go func() {
		defer close(d.Done)
		<-ctx.Done()
		d.tasks.Wait()
	}()
	return d
}

// Current returns the configuration in force; Revision 0 means none yet. The
// caller must not change it.
func (d *Distributor) Current() describer.Configuration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.current
}

// IsReady reports whether a configuration is in force.
func (d *Distributor) IsReady() bool {
	select {
	case <-d.Ready:
		return true
	default:
		return false
	}
}

// SetPeers tells the live entry hosts of all failure domains.
func (d *Distributor) SetPeers(alive []reducer.Peer) {
	d.mu.Lock()
	d.peers = alive
	d.mu.Unlock()
	signal(d.wake)
	signal(d.behind)
}

// ObserveRevision tells that the peer at address has a configuration of this revision.
func (d *Distributor) ObserveRevision(address string, revision int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if revision <= d.current.Revision {
		return
	}
	d.ahead[address] = revision
	signal(d.behind)
}

// Close ends the distributor.
func (d *Distributor) Close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.cancel()
}

// install puts a configuration in force if its revision is greater. The
// changes are those that led to it, as far as known.
func (d *Distributor) install(c describer.Configuration, changes []change) bool {
	d.apply.Lock()
	defer d.apply.Unlock()
	d.mu.Lock()
	before := d.current.Revision
	if c.Revision <= before {
		d.mu.Unlock()
		return false
	}
	d.current = c
	d.recent = trail(d.recent, changes, c.Revision)
	for address, revision := range d.ahead {
		if revision <= c.Revision {
			delete(d.ahead, address)
		}
	}
	d.mu.Unlock()
	d.sink(c)
	if before == 0 {
		close(d.Ready)
	}
	d.log.Info().Int64("revision", c.Revision).Msg("Configuration in force.")
	signal(d.wake)
	return true
}

// begin runs f on a goroutine unless the distributor is closed.
func (d *Distributor) begin(f func()) {
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

// pause waits; it returns false when the distributor is closed.
func (d *Distributor) pause(t time.Duration, wake <-chan struct{}) bool {
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

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (o *Options) fill() {
	for _, f := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&o.WatchTimeout, DefaultWatchTimeout},
		{&o.PollInterval, DefaultPollInterval},
		{&o.MinReadInterval, DefaultMinReadInterval},
		{&o.Timeout, DefaultTimeout},
	} {
		if *f.field <= 0 {
			*f.field = f.value
		}
	}
}
