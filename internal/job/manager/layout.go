package manager

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/divider"
	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/state/waiter"
)

// layoutWait is how long no worker must have been added before a layout is chosen
// or extended, so that it takes all of them into account.
const layoutWait = 1500 * time.Millisecond

// shardSpec identifies a shard and its workers.
type shardSpec struct {
	recorder.ShardLayout
	service string
	divided bool            // the service has several shards
	racks   map[string]bool // the values of ShardLayout.Racks
}

// newShardSpec returns the shard of a service's layout.
func newShardSpec(service string, layout *recorder.Layout, shard recorder.ShardLayout) shardSpec {
	s := shardSpec{ShardLayout: shard, service: service, divided: len(layout.Shards) > 1, racks: make(map[string]bool, len(shard.Racks))}
	for _, rack := range shard.Racks {
		s.racks[rack] = true
	}
	return s
}

// includes reports whether a worker belongs to the shard.
func (s *shardSpec) includes(w *specifier.Worker) bool {
	return w.Service == s.service && s.racks[w.Group()]
}

// workersOf returns the workers in list that belong to the shard.
func (s *shardSpec) workersOf(list []specifier.Worker) []specifier.Worker {
	var out []specifier.Worker
	for i := range list {
		if s.includes(&list[i]) {
			out = append(out, list[i])
		}
	}
	return out
}

// versionedLayout is a layout and the store revision that it has.
type versionedLayout struct {
	recorder.Layout
	revision int64
}

// reviewLayouts writes the layouts that are missing, and extends those that lack
// racks of registered workers.
func (m *Manager) reviewLayouts(ctx context.Context) {
	for service, layout := range m.dueLayouts(time.Now()) {
		m.writeLayout(ctx, service, layout)
	}
}

// dueLayouts returns the layouts to write now, by service.
func (m *Manager) dueLayouts(now time.Time) map[string]versionedLayout {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.view.ReadAt.IsZero() {
		return nil
	}
	m.reviewPlanning(now)
	if !m.registry.isListed || now.Sub(m.registry.lastGrowth) < layoutWait+m.jitter("layout") {
		return nil
	}
	due := make(map[string]versionedLayout)
	for service, racks := range m.racksWithoutShard() {
		current := m.view.layouts[service]
		shards := make([]divider.Shard, len(current.Shards))
		for i, s := range current.Shards {
			shards[i] = divider.Shard(s)
		}
		if len(shards) == 0 {
			shards = divider.Divide(service, racks, m.hosts())
		} else {
			shards = divider.Extend(service, shards, racks, m.hosts())
		}
		next := versionedLayout{revision: current.revision}
		for _, s := range shards {
			next.Shards = append(next.Shards, recorder.ShardLayout(s))
		}
		due[service] = next
	}
	return due
}

// reviewPlanning makes the daemon read the workers if a service has had no layout
// for a while, which is shorter for daemons on strong hosts. Owners of shards read them
// anyway, so that the others needn't, for example for a service without workers.
func (m *Manager) reviewPlanning(now time.Time) {
	missing := slices.ContainsFunc(m.Catalog().Queues, func(q specifier.Queue) bool {
		return len(m.view.layouts[q.Service].Shards) == 0
	})
	if !missing || m.hasOwners() {
		m.unplannedSince = time.Time{}
		return
	}
	if m.unplannedSince.IsZero() {
		m.unplannedSince = now
	}
	if now.Sub(m.unplannedSince) >= m.self().PlanDelay()+m.jitter("plan") {
		m.needWorkers()
	}
}

// hasOwners reports whether any shard has an owner. The caller holds m.mu.
func (m *Manager) hasOwners() bool {
	for _, s := range m.view.Shards {
		if s.Owner != "" {
			return true
		}
	}
	return false
}

