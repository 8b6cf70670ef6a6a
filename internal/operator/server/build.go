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
)

// build makes the parts, those that others need first.
func (s *Server) build(ctx context.Context) error {
	name, listen := s.Settings.Name, s.Settings.Listen
	node, err := messenger.New(messenger.Options{Listen: listen.Peers, Timeout: s.timeout(), Log: s.log})
	if err != nil {
		return eris.Wrap(err, "server: listen for peers")
	}
	s.node = node
	s.metrics = reporter.New(name, s.Settings.Domain)
	store := storer.New(s.Settings.Platform.Store, platformClient())

	// Parts report to the control plane, which is built after them.
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
		MaxBody:       maxJobBody,
		Log:           s.log.With().Str("part", "responder").Logger(),
	})
	s.buildTraffic(store)
	s.tasks.Go(func() { s.watchReadiness(ctx) })
	return nil
}

func (s *Server) buildState(store *storer.Client, post func(reducer.Event)) {
	s.holder = holder.New(holder.Options{
		Daemon:  s.Settings.Name,
		Address: s.Settings.Listen.Peers,
		TTL:     time.Duration(s.Settings.Lease.Shard),
		Margin:  time.Duration(s.Settings.Lease.Margin),
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

func (s *Server) buildControl() {
	state := reducer.New(reducer.Options{
		Daemon:       s.Settings.Name,
		Domain:       s.Settings.Domain,
		Region:       s.Settings.Region,
		TaskLease:    time.Duration(s.Settings.Lease.Task),
		LeaseMargin:  time.Duration(s.Settings.Lease.Margin),
		SyncInterval: time.Duration(s.Settings.Lease.Sync),
	}, reducer.Policies{Restoration: restorer.Options{
		MinStep: time.Duration(s.Settings.Restore.Settle),
		MaxStep: time.Duration(s.Settings.Restore.Patience),
	}})
	s.control = executor.New(executor.Options{
		State:    state,
		Ledger:   s.holder,
		Worker:   runner.New(platformClient()),
		Propose:  s.propose,
		Publish:  s.publish,
		Interval: tickInterval,
		Timeout:  s.timeout(),
		MaxCalls: workerCalls,
		Scope:    s.metrics.Scope,
		Log:      s.log.With().Str("part", "control").Logger(),
	})
}

func (s *Server) buildTraffic(store lender.Store) {
	name, domain := s.Settings.Name, s.Settings.Domain
	s.seat = lender.NewShareLease(store, domain, name, lender.DefaultTerm, s.log)
	s.lender = lender.New(lender.Options{Name: name, Domain: domain}, s.table.Load, s.node, s.holder.IsLeaseValid, s.seat, s.log)
	s.node.Handle(messenger.Lend, s.lender.Serve)
	s.forwarder = forwarder.New(forwarder.Options{
		Name:    name,
		Domain:  domain,
		Region:  s.Settings.Region,
		Traffic: s.Settings.Traffic,
		Slots:   s.lender,
	}, s.table.Load, s.teams, s.responder, s.metrics.Scope, s.log)
}

func (s *Server) timeout() time.Duration { return time.Duration(s.Settings.Platform.Timeout) }

func (s *Server) teams() []describer.Team { return s.config.Current().Teams }

// publish replaces the routing table and tells the members what is owned here.
func (s *Server) publish(table *describer.RoutingTable) {
	s.table.Store(table)
	s.members.SetShards(slices.Sorted(maps.Keys(table.Owned)))
	s.members.SetRevision(table.Revision)
}

// propose carries out the reducer's change of a drain.
func (s *Server) propose(ctx context.Context, p reducer.ProposeDrainUpdate) error {
	_, err := s.config.Propose(ctx, func(c describer.Configuration) (describer.Configuration, error) {
		if p.Worker == "" {
			return planner.BeginRestore(c, p.Drain), nil
		}
		return planner.MarkRestored(c, p.Drain, p.Worker), nil
	})
	return err
}

// watchReadiness keeps the daemon's readiness that of its routing table until
// a planned stop begins.
func (s *Server) watchReadiness(ctx context.Context) {
	for ctx.Err() == nil {
		ready := s.table.Load().Ready && !s.stopping.Load()
		if s.metrics.Ready.Swap(ready) != ready {
			s.log.Info().Str("part", "server").Bool("ready", ready).Msg("readiness changed")
		}
		waiter.Sleep(ctx, tickInterval)
	}
}

// readHosts reads the host list until ctx ends. An unreadable list changes
// nothing.
func (s *Server) readHosts(ctx context.Context) {
	hosts := lister.New(s.Settings.Platform.Hosts, platformClient())
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, s.timeout())
		list, err := hosts.Hosts(limited)
		cancel()
		if err != nil {
			s.log.Info().Str("part", "server").Err(err).Msg("host list unreadable")
		} else {
			s.members.UpdateHosts(list)
			s.control.Post(reducer.HostsReceived{Hosts: list})
		}
		waiter.Sleep(ctx, hostsInterval)
	}
}

// platformConnections is how many connections to one address of the platform
// are kept open.
const platformConnections = 32

func platformClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: platformConnections,
		IdleConnTimeout:     idleTime,
	}}
}
