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
}

// followWorkers reads the registrations and their changes until ctx ends. It
// begins when the daemon needs them: the list is large, and most daemons own no
// shard.
func (m *Manager) followWorkers(ctx context.Context) {
	select {
	case <-m.workersNeeded:
	case <-ctx.Done():
		return
	}
	w := prefixWatcher{manager: m, prefix: m.registrations.Prefix(), pause: registryInterval}
	w.run(ctx, m.updateWorkers)
}

// registryInterval is the delay between two reads of changed registrations.
const registryInterval = 500 * time.Millisecond

// needWorkers makes the daemon read the registered workers from now on.
func (m *Manager) needWorkers() {
	m.workersOnce.Do(func() { close(m.workersNeeded) })
}

// updateWorkers applies registrations and passes the workers on to the owned
// shards.
func (m *Manager) updateWorkers(items []storer.Item, complete bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := &m.registry
	if len(items) == 0 && !complete {
		for _, o := range m.owned {
			o.post(dispatcher.WorkersUnchanged{})
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
	return dispatcher.WorkersListed{Workers: o.members.workersOf(m.registry.list), Divided: o.members.divided}
}

// postWorkers passes the registered workers on to an owned shard.
func (m *Manager) postWorkers(o *ownedShard) {
	if m.registry.isListed {
		o.post(m.workersListed(o))
	}
}
