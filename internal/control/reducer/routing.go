package reducer

import (
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

const (
	publishInterval   = 250 * time.Millisecond // minimum time between routing tables
	interferenceDelta = 0.05                   // minimum change of interference that is published
)

// publish emits a new routing table. The backends of each service are sorted by host
// name, as the hosts are.
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

// isReady reports whether the daemon may serve requests: it has a configuration and a
// host list, and isn't stopping.
func (s *State) isReady() bool {
	return s.config.Revision > 0 && len(s.hosts) > 0 && !s.stopping
}

// ownAddress returns the address of this daemon for peers, as membership reports it, or
// an empty string.
func (s *State) ownAddress() string {
	for _, p := range s.peers {
		if p.Name == s.options.Daemon {
			return p.Address
		}
	}
	return ""
}

// backends returns the workers that serve each service, by name of the service.
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

// rackKey identifies a rack; its name is unique within its failure domain.
type rackKey struct{ domain, name string }

// shardsByRack returns the id of the shard that each rack belongs to.
func (s *State) shardsByRack() map[rackKey]string {
	out := make(map[rackKey]string)
	for _, c := range s.config.Shards {
		for _, name := range c.Racks {
			out[rackKey{c.Domain, name}] = c.ID
		}
	}
	return out
}

// backend describes a worker as a target of requests. A worker that is leaving,
// draining or evacuated is closed to new requests.
func (s *State) backend(host *describer.Host, shard string) describer.Backend {
	d, drained := s.drains[host.Name]
	interference := 0.0
	if sh := s.shards[shard]; sh != nil && sh.workers[host.Name] != nil {
		interference = sh.workers[host.Name].interference
	}
	evacuated := !s.mayStartIn(host.Domain)
	return describer.Backend{
		Worker:       host.Name,
		Address:      host.Address,
		Region:       host.Region,
		Domain:       host.Domain,
		Shard:        shard,
		Slots:        host.Slots,
		Connections:  host.Connections,
		Interference: interference,
		Closed:       host.State == describer.Leaving || drained && d.state == describer.Draining || evacuated,
		Evacuated:    evacuated,
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
