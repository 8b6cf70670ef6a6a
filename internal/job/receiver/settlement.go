package receiver

import (
	"context"
	"errors"
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/state/waiter"
)

// The store may carry out a write seconds after its caller has stopped waiting. An acceptance
// without an answer would stay open as long, while other hosts tell the caller that the job was
// refused or doesn't exist. So the host that sent it settles it: a tombstone takes the place of the
// index entry that the acceptance would write. After that it has failed for good, or the job turns
// out to be accepted.

// Limits of settlements.
const (
	settleTimeout  = 10 * time.Second // limit for a settlement, with all attempts
	maxSettleDelay = 2 * time.Second  // maximum delay before an attempt is repeated
	maxSettlements = 256              // settlements in progress
)

// settle makes an acceptance fail that had no answer and that required the revision of the
// job's index entry, unless it has taken effect. It works in the background.
func (r *Receiver) settle(id string, revision int64) {
	cs := &r.cancellations
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if pending := r.settling.Load(); cs.closed || pending >= maxSettlements {
		r.log.Warn().Str("job", id).Int64("pending", pending).Bool("closed", cs.closed).Msg("acceptance not settled")
		return
	}
	r.settling.Add(1)
	r.background.Go(func() {
		defer r.settling.Add(-1)
		ctx, cancel := context.WithTimeout(r.ctx, settleTimeout)
		defer cancel()
		r.trySettle(ctx, id, revision)
	})
}

// trySettle tries to settle an acceptance until the outcome is known, or ctx ends.
func (r *Receiver) trySettle(ctx context.Context, id string, revision int64) {
	delays := newDelays()
	delays.MaxInterval = maxSettleDelay
	for {
		limited, cancel := context.WithTimeout(ctx, attemptTimeout)
		err := r.writeTombstone(limited, id, specifier.Failed, revision)
		cancel()
		switch {
		case err == nil:
			r.log.Info().Str("job", id).Msg("acceptance without an answer settled, job not accepted")
			return
		case errors.Is(err, storer.ErrConflict):
			// An attempt took effect, here or at another host, or the job was cancelled.
			r.log.Info().Str("job", id).Msg("acceptance without an answer settled, index entry has changed")
			return
		case !waiter.Sleep(ctx, delays.NextBackOff()):
			r.log.Warn().Err(err).Str("job", id).Msg("acceptance not settled")
			return
		}
	}
}

// writeTombstone writes a tombstone with a state, on the condition that the job's index entry has
// the revision; 0 means that there is none.
func (r *Receiver) writeTombstone(ctx context.Context, id string, state specifier.State, revision int64) error {
	key := recorder.IndexKey(id)
	_, err := r.store.Commit(ctx, storer.Transaction{
		If:  []storer.Condition{{Key: key, Revision: revision}},
		Put: []storer.Write{{Key: key, Value: recorder.Encode(recorder.NewTombstone(state, time.Now()))}},
	})
	return err
}