// racksWithoutShard returns the racks of registered workers that are in no shard,
// sorted, by service.
func (m *Manager) racksWithoutShard() map[string][]divider.Rack {
	type rackKey struct{ service, rack string }
	found := make(map[rackKey]*divider.Rack)
	assigned := make(map[rackKey]bool)
	for service, layout := range m.view.layouts {
		for _, s := range layout.Shards {
			for _, rack := range s.Racks {
				assigned[rackKey{service, rack}] = true
			}
		}
	}
	for i := range m.registry.list {
		w := &m.registry.list[i]
		key := rackKey{w.Service, w.Group()}
		if assigned[key] {
			continue
		}
		if found[key] == nil {
			found[key] = &divider.Rack{Name: key.rack, Domain: w.Domain, Region: m.options.Regions[w.Domain]}
		}
		found[key].Workers++
	}
	out := make(map[string][]divider.Rack)
	for key, rack := range found {
		out[key.service] = append(out[key.service], *rack)
	}
	for _, racks := range out {
		slices.SortFunc(racks, func(a, b divider.Rack) int { return cmp.Compare(a.Name, b.Name) })
	}
	return out
}

// writeLayout writes the layout of a service, unless another daemon has changed
// it.
func (m *Manager) writeLayout(ctx context.Context, service string, layout versionedLayout) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := recorder.LayoutKey(service)
	_, err := m.store.Commit(limited, storer.Transaction{
		If:  []storer.Condition{{Key: key, Revision: layout.revision}},
		Put: []storer.Write{{Key: key, Value: recorder.Encode(layout.Layout)}},
	})
	m.log.Info().Err(err).Str("service", service).Int("shards", len(layout.Shards)).Int64("revision", layout.revision).Msg("layout write finished")
	waiter.Sleep(ctx, retryDelay) // until the view contains this layout, or the one of another daemon
}

// hosts returns all entry hosts with the number of workers in the shards that
// each owns.
func (m *Manager) hosts() []divider.Host {
	load := make(map[string]int)
	for _, layout := range m.view.layouts {
		for _, s := range layout.Shards {
			load[m.view.Shards[s.Name].Owner] += s.Workers
		}
	}
	hosts := make([]divider.Host, 0, len(m.view.hosts))
	for _, name := range slices.Sorted(maps.Keys(m.view.hosts)) {
		h := m.view.hosts[name]
		hosts = append(hosts, divider.Host{Name: name, Domain: h.Domain, Region: h.Region, CPU: h.CPU, Link: h.Link, Load: load[name]})
	}
	return hosts
}

// self returns this daemon's host. The load includes shards that are being
// claimed.
func (m *Manager) self() *divider.Host {
	h := &divider.Host{
		Name: m.options.Daemon, Domain: m.options.Domain, Region: m.options.Regions[m.options.Domain],
		CPU: m.options.CPU, Link: m.options.Link,
	}
	for _, layout := range m.view.layouts {
		for _, s := range layout.Shards {
			if m.owned[s.Name] != nil || m.claiming[s.Name] {
				h.Load += s.Workers
			}
		}
	}
	return h
}

// announce writes the record of this daemon's host, and writes it again when its
// lease has expired, until ctx ends.
func (m *Manager) announce(ctx context.Context) {
	for ctx.Err() == nil {
		if err := m.writeHost(ctx); err != nil {
			m.log.Warn().Err(err).Msg("host record write failed")
			waiter.Sleep(ctx, layoutWait)
			continue
		}
		select {
		case <-m.presenceLost:
		case <-ctx.Done():
		}
	}
}

// losePresence makes announce write the host record again. It doesn't wait: announce
// may be writing, or have ended.
func (m *Manager) losePresence() {
	select {
	case m.presenceLost <- struct{}{}:
	default:
	}
}

// writeHost writes the host record attached to the presence lease. A write of an earlier process of the
// daemon that is carried out later has no effect: it would end with that process's lease. It also measures
// how far the store is.
func (m *Manager) writeHost(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	process, err := m.identifyProcess(limited)
	if err != nil {
		return err
	}
	lease, err := m.presence.Acquire(limited)
	if err != nil {
		return err
	}
	record := recorder.Encode(recorder.Host{
		Domain: m.options.Domain, Region: m.options.Regions[m.options.Domain], CPU: m.options.CPU, Link: m.options.Link,
		Format: recorder.Format, Process: process,
	})
	sent := time.Now()
	err = m.hostRecord.put(limited, record, lease, nil, nil)
	m.mu.Lock()
	defer m.mu.Unlock()
	if latency := time.Since(sent); err == nil && (m.storeLatency == 0 || latency < m.storeLatency) {
		m.storeLatency = latency
	}
	return err
}
