// Package router chooses the backend server for a request.
//
// # Model
//
// A [Router] takes a [Slot] for a request: one of the slots of a backend
// server that this entry host may use now. Places are sought in the entry
// host's own failure domain, then in its region, and in other regions only
// when the caller of [Router.Take] says that the deadline would be missed
// otherwise and the link has budget for the expected bytes. Among the
// candidates of one distance a [Policy] chooses.
//
//	place, err := r.Take(table, router.Request{Service: "desk", Deadline: t})
//	if err == nil {
//		defer place.Release(outcome)
//	}
//
// Take never waits: waiting for a place, in fair order, is the limiter's job.
package router

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// Reasons for which Take finds no place, found with errors.Is.
var (
	ErrUnknownService = errors.New("router: unknown service")
	ErrNoSlot         = errors.New("router: every slot is in use")
	ErrNoBackend      = errors.New("router: no backend server is open")
	ErrLinkBudget     = errors.New("router: no budget left on the link between regions")
)

// SlotSource lends the slots of workers to this entry host. Its methods never wait.
type SlotSource interface {
	// Limit returns how many slots of the worker this entry host may use.
	Limit(b describer.Backend) int
	// Acquire takes one slot for a request that ends by deadline. Release must
	// be called once, when the request no longer occupies the worker.
	Acquire(b describer.Backend, deadline time.Time) (release func(), ok bool)
}

// Request says what a place is wanted for.
type Request struct {
	Service     string
	Deadline    time.Time
	Bytes       int64           // expected on the link, both ways
	CrossRegion bool            // other regions are allowed
	Avoid       map[string]bool // workers already tried
}

// Slot is a slot of one backend server.
type Slot struct {
	Backend     describer.Backend
	CrossRegion bool // in another region; its bytes count against the link

	router  *Router
	server  *server
	release func()
	service string
	since   time.Time
}

// Options place the entry host.
type Options struct {
	Domain     string
	Region     string
	Policy     Policy      // LeastLoaded if nil
	Health     Health      // zero fields take defaults
	LinkBudget *LinkBudget // nil forbids other regions
	Seed       uint64
	Now        func() time.Time // time.Now if nil
}

// Router chooses among backend servers.
type Router struct {
	Options Options
	Slots   SlotSource

	lock    sync.Mutex
	servers map[string]*server
	random  *rand.Rand
	view    map[string]*rows
	table   *describer.RoutingTable
	scratch []Candidate
}

// New returns a router over the lent slots.
func New(o Options, s SlotSource) *Router {
	if o.Policy == nil {
		o.Policy = LeastLoaded{}
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	o.Health = o.Health.withDefaults()
	return &Router{
		Options: o,
		Slots:   s,
		servers: make(map[string]*server),
		random:  rand.New(rand.NewPCG(o.Seed, o.Seed+1)),
	}
}

// Take returns a place for the request or the reason why there is none.
func (r *Router) Take(table *describer.RoutingTable, q Request) (*Slot, error) {
	r.lock.Lock()
	defer r.lock.Unlock()
	rows, ok := r.rows(table, q.Service)
	if !ok {
		return nil, ErrUnknownService
	}
	reason := ErrNoBackend
	for distance, row := range rows {
		if Distance(distance) == OtherRegion {
			if !q.CrossRegion {
				break
			}
			if len(row) > 0 && !r.Options.LinkBudget.Allow(q.Bytes, r.Options.Now()) {
				return nil, ErrLinkBudget
			}
		}
		place, err := r.takeFrom(row, q)
		if err == nil {
			place.CrossRegion = Distance(distance) == OtherRegion
			return place, nil
		}
		if !errors.Is(err, ErrNoBackend) {
			reason = err
		}
	}
	return nil, reason
}

// takeFrom chooses within one distance. A candidate whose slots turn out to
// be gone is left out and the policy is asked again.
func (r *Router) takeFrom(row []*server, q Request) (*Slot, error) {
	now := r.Options.Now()
	candidates, open := r.candidates(row, q, now)
	for len(candidates) > 0 {
		i := r.Options.Policy.Choose(candidates, r.random)
		s := candidates[i].server
		release, ok := r.Slots.Acquire(s.backend, q.Deadline)
		if ok {
			s.flight++
			return &Slot{Backend: s.backend, router: r, server: s, release: release, service: q.Service, since: now}, nil
		}
		candidates[i] = candidates[len(candidates)-1]
		candidates = candidates[:len(candidates)-1]
	}
	if open {
		return nil, ErrNoSlot
	}
	return nil, ErrNoBackend
}

// sampled is the number of backend servers that one choice looks at. Up to
// it every one is seen; above, a random sample keeps the cost of a request
// independent of the size of the fleet.
const sampled = 64

func (r *Router) candidates(row []*server, q Request, now time.Time) ([]Candidate, bool) {
	out := r.scratch[:0]
	open := false
	start := 0
	if len(row) > sampled {
		start = r.random.IntN(len(row))
	}
	for k := range row {
		s := row[(start+k)%len(row)]
		if s.backend.Closed || q.Avoid[s.backend.Worker] || s.isEjected(now) {
			continue
		}
		open = true
		limit := s.limit(r.Slots.Limit(s.backend), &r.Options.Health, now)
		if s.flight >= limit {
			continue
		}
		out = append(out, Candidate{server: s, InFlight: s.flight, Limit: limit, Interference: s.backend.Interference, Latency: s.recent(now)})
		if len(out) == sampled {
			break
		}
	}
	r.scratch = out
	return out, open
}

// Capacity returns how many requests for the service this entry host can
// have in flight now in its own region.
func (r *Router) Capacity(table *describer.RoutingTable, service string) int {
	r.lock.Lock()
	defer r.lock.Unlock()
	rows, _ := r.rows(table, service)
	if rows == nil {
		return 0
	}
	now := r.Options.Now()
	sum := 0
	for _, row := range rows[:OtherRegion] {
		for _, s := range row {
			if !s.backend.Closed && !s.isEjected(now) {
				sum += s.limit(r.Slots.Limit(s.backend), &r.Options.Health, now)
			}
		}
	}
	return sum
}

// Release gives the slot back and learns from the outcome.
func (p *Slot) Release(o Outcome) {
	p.release()
	p.router.lock.Lock()
	defer p.router.lock.Unlock()
	p.server.flight--
	p.router.learn(p, o)
}
