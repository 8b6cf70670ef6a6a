package holder

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"dotterelcart.dev/dotterelcart/internal/control/reducer"
	"dotterelcart.dev/dotterelcart/internal/state/journaler"
)

// claimTimeoutTTLs is the time limit of a claim, in multiples of Options.TTL.
const claimTimeoutTTLs = 2

// claim starts to claim a shard, unless a claim of it is in progress. It fails
// for a shard that this holder still holds or releases.
func (h *Holder) claim(shard string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.shards[shard]
	switch {
	case h.closed:
		return
	case s != nil && s.phase == claiming:
		return
	case s != nil:
		h.queueEvent(reducer.ClaimFailed{Shard: shard, Owner: h.options.Daemon})
		return
	}
	s = &shardState{shard: shard}
	h.shards[shard] = s
	h.startTask(func() { h.completeClaim(s) })
}

// startTask runs f on a goroutine that Done waits for; h.mu is held and the
// holder is not closed.
func (h *Holder) startTask(f func()) {
	h.tasks.Add(1)
	go func() {
		defer h.tasks.Done()
		f()
	}()
}

// completeClaim writes the owner record, opens the ledger and reports the
// outcome.
func (h *Holder) completeClaim(s *shardState) {
	ctx, cancel := context.WithTimeout(h.ctx, claimTimeoutTTLs*h.options.TTL)
	defer cancel()
	ledger, content, err := h.openLedger(ctx, s)
	if err != nil {
		h.failClaim(s, err)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		ledger.Close()
		return
	}
	s.phase, s.ledger = held, ledger
	h.startTask(func() { <-ledger.Done })
	h.reportSettled(false)
	h.queueEvent(reducer.ShardClaimed{
		Shard:    s.shard,
		Epoch:    content.Epoch,
		Snapshot: content.Snapshot,
		Records:  content.Records,
	})
	h.log.Info().Str("shard", s.shard).Int64("epoch", content.Epoch).Msg("shard claimed")
	if s.lease != h.lease.ID() {
		h.restoreOwner(s)
	}
}

// openLedger writes the owner record and opens the ledger.
func (h *Holder) openLedger(ctx context.Context, s *shardState) (*journaler.Ledger, journaler.Content, error) {
	lease, err := h.lease.Acquire(ctx)
	if err != nil {
		return nil, journaler.Content{}, err
	}
	revision, err := h.writeOwner(ctx, s.shard, lease)
	if err != nil {
		return nil, journaler.Content{}, err
	}
	h.mu.Lock()
	s.lease, s.ownerRevision = lease, revision
	h.mu.Unlock()
	return journaler.Open(ctx, journaler.Options{
		Shard:    s.shard,
		Owner:    h.options.Daemon,
		Pace:     h.writeInterval,
		Timeout:  h.options.Timeout,
		Log:      h.options.Log,
		Appended: func(batch int64) { h.appended(s, batch) },
		Lost:     func() { h.loseShard(s) },
	}, h.store)
}

// failClaim reports a failed claim. Before that it deletes the owner record of
// this instance if there is one, since it would keep others from claiming.
func (h *Holder) failClaim(s *shardState, err error) {
	var owned *ownedError
	event := reducer.ClaimFailed{Shard: s.shard}
	if errors.As(err, &owned) {
		event.Owner = owned.owner
	} else {
		h.log.Info().Err(err).Str("shard", s.shard).Msg("shard claim failed")
		h.retry(func(ctx context.Context) bool { return h.deleteOwner(ctx, s.shard, s.ownerRevision) })
	}
	h.mu.Lock()
	delete(h.shards, s.shard)
	h.queueEvent(event)
	h.mu.Unlock()
}

// release finishes the ledger, deletes the owner record and then reports the
// shard as lost.
func (h *Holder) release(shard string, epoch int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.heldShard(shard, epoch)
	if s == nil || s.phase != held || h.closed {
		return
	}
	s.phase = releasing
	s.ledger.Finish()
	h.startTask(func() {
		<-s.ledger.Done
		h.retry(func(ctx context.Context) bool {
			h.mu.Lock()
			revision, gone := s.ownerRevision, h.shards[s.shard] != s
			h.mu.Unlock()
			return gone || h.deleteOwner(ctx, s.shard, revision)
		})
		h.removeShard(s)
	})
}

// append adds a batch to the ledger. A batch that cannot be encoded ends the
// ownership of the shard.
func (h *Holder) append(e reducer.AppendRecords) {
	h.mu.Lock()
	s := h.heldShard(e.Shard, e.Epoch)
	h.mu.Unlock()
	if s == nil {
		return
	}
	if err := s.ledger.Append(e.Batch, e.Records); err != nil {
		h.log.Error().Err(err).Str("shard", e.Shard).Msg("batch encoding failed")
		s.ledger.Close()
		h.loseShard(s)
	}
}

