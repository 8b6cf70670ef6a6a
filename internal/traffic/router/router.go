// Package router chooses the backend server for each request.
//
// # Model
//
// A [Router] takes a [Slot] for a request: one of the slots of a backend server
// that this entry host may use now. It looks for slots in the entry host's own
// failure domain first, then in its region. It uses other regions only if the
// caller of [Router.Take] allows it, because the request would miss its deadline
// otherwise, and the [LinkBudget] covers the expected bytes. Among the candidates
// at one distance, a [Policy] chooses.
//
//	slot, err := r.Take(table, router.Request{Service: "desk", Deadline: t})
//	if err == nil {
//		defer slot.Release(outcome)
//	}
//
// Take never blocks. Package limiter lets requests wait for a slot in fair order.
package router

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// Errors of Router.Take, for use with errors.Is.
var (
	ErrUnknownService = errors.New("router: unknown service")
	ErrNoSlot         = errors.New("router: every slot is in use")
	ErrNoBackend      = errors.New("router: no backend server is open")
	ErrEvacuated      = fmt.Errorf("%w: the failure domains of all are evacuated", ErrNoBackend)
	ErrLinkBudget     = errors.New("router: no budget left on the link between regions")
)

// SlotSource decides how many slots of each worker this entry host may use. Its
// methods never block.
type SlotSource interface {
	// Limit returns how many slots of the worker this entry host may use.
	Limit(b describer.Backend) int
	// Acquire takes one slot for a request that ends by deadline, or returns
	// false if none is free. release must be called once, when the request no
	// longer occupies the worker.
	Acquire(b describer.Backend, deadline time.Time) (release func(), ok bool)
}

// Request describes the request for which a slot is taken.
type Request struct {
	Service     string
	Deadline    time.Time
	Bytes       int64           // expected size of request and response bodies
	CrossRegion bool            // other regions may be used
	Avoid       map[string]bool // workers not to use, because they were tried before
}

// Slot is a slot of one backend server, taken for one request.
type Slot struct {
	Backend     describer.Backend
	CrossRegion bool // the backend server is in another region, so its bytes count against the link budget

	router  *Router
	server  *server
	release func()
	service string
	taken   time.Time // start of the request
}

// Options configure a Router.
type Options struct {
	Domain     string           // failure domain of the entry host
	Region     string           // region of the entry host
	Policy     Policy           // nil means LeastLoaded
	Health     Health           // zero fields take defaults
	LinkBudget *LinkBudget      // nil forbids other regions
	Seed       uint64           // seed of random choices
	Now        func() time.Time // nil means time.Now
}

// Router chooses among backend servers. It is safe for concurrent use.
type Router struct {
	Options Options
	Slots   SlotSource

	lock     sync.Mutex
	servers  map[string]*server // by worker
	random   *rand.Rand
	services map[string]*serversByDistance // by service
	table    *describer.RoutingTable       // source of services
	scratch  []Candidate                   // reused by candidates
}

// New returns a router that takes its slots from s.
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

// Take returns a slot of the nearest suitable backend server. The caller must call
// Slot.Release. It returns ErrUnknownService if the table does not have the
// service, ErrNoSlot if all slots are in use, ErrNoBackend if no backend server is
// usable, ErrEvacuated, which wraps it, if all backend servers are in evacuated failure
// domains, and ErrLinkBudget if only the link budget prevents the use of another region.
func (r *Router) Take(table *describer.RoutingTable, q Request) (*Slot, error) {
	r.lock.Lock()
	defer r.lock.Unlock()
	byDistance, ok := r.serversOf(table, q.Service)
	if !ok {
		return nil, ErrUnknownService
	}
	reason := ErrNoBackend
	for distance, servers := range byDistance {
		if Distance(distance) == OtherRegion {
			if !q.CrossRegion {
				break
			}
			if len(servers) > 0 && !r.Options.LinkBudget.Allow(q.Bytes, r.Options.Now()) {
				return nil, ErrLinkBudget
			}
		}
		slot, err := r.takeFrom(servers, q)
		if err == nil {
			slot.CrossRegion = Distance(distance) == OtherRegion
			return slot, nil
		}
		if !errors.Is(err, ErrNoBackend) {
			reason = err
		}
	}
	if errors.Is(reason, ErrNoBackend) && byDistance.areEvacuated() {
		return nil, ErrEvacuated
	}
	return nil, reason
}

