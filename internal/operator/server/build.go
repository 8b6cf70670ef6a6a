package server

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/executor"
	"dotterelcart.dev/dotterelcart/internal/control/planner"
	"dotterelcart.dev/dotterelcart/internal/control/reducer"
	"dotterelcart.dev/dotterelcart/internal/control/restorer"
	"dotterelcart.dev/dotterelcart/internal/operator/reporter"
	"dotterelcart.dev/dotterelcart/internal/operator/responder"
	"dotterelcart.dev/dotterelcart/internal/peer/gossiper"
	"dotterelcart.dev/dotterelcart/internal/peer/messenger"
	"dotterelcart.dev/dotterelcart/internal/platform/lister"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/state/distributor"
	"dotterelcart.dev/dotterelcart/internal/state/holder"
	"dotterelcart.dev/dotterelcart/internal/state/waiter"
	"dotterelcart.dev/dotterelcart/internal/traffic/forwarder"
	"dotterelcart.dev/dotterelcart/internal/traffic/lender"
	"dotterelcart.dev/dotterelcart/internal/traffic/shedder"
)

// build creates the components in the order of their dependencies, and starts
// them.
func (s *Server) build(ctx context.Context) error {
	name, listen := s.Settings.Name, s.Settings.Listen
	node, err := messenger.New(messenger.Options{Listen: listen.Peers, Timeout: s.timeout(), Log: s.log})
	if err != nil {
		return eris.Wrap(err, "server: listen for peers")
	}
	s.node = node
	s.metrics = reporter.New(name, s.Settings.Domain)
	s.shedder = shedder.New(shedder.Options{Scope: s.metrics.Scope, Log: s.log})
	store := storer.New(s.Settings.Platform.Store, platformClient())

	// Components post events to the executor, which is built after them. Events
	// posted before it exists wait.
	built := make(chan struct{})
	defer close(built)
	post := func(event reducer.Event) {
		<-built
		s.control.Post(event)
	}
	s.buildState(store, post)
	s.buildMembers(post)
	s.buildControl()
	s.responder = responder.New(responder.Options{
		Control:       s.control,
		Peers:         s.node,
		Configuration: s.config,
		Store:         store,
		Table:         s.table.Load,
		Bodies:        s.shedder,
		MaxBody:       maxJobBody,
		Log:           s.log.With().Str("part", "responder").Logger(),
	})
	s.buildTraffic(store)
	s.wg.Go(func() { s.watchReadiness(ctx) })
	return nil
}

// buildState creates the holder and the distributor.
func (s *Server) buildState(store *storer.Client, post func(reducer.Event)) {
	s.holder = holder.New(holder.Options{
		Daemon:  s.Settings.Name,
		Address: s.Settings.Listen.Peers,
		TTL:     time.Duration(s.Settings.Lease.Shard),
		Margin:  time.Duration(s.Settings.Lease.ClockMargin),
		Timeout: s.timeout(),
		Log:     s.log,
	}, store, post)
	s.config = distributor.New(distributor.Options{
		Daemon:  s.Settings.Name,
		Domain:  s.Settings.Domain,
		Timeout: s.timeout(),
		Log:     s.log,
	}, store, s.node, func(c describer.Configuration) {
		s.holder.SetShardCount(len(c.Shards))
		post(reducer.ConfigurationReceived{Configuration: c})
	})
}

// buildMembers creates the gossiper. It reports the peers that are alive.
func (s *Server) buildMembers(post func(reducer.Event)) {
	self := reducer.Peer{
		Name: s.Settings.Name, Domain: s.Settings.Domain, Region: s.Settings.Region, Address: s.Settings.Listen.Peers,
	}
	s.members = gossiper.New(gossiper.Options{
		Self: self, Seeds: s.Settings.Peers, Interval: gossipInterval, Seen: s.config.ObserveRevision, Log: s.log,
	}, s.node, func(alive []reducer.Peer) {
		s.config.SetPeers(alive)
		post(reducer.PeersChanged{Alive: alive})
	})
}