// save puts a snapshot into the queue of the ledger.
func (h *Holder) save(e reducer.SaveSnapshot) {
	h.mu.Lock()
	s := h.heldShard(e.Shard, e.Epoch)
	h.mu.Unlock()
	if s != nil {
		s.ledger.Save(e.Batch, e.Data)
	}
}

// heldShard returns the shard if it is owned with this epoch. Otherwise it
// reports ShardLost and returns nil; h.mu is held.
func (h *Holder) heldShard(shard string, epoch int64) *shardState {
	s := h.shards[shard]
	if s == nil || s.ledger == nil || s.ledger.Epoch != epoch {
		h.queueEvent(reducer.ShardLost{Shard: shard, Epoch: epoch})
		return nil
	}
	return s
}

// appended reports a durable batch, unless the shard has been lost.
func (h *Holder) appended(s *shardState, batch int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.shards[s.shard] == s {
		h.queueEvent(reducer.RecordsAppended{Shard: s.shard, Epoch: s.ledger.Epoch, Batch: batch})
	}
}

// loseShard gives up a shard, such as one that another daemon has claimed, and
// deletes the owner record if it is still this instance's.
func (h *Holder) loseShard(s *shardState) {
	if !h.removeShard(s) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	s.ledger.Close()
	if !h.closed {
		revision := s.ownerRevision
		h.startTask(func() {
			h.retry(func(ctx context.Context) bool { return h.deleteOwner(ctx, s.shard, revision) })
		})
	}
}

// removeShard removes the shard and reports ShardLost. It returns false if the
// shard was removed before.
func (h *Holder) removeShard(s *shardState) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.shards[s.shard] != s {
		return false
	}
	delete(h.shards, s.shard)
	h.queueEvent(reducer.ShardLost{Shard: s.shard, Epoch: s.ledger.Epoch})
	if s.restoring {
		h.reportSettled(true)
	}
	h.log.Info().Str("shard", s.shard).Int64("epoch", s.ledger.Epoch).Msg("shard ownership ended")
	return true
}

// restoreOwners writes all owner records again. It is called when the store has
// reported that the lease is gone, and the owner records with it.
func (h *Holder) restoreOwners() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	for _, s := range h.shards {
		if s.ledger != nil {
			h.restoreOwner(s)
		}
	}
	h.reportSettled(true)
}

// restoreOwner starts to write the owner record again, bound to the current
// lease; h.mu is held.
func (h *Holder) restoreOwner(s *shardState) {
	if s.restoring {
		return
	}
	s.restoring = true
	h.startTask(func() {
		h.retry(func(ctx context.Context) bool { return h.tryRestoreOwner(ctx, s) })
	})
}

// tryRestoreOwner makes one attempt to write the owner record and to check the
// epoch. It returns true when it is known whether the shard is still owned.
func (h *Holder) tryRestoreOwner(ctx context.Context, s *shardState) bool {
	h.mu.Lock()
	gone := h.shards[s.shard] != s || s.phase == releasing
	h.mu.Unlock()
	if gone {
		return true // a new record would keep others from claiming the shard
	}
	lease, err := h.lease.Acquire(ctx)
	if err != nil {
		return false
	}
	revision, err := h.writeOwner(ctx, s.shard, lease)
	if err == nil {
		h.mu.Lock()
		s.lease, s.ownerRevision = lease, revision
		gone = h.shards[s.shard] != s
		h.mu.Unlock()
		if gone {
			h.retry(func(ctx context.Context) bool { return h.deleteOwner(ctx, s.shard, revision) })
			return true
		}
		err = s.ledger.Check(ctx)
	}
	var owned *ownedError
	switch {
	case errors.As(err, &owned), errors.Is(err, journaler.ErrFenced):
		h.loseShard(s)
		return true
	case err != nil:
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lease.ID() != lease {
		return false
	}
	s.restoring = false
	h.reportSettled(true)
	return true
}

// retry calls f until it returns true or the holder is closed.
func (h *Holder) retry(f func(context.Context) bool) {
	b := backoff.NewExponentialBackOff()
	b.MaxInterval = h.options.TTL / 4
	for {
		ctx, cancel := context.WithTimeout(h.ctx, h.options.Timeout)
		done := f(ctx)
		cancel()
		if done {
			return
		}
		select {
		case <-h.ctx.Done():
			return
		case <-time.After(b.NextBackOff()):
		}
	}
}
