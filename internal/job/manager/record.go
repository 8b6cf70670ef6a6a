package manager

import (
	"context"
	"errors"

	"dotterelcart.dev/dotterelcart/internal/job/dispatcher"
	"dotterelcart.dev/dotterelcart/internal/state/fencer"
	"dotterelcart.dev/dotterelcart/internal/state/waiter"
)

// The owner record of a shard is bound to a lease in the store, and ends with it. So a renewal
// confirms the ownership of exactly those shards whose record is bound to the renewed lease.

// leaseRenewed confirms the ownership of the shards whose owner record is bound to the lease.
func (m *Manager) leaseRenewed() {
	m.recordContact()
	lease, sent := m.lease.Renewal()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, o := range m.owned {
		if lease != 0 && o.recordLease == lease {
			o.post(dispatcher.OwnershipChecked{Confirmed: true, SentAt: sent})
		}
	}
}

// leaseEnded writes the owner records again that were bound to the lease. A shard that another
// daemon has claimed in the meantime is lost.
func (m *Manager) leaseEnded(ctx context.Context, lease int64) {
	if m.shuttingDown.Load() {
		return
	}
	m.log.Warn().Msg("lease lost, ownership confirmation started")
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, o := range m.owned {
		if o.recordLease == lease {
			m.loseRecord(ctx, o)
		}
	}
}

// loseRecord begins to write the owner record of a shard again, whose lease has ended. The
// caller holds m.mu.
func (m *Manager) loseRecord(ctx context.Context, o *ownedShard) {
	o.recordLease = 0
	m.background.Go(func() { m.renewOwner(ctx, o) })
}

// renewOwner writes the owner record of a shard again until it is bound to the current lease,
// or the shard is lost.
func (m *Manager) renewOwner(ctx context.Context, o *ownedShard) {
	for ctx.Err() == nil && m.shard(o.spec.Name) == o {
		limited, cancel := context.WithTimeout(ctx, claimTimeout)
		owner, err := m.ownerWrite(limited, o.spec.Name)
		if err == nil {
			err = o.fence.RestoreOwner(limited, owner)
		}
		cancel()
		switch {
		case err == nil && m.bindRecord(o, owner.Lease):
			m.log.Info().Str("shard", o.spec.Name).Msg("ownership confirmed")
			return
		case err == nil:
			m.log.Info().Str("shard", o.spec.Name).Msg("lease ended before ownership confirmation")
			continue
		case errors.Is(err, fencer.ErrFenced):
			o.giveUp("another owner has claimed the shard")
			return
		}
		m.log.Warn().Err(err).Str("shard", o.spec.Name).Msg("ownership confirmation failed")
		waiter.Sleep(ctx, retryDelay)
	}
}

// bindRecord notes that the owner record of a shard is bound to a lease and confirms the
// ownership. It returns false if that lease has ended.
func (m *Manager) bindRecord(o *ownedShard, lease int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	current, sent := m.lease.Renewal()
	if current != lease {
		return false
	}
	o.recordLease = lease
	o.post(dispatcher.OwnershipChecked{Confirmed: true, SentAt: sent})
	return true
}
