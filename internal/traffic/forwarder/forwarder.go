// Package forwarder is the reverse proxy of an entry host: it forwards callers'
// requests for a service to the service's backend servers, with queueing, retries
// and hedging.
//
// # Requests
//
// A request for /svc/<service>/<rest> is forwarded as a request for /<rest>.
// Callers set these headers:
//
//	Dotterel-Tenant: minara        name of the tenant, a configured team; required
//	Dotterel-Class: hold           selects the queue and the metrics; "default" if absent
//	Dotterel-Deadline: 1500ms      time limit for the complete response
//	Dotterel-Idempotent: true      the POST or PATCH may be sent more than once
//	Idempotency-Key: 7f3a          the POST or PATCH is sent at most once for this key
//
// # Responses
//
// The response of the backend server is streamed to the caller. If it is
// truncated, the caller's connection is aborted, so that the caller can't take it
// for complete. A failure before that is reported in JSON, with a verdict that
// says whether the request may have run (see package classifier):
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

// Claimer records which request first used an idempotency key. The forwarder
// asks it before it sends the first byte of the request.
type Claimer interface {
	// Claim records owner for the key. fresh is true if the key was not
	// claimed before; otherwise first is the owner that claimed it. After an
	// error the key may or may not have been claimed.
	Claim(ctx context.Context, key, owner string) (fresh bool, first string, err error)
}

// Options are the settings of a forwarder. Zero fields take defaults.
type Options struct {
	Name       string // name of the entry host
	Domain     string // failure domain of the entry host
	Region     string // region of the entry host
	Traffic    parser.Traffic
	Slots      router.SlotSource // nil means a third of each worker's slots, for tests
	Policy     router.Policy     // nil means router.LeastLoaded
	Health     router.Health
	HedgeRatio float64 // second attempts per first attempt; 0 means 0.05, negative disables hedging
	Seed       uint64  // seed of random choices among backend servers
	// Connections returns how many connections to the backend server may be
	// open; nil means those that belong to this entry host's share of slots.
	Connections func(b describer.Backend) int
}

// Forwarder is the http.Handler for callers' requests.
type Forwarder struct {
	Options    Options
	Router     *router.Router
	Dialer     *dialer.Dialer
	Limiter    *limiter.Limiter[*router.Slot]
	LinkBudget *router.LinkBudget
	Done       chan struct{} // closed when the background goroutine has ended

	table         func() *describer.RoutingTable
	teams         func() []describer.Team
	claimer       Claimer
	log           zerolog.Logger
	metrics       *metrics
	weights       teamWeights
	retries       *retrier.Budget
	hedges        *retrier.Budget
	stats         responseStats
	claims        claimTable
	tracker       requestTracker
	stop          context.CancelFunc
	claimSequence atomic.Int64 // numbers the requests with an idempotency key
	incarnation   int64        // start time in Unix nanoseconds; differs from earlier processes of this name
}

// New returns a forwarder that is ready to serve. table returns the current
// routing table, which may be nil; teams returns the configured tenants. Without a
// claimer, requests with an idempotency key are refused. A nil scope disables
// metrics. Close ends the forwarder.
func New(
	o Options,
	table func() *describer.RoutingTable,
	teams func() []describer.Team,
	claimer Claimer,
	scope tally.Scope,
	log zerolog.Logger,
) *Forwarder {
	o = withDefaults(o)
	linkBudget := router.NewLinkBudget(o.Traffic.LinkBandwidth)
	f := &Forwarder{
		Options:     o,
		incarnation: time.Now().UnixNano(),
		LinkBudget:  linkBudget,
		Done:        make(chan struct{}),
		table:       table,
		teams:       teams,
		claimer:     claimer,
		log:         log.With().Str("part", "forwarder").Logger(),
		metrics:     newMetrics(scope),
		retries:     retrier.NewBudget(o.Traffic.RetryRatio, retryReserve),
		hedges:      retrier.NewBudget(o.HedgeRatio, hedgeReserve),
	}
	f.Router = router.New(router.Options{
		Domain:     o.Domain,
		Region:     o.Region,
		Policy:     o.Policy,
		Health:     o.Health,
		LinkBudget: linkBudget,
		Seed:       o.Seed,
	}, o.Slots)
	f.Dialer = dialer.New(dialer.Options{
		StallTimeout: time.Duration(o.Traffic.StallTimeout),
		Connections:  o.Connections,
	})
	f.Limiter = limiter.New[*router.Slot](limiter.Options{MaxQueue: o.Traffic.MaxQueue})
	if s, ok := o.Slots.(dynamicSlots); ok {
		s.Attach(f.Dialer.OpenConnections, f.Limiter.Dispatch)
	}
	f.tracker.init()
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	go func() {
		defer close(f.Done)
		f.runMaintenance(ctx)
	}()
	return f
}

// dynamicSlots is implemented by a SlotSource whose limits change. It calls open
// for the number of connections to a worker, and grown when there are more slots.
type dynamicSlots interface {
	Attach(open func(worker string) int, grown func())
}

// writeGrace is how long after its deadline a request's failure may still be
// written.
const writeGrace = time.Second

// Reserves of the budgets for retries and hedges, see retrier.Budget, and defaults
// of Options.
const (
	retryReserve = 10 // retries
	hedgeReserve = 2  // second attempts

	defaultMaxQueue   = 64       // waiting requests of each tenant and class
	defaultMaxBody    = 64 << 20 // bytes
	defaultDeadline   = 10 * time.Second
	defaultRetryRatio = 0.1  // retries per first attempt
	defaultHedgeRatio = 0.05 // second attempts per first attempt
	defaultHosts      = 3    // entry hosts that share the slots equally
)

