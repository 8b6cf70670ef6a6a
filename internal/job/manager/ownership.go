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

// maxUndividedWorkers is the maximum number of workers of an undivided service.
const maxUndividedWorkers = 160

// layoutWait is how long the number of registered workers must not increase
// before a layout is chosen by it.
const layoutWait = 1500 * time.Millisecond

// shardSpec identifies a shard and its workers. domain is empty if the shard has
// the workers of all failure domains.
type shardSpec struct{ name, service, domain string }

// shardSpecOf returns the shard of the service's workers in a failure domain.
func shardSpecOf(service, domain string, layout recorder.Layout) shardSpec {
	if !layout.Divided {
		return shardSpec{name: service, service: service}
	}
	return shardSpec{name: service + "@" + domain, service: service, domain: domain}
}

// includes reports whether a worker belongs to the shard.
func (s shardSpec) includes(w *specifier.Worker) bool {
	return w.Service == s.service && (s.domain == "" || w.Domain == s.domain)
}

// reviewOwnership claims shards without an owner, and writes missing layouts,
// until ctx ends.
func (m *Manager) reviewOwnership(ctx context.Context) {
	for waiter.Sleep(ctx, ownershipInterval) {
		if m.shuttingDown.Load() || m.Catalog().Version == 0 {
			continue
		}
		claims, layouts := m.claimable(time.Now())
		for service, layout := range layouts {
			m.writeLayout(ctx, service, layout)
		}
		for _, spec := range claims {
			m.background.Go(func() { m.claim(ctx, spec) })
		}
	}
}

// writeLayout writes the layout of a service, unless another daemon has.
func (m *Manager) writeLayout(ctx context.Context, service string, layout recorder.Layout) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := recorder.LayoutKey(service)
	_, err := m.store.Commit(limited, storer.Transaction{
		If:  []storer.Condition{{Key: key}},
		Put: []storer.Write{{Key: key, Value: recorder.Encode(layout)}},
	})
	m.log.Info().Err(err).Str("service", service).Bool("divided", layout.Divided).Msg("layout write finished")
	if err == nil {
		return
	}
	waiter.Sleep(ctx, retryDelay) // the view will contain the layout if another daemon has written it
}

// claimable returns the shards that this daemon should claim now, and layouts
// for the services that have none.
func (m *Manager) claimable(now time.Time) ([]shardSpec, map[string]recorder.Layout) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.workersListed || m.view.ReadAt.IsZero() {
		return nil, nil
	}
	var claims []shardSpec
	layouts := make(map[string]recorder.Layout)
	count := make(map[string]int)
	seen := make(map[string]bool)
	for i := range m.registered {
		w := &m.registered[i]
		count[w.Service]++
		layout, ok := m.view.Layouts[w.Service]
		if !ok {
			if now.Sub(m.lastGrowth) >= layoutWait+m.jitter(w.Service) {
				layouts[w.Service] = recorder.Layout{Divided: count[w.Service] > maxUndividedWorkers}
			}
			continue
		}
		spec := shardSpecOf(w.Service, w.Domain, layout)
		if !seen[spec.name] && m.shouldClaim(spec, now) {
			m.claiming[spec.name] = true
			claims = append(claims, spec)
		}
		seen[spec.name] = true
	}
	return claims, layouts
}

// shouldClaim reports whether this daemon should claim a shard now.
func (m *Manager) shouldClaim(spec shardSpec, now time.Time) bool {
	owner := m.view.Shards[spec.name].Owner
	if m.owned[spec.name] != nil || owner != "" && owner != m.options.Daemon {
		delete(m.ownerlessSince, spec.name)
		return false
	}
	if m.claiming[spec.name] {
		return false
	}
	if owner != "" {
		return true // left behind by an earlier process of this daemon
	}
	since, ok := m.ownerlessSince[spec.name]
	if !ok {
		m.ownerlessSince[spec.name] = now
		since = now
	}
	return now.Sub(since) >= m.claimDelay(spec)
}

// claimDelay returns how long the daemon leaves a shard to others. It is
// shorter for daemons with a fast connection to the store, in the shard's
// failure domain, and with few shards.
func (m *Manager) claimDelay(spec shardSpec) time.Duration {
	delay := time.Duration(len(m.owned))*ownedClaimDelay + latencyFactor*m.storeLatency
	if spec.domain != "" && spec.domain != m.options.Domain {
		delay += remoteClaimDelay
	}
	return delay + m.jitter(spec.name)
}

// latencyFactor is the part of the claim delay per store latency. It lets
// daemons that are close to the store claim first.
const latencyFactor = 10

// jitter returns a delay up to maxClaimJitter that differs between daemons.
func (m *Manager) jitter(name string) time.Duration {
	return time.Duration(xxhash.Sum64String(name+m.options.Daemon) % uint64(maxClaimJitter))
}

// claim claims a shard, loads its jobs and starts it.
func (m *Manager) claim(ctx context.Context, spec shardSpec) {
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.claiming, spec.name)
		delete(m.ownerlessSince, spec.name)
	}()
	limited, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	fence := fencer.New(spec.name, m.options.Daemon, m.store)
	owner, err := m.ownerWrite(limited, spec.name)
	if err == nil {
		err = fence.Claim(limited, owner)
	}
	if err != nil {
		m.log.Info().Err(err).Str("shard", spec.name).Msg("shard claim failed")
		return
	}
	m.log.Info().Str("shard", spec.name).Int64("epoch", fence.Epoch).Int64("token", fence.Token).Msg("shard claimed")
	for limited.Err() == nil {
		o, err := m.loadShard(limited, spec, fence)
		if err == nil {
			m.startShard(ctx, o)
			return
		}
		if errors.Is(err, fencer.ErrFenced) {
			m.log.Info().Str("shard", spec.name).Msg("shard claimed by another owner during load")
			return
		}
		m.log.Warn().Err(err).Str("shard", spec.name).Msg("shard load failed")
		waiter.Sleep(limited, retryDelay)
	}
	m.log.Warn().Str("shard", spec.name).Msg("shard abandoned after load timeout")
	m.removeOwner(ctx, fence)
}

