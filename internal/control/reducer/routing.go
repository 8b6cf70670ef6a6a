package reducer

import (
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// Bounds on the publication of routing tables.
const (
	publishInterval   = 250 * time.Millisecond // between two
	interferenceDelta = 0.05                   // change that is worth one
)

// publish hands a new routing table to the traffic side. Hosts are sorted by
// name, so each service's backends are too.
func (s *State) publish() {
	s.tableUpToDate = true
	if s.config.Revision == 0 {
		return
	}
	s.publishedAt = s.now
	table := &describer.RoutingTable{
		Revision: s.config.Revision,
		Services: s.backends(),
		Owners:   make(map[string]string, len(s.config.Shards)),
		Owned:    make(map[string]int64),
		Ready:    s.isReady(),
		Stopping: s.stopping,
	}
	for _, p := range s.peers {
		for _, id := range p.Shards {
			table.Owners[id] = p.Address
		}
	}
	for _, sh := range s.sortedShards {
		if sh.view != nil && sh.ownership == owning {
			table.Owned[sh.id] = sh.epoch
			table.Owners[sh.id] = s.ownAddress()
		}
	}
	s.emit(PublishRoutingTable{Table: table})
}

// isReady reports whether the daemon may serve: it has a configuration and a
// host list, and isn't stopping.
func (s *State) isReady() bool {
	return s.config.Revision > 0 && len(s.hosts) > 0 && !s.stopping
}

// address is this daemon's own for peers, as membership knows it.
func (s *State) ownAddress() string {
	for _, p := range s.peers {
		if p.Name == s.options.Daemon {
			return p.Address
		}
	}
	return ""
}

func (s *State) backends() map[string][]describer.Backend {
	shards := s.shardsByRack()
	out := make(map[string][]describer.Backend, len(s.config.Services))
	for i := range s.config.Services {
		out[s.config.Services[i].Name] = nil
	}
	for i := range s.hosts {
		host := &s.hosts[i]
		if host.Role != describer.Worker {
			continue
		}
		b := s.backend(host, shards[rackKey{host.Domain, host.Rack}])
		for _, service := range host.Services {
			if _, ok := out[service]; ok {
				out[service] = append(out[service], b)
			}
		}
	}
	return out
}

// rack names a rack within its failure domain.
type rackKey struct{ domain, name string }

func (s *State) shardsByRack() map[rackKey]string {
	out := make(map[rackKey]string)
	for _, c := range s.config.Shards {
		for _, name := range c.Racks {
			out[rackKey{c.Domain, name}] = c.ID
		}
	}
	return out
}

// backend describes a worker as a target of requests. One that is leaving or
// draining gets no new ones.
func (s *State) backend(host *describer.Host, shard string) describer.Backend {
	d, drained := s.drains[host.Name]
	slower := 0.0
	if sh := s.shards[shard]; sh != nil && sh.workers[host.Name] != nil {
		slower = sh.workers[host.Name].interference
	}
	return describer.Backend{
		Worker:       host.Name,
		Address:      host.Address,
		Region:       host.Region,
		Domain:       host.Domain,
		Shard:        shard,
		Slots:        host.Slots,
		Connections:  host.Connections,
		Interference: slower,
		Closed:       host.State == describer.Leaving || drained && d.state == describer.Draining,
	}
}

func compareStrings(a, b string) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