func withDefaults(o Options) Options {
	t := &o.Traffic
	if t.MaxQueue <= 0 {
		t.MaxQueue = defaultMaxQueue
	}
	if t.MaxBody <= 0 {
		t.MaxBody = defaultMaxBody
	}
	if t.DefaultDeadline <= 0 {
		t.DefaultDeadline = parser.Duration(defaultDeadline)
	}
	if t.RetryRatio <= 0 {
		t.RetryRatio = defaultRetryRatio
	}
	if o.HedgeRatio == 0 {
		o.HedgeRatio = defaultHedgeRatio
	}
	if o.Slots == nil {
		o.Slots = &router.FixedShare{Hosts: defaultHosts}
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
	ctx, end, ok := f.tracker.begin(r.Context())
	if !ok {
		w.Header().Set("Connection", "close")
		classifier.WriteError(w, errStopping)
		return
	}
	defer end()
	call, err := f.parseRequest(r)
	if err != nil {
		f.metrics.countRefusal(call)
		classifier.WriteError(w, err)
		return
	}
	call.deadline = start.Add(call.timeout)
	defer func() { f.metrics.recordRequest(call, time.Since(start)) }()
	ctx, cancel := context.WithDeadline(ctx, call.deadline)
	defer cancel()
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(call.deadline.Add(writeGrace))
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	f.handle(ctx, w, r, call)
}

// handle answers a request whose headers are valid.
func (f *Forwarder) handle(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call) {
	body, err := newRequestBody(w, r, f.Options.Traffic.MaxBody, c.deadline)
	if err != nil {
		f.metrics.countRefusal(c)
		classifier.WriteError(w, err)
		return
	}
	c.body = body
	if c.key != "" && f.answerRepeat(w, c) {
		return
	}
	if c.body.source != nil {
		_ = http.NewResponseController(w).EnableFullDuplex()
	}
	response, err := f.sendWithRetries(ctx, c)
	if err != nil {
		c.body.abandon(w)
		f.fail(w, c, err)
		return
	}
	defer response.close()
	f.writeResponse(ctx, w, c, response)
}

// fail writes an error response and records the end of the request's key.
func (f *Forwarder) fail(w http.ResponseWriter, c *call, err error) {
	e := asError(err)
	if c.key != "" {
		f.claims.recordFailure(c.key, c.owner, e)
	}
	if e.Verdict == classifier.NotRun {
		f.metrics.countRefusal(c)
	}
	f.log.Debug().Str("tenant", c.tenant).Str("class", c.class).Str("code", e.Code).AnErr("cause", e.Err).Stringer("verdict", e.Verdict).Msg("request failed")
	classifier.WriteError(w, e)
}

// Drain refuses new requests and waits until those in flight have ended or
// ctx is done. It then aborts the remaining ones and returns their number.
func (f *Forwarder) Drain(ctx context.Context) (aborted int) {
	aborted = f.tracker.drain(ctx)
	if aborted > 0 {
		f.log.Warn().Int("cut", aborted).Msg("requests aborted")
	}
	return aborted
}

// Close ends the background goroutines and closes idle connections.
func (f *Forwarder) Close() error {
	f.stop()
	<-f.Done
	return f.Dialer.Close()
}

// Intervals of runMaintenance.
const (
	dispatchInterval = 20 * time.Millisecond
	pruneEvery       = 250 // number of dispatches between two calls of pruneConnections
)

// runMaintenance dispatches queued requests to slots that came free without the
// end of a request, such as after an ejection or with a new routing table. Now
// and then it closes connections to workers that are gone.
func (f *Forwarder) runMaintenance(ctx context.Context) {
	tick := time.NewTicker(dispatchInterval)
	defer tick.Stop()
	for i := 1; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		f.Limiter.Dispatch()
		if i%pruneEvery == 0 {
			f.pruneConnections()
		}
	}
}

// pruneConnections closes the connections to workers that are not in the routing
// table.
func (f *Forwarder) pruneConnections() {
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

// teamWeights looks up the weights of teams, by an index of the latest list.
type teamWeights struct {
	lock  sync.Mutex
	teams []describer.Team
	index map[string]int
}

// lookup returns the team's weight, or false for an unknown team. It rebuilds the
// index when teams is another slice than in the last call.
func (w *teamWeights) lookup(teams []describer.Team, name string) (weight int, ok bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if !isSameSlice(w.teams, teams) || w.index == nil {
		w.teams = teams
		w.index = make(map[string]int, len(teams))
		for _, t := range teams {
			w.index[t.Name] = max(t.Weight, 1)
		}
	}
	weight, ok = w.index[name]
	return weight, ok
}

// isSameSlice reports whether a and b share their elements.
func isSameSlice(a, b []describer.Team) bool {
	if len(a) != len(b) {
		return false
	}
	return len(a) == 0 || &a[0] == &b[0]
}

// asError returns the *classifier.Error in err's chain, or wraps err in one with
// verdict MayHaveRun.
func asError(err error) *classifier.Error {
	var e *classifier.Error
	if errors.As(err, &e) {
		return e
	}
	return &classifier.Error{Status: http.StatusBadGateway, Code: "broken", Message: "the request failed", Err: err}
}