// buildControl creates the reducer's state and the executor that runs it.
func (s *Server) buildControl() {
	state := reducer.New(reducer.Options{
		Daemon:       s.Settings.Name,
		Domain:       s.Settings.Domain,
		Region:       s.Settings.Region,
		TaskLease:    time.Duration(s.Settings.Lease.Task),
		LeaseMargin:  time.Duration(s.Settings.Lease.ClockMargin),
		SyncInterval: time.Duration(s.Settings.Lease.SyncInterval),
	}, reducer.Policies{Restoration: restorer.Options{
		MinStep: time.Duration(s.Settings.Restore.MinStep),
		MaxStep: time.Duration(s.Settings.Restore.MaxStep),
	}})
	s.control = executor.New(executor.Options{
		State:    state,
		Ledger:   s.holder,
		Worker:   runner.New(platformClient()),
		Propose:  s.propose,
		Publish:  s.publish,
		Interval: tickInterval,
		Timeout:  s.timeout(),
		MaxCalls: maxWorkerCalls,
		Scope:    s.metrics.Scope,
		Log:      s.log.With().Str("part", "control").Logger(),
	})
}

// buildTraffic creates the forwarder and the lender that provides it with slots
// on workers.
func (s *Server) buildTraffic(store lender.Store) {
	name, domain := s.Settings.Name, s.Settings.Domain
	s.shareLease = lender.NewShareLease(store, domain, name, lender.DefaultTerm, s.log)
	s.lender = lender.New(lender.Options{Name: name, Domain: domain}, s.table.Load, s.node, s.holder.IsLeaseValid, s.shareLease, s.log)
	s.node.Handle(messenger.Lend, s.lender.Serve)
	s.forwarder = forwarder.New(forwarder.Options{
		Name:    name,
		Domain:  domain,
		Region:  s.Settings.Region,
		Traffic: s.Settings.Traffic,
		Slots:   s.lender,
	}, s.table.Load, s.teams, s.responder, s.metrics.Scope, s.log)
}

// timeout is the bound on one call to the platform or to a peer.
func (s *Server) timeout() time.Duration { return time.Duration(s.Settings.Platform.Timeout) }

func (s *Server) teams() []describer.Team { return s.config.Current().Teams }

// publish replaces the routing table and announces the shards that the daemon
// owns, and its revision, to the other entry hosts.
func (s *Server) publish(table *describer.RoutingTable) {
	s.table.Store(table)
	s.members.SetShards(slices.Sorted(maps.Keys(table.Owned)))
	s.members.SetRevision(table.Revision)
}

// propose changes a drain in the configuration as the reducer asks: it starts the
// restore of the drain, or marks one of its workers as restored.
func (s *Server) propose(ctx context.Context, p reducer.ProposeDrainUpdate) error {
	_, err := s.config.Propose(ctx, func(c describer.Configuration) (describer.Configuration, error) {
		if p.Worker == "" {
			return planner.BeginRestore(c, p.Drain), nil
		}
		return planner.MarkRestored(c, p.Drain, p.Worker), nil
	})
	return err
}

// watchReadiness updates the daemon's readiness until ctx ends: it is ready while
// the routing table is, and not once a planned shutdown has begun.
func (s *Server) watchReadiness(ctx context.Context) {
	for ctx.Err() == nil {
		ready := s.table.Load().Ready && !s.stopping.Load()
		if s.metrics.Ready.Swap(ready) != ready {
			s.log.Info().Str("part", "server").Bool("ready", ready).Msg("readiness changed")
		}
		waiter.Sleep(ctx, tickInterval)
	}
}

// watchHosts reads the host list at intervals until ctx ends. If a read fails, the
// last list stays in use.
func (s *Server) watchHosts(ctx context.Context) {
	hosts := lister.New(s.Settings.Platform.Hosts, platformClient())
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, s.timeout())
		list, err := hosts.Hosts(callCtx)
		cancel()
		if err != nil {
			s.log.Info().Str("part", "server").Err(err).Msg("host list read failed")
		} else {
			s.members.UpdateHosts(list)
			s.control.Post(reducer.HostsReceived{Hosts: list})
		}
		waiter.Sleep(ctx, hostsInterval)
	}
}

// maxIdlePerHost is the number of idle connections to one address of the platform
// that are kept open.
const maxIdlePerHost = 32

// platformClient returns an HTTP client with a connection pool of its own.
func platformClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
	}}
}
