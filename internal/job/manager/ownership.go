package manager

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dotterelcart.dev/dotterelcart/internal/job/dispatcher"
	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/state/fencer"
	"dotterelcart.dev/dotterelcart/internal/state/waiter"
)

// wholeLimit is the most workers of a service that are one shard.
const wholeLimit = 160

// layoutWait is how long the number of registered workers has to stand still
// before a service is divided by it.
const layoutWait = 1500 * time.Millisecond

// target is a shard that may be claimed.
type target struct{ name, service, domain string } // domain empty: workers of all domains

func targetOf(service, domain string, layout recorder.Layout) target {
	if !layout.Divided {
		return target{name: service, service: service}
	}
	return target{name: service + "@" + domain, service: service, domain: domain}
}

func (t target) has(w *specifier.Worker) bool {
	return w.Service == t.service && (t.domain == "" || w.Domain == t.domain)
}

// reviewOwnership claims shards without an owner until ctx ends.
func (m *Manager) reviewOwnership(ctx context.Context) {
	for waiter.Sleep(ctx, reviewInterval) {
		if m.leaving.Load() || m.Catalog().Version == 0 {
			continue
		}
		claims, layouts := m.claimable(time.Now())
		for service, layout := range layouts {
			m.divide(ctx, service, layout)
		}
		for _, t := range claims {
			m.tasks.Go(func() { m.claim(ctx, t) })
		}
	}
}

// divide writes the layout of a service, unless another daemon has.
func (m *Manager) divide(ctx context.Context, service string, layout recorder.Layout) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := recorder.LayoutKey(service)
	_, err := m.store.Commit(limited, storer.Transaction{
		If:  []storer.Condition{{Key: key}},
		Put: []storer.Write{{Key: key, Value: recorder.Encode(layout)}},
	})
	m.log.Info().Err(err).Str("service", service).Bool("divided", layout.Divided).Msg("layout written")
	if err == nil {
		return
	}
	waiter.Sleep(ctx, renewRetry) // the view will show whether another daemon has written it
}

// claimable lists the shards that this daemon should claim now, and the
// layouts of services that have none.
func (m *Manager) claimable(now time.Time) ([]target, map[string]recorder.Layout) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.listed || m.view.ReadAt.IsZero() {
		return nil, nil
	}
	var claims []target
	layouts := make(map[string]recorder.Layout)
	count := make(map[string]int)
	seen := make(map[string]bool)
	for i := range m.registered {
		w := &m.registered[i]
		count[w.Service]++
		layout, ok := m.view.Layouts[w.Service]
		if !ok {
			if now.Sub(m.grown) >= layoutWait+m.offset(w.Service) {
				layouts[w.Service] = recorder.Layout{Divided: count[w.Service] > wholeLimit}
			}
			continue
		}
		t := targetOf(w.Service, w.Domain, layout)
		if !seen[t.name] && m.isDue(t, now) {
			m.claiming[t.name] = true
			claims = append(claims, t)
		}
		seen[t.name] = true
	}
	return claims, layouts
}

// isDue reports whether a shard should be claimed now.
func (m *Manager) isDue(t target, now time.Time) bool {
	owner := m.view.Shards[t.name].Owner
	if m.owned[t.name] != nil || owner != "" && owner != m.options.Daemon {
		delete(m.ownerless, t.name)
		return false
	}
	if m.claiming[t.name] {
		return false
	}
	if owner != "" {
		return true // the record is that of a former life of this daemon
	}
	since, ok := m.ownerless[t.name]
	if !ok {
		m.ownerless[t.name] = now
		since = now
	}
	return now.Sub(since) >= m.claimDelay(t)
}

// claimDelay spreads the claims of several daemons: those that are near the
// store, those of the shard's own failure domain, and those that own few
// shards, go first.
func (m *Manager) claimDelay(t target) time.Duration {
	delay := time.Duration(len(m.owned))*ownedClaimDelay + distanceDelay*m.distance
	if t.domain != "" && t.domain != m.options.Domain {
		delay += afarClaimDelay
	}
	return delay + m.offset(t.name)
}

// distanceDelay times the distance of the store is how long a daemon waits
// for one that is nearer.
const distanceDelay = 10

// offset differs by daemon.
func (m *Manager) offset(name string) time.Duration {
	return time.Duration(xxhash.Sum64String(name+m.options.Daemon) % uint64(claimSpread))
}

// claim becomes the owner of a shard and starts it.
func (m *Manager) claim(ctx context.Context, t target) {
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.claiming, t.name)
		delete(m.ownerless, t.name)
	}()
	limited, cancel := context.WithTimeout(ctx, loadTime)
	defer cancel()
	fence := fencer.New(t.name, m.options.Daemon, m.store)
	owner, err := m.ownerWrite(limited, t.name)
	if err == nil {
		err = fence.Claim(limited, owner)
	}
	if err != nil {
		m.log.Info().Err(err).Str("shard", t.name).Msg("shard not claimed")
		return
	}
	m.log.Info().Str("shard", t.name).Int64("epoch", fence.Epoch).Int64("token", fence.Token).Msg("shard claimed")
	for limited.Err() == nil {
		o, err := m.load(limited, t, fence)
		if err == nil {
			m.adopt(ctx, o)
			return
		}
		if errors.Is(err, fencer.ErrFenced) {
			m.log.Info().Str("shard", t.name).Msg("shard claimed by another before it was loaded")
			return
		}
		m.log.Warn().Err(err).Str("shard", t.name).Msg("shard's jobs not loaded")
		waiter.Sleep(limited, renewRetry)
	}
	m.log.Warn().Str("shard", t.name).Msg("shard given up: its jobs were not loaded in time")
	m.removeOwner(ctx, fence)
}

