// Package server is the entry daemon: it builds all components from the settings,
// starts them, and stops them in order.
//
// # Components
//
// The messenger carries requests between entry hosts, and the gossiper tracks
// which of them are alive. The distributor replicates the configuration, the
// holder claims shards and keeps their leases, and the executor runs the
// reducer, which decides placement. The forwarder serves callers' requests from
// the routing table that the reducer publishes, and the responder serves jobs and
// operators' requests. No component uses global state, so that several daemons
// can run in one process:
//
//	daemon, err := server.New(ctx, settings, log)
//	...
//	aborted := daemon.Shutdown(ctx)
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
	"dotterelcart.dev/dotterelcart/internal/traffic/shedder"
)

const (
	tickInterval   = 100 * time.Millisecond // time between runs of the reducer, and between readiness checks
	hostsInterval  = time.Second            // time between reads of the host list
	gossipInterval = 500 * time.Millisecond
	maxWorkerCalls = 128 // concurrent calls to workers
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeader      = 64 << 10        // bytes
	maxJobBody     = 1 << 19         // bytes; a job and its results must fit into one ledger segment
	maxOperators   = 256             // connections of operators, and of those that check readiness or read metrics
	releaseTimeout = 5 * time.Second // limit for the release of shards during a shutdown
)

// Server is a running entry daemon.
type Server struct {
	Settings parser.Settings
	Done     chan struct{} // closed when the daemon has stopped

	log        zerolog.Logger
	table      atomic.Pointer[describer.RoutingTable] // current routing table, never nil
	metrics    *reporter.Reporter
	shedder    *shedder.Shedder
	node       *messenger.Node
	members    *gossiper.Gossiper
	holder     *holder.Holder
	config     *distributor.Distributor
	control    *executor.Executor
	responder  *responder.Responder
	forwarder  *forwarder.Forwarder
	lender     *lender.Lender
	shareLease *lender.ShareLease

	callerServer   *http.Server
	operatorServer *http.Server
	cancel         context.CancelFunc
	wg             sync.WaitGroup
	stopOnce       sync.Once
	stopping       atomic.Bool
}

// New starts a daemon. It refuses requests until it has a configuration and a
// routing table. The daemon outlives ctx; end it with Shutdown or Close.
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
	s.wg.Go(func() { s.watchHosts(ctx) })
	s.log.Info().Str("part", "server").Str("callers", settings.Listen.Callers).Msg("daemon started")
	return s, nil
}

// listen opens the ports for callers and for operators.
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

// serve starts the servers for callers and for operators.
func (s *Server) serve(callers, operators net.Listener) {
	callerMux := http.NewServeMux()
	s.responder.RegisterJobs(callerMux)
	callerMux.HandleFunc("GET /ready", s.metrics.ServeReady)
	callerMux.Handle("/svc/", s.forwarder)
	s.callerServer = s.newHTTPServer(callerMux)

	operatorMux := http.NewServeMux()
	s.metrics.Register(operatorMux)
	s.responder.RegisterOperators(operatorMux)
	s.operatorServer = s.newHTTPServer(operatorMux)

	s.wg.Go(func() { _ = s.callerServer.Serve(s.shedder.Listener(callers, s.shedder.MaxConnections)) })
	s.wg.Go(func() { _ = s.operatorServer.Serve(s.shedder.Listener(operators, maxOperators)) })
}

func (s *Server) newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           s.shedder.Handler(handler),
		ConnContext:       shedder.ConnContext,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
	}
}
