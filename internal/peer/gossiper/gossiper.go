// Package gossiper maintains the list of live entry hosts (hosts that run a
// daemon) with a SWIM-style gossip protocol: failure detection by pings, and
// membership updates that are piggybacked on the pings.
//
// # Model
//
// Every host pings one other host each interval. The order is random, and each
// round covers all members. Pings and their answers carry membership updates. A
// member that answers neither a direct ping nor one through other hosts becomes
// suspect. It becomes dead if it does not refute the suspicion in time, which it
// does by raising its incarnation number; only the member itself may raise that
// number. A member that leaves announces it and is listed as leaving from then on.
//
// Membership is a hint. Two hosts may disagree at any time, and no safety property
// depends on it.
//
//	g := gossiper.New(options, node, func(alive []reducer.Peer) { ... })
//	g.UpdateHosts(hosts)           // hosts of the platform's host list
//	g.SetShards([]string{"bne-1"}) // shards that this host owns
//	g.SetRevision(42)              // revision of the configuration in use on this host
//	g.Leave()
//
// # Budget
//
// The rate of bytes sent stays below Options.Budget. When the budget is used up,
// updates are delayed first, and then pings are skipped. The load on one host does
// not depend on the number of hosts.
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

// Node sends calls to peers and serves their calls. Handle registers the handler
// of a method. *messenger.Node implements it.
type Node interface {
	messenger.Caller
	Handle(method string, h messenger.Handler)
}

// Default values of Options.
const (
	DefaultInterval = time.Second
	DefaultBudget   = 1200 // bytes per second
)

const (
	indirectProbes     = 3                // hosts asked to ping a member that did not answer
	suspicionIntervals = 4.0              // intervals that a suspicion lasts, per power of ten of members
	deadRetention      = 10 * time.Minute // keeps dead members, so that stale updates do not revive them
	burstSeconds       = 30               // unused budget that can accumulate, in seconds
	rejoinIntervals    = 5                // intervals between pings of addresses that are not members
)

// Options configure a Gossiper. Zero values of Interval, Budget, Seed and Seen take
// defaults.
type Options struct {
	Self     reducer.Peer  // this host; Name and Address must be unique
	Seeds    []string      // addresses of other entry hosts, ip:port, to join through
	Interval time.Duration // time between pings
	Budget   int           // limit on bytes sent per second, including transport headers
	Seed     uint64        // seed of the random ping order; 0 takes a random seed

	// Seen is called when a member reports a configuration revision that is newer
	// than its last one or than that of this host. It gets the address of the
	// member. Calls may be concurrent and may repeat a revision.
	Seen func(address string, revision int64)
	Log  zerolog.Logger
}

// Gossiper is the view that one host has of the members. It is safe for concurrent
// use. Close must be called to stop its goroutines.
type Gossiper struct {
	Done chan struct{} // closed when all goroutines have ended after Close

	options  Options
	node     Node
	onChange func([]reducer.Peer)
	log      zerolog.Logger
	ctx      context.Context
	cancel   context.CancelFunc
	tasks    sync.WaitGroup
	changed  chan struct{} // wakes reportChanges
	limiter  *rate.Limiter // enforces Options.Budget, in bytes

	mu              sync.Mutex
	random          *rand.Rand
	self            member
	members         map[string]*entry // other hosts by name, including dead ones
	sortedNames     []string          // sorted keys of members
	membersDigest   uint64            // sum of the digests of members
	pingOrder       []string          // names left to ping in this round
	listedAddresses []string          // addresses of the live entry hosts in the host list
	addressByName   map[string]string // the same addresses by host name
	ticks           int64             // intervals so far
	nextCandidate   int               // position in the rotation over addresses that are not members
	viewsDiffer     bool              // whether the last answer came from a host with another view
	failureScore    int               // failed probes less successful ones, from 0 to maxFailureScore
	closed          bool
	sentBytes       int64
}

