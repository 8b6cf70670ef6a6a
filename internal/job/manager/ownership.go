package manager

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dotterelcart.dev/dotterelcart/internal/control/divider"
	"dotterelcart.dev/dotterelcart/internal/job/dispatcher"
	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/state/fencer"
	"dotterelcart.dev/dotterelcart/internal/state/waiter"
)

// reviewOwnership writes layouts, claims shards without an owner, and releases
// those that another host would carry better, until ctx ends.
func (m *Manager) reviewOwnership(ctx context.Context) {
	for waiter.Sleep(ctx, ownershipInterval) {
		m.reportEvacuations(time.Now())
		if m.shuttingDown.Load() || m.Catalog().Version == 0 {
			continue
		}
		m.reviewLayouts(ctx)
		now := time.Now()
		for _, spec := range m.claimable(now) {
			m.background.Go(func() { m.claim(ctx, spec) })
		}
		if o := m.unbearable(now); o != nil {
			m.background.Go(func() { m.leaveToBetterOwner(ctx, o) })
		}
	}
}

// claimable returns the shards that this daemon should claim now, which it marks
// as being claimed.
func (m *Manager) claimable(now time.Time) []shardSpec {
	m.mu.Lock()
	defer m.mu.Unlock()
	var claims []shardSpec
	for service, layout := range m.view.layouts {
		for _, s := range layout.Shards {
			if m.shouldClaim(s, now) {
				m.claiming[s.Name] = true
				claims = append(claims, newShardSpec(service, &layout.Layout, s))
			}
		}
	}
	return claims
}

// shouldClaim reports whether this daemon should claim a shard now.
func (m *Manager) shouldClaim(spec recorder.ShardLayout, now time.Time) bool {
	owner := m.view.Shards[spec.Name].Owner
	if m.owned[spec.Name] != nil || owner != "" && owner != m.options.Daemon {
		delete(m.ownerlessSince, spec.Name)
		return false
	}
	if m.claiming[spec.Name] {
		return false
	}
	isLeft := now.Before(m.leftToOthersUntil[spec.Name])
	if owner != "" {
		return !isLeft // an earlier process of this daemon left the owner record behind
	}
	since, ok := m.ownerlessSince[spec.Name]
	if !ok {
		m.ownerlessSince[spec.Name] = now
		since = now
	}
	return !isLeft && now.Sub(since) >= m.claimDelay(spec)
}

// claimDelay returns how long the daemon leaves a shard to others. It is shorter
// for daemons that can carry it easily, and in the shard's failure domain, or with
// a fast connection to the store if the shard has several.
func (m *Manager) claimDelay(spec recorder.ShardLayout) time.Duration {
	shard := divider.Shard(spec)
	delay := m.self().ClaimDelay(&shard) + m.jitter(spec.Name)
	if spec.Domain == "" {
		delay += latencyFactor * m.storeLatency
	}
	return delay
}

// latencyFactor times the store latency is a part of the claim delay.
const latencyFactor = 10

// unbearable returns a shard that overloads this host and that another one would
// carry much better, or nil. The answer is the same for overloadWait before.
func (m *Manager) unbearable(now time.Time) *ownedShard {
	m.mu.Lock()
	defer m.mu.Unlock()
	owner := m.self()
	var found *ownedShard
	if m.hasReleasedInVain(now) {
		return nil
	}
	for _, o := range m.owned {
		shard := divider.Shard(o.spec.ShardLayout)
		if now.Sub(o.startedAt) > minOwnership && divider.BetterOwner(owner, &shard, m.hosts()) {
			found = o
			break
		}
	}
	switch {
	case found == nil:
		m.overloadedSince = time.Time{}
	case m.overloadedSince.IsZero():
		m.overloadedSince = now
	case now.Sub(m.overloadedSince) >= overloadWait:
		m.overloadedSince = time.Time{}
		return found
	}
	return nil
}

// hasReleasedInVain reports whether this daemon has lately claimed a shard again that it had
// released, since no other host did. The caller holds m.mu.
func (m *Manager) hasReleasedInVain(now time.Time) bool {
	for name := range m.owned {
		if now.Sub(m.leftToOthersUntil[name]) < unclaimedWait {
			return true
		}
	}
	return false
}

