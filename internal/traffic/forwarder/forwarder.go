// Package forwarder answers callers' requests to services by sending them to
// backend servers.
//
// # Requests
//
// A caller asks for /svc/<service>/<rest>; the backend server is asked for
// /<rest>. These headers say how:
//
//	Dotterel-Tenant: minara        who asks; must be a configured team
//	Dotterel-Class: hold           queue and histograms; "default" if absent
//	Dotterel-Deadline: 1500ms      time left for the whole answer
//	Dotterel-Idempotent: true      a POST or PATCH that may be repeated
//	Idempotency-Key: 7f3a          a POST or PATCH that is sent at most once for this key
//
// # Answers
//
// An answer of the backend server is passed on as it arrives. If it breaks
// off, the caller's connection is aborted, so that no part of an answer looks
// like the whole. Any failure before that is JSON with a verdict:
//
//	{"code":"late","message":"...","field":"","verdict":"not-run","retry":"350ms"}
package forwarder

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/operator/parser"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
	"dotterelcart.dev/dotterelcart/internal/traffic/dialer"
	"dotterelcart.dev/dotterelcart/internal/traffic/limiter"
	"dotterelcart.dev/dotterelcart/internal/traffic/retrier"
	"dotterelcart.dev/dotterelcart/internal/traffic/router"
)

// Claimer records who sends a request with an idempotency key. It is asked
// before the first byte of the request is sent.
type Claimer interface {
	// Claim returns fresh if owner is the first to claim the key, and the
	// first owner otherwise. After an error the key may have been claimed.
	Claim(ctx context.Context, key, owner string) (fresh bool, first string, err error)
}

// Options are the settings of a forwarder. Zero fields take defaults.
type Options struct {
	Name       string // of the entry host
	Domain     string // its failure domain
	Region     string
	Traffic    parser.Traffic
	Slots      router.SlotSource // nil: a third of each worker's slots, for tests
	Policy     router.Policy     // router.LeastLoaded if nil
	Health     router.Health
	HedgeRatio float64 // second attempts as a share of first ones; 0 takes 0.05, negative none
	Seed       uint64
	// Connections returns how many connections to the backend server may be
	// open; nil takes eight for each slot lent.
	Connections func(b describer.Backend) int
}

// Forwarder is an http.Handler for callers.
type Forwarder struct {
	Options    Options
	Router     *router.Router
	Dialer     *dialer.Dialer
	Limiter    *limiter.Limiter[*router.Slot]
	LinkBudget *router.LinkBudget
	Done       chan struct{} // closed when upkeep has ended

	table   func() *describer.RoutingTable
	teams   func() []describer.Team
	claimer Claimer
	log     zerolog.Logger
	metrics *metrics
	weights weights
	retries *retrier.Budget
	hedges  *retrier.Budget
	delays  delays
	claims  claims
	gate    gate
	stop    context.CancelFunc
	serial  atomic.Int64
	born    int64 // tells this process from earlier ones of the same name
}

// New returns a forwarder that is ready to serve. Close ends its probes.
func New(
	o Options,
	table func() *describer.RoutingTable,
	teams func() []describer.Team,
	claimer Claimer,
	scope tally.Scope,
	log zerolog.Logger,
) *Forwarder {
	o = withDefaults(o)
	link := router.NewLinkBudget(o.Traffic.Link)
	f := &Forwarder{
		Options:    o,
		born:       time.Now().UnixNano(),
		LinkBudget: link,
		Done:       make(chan struct{}),
		table:      table,
		teams:      teams,
		claimer:    claimer,
		log:        log.With().Str("part", "forwarder").Logger(),
		metrics:    newMetrics(scope),
		retries:    retrier.NewBudget(o.Traffic.Budget, retryReserve),
		hedges:     retrier.NewBudget(o.HedgeRatio, hedgeReserve),
	}
	f.Router = router.New(router.Options{
		Domain:     o.Domain,
		Region:     o.Region,
		Policy:     o.Policy,
		Health:     o.Health,
		LinkBudget: link,
		Seed:       o.Seed,
	}, o.Slots)
	f.Dialer = dialer.New(dialer.Options{
		StallTimeout: time.Duration(o.Traffic.Silence),
		Connections:  o.Connections,
	})
	f.Limiter = limiter.New[*router.Slot](limiter.Options{MaxQueue: o.Traffic.Queue})
	if s, ok := o.Slots.(attacher); ok {
		s.Attach(f.Dialer.OpenConnections, f.Limiter.Dispatch)
	}
	f.gate.init()
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	go func() {
		defer close(f.Done)
		f.upkeep(ctx)
	}()
	return f
}

// attacher is implemented by Slots that change: they ask how many connections
// are open, and tell when there are more slots than before.
type attacher interface {
	Attach(open func(worker string) int, grown func())
}

// writeSlack is how long after its deadline a failure may still be written.
const writeSlack = time.Second

const (
	retryReserve = 10
	hedgeReserve = 2

	defaultQueue    = 64
	defaultBody     = 64 << 20
	defaultDeadline = 10 * time.Second
	defaultBudget   = 0.1
	defaultHedge    = 0.05
	entryHosts      = 3
)