// New starts a Gossiper and registers it with node as the handler of
// messenger.Ping. It calls onChange from one goroutine whenever the members believed
// to be alive change, with all of them sorted by name, this host included. Changes
// that occur during a call are reported together by the next one.
func New(o Options, node Node, onChange func([]reducer.Peer)) *Gossiper {
	o.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	g := &Gossiper{
		Done:        make(chan struct{}),
		options:     o,
		node:        node,
		onChange:    onChange,
		log:         o.Log.With().Str("part", "gossiper").Logger(),
		ctx:         ctx,
		cancel:      cancel,
		changed:     make(chan struct{}, 1),
		limiter:     rate.NewLimiter(rate.Limit(o.Budget), burstSeconds*o.Budget),
		random:      rand.New(rand.NewPCG(o.Seed, o.Seed)),
		self:        newMember(o.Self),
		members:     map[string]*entry{},
		viewsDiffer: true,
	}
	node.Handle(messenger.Ping, g.handlePing)
	signal(g.changed)
	g.tasks.Add(2)
	go func() {
		defer g.tasks.Done()
		g.run()
	}()
	go func() {
		defer g.tasks.Done()
		g.reportChanges()
	}()
	go func() {
		defer close(g.Done)
		g.tasks.Wait()
	}()
	return g
}

// SetShards sets the shards that this host announces as its own.
func (g *Gossiper) SetShards(shards []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if slices.Equal(g.self.Shards, shards) {
		return // unchanged; onChange may lead to this call, so an update would loop
	}
	g.self.Shards = shards
	g.announceSelf()
}

// SetRevision sets the revision of the configuration in use on this host, which
// its heartbeats report.
func (g *Gossiper) SetRevision(revision int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.self.Revision = revision
}

// UpdateHosts takes the live entry hosts from the platform's host list as addresses
// to contact. The list lags, so a host that is missing from it is not treated as
// dead. An address in the list takes precedence over the one that the host
// announces, which may be valid in the host's own network only.
func (g *Gossiper) UpdateHosts(hosts []describer.Host) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listedAddresses, g.addressByName = nil, map[string]string{}
	for _, h := range hosts {
		if h.Role == describer.Entry && h.State == describer.Live && h.Control != "" {
			g.listedAddresses = append(g.listedAddresses, h.Control)
			g.addressByName[h.Name] = h.Control
		}
	}
	for name, e := range g.members {
		if address, ok := g.addressByName[name]; ok && address != e.Address {
			e.Address = address
			signal(g.changed)
		}
	}
}

// Alive returns the members believed to be alive, sorted by name, this host
// included. Suspected and leaving members count as alive.
func (g *Gossiper) Alive() []reducer.Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.aliveMembers()
}

// Sent returns the number of bytes sent so far, including an estimate of the
// transport headers.
func (g *Gossiper) Sent() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sentBytes
}

// Leave announces to other hosts that this one is leaving, and returns when they
// have answered or their pings have timed out. The host goes on answering pings.
func (g *Gossiper) Leave() {
	g.mu.Lock()
	g.self.Leaving = true
	g.announceSelf()
	targets := g.leaveTargets()
	g.self.transmitsLeft += len(targets)
	g.mu.Unlock()
	var pings sync.WaitGroup
	for _, address := range targets {
		pings.Go(func() { _ = g.ping(g.ctx, address, "") })
	}
	pings.Wait()
}

// Close stops the gossiper without announcing it. Done is closed when it has ended.
// The handler stays registered, so pings are answered until the node is closed.
func (g *Gossiper) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.cancel()
}

// announceSelf raises the incarnation of this host and queues the new state for
// sending. g.mu is held.
func (g *Gossiper) announceSelf() {
	g.self.Incarnation++
	g.self.transmitsLeft = g.transmitLimit()
	signal(g.changed)
}

// transmitLimit returns how many times this host sends an update before it counts
// as disseminated. g.mu is held.
func (g *Gossiper) transmitLimit() int {
	return 4 * int(math.Ceil(math.Log10(float64(len(g.members)+2))))
}

// reportChanges calls onChange after each change. If onChange is slow, it skips
// intermediate states.
func (g *Gossiper) reportChanges() {
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-g.changed:
			g.onChange(g.Alive())
		}
	}
}

// signal wakes the reader of c, a channel of capacity 1, without blocking.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// setDefaults replaces zero values by the defaults.
func (o *Options) setDefaults() {
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