// Limits of releases to better owners.
const (
	minOwnership    = 8 * time.Second // from the claim to a release
	overloadWait    = 2 * time.Second // overload before a release
	betterOwnerWait = 3 * time.Second // from a release until its owner may claim the shard again
	unclaimedWait   = time.Minute     // from then until the next release if the host has claimed the shard again
)

// leaveToBetterOwner releases a shard and leaves it to other hosts for betterOwnerWait. Until the
// release is in the view, the shard looks like one that an earlier process of this daemon owned.
func (m *Manager) leaveToBetterOwner(ctx context.Context, o *ownedShard) {
	m.leaveToOthers(o.spec.Name, time.Now().Add(releaseTimeout+betterOwnerWait))
	until := time.Time{}
	if o.release(ctx, "another host has more capacity") {
		until = time.Now().Add(betterOwnerWait)
	}
	m.leaveToOthers(o.spec.Name, until)
}

// leaveToOthers makes this daemon not claim a shard until a time.
func (m *Manager) leaveToOthers(shard string, until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leftToOthersUntil[shard] = until
}

// jitter returns a delay up to maxClaimJitter that differs between daemons.
func (m *Manager) jitter(name string) time.Duration {
	return time.Duration(xxhash.Sum64String(name+m.options.Daemon) % uint64(maxClaimJitter))
}

// claim claims a shard, loads its jobs and starts it.
func (m *Manager) claim(ctx context.Context, spec shardSpec) {
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.claiming, spec.Name)
		delete(m.ownerlessSince, spec.Name)
	}()
	limited, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	isFirst := m.noteClaim(spec.Name)
	fence := fencer.New(spec.Name, m.options.Daemon, m.store)
	fence.Process = m.process.Load()
	fence.HasEnded = func(daemon string, process int64) bool {
		return daemon == m.options.Daemon && isFirst || m.hasEnded(daemon, process)
	}
	owner, err := m.ownerWrite(limited, spec.Name)
	if err == nil {
		err = fence.Claim(limited, owner)
	}
	if err != nil {
		m.log.Info().Err(err).Str("shard", spec.Name).Msg("shard claim failed")
		return
	}
	m.needWorkers()
	m.log.Info().Str("shard", spec.Name).Int64("epoch", fence.Epoch).Int64("token", fence.Token).Msg("shard claimed")
	for limited.Err() == nil {
		o, err := m.loadShard(limited, spec, fence)
		if err == nil {
			o.recordLease = owner.Lease
			m.startShard(ctx, o)
			return
		}
		if errors.Is(err, fencer.ErrFenced) {
			m.log.Info().Str("shard", spec.Name).Msg("shard claimed by another owner during load")
			return
		}
		m.log.Warn().Err(err).Str("shard", spec.Name).Msg("shard load failed")
		waiter.Sleep(limited, retryDelay)
	}
	m.log.Warn().Str("shard", spec.Name).Msg("shard abandoned after load timeout")
	m.removeOwner(ctx, fence)
}

// noteClaim records that this process tries to claim a shard, and reports whether it does
// so for the first time.
func (m *Manager) noteClaim(shard string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	isFirst := !m.claimedBefore[shard]
	m.claimedBefore[shard] = true
	return isFirst
}

// ownerWrite returns the write of the owner record, attached to the lease.
func (m *Manager) ownerWrite(ctx context.Context, shard string) (storer.Write, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, err := m.lease.Acquire(ctx)
	return storer.Write{
		Key:   recorder.OwnerKey(shard),
		Value: recorder.Encode(recorder.Owner{Daemon: m.options.Daemon}),
		Lease: lease,
	}, err
}