func withDefaults(o Options) Options {
	t := &o.Traffic
	if t.Queue <= 0 {
		t.Queue = defaultQueue
	}
	if t.Body <= 0 {
		t.Body = defaultBody
	}
	if t.Deadline <= 0 {
		t.Deadline = parser.Duration(defaultDeadline)
	}
	if t.Budget <= 0 {
		t.Budget = defaultBudget
	}
	if o.HedgeRatio == 0 {
		o.HedgeRatio = defaultHedge
	}
	if o.Slots == nil {
		o.Slots = &router.FixedShare{Hosts: entryHosts}
	}
	if o.Connections == nil {
		slots := o.Slots
		o.Connections = func(b describer.Backend) int {
			return slots.Limit(b) * b.Connections / max(b.Slots, 1)
		}
	}
	return o
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	ctx, leave, ok := f.gate.enter(r.Context())
	if !ok {
		w.Header().Set("Connection", "close")
		classifier.WriteError(w, errStopping)
		return
	}
	defer leave()
	call, err := f.read(r)
	if err != nil {
		f.metrics.refused(call)
		classifier.WriteError(w, err)
		return
	}
	call.ends = start.Add(call.deadline)
	defer func() { f.metrics.finished(call, time.Since(start)) }()
	ctx, cancel := context.WithDeadline(ctx, call.ends)
	defer cancel()
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(call.ends.Add(writeSlack))
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	f.handle(ctx, w, r, call)
}

// handle answers a request that was read without a fault.
func (f *Forwarder) handle(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call) {
	body, err := newPayload(w, r, f.Options.Traffic.Body, c.ends)
	if err != nil {
		f.metrics.refused(c)
		classifier.WriteError(w, err)
		return
	}
	c.body = body
	if c.key != "" && f.replay(w, c) {
		return
	}
	if c.body.source != nil {
		_ = http.NewResponseController(w).EnableFullDuplex()
	}
	answer, err := f.send(ctx, c)
	if err != nil {
		c.body.release(w)
		f.fail(w, c, err)
		return
	}
	defer answer.close()
	f.pass(ctx, w, c, answer)
}

// fail answers with a failure and notes whether it was a refusal.
func (f *Forwarder) fail(w http.ResponseWriter, c *call, err error) {
	failure := asFailure(err)
	if c.key != "" {
		f.claims.failed(c.key, c.owner, failure)
	}
	if failure.Verdict == classifier.NotRun {
		f.metrics.refused(c)
	}
	f.log.Debug().Str("tenant", c.tenant).Str("class", c.class).Str("code", failure.Code).AnErr("cause", failure.Err).Stringer("verdict", failure.Verdict).Msg("request failed")
	classifier.WriteError(w, failure)
}

// Drain refuses new requests and waits until those in flight have ended or
// ctx is done. It returns how many were cut off then.
func (f *Forwarder) Drain(ctx context.Context) (cut int) {
	cut = f.gate.drain(ctx)
	if cut > 0 {
		f.log.Warn().Int("cut", cut).Msg("requests cut off")
	}
	return cut
}

// Close ends the forwarder's goroutines and closes idle connections.
func (f *Forwarder) Close() error {
	f.stop()
	<-f.Done
	return f.Dialer.Close()
}

// Intervals of upkeep.
const (
	kickInterval = 20 * time.Millisecond
	keepEvery    = 250 // kicks between looks for workers that are gone
)

// upkeep looks for places that came free without a request's end, such as
// after an ejection or with a new routing table.
func (f *Forwarder) upkeep(ctx context.Context) {
	tick := time.NewTicker(kickInterval)
	defer tick.Stop()
	for i := 1; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		f.Limiter.Dispatch()
		if i%keepEvery == 0 {
			f.keep()
		}
	}
}

// keep closes the connections to workers that the table no longer names.
func (f *Forwarder) keep() {
	table := f.table()
	if table == nil {
		return
	}
	known := make(map[string]bool)
	for _, backends := range table.Services {
		for _, b := range backends {
			known[b.Worker] = true
		}
	}
	f.Dialer.Prune(func(worker string) bool { return known[worker] })
}

// weights finds a team's weight in the latest list.
type weights struct {
	lock  sync.Mutex
	teams []describer.Team
	index map[string]int
}

// of returns the team's weight; ok is false for an unknown team. The index is
// remade when the list is another one.
func (x *weights) of(teams []describer.Team, name string) (weight int, ok bool) {
	x.lock.Lock()
	defer x.lock.Unlock()
	if !isSame(x.teams, teams) || x.index == nil {
		x.teams = teams
		x.index = make(map[string]int, len(teams))
		for _, t := range teams {
			x.index[t.Name] = max(t.Weight, 1)
		}
	}
	weight, ok = x.index[name]
	return weight, ok
}

func isSame(a, b []describer.Team) bool {
	if len(a) != len(b) {
		return false
	}
	return len(a) == 0 || &a[0] == &b[0]
}

func asFailure(err error) *classifier.Error {
	var e *classifier.Error
	if errors.As(err, &e) {
		return e
	}
	return &classifier.Error{Status: http.StatusBadGateway, Code: "broken", Message: "the request failed", Err: err}
}
