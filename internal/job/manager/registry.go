package manager

import (
	"context"
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/dispatcher"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
)

// Registry tells where and how workers register themselves in the store.
type Registry interface {
	// Prefix returns the prefix of the keys of all registrations.
	Prefix() string
	// Decode decodes a registration.
	Decode(item storer.Item) (specifier.Worker, error)
}

// registry is what the daemon knows of the registered workers. It is guarded by
// Manager.mu.
type registry struct {
	workers    map[string]specifier.Worker // by key of the registration
	list       []specifier.Worker          // values of workers
	isListed   bool                        // all registrations have been read
	lastGrowth time.Time                   // when a worker was last added
	readAt     time.Time                   // when the request of the last read was sent
}

// followWorkers reads the registrations and their changes while the daemon needs them, until
// ctx ends: the list is large and changes all the time, and most daemons own no shard.
func (m *Manager) followWorkers(ctx context.Context) {
	for {
		select {
		case <-m.workersNeeded:
			m.followWorkersWhileNeeded(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// followWorkersWhileNeeded reads the registrations until the daemon has not needed them for
// unneededTime, or ctx ends.
func (m *Manager) followWorkersWhileNeeded(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	neededAt := time.Now()
	w := prefixWatcher{manager: m, prefix: m.registrations.Prefix(), pause: registryInterval}
	w.run(ctx, func(items []storer.Item, complete bool) {
		m.updateWorkers(items, complete, w.sentAt)
		m.mu.Lock()
		defer m.mu.Unlock()
		now := time.Now()
		if m.usesWorkers() {
			neededAt = now
		}
		if now.Sub(neededAt) >= unneededTime {
			m.log.Info().Int("workers", len(m.registry.list)).Msg("registrations not followed any more, no shard owned")
			m.registry = registry{}
			select {
			case <-m.workersNeeded: // from before: who needs them now is seen by usesWorkers
			default:
			}
			stop()
		}
	})
}

// usesWorkers reports whether the daemon owns or claims a shard, or divides a service into
// shards. The caller holds m.mu.
func (m *Manager) usesWorkers() bool {
	return len(m.owned) > 0 || len(m.claiming) > 0 || !m.unplannedSince.IsZero()
}

// unneededTime is how long the registrations are followed after they were last needed.
const unneededTime = 5 * time.Second

// registryInterval is the delay between two reads of changed registrations.
const registryInterval = 500 * time.Millisecond

// needWorkers makes the daemon follow the registrations.
func (m *Manager) needWorkers() {
	select {
	case m.workersNeeded <- struct{}{}:
	default:
	}
}

// updateWorkers applies registrations, whose request was sent at readAt, and passes the
// workers on to the owned shards.
func (m *Manager) updateWorkers(items []storer.Item, complete bool, readAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := &m.registry
	r.readAt = readAt
	if len(items) == 0 && !complete {
		for _, o := range m.owned {
			o.post(dispatcher.WorkersUnchanged{ReadAt: readAt})
		}
		return
	}
	known := r.workers
	if complete {
		r.workers = make(map[string]specifier.Worker, len(items))
		r.isListed = true
	}
	for _, item := range items {
		if item.Deleted {
			delete(r.workers, item.Key)
			continue
		}
		worker, err := m.registrations.Decode(item)
		if err != nil {
			m.log.Warn().Err(err).Str("key", item.Key).Int64("revision", item.Revision).Msg("worker registration ignored")
			delete(r.workers, item.Key)
			continue
		}
		if _, ok := known[item.Key]; !ok {
			r.lastGrowth = time.Now()
		}
		r.workers[item.Key] = worker
	}
	r.list = make([]specifier.Worker, 0, len(r.workers))
	for _, worker := range r.workers {
		r.list = append(r.list, worker)
	}
	for _, o := range m.owned {
		m.postWorkers(o)
	}
}

// workersListed returns the event that passes the registered workers on to an owned
// shard.
func (m *Manager) workersListed(o *ownedShard) dispatcher.WorkersListed {
	return dispatcher.WorkersListed{Workers: o.members.workersOf(m.registry.list), Divided: o.members.divided, ReadAt: m.registry.readAt}
}

// postWorkers passes the registered workers on to an owned shard.
func (m *Manager) postWorkers(o *ownedShard) {
	if m.registry.isListed {
		o.post(m.workersListed(o))
	}
}
