// Package fencer orders the writes of a shard's owners.
//
// # Model
//
// A shard has a fence: a key that every write of its owner replaces, together
// with what is written. Each write expects the revision that the one before
// left behind. A claim is such a write too, so the first write of a new owner
// ends those of the former one. A write is offered until its outcome is known:
// after a lost answer the same transaction is offered again, which cannot take
// effect twice, and a conflict is settled by reading the fence back.
//
//	f := fencer.New("menus/seq-bne", "bne-1", store)
//	if err := f.Claim(ctx, ownerWrite); err != nil { ... } // ErrOwned, ErrFenced
//	err := f.Write(ctx, workers, puts, removes)            // ErrFenced: another owner
package fencer

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/state/waiter"
)

// Errors of a Fence, found with errors.Is.
var (
	ErrFenced = errors.New("fencer: the shard has another owner")
	ErrOwned  = errors.New("fencer: the owner's record exists")
	// ErrRefused is returned when the owner's transaction has a condition that
	// does not hold.
	ErrRefused = errors.New("fencer: a condition does not hold")
)

// Delays between offers of one write.
const (
	firstRetry = 50 * time.Millisecond
	maxRetry   = time.Second
	offerTime  = 1500 * time.Millisecond // for one call; an answer may be lost for good
)

// Store is the part of the store that a fence uses.
type Store interface {
	storer.Committer
	Get(ctx context.Context, key string) (storer.Item, error)
}

// Fence is the fence of one shard as one daemon sees it.
type Fence struct {
	Shard  string
	Daemon string
	Token  int64 // revision of the claim; rises over all owners of all shards
	Epoch  int64 // claims before this one

	// Workers are those that may have runs; the claim fills it with those of
	// the former owner.
	Workers []string

	Released  bool                   // the former owner had stopped as planned when this one claimed
	Leftovers []recorder.WorkerLease // after such a stop: for how long leases on Workers may go on

	store    Store
	turn     chan struct{} // held by the goroutine that writes
	revision int64
}

// New returns a fence that is not claimed.
func New(shard, daemon string, store Store) *Fence {
	return &Fence{Shard: shard, Daemon: daemon, store: store, turn: make(chan struct{}, 1)}
}