func (m *Manager) ownerWrite(ctx context.Context, shard string) (storer.Write, error) {
	lease, err := m.lease.Acquire(ctx)
	return storer.Write{
		Key:   recorder.OwnerKey(shard),
		Value: recorder.Encode(recorder.Owner{Daemon: m.options.Daemon}),
		Lease: lease,
	}, err
}

// load reads the jobs of a shard that was claimed.
func (m *Manager) load(ctx context.Context, t target, fence *fencer.Fence) (*owned, error) {
	items, revision, err := m.store.List(ctx, recorder.ShardPrefix(t.name))
	if err != nil {
		return nil, err
	}
	saved, _, err := m.store.List(ctx, recorder.ProgressPrefix(t.name))
	if err != nil {
		return nil, err
	}
	progress := make(map[string]recorder.Progress, len(saved))
	for _, item := range saved {
		var p recorder.Progress
		if err := recorder.Decode(item.Value, &p); err != nil {
			return nil, err
		}
		progress[item.Key] = p
	}
	o := newOwned(m, t, fence, revision)
	o.first = append(o.first, dispatcher.CatalogUpdated{Catalog: m.Catalog()})
	for _, item := range items {
		if o.isReplaced(item) {
			return nil, fencer.ErrFenced
		}
		if item.Key == recorder.ClaimKey(t.name) {
			continue
		}
		event, err := o.decode(item)
		if err != nil {
			return nil, err
		}
		if arrived, ok := event.(dispatcher.JobArrived); ok {
			p, begun := progress[recorder.ProgressKey(t.name, arrived.Job.ID)]
			event = dispatcher.JobLoaded{Job: arrived.Job, Progress: p, Begun: begun}
		}
		o.first = append(o.first, event)
	}
	// Cancellations come after the jobs they end.
	slices.SortStableFunc(o.first, func(a, b dispatcher.Event) int { return rank(a) - rank(b) })
	return o, nil
}

func rank(event dispatcher.Event) int {
	switch event.(type) {
	case dispatcher.CatalogUpdated:
		return 0
	case dispatcher.JobCancelled:
		return 2
	}
	return 1
}

// adopt starts an owned shard.
func (m *Manager) adopt(ctx context.Context, o *owned) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o.first = append(o.first, dispatcher.WorkersListed{Workers: o.workersOf(m.registered)})
	m.owned[o.target.name] = o
	m.tasks.Go(func() { o.run(ctx) })
}

// drop forgets a shard that is owned no longer.
func (m *Manager) drop(o *owned, reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.owned[o.target.name] != o {
		return
	}
	delete(m.owned, o.target.name)
	m.metrics.lost.Inc(1)
	m.log.Warn().Str("shard", o.target.name).Str("reason", reason).Msg("shard lost")
}

// renewed takes in that the store has renewed the lease.
func (m *Manager) renewed() {
	m.reached()
	m.post(dispatcher.OwnershipChecked{Confirmed: true})
}

// leaseEnded writes the owner's records anew. A shard that another daemon has
// claimed in the meantime is lost.
func (m *Manager) leaseEnded(ctx context.Context) {
	if m.leaving.Load() {
		return
	}
	m.log.Warn().Msg("lease lost, ownership is confirmed anew")
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, o := range m.owned {
		m.tasks.Go(func() { m.renewOwner(ctx, o) })
	}
}

func (m *Manager) renewOwner(ctx context.Context, o *owned) {
	for ctx.Err() == nil && m.shard(o.target.name) == o {
		limited, cancel := context.WithTimeout(ctx, loadTime)
		owner, err := m.ownerWrite(limited, o.target.name)
		if err == nil {
			err = o.fence.RestoreOwner(limited, owner)
		}
		cancel()
		switch {
		case err == nil:
			m.log.Info().Str("shard", o.target.name).Msg("ownership confirmed")
			o.post(dispatcher.OwnershipChecked{Confirmed: true})
			return
		case errors.Is(err, fencer.ErrFenced):
			o.lose("another owner has claimed it")
			return
		}
		m.log.Warn().Err(err).Str("shard", o.target.name).Msg("ownership not confirmed")
		waiter.Sleep(ctx, renewRetry)
	}
}

// removeOwner takes the record of an owner away that has not acted.
func (m *Manager) removeOwner(ctx context.Context, fence *fencer.Fence) {
	limited, cancel := context.WithTimeout(ctx, releaseTime)
	defer cancel()
	m.noteRelease(fence, fence.Write(limited, fence.Workers, nil, []string{recorder.OwnerKey(fence.Shard)}))
}

func (m *Manager) noteRelease(fence *fencer.Fence, err error) {
	if err != nil {
		m.log.Warn().Err(err).Str("shard", fence.Shard).Msg("shard not released, its lease will lapse")
		return
	}
	m.log.Info().Str("shard", fence.Shard).Msg("shard released")
}

// workersOf returns the workers of the shard.
func (o *owned) workersOf(list []specifier.Worker) []specifier.Worker {
	var out []specifier.Worker
	for i := range list {
		if o.target.has(&list[i]) {
			out = append(out, list[i])
		}
	}
	return out
}
