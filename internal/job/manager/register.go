package manager

import (
	"context"
	"errors"

	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/state/waiter"
)

// register is a key of the store that one daemon replaces over and over. A write without an answer may
// still be carried out seconds later. So each one requires that the key has the revision that the daemon
// knows of, and the late one fails once a later one has taken effect.
//
// It is used by one goroutine at a time.
type register struct {
	store    Store
	key      string
	revision int64 // of the last known value; 0 if the key doesn't exist
}

// put replaces the value of the key, which is attached to lease unless that is 0. Besides it requires
// that guards hold. After a conflict it calls review, if there is one, and goes on from the present value of
// the key unless that returns an error. It returns when the write has taken effect, has failed, or ctx ends.
func (r *register) put(ctx context.Context, value []byte, lease int64, guards []storer.Condition, review func(context.Context) error) error {
	for {
		revision, err := r.store.Commit(ctx, storer.Transaction{
			If:  append([]storer.Condition{{Key: r.key, Revision: r.revision}}, guards...),
			Put: []storer.Write{{Key: r.key, Value: value, Lease: lease}},
		})
		if err == nil {
			r.revision = revision
			return nil
		}
		if !errors.Is(err, storer.ErrConflict) {
			return err
		}
		if review != nil {
			if err := review(ctx); err != nil {
				return err
			}
		}
		before := r.revision
		if err := r.read(ctx); err != nil {
			return err
		}
		if r.revision == before && !waiter.Sleep(ctx, retryDelay) {
			return ctx.Err()
		}
	}
}

// read finds out which revision the key has.
func (r *register) read(ctx context.Context) error {
	item, err := r.store.Get(ctx, r.key)
	if errors.Is(err, storer.ErrNotFound) {
		r.revision = 0
		return nil
	}
	if err != nil {
		return err
	}
	r.revision = item.Revision
	return nil
}