// ownerWrite returns the write of the owner record, attached to the lease.
func (m *Manager) ownerWrite(ctx context.Context, shard string) (storer.Write, error) {
	lease, err := m.lease.Acquire(ctx)
	return storer.Write{
		Key:   recorder.OwnerKey(shard),
		Value: recorder.Encode(recorder.Owner{Daemon: m.options.Daemon}),
		Lease: lease,
	}, err
}

// loadShard reads the jobs and progress of a claimed shard.
func (m *Manager) loadShard(ctx context.Context, spec shardSpec, fence *fencer.Fence) (*ownedShard, error) {
	items, revision, err := m.store.List(ctx, recorder.ShardPrefix(spec.name))
	if err != nil {
		return nil, err
	}
	saved, _, err := m.store.List(ctx, recorder.ProgressPrefix(spec.name))
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
	o := newOwnedShard(m, spec, fence, revision)
	o.initialEvents = append(o.initialEvents, dispatcher.CatalogUpdated{Catalog: m.Catalog()})
	for _, item := range items {
		if o.isOtherClaim(item) {
			return nil, fencer.ErrFenced
		}
		if item.Key == recorder.ClaimKey(spec.name) {
			continue
		}
		event, err := o.decode(item)
		if err != nil {
			return nil, err
		}
		if arrived, ok := event.(dispatcher.JobArrived); ok {
			p, started := progress[recorder.ProgressKey(spec.name, arrived.Job.ID)]
			event = dispatcher.JobLoaded{Job: arrived.Job, Progress: p, Started: started}
		}
		o.initialEvents = append(o.initialEvents, event)
	}
	// Jobs go before their cancellations.
	slices.SortStableFunc(o.initialEvents, func(a, b dispatcher.Event) int { return eventOrder(a) - eventOrder(b) })
	return o, nil
}

// eventOrder ranks initial events; lower ones are applied first.
func eventOrder(event dispatcher.Event) int {
	switch event.(type) {
	case dispatcher.CatalogUpdated:
		return 0
	case dispatcher.JobCancelled:
		return 2
	}
	return 1
}

// startShard starts an owned shard.
func (m *Manager) startShard(ctx context.Context, o *ownedShard) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o.initialEvents = append(o.initialEvents, dispatcher.WorkersListed{Workers: o.workersOf(m.registered)})
	m.owned[o.spec.name] = o
	m.background.Go(func() { o.run(ctx) })
}

// removeShard forgets a shard that isn't owned any more.
func (m *Manager) removeShard(o *ownedShard, reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.owned[o.spec.name] != o {
		return
	}
	delete(m.owned, o.spec.name)
	m.metrics.lostShards.Inc(1)
	m.log.Warn().Str("shard", o.spec.name).Str("reason", reason).Msg("shard lost")
}

// leaseRenewed confirms the ownership of all shards after a renewal of the
// lease.
func (m *Manager) leaseRenewed() {
	m.recordContact()
	m.post(dispatcher.OwnershipChecked{Confirmed: true})
}

// leaseEnded writes the owner records again with a new lease. A shard that
// another daemon has claimed in the meantime is given up.
func (m *Manager) leaseEnded(ctx context.Context) {
	if m.shuttingDown.Load() {
		return
	}
	m.log.Warn().Msg("lease lost, ownership confirmation started")
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, o := range m.owned {
		m.background.Go(func() { m.renewOwner(ctx, o) })
	}
}

// renewOwner writes the owner record of a shard again until that succeeds or the
// shard is lost.
func (m *Manager) renewOwner(ctx context.Context, o *ownedShard) {
	for ctx.Err() == nil && m.shard(o.spec.name) == o {
		limited, cancel := context.WithTimeout(ctx, claimTimeout)
		owner, err := m.ownerWrite(limited, o.spec.name)
		if err == nil {
			err = o.fence.RestoreOwner(limited, owner)
		}
		cancel()
		switch {
		case err == nil:
			m.log.Info().Str("shard", o.spec.name).Msg("ownership confirmed")
			o.post(dispatcher.OwnershipChecked{Confirmed: true})
			return
		case errors.Is(err, fencer.ErrFenced):
			o.giveUp("another owner has claimed the shard")
			return
		}
		m.log.Warn().Err(err).Str("shard", o.spec.name).Msg("ownership confirmation failed")
		waiter.Sleep(ctx, retryDelay)
	}
}

// removeOwner removes the owner record of a shard that was claimed but not
// started.
func (m *Manager) removeOwner(ctx context.Context, fence *fencer.Fence) {
	limited, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	m.logRelease(fence, fence.Write(limited, fence.Workers, nil, []string{recorder.OwnerKey(fence.Shard)}))
}

// logRelease logs the outcome of a release.
func (m *Manager) logRelease(fence *fencer.Fence, err error) {
	if err != nil {
		m.log.Warn().Err(err).Str("shard", fence.Shard).Msg("shard release failed")
		return
	}
	m.log.Info().Str("shard", fence.Shard).Msg("shard released")
}

// workersOf returns the workers in list that belong to the shard.
func (o *ownedShard) workersOf(list []specifier.Worker) []specifier.Worker {
	var out []specifier.Worker
	for i := range list {
		if o.spec.includes(&list[i]) {
			out = append(out, list[i])
		}
	}
	return out
}