// loadShard reads the jobs and progress of a claimed shard. It returns
// fencer.ErrFenced if another owner has claimed the shard in the meantime.
func (m *Manager) loadShard(ctx context.Context, spec shardSpec, fence *fencer.Fence) (*ownedShard, error) {
	readAt := time.Now()
	items, revision, err := m.store.List(ctx, recorder.ShardPrefix(spec.Name))
	if err != nil {
		return nil, err
	}
	saved, _, err := m.store.List(ctx, recorder.ProgressPrefix(spec.Name))
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
	o := newOwnedShard(m, spec, fence, revision, readAt)
	o.initialEvents = append(o.initialEvents, dispatcher.CatalogUpdated{Catalog: m.Catalog()})
	for _, item := range items {
		if o.isOtherClaim(item) {
			return nil, fencer.ErrFenced
		}
		if item.Key == recorder.ClaimKey(spec.Name) {
			continue
		}
		event, err := o.decode(item)
		if errors.Is(err, errUnknownKey) {
			m.log.Error().Err(err).Str("shard", spec.Name).Msg("record decoding failed")
			continue // the other records are needed all the same
		}
		if err != nil {
			return nil, err
		}
		switch e := event.(type) {
		case dispatcher.JobArrived:
			p, started := progress[recorder.ProgressKey(spec.Name, e.Job.ID)]
			event = dispatcher.JobLoaded{Job: e.Job, Progress: p, Started: started}
		case dispatcher.TaskArrived:
			e.Progress = progress[recorder.ProgressKey(spec.Name, e.Task.Job)]
			event = e
		}
		o.initialEvents = append(o.initialEvents, event)
	}
	o.initialEvents = append(o.initialEvents, dispatcher.CancellationsRead{At: readAt, Revision: revision})
	// Jobs go before their transferred tasks, and both before cancellations.
	slices.SortStableFunc(o.initialEvents, func(a, b dispatcher.Event) int { return eventOrder(a) - eventOrder(b) })
	return o, nil
}

// eventOrder ranks initial events; lower ones are applied first.
func eventOrder(event dispatcher.Event) int {
	switch event.(type) {
	case dispatcher.CatalogUpdated:
		return 0
	case dispatcher.TaskArrived:
		return 2
	case dispatcher.JobCancelled:
		return 3
	case dispatcher.CancellationsRead:
		return 4
	}
	return 1
}

// startShard adds a loaded shard to the owned ones and starts it.
func (m *Manager) startShard(ctx context.Context, o *ownedShard) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.updateMembers(o)
	o.initialEvents = append(o.initialEvents, m.evacuations.event())
	if resigned, ok := m.view.resignations[o.spec.Name]; ok {
		o.initialEvents = append(o.initialEvents, resigned)
	}
	if host, ok := m.view.hosts[o.fence.PreviousOwner]; ok && o.hasPreviousEnded(&host) {
		o.initialEvents = append(o.initialEvents, dispatcher.EarlierOwnerEnded{Noticed: time.Now()})
	}
	if m.registry.isListed {
		o.initialEvents = append(o.initialEvents, m.workersListed(o))
	}
	o.startedAt = time.Now()
	o.publisher.record = register{
		store: m.store, key: recorder.LoadKey(o.spec.Name), revision: m.view.Shards[o.spec.Name].loadRevision,
	}
	m.owned[o.spec.Name] = o
	if lease, sent := m.lease.Renewal(); lease == o.recordLease {
		o.initialEvents = append(o.initialEvents, dispatcher.OwnershipChecked{Confirmed: true, SentAt: sent})
	} else {
		m.loseRecord(ctx, o) // the lease has ended during the claim
	}
	m.background.Go(func() {
		o.run(ctx)
		if o.resigns {
			o.resign(ctx)
		}
	})
}

// removeShard forgets a shard that isn't owned any more.
func (m *Manager) removeShard(o *ownedShard, reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.owned[o.spec.Name] != o {
		return
	}
	delete(m.owned, o.spec.Name)
	m.metrics.lostShards.Inc(1)
	m.metrics.clearWaiting(o.spec.Name)
	m.log.Warn().Str("shard", o.spec.Name).Str("reason", reason).Msg("shard lost")
}

// removeOwner removes the owner record of a shard that was claimed but not
// started.
func (m *Manager) removeOwner(ctx context.Context, fence *fencer.Fence) {
	limited, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	m.logRelease(fence, fence.Write(limited, fence.Workers, nil, []string{recorder.OwnerKey(fence.Shard)}))
}

// logRelease logs the outcome of a release. After a failure the owner record
// disappears when its lease expires.
func (m *Manager) logRelease(fence *fencer.Fence, err error) {
	if err != nil {
		m.log.Warn().Err(err).Str("shard", fence.Shard).Msg("shard release failed")
		return
	}
	m.log.Info().Str("shard", fence.Shard).Msg("shard released")
}