// enter waits for the writes before this one. The result ends the turn.
func (f *Fence) enter(ctx context.Context) (leave func(), err error) {
	select {
	case f.turn <- struct{}{}:
		return func() { <-f.turn }, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Claim makes the daemon the owner, unless another's record exists. A record
// of the daemon's own name is that of its former life, which has ended.
func (f *Fence) Claim(ctx context.Context, owner storer.Write) error {
	leave, err := f.enter(ctx)
	if err != nil {
		return err
	}
	defer leave()
	item, err := f.store.Get(ctx, recorder.FenceKey(f.Shard))
	var former recorder.Fence
	switch {
	case errors.Is(err, storer.ErrNotFound):
		former.Epoch = -1
	case err != nil:
		return err
	default:
		if err := recorder.Decode(item.Value, &former); err != nil {
			return err
		}
	}
	f.revision = item.Revision
	f.Epoch = former.Epoch + 1
	f.Workers, f.Released, f.Leftovers = former.Workers, former.Released, former.WorkerLeases
	for _, left := range f.Leftovers {
		f.Workers = append(f.Workers, left.Worker)
	}
	revision, err := f.formerRecord(ctx, owner.Key)
	if err != nil {
		return err
	}
	tx := storer.Transaction{
		If: []storer.Condition{{Key: owner.Key, Revision: revision}},
		Put: []storer.Write{owner, {
			Key:   recorder.ClaimKey(f.Shard),
			Value: recorder.Encode(recorder.Claim{Daemon: f.Daemon, Epoch: f.Epoch}),
		}},
	}
	if err := f.offer(ctx, f.record(), tx); err != nil {
		return err
	}
	f.Token = f.revision
	return nil
}

// formerRecord is the revision of the owner's record if it is that of a former
// life of this daemon, otherwise 0.
func (f *Fence) formerRecord(ctx context.Context, key string) (int64, error) {
	item, err := f.store.Get(ctx, key)
	if errors.Is(err, storer.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	var owner recorder.Owner
	if err := recorder.Decode(item.Value, &owner); err != nil {
		return 0, err
	}
	if owner.Daemon != f.Daemon {
		return 0, ErrOwned
	}
	return item.Revision, nil
}

// Renew writes the owner's record anew after its lease was lost.
func (f *Fence) Renew(ctx context.Context, owner storer.Write) error {
	leave, err := f.enter(ctx)
	if err != nil {
		return err
	}
	defer leave()
	return f.offer(ctx, f.record(), storer.Transaction{
		If:  []storer.Condition{{Key: owner.Key}},
		Put: []storer.Write{owner},
	})
}

// Write makes puts and removes durable. It returns when the outcome is known,
// or when ctx ends.
func (f *Fence) Write(ctx context.Context, workers []string, puts []storer.Write, removes []string) error {
	leave, err := f.enter(ctx)
	if err != nil {
		return err
	}
	defer leave()
	f.Workers = workers
	return f.offer(ctx, f.record(), storer.Transaction{Put: puts, Remove: removes})
}

// Move makes a transaction durable, or returns ErrRefused if a condition of its
// own does not hold.
func (f *Fence) Move(ctx context.Context, tx storer.Transaction) error {
	leave, err := f.enter(ctx)
	if err != nil {
		return err
	}
	defer leave()
	err = f.offer(ctx, f.record(), tx)
	if errors.Is(err, ErrOwned) {
		return ErrRefused
	}
	return err
}

// Release takes the owner's record away, so that another may claim at once.
// The next owner learns of the workers that may have runs.
func (f *Fence) Release(ctx context.Context, owner string, left []recorder.WorkerLease) error {
	leave, err := f.enter(ctx)
	if err != nil {
		return err
	}
	defer leave()
	record := f.record()
	record.Workers, record.Released, record.WorkerLeases = nil, true, left
	return f.offer(ctx, record, storer.Transaction{Remove: []string{owner}})
}

func (f *Fence) record() recorder.Fence {
	return recorder.Fence{Owner: f.Daemon, Epoch: f.Epoch, WriteID: uuid.NewString(), Workers: f.Workers}
}

// offer repeats a write until its outcome is known.
func (f *Fence) offer(ctx context.Context, fence recorder.Fence, tx storer.Transaction) error {
	key := recorder.FenceKey(f.Shard)
	tx.If = append([]storer.Condition{{Key: key, Revision: f.revision}}, tx.If...)
	tx.Put = append([]storer.Write{{Key: key, Value: recorder.Encode(fence)}}, tx.Put...)
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = firstRetry
	delays.MaxInterval = maxRetry
	for {
		revision, err := f.commit(ctx, tx)
		if err == nil {
			f.revision = revision
			return nil
		}
		if errors.Is(err, storer.ErrNoLease) {
			return err
		}
		if errors.Is(err, storer.ErrConflict) {
			err = f.settle(ctx, key, fence.WriteID)
			if err == nil || errors.Is(err, ErrFenced) || errors.Is(err, ErrOwned) {
				return err
			}
		}
		if !waiter.Pause(ctx, delays.NextBackOff()) {
			return err
		}
	}
}

// commit makes one offer.
func (f *Fence) commit(ctx context.Context, tx storer.Transaction) (int64, error) {
	limited, cancel := context.WithTimeout(ctx, offerTime)
	defer cancel()
	return f.store.Commit(limited, tx)
}

// settle reads the fence back after a conflict: the write may be an earlier
// offer's, or the fence may be unchanged and the other condition have failed.
func (f *Fence) settle(ctx context.Context, key, write string) error {
	limited, cancel := context.WithTimeout(ctx, offerTime)
	defer cancel()
	item, err := f.store.Get(limited, key)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return err
	}
	if err != nil {
		item = storer.Item{}
	}
	if item.Revision == f.revision {
		return ErrOwned
	}
	var present recorder.Fence
	if err := recorder.Decode(item.Value, &present); err != nil {
		return err
	}
	if present.WriteID == write {
		f.revision = item.Revision
		return nil
	}
	return ErrFenced
}
