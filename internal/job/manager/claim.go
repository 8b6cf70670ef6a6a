package manager

import (
	"context"
	"errors"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/state/fencer"
	"dotterelcart.dev/dotterelcart/internal/state/waiter"
)

// isOtherClaim reports whether an item is a claim by another owner, to whom all
// jobs that are accepted after it belong. A claim that can't be decoded counts as
// one.
func (o *ownedShard) isOtherClaim(item storer.Item) bool {
	if item.Key != recorder.ClaimKey(o.spec.Name) {
		return false
	}
	var claim recorder.Claim
	if err := recorder.Decode(item.Value, &claim); err != nil {
		o.log.Error().Err(err).Msg("claim decoding failed")
		return true
	}
	return claim.Daemon != o.fence.Daemon || claim.Epoch != o.fence.Epoch
}

// checkClaim returns fencer.ErrFenced if another owner has claimed the shard by now. It follows
// a new list of the shard's records, whose pages aren't a snapshot: the claim may be on a page that
// was read before it, and jobs that were accepted after it on a later one. The first list needs no
// check, since nothing is started before a write with the fence. The read is repeated until the
// store answers or ctx ends.
func (o *ownedShard) checkClaim(ctx context.Context) error {
	for {
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		item, err := o.manager.store.Get(limited, recorder.ClaimKey(o.spec.Name))
		cancel()
		switch {
		case err == nil && o.isOtherClaim(item), errors.Is(err, storer.ErrNotFound):
			return fencer.ErrFenced
		case err == nil:
			return nil
		}
		o.log.Warn().Err(err).Msg("claim check failed")
		if !waiter.Sleep(ctx, retryDelay) {
			return ctx.Err()
		}
	}
}