// takeFrom takes a slot at one distance. If the chosen candidate's slot turns out
// to be gone, it asks the policy again without that candidate.
func (r *Router) takeFrom(servers []*server, q Request) (*Slot, error) {
	now := r.Options.Now()
	candidates, open := r.candidates(servers, q, now)
	for len(candidates) > 0 {
		i := r.Options.Policy.Choose(candidates, r.random)
		s := candidates[i].server
		release, ok := r.Slots.Acquire(s.backend, q.Deadline)
		if ok {
			return r.newSlot(s, release, q, now), nil
		}
		candidates[i] = candidates[len(candidates)-1]
		candidates = candidates[:len(candidates)-1]
	}
	if !open {
		return nil, ErrNoBackend
	}
	return r.requestSlot(servers, q, now)
}

// newSlot returns a slot of a server that has been acquired.
func (r *Router) newSlot(s *server, release func(), q Request, now time.Time) *Slot {
	s.inFlight++
	return &Slot{Backend: s.backend, router: r, server: s, release: release, service: q.Service, taken: now}
}

// requestSlot tries to take a slot of a usable server of which this entry host has none, so
// that the slot source learns of the demand: candidates leaves such servers out. It returns
// ErrNoSlot if there is none.
func (r *Router) requestSlot(servers []*server, q Request, now time.Time) (*Slot, error) {
	start := r.random.IntN(len(servers))
	for k := range servers {
		s := servers[(start+k)%len(servers)]
		if s.backend.Closed || q.Avoid[s.backend.Worker] || s.isEjected(now) || r.Slots.Limit(s.backend) > 0 {
			continue
		}
		release, ok := r.Slots.Acquire(s.backend, q.Deadline)
		if !ok {
			break
		}
		return r.newSlot(s, release, q, now), nil
	}
	return nil, ErrNoSlot
}

// maxCandidates bounds the candidates of one choice. In larger groups, they are the
// first ones with a free slot from a random position, so that the cost of a choice
// does not grow with the size of the fleet while slots are free.
const maxCandidates = 64

// candidates returns the servers with a free slot. The second result reports
// whether any server is usable, with or without a free slot: open, not ejected and
// not in q.Avoid.
func (r *Router) candidates(servers []*server, q Request, now time.Time) ([]Candidate, bool) {
	out := r.scratch[:0]
	open := false
	start := 0
	if len(servers) > maxCandidates {
		start = r.random.IntN(len(servers))
	}
	for k := range servers {
		s := servers[(start+k)%len(servers)]
		if s.backend.Closed || q.Avoid[s.backend.Worker] || s.isEjected(now) {
			continue
		}
		open = true
		limit := s.limit(r.Slots.Limit(s.backend), &r.Options.Health, now)
		if s.inFlight >= limit {
			continue
		}
		out = append(out, Candidate{server: s, InFlight: s.inFlight, Limit: limit, Interference: s.backend.Interference, Latency: s.decayedLatency(now)})
		if len(out) == maxCandidates {
			break
		}
	}
	r.scratch = out
	return out, open
}

// Capacity returns how many requests for the service this entry host may have in
// flight now in its own region.
func (r *Router) Capacity(table *describer.RoutingTable, service string) int {
	r.lock.Lock()
	defer r.lock.Unlock()
	byDistance, _ := r.serversOf(table, service)
	if byDistance == nil {
		return 0
	}
	now := r.Options.Now()
	sum := 0
	for _, servers := range byDistance[:OtherRegion] {
		for _, s := range servers {
			if !s.backend.Closed && !s.isEjected(now) {
				sum += s.limit(r.Slots.Limit(s.backend), &r.Options.Health, now)
			}
		}
	}
	return sum
}

// Release gives the slot back and records the outcome for the backend server. It
// must be called once.
func (s *Slot) Release(o Outcome) {
	s.release()
	s.router.lock.Lock()
	defer s.router.lock.Unlock()
	s.server.inFlight--
	s.router.recordOutcome(s, o)
}
