package holder

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"dotterelcart.dev/dotterelcart/internal/control/reducer"
	"dotterelcart.dev/dotterelcart/internal/state/journaler"
)

// claimTimeout is how many times to live one claim may take.
const claimTimeout = 2

func (h *Holder) claim(shard string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.seats[shard]
	switch {
	case h.closed:
		return
	case s != nil && s.phase == claiming:
		return
	case s != nil:
		h.post(reducer.ClaimFailed{Shard: shard, Owner: h.options.Daemon})
		return
	}
	s = &seat{shard: shard}
	h.seats[shard] = s
	h.begin(func() { h.acquire(s) })
}

// begin runs f on a goroutine; h.mu is held and the holder is not closed.
func (h *Holder) begin(f func()) {
	h.tasks.Add(1)
	go func() {
		defer h.tasks.Done()
		f()
	}()
}

// acquire takes the owner record and opens the ledger.
func (h *Holder) acquire(s *seat) {
	ctx, cancel := context.WithTimeout(h.ctx, claimTimeout*h.options.TTL)
	defer cancel()
	ledger, content, err := h.open(ctx, s)
	if err != nil {
		h.fail(s, err)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		ledger.Close()
		return
	}
	s.phase, s.ledger = held, ledger
	h.begin(func() { <-ledger.Done })
	h.settle(false)
	h.post(reducer.ShardClaimed{
		Shard:    s.shard,
		Epoch:    content.Epoch,
		Snapshot: content.Snapshot,
		Records:  content.Records,
	})
	h.log.Info().Str("shard", s.shard).Int64("epoch", content.Epoch).Msg("Shard claimed.")
	if s.lease != h.lease.ID() {
		h.reassert(s)
	}
}

func (h *Holder) open(ctx context.Context, s *seat) (*journaler.Ledger, journaler.Content, error) {
	lease, err := h.lease.Acquire(ctx)
	if err != nil {
		return nil, journaler.Content{}, err
	}
	revision, err := h.take(ctx, s.shard, lease)
	if err != nil {
		return nil, journaler.Content{}, err
	}
	h.mu.Lock()
	s.lease, s.revision = lease, revision
	h.mu.Unlock()
	return journaler.Open(ctx, journaler.Options{
		Shard:    s.shard,
		Owner:    h.options.Daemon,
		Pace:     h.pace,
		Timeout:  h.options.Timeout,
		Log:      h.options.Log,
		Appended: func(batch int64) { h.appended(s, batch) },
		Lost:     func() { h.lose(s) },
	}, h.store)
}

// fail reports a failed claim once this daemon's owner record, if any, is
// gone: left behind, it would keep others from claiming.
func (h *Holder) fail(s *seat, err error) {
	var taken *takenError
	out := reducer.ClaimFailed{Shard: s.shard}
	if errors.As(err, &taken) {
		out.Owner = taken.owner
	} else {
		h.log.Info().Err(err).Str("shard", s.shard).Msg("Claim failed.")
		h.repeat(func(ctx context.Context) bool { return h.leave(ctx, s.shard, s.revision) })
	}
	h.mu.Lock()
	delete(h.seats, s.shard)
	h.post(out)
	h.mu.Unlock()
}

func (h *Holder) release(shard string, epoch int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.find(shard, epoch)
	if s == nil || s.phase != held || h.closed {
		return
	}
	s.phase = releasing
	s.ledger.Finish()
	h.begin(func() {
		<-s.ledger.Done
		h.repeat(func(ctx context.Context) bool {
			h.mu.Lock()
			revision, gone := s.revision, h.seats[s.shard] != s
			h.mu.Unlock()
			return gone || h.leave(ctx, s.shard, revision)
		})
		h.drop(s)
	})
}

func (h *Holder) append(e reducer.AppendRecords) {
	h.mu.Lock()
	s := h.find(e.Shard, e.Epoch)
	h.mu.Unlock()
	if s == nil {
		return
	}
	if err := s.ledger.Append(e.Batch, e.Records); err != nil {
		h.log.Error().Err(err).Str("shard", e.Shard).Msg("Batch not encoded.")
		s.ledger.Close()
		h.lose(s)
	}
}

func (h *Holder) save(e reducer.SaveSnapshot) {
	h.mu.Lock()
	s := h.find(e.Shard, e.Epoch)
	h.mu.Unlock()
	if s != nil {
		s.ledger.Save(e.Batch, e.Data)
	}
}

// find returns the seat of an epoch, or answers that it is lost; h.mu is held.
func (h *Holder) find(shard string, epoch int64) *seat {
	s := h.seats[shard]
	if s == nil || s.ledger == nil || s.ledger.Epoch != epoch {
		h.post(reducer.ShardLost{Shard: shard, Epoch: epoch})
		return nil
	}
	return s
}

func (h *Holder) appended(s *seat, batch int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.seats[s.shard] == s {
		h.post(reducer.RecordsAppended{Shard: s.shard, Epoch: s.ledger.Epoch, Batch: batch})
	}
}

// lose ends a seat that another daemon has claimed.
func (h *Holder) lose(s *seat) {
	if !h.drop(s) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	s.ledger.Close()
	if !h.closed {
		revision := s.revision
		h.begin(func() {
			h.repeat(func(ctx context.Context) bool { return h.leave(ctx, s.shard, revision) })
		})
	}
}

// drop removes the seat and reports ShardLost, once.
func (h *Holder) drop(s *seat) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.seats[s.shard] != s {
		return false
	}
	delete(h.seats, s.shard)
	h.post(reducer.ShardLost{Shard: s.shard, Epoch: s.ledger.Epoch})
	if s.asserting {
		h.settle(true)
	}
	h.log.Info().Str("shard", s.shard).Int64("epoch", s.ledger.Epoch).Msg("Shard given up.")
	return true
}

// reassertAll runs when the store has said that the lease is gone.
func (h *Holder) reassertAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	for _, s := range h.seats {
		if s.ledger != nil {
			h.reassert(s)
		}
	}
	h.settle(true)
}

// reassert writes the owner record under a new lease; h.mu is held.
func (h *Holder) reassert(s *seat) {
	if s.asserting {
		return
	}
	s.asserting = true
	h.begin(func() {
		h.repeat(func(ctx context.Context) bool { return h.tryReassert(ctx, s) })
	})
}

// tryReassert returns true when it is known whether the shard is still owned.
func (h *Holder) tryReassert(ctx context.Context, s *seat) bool {
	h.mu.Lock()
	gone := h.seats[s.shard] != s || s.phase == releasing
	h.mu.Unlock()
	if gone {
		return true // a new record would only keep others from claiming
	}
	lease, err := h.lease.Acquire(ctx)
	if err != nil {
		return false
	}
	revision, err := h.take(ctx, s.shard, lease)
	if err == nil {
		h.mu.Lock()
		s.lease, s.revision = lease, revision
		gone = h.seats[s.shard] != s
		h.mu.Unlock()
		if gone {
			h.repeat(func(ctx context.Context) bool { return h.leave(ctx, s.shard, revision) })
			return true
		}
		err = s.ledger.Check(ctx)
	}
	var taken *takenError
	switch {
	case errors.As(err, &taken), errors.Is(err, journaler.ErrFenced):
		h.lose(s)
		return true
	case err != nil:
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lease.ID() != lease {
		return false
	}
	s.asserting = false
	h.settle(true)
	return true
}

// repeat calls f until it returns true or the holder is closed.
func (h *Holder) repeat(f func(context.Context) bool) {
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
