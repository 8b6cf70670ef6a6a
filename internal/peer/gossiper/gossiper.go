// Package gossiper keeps the membership of entry hosts.
//
// # Model
//
// Every host pings one other host each interval, in a random order that comes
// round to all. Pings and answers carry news about members. A host that does
// not answer, neither directly nor through others, becomes suspect, and dead
// when nobody has refuted the suspicion in time; a member refutes by a greater
// incarnation number, which it alone may raise. A member that leaves says so
// and is known as leaving at once.
//
// Membership is a hint about who is there. Two hosts may disagree at any time,
// and nothing that must hold depends on it.
//
//	g := gossiper.New(options, node, func(alive []reducer.Peer) { ... })
//	g.UpdateHosts(hosts)       // from the lagging host list
//	g.SetShards([]string{"bne-1"})
//	g.SetRevision(42)          // of the configuration in force here
//	g.Leave()
//
// # Budget
//
// The bytes sent are kept below Options.Budget: news waits, and then pings
// are skipped, when it is used up. The load on one host does not depend on
// their number.
package gossiper

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/reducer"
	"dotterelcart.dev/dotterelcart/internal/peer/messenger"
)

// Node calls peers and serves their calls.
type Node interface {
	messenger.Caller
	Handle(method string, h messenger.Handler)
}

// Defaults of Options.
const (
	DefaultInterval = time.Second
	DefaultBudget   = 1200 // bytes a second
)

const (
	indirect    = 3                // hosts asked to ping on behalf
	suspicion   = 4.0              // intervals for each power of ten of members
	forgetAfter = 10 * time.Minute // a dead member is remembered, so that old news does not revive it
	burst       = 30               // seconds of budget that can be saved up
	probeEvery  = 5                // intervals between pings of addresses that are not members
)

// Options configure a Gossiper. Zero values take the defaults.
type Options struct {
	Self     reducer.Peer
	Seeds    []string      // addresses of other entry hosts, ip:port
	Interval time.Duration // between pings
	Budget   int           // bytes sent a second, transport headers included
	Seed     uint64        // of the random order; 0 takes a random one
	Seen     func(address string, revision int64)
	Log      zerolog.Logger
}

// Gossiper is one host's view of the members. It is safe for concurrent use.
type Gossiper struct {
	Done chan struct{} // closed when nothing will be sent or reported any more

	options Options
	node    Node
	sink    func([]reducer.Peer)
	log     zerolog.Logger
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
	changed chan struct{}
	limit   *rate.Limiter

	mu      sync.Mutex
	random  *rand.Rand
	self    member
	members map[string]*entry // others, by name
	sorted  []string          // names of members
	others  uint64            // digest of members
	order   []string          // names still to ping in this round
	hosts   []string          // addresses from the host list
	routes  map[string]string // of these, by name
	ticks   int64
	next    int  // of the round over addresses that are not members
	differs bool // the latest answer came from a different view
	failing int  // pings that failed in a row, less those that did not
	closed  bool
	sent    int64 // bytes
}

// New starts a Gossiper. The sink gets the members believed to be alive, this
// host included, sorted by name, whenever they change.
func New(o Options, node Node, sink func([]reducer.Peer)) *Gossiper {
	o.fill()
	ctx, cancel := context.WithCancel(context.Background())
	g := &Gossiper{
		Done:    make(chan struct{}),
		options: o,
		node:    node,
		sink:    sink,
		log:     o.Log.With().Str("part", "gossiper").Logger(),
		ctx:     ctx,
		cancel:  cancel,
		changed: make(chan struct{}, 1),
		limit:   rate.NewLimiter(rate.Limit(o.Budget), burst*o.Budget),
		random:  rand.New(rand.NewPCG(o.Seed, o.Seed)),
		self:    newMember(o.Self),
		members: map[string]*entry{},
		differs: true,
	}
	node.Handle(messenger.Ping, g.serve)
	signal(g.changed)
	g.tasks.Add(2)
	go func() {
		defer g.tasks.Done()
		g.run()
	}()
	go func() {
		defer g.tasks.Done()
		g.report()
	}()
	go func() {
		defer close(g.Done)
		g.tasks.Wait()
	}()
	return g
}

// SetShards tells the shards that this host owns.
func (g *Gossiper) SetShards(shards []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if slices.Equal(g.self.Shards, shards) {
		return // no news; the sink may well lead to this call
	}
	g.self.Shards = shards
	g.renew()
}

// SetRevision tells the revision of the configuration in force here.
func (g *Gossiper) SetRevision(revision int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.self.Revision = revision
}

// UpdateHosts takes entry hosts from the host list as addresses to try. The
// list lags, so a host that it lacks is not taken for dead. How the list says
// that a host is reached prevails over what the host says of itself, which may
// hold in its own network only.
func (g *Gossiper) UpdateHosts(hosts []describer.Host) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hosts, g.routes = nil, map[string]string{}
	for _, h := range hosts {
		if h.Role == describer.Entry && h.State == describer.Live && h.Control != "" {
			g.hosts = append(g.hosts, h.Control)
			g.routes[h.Name] = h.Control
		}
	}
	for name, e := range g.members {
		if route, ok := g.routes[name]; ok && route != e.Address {
			e.Address = route
			signal(g.changed)
		}
	}
}

// Alive returns the members believed to be alive, sorted by name.
func (g *Gossiper) Alive() []reducer.Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.alive()
}

// Sent returns the bytes sent so far, with an estimate of transport headers.
func (g *Gossiper) Sent() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sent
}

// Leave tells the other hosts that this one is leaving. It goes on answering
// until Close.
func (g *Gossiper) Leave() {
	g.mu.Lock()
	g.self.Leaving = true
	g.renew()
	targets := g.nearest()
	g.self.spread += len(targets)
	g.mu.Unlock()
	var pings sync.WaitGroup
	for _, address := range targets {
		pings.Go(func() { _ = g.ping(g.ctx, address, "") })
	}
	pings.Wait()
}

// Close ends the gossiper without telling anybody.
func (g *Gossiper) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.cancel()
}

// renew makes a change of self known; g.mu is held.
func (g *Gossiper) renew() {
	g.self.Incarnation++
	g.self.spread = g.spreads()
	signal(g.changed)
}

// spreads is how often a piece of news is sent on before it counts as known;
// g.mu is held.
func (g *Gossiper) spreads() int {
	return 4 * int(math.Ceil(math.Log10(float64(len(g.members)+2))))
}

// report calls the sink, with the latest state only when it is slow.
func (g *Gossiper) report() {
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-g.changed:
			g.sink(g.Alive())
		}
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (o *Options) fill() {
	if o.Interval <= 0 {
		o.Interval = DefaultInterval
	}
	if o.Budget <= 0 {
		o.Budget = DefaultBudget
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	if o.Seen == nil {
		o.Seen = func(string, int64) {}
	}
}
