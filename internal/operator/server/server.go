// Package server is the entry daemon: it builds all parts from settings and
// stops them in order.
//
// # Parts
//
// The messenger and the gossiper connect entry hosts. The distributor keeps
// the configuration, the holder owns shards, the executor runs the reducer,
// and the forwarder serves callers from the routing table that the reducer
// publishes. Nothing that a part needs is global, so that several daemons can
// run in one process:
//
//	daemon, err := server.New(ctx, settings, log)
//	...
//	cut := daemon.Shutdown(ctx)
package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/executor"
	"dotterelcart.dev/dotterelcart/internal/operator/parser"
	"dotterelcart.dev/dotterelcart/internal/operator/reporter"
	"dotterelcart.dev/dotterelcart/internal/operator/responder"
	"dotterelcart.dev/dotterelcart/internal/peer/gossiper"
	"dotterelcart.dev/dotterelcart/internal/peer/messenger"
	"dotterelcart.dev/dotterelcart/internal/state/distributor"
	"dotterelcart.dev/dotterelcart/internal/state/holder"
	"dotterelcart.dev/dotterelcart/internal/traffic/forwarder"
	"dotterelcart.dev/dotterelcart/internal/traffic/lender"
)

const (
	tickInterval   = 100 * time.Millisecond
	hostsInterval  = time.Second // between reads of the host list
	gossipInterval = 500 * time.Millisecond
	workerCalls    = 128 // at a time
	headerTime     = 5 * time.Second
	idleTime       = 2 * time.Minute
	maxHeader      = 64 << 10 // bytes
	maxJobBody     = 1 << 19  // bytes; a job and its results fit a ledger segment
	releaseTime    = 5 * time.Second
)

// Server is a running entry daemon.
type Server struct {
	Settings parser.Settings
	Done     chan struct{} // closed when every part has ended

	log       zerolog.Logger
	table     atomic.Pointer[describer.RoutingTable]
	metrics   *reporter.Reporter
	node      *messenger.Node
	members   *gossiper.Gossiper
	holder    *holder.Holder
	config    *distributor.Distributor
	control   *executor.Executor
	responder *responder.Responder
	forwarder *forwarder.Forwarder
	lender    *lender.Lender
	seat      *lender.ShareLease

	callers   *http.Server
	operators *http.Server
	cancel    context.CancelFunc
	tasks     sync.WaitGroup
	ending    sync.Once
	stopping  atomic.Bool
}

// New starts a daemon. It is ready once it has a configuration and a routing
// table; until then it refuses requests.
func New(ctx context.Context, settings parser.Settings, log zerolog.Logger) (*Server, error) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	s := &Server{
		Settings: settings,
		Done:     make(chan struct{}),
		log:      log.With().Str("daemon", settings.Name).Logger(),
		cancel:   cancel,
	}
	s.table.Store(&describer.RoutingTable{})
	callers, operators, err := s.listen()
	if err != nil {
		cancel()
		return nil, err
	}
	if err := s.build(ctx); err != nil {
		cancel()
		callers.Close()
		operators.Close()
		return nil, err
	}
	s.serve(callers, operators)
	s.tasks.Go(func() { s.readHosts(ctx) })
	s.log.Info().Str("part", "server").Str("callers", settings.Listen.Callers).Msg("started")
	return s, nil
}

func (s *Server) listen() (callers, operators net.Listener, err error) {
	callers, err = net.Listen("tcp", s.Settings.Listen.Callers)
	if err != nil {
		return nil, nil, eris.Wrap(err, "server: listen for callers")
	}
	operators, err = net.Listen("tcp", s.Settings.Listen.Operators)
	if err != nil {
		callers.Close()
		return nil, nil, eris.Wrap(err, "server: listen for operators")
	}
	return callers, operators, nil
}

// serve answers callers and operators in goroutines of their own.
func (s *Server) serve(callers, operators net.Listener) {
	front := http.NewServeMux()
	s.responder.RegisterJobs(front)
	front.HandleFunc("GET /ready", s.metrics.ServeReady)
	front.Handle("/svc/", s.forwarder)
	s.callers = newHTTP(front)

	back := http.NewServeMux()
	s.metrics.Register(back)
	s.responder.RegisterOperators(back)
	s.operators = newHTTP(back)

	s.tasks.Go(func() { _ = s.callers.Serve(callers) })
	s.tasks.Go(func() { _ = s.operators.Serve(operators) })
}

func newHTTP(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTime,
		IdleTimeout:       idleTime,
		MaxHeaderBytes:    maxHeader,
	}
}
