// Package fencer makes sure that only the current owner of a shard can write
// the shard's state to the store.
//
// # Model
//
// Each shard has a fence, a key that every write of the owner replaces in the
// same transaction as the data. The transaction requires the revision that the
// owner's previous write gave the fence. A claim replaces the fence too, so
// from then on all writes of the previous owner fail. A transaction is retried
// until its outcome is known: after a lost response the same transaction is
// sent again, which cannot take effect twice, and after a conflict the fence is
// read to find out which write replaced it.
//
//	f := fencer.New("menus/seq-bne", "bne-1", store)
//	if err := f.Claim(ctx, ownerWrite); err != nil { ... } // ErrAlreadyOwned, ErrFenced
//	err := f.Write(ctx, workers, puts, removes)            // ErrFenced: another owner has claimed the shard
package fencer

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/state/waiter"
)

// Errors returned by a Fence, to be tested with errors.Is.
var (
	// ErrFenced is returned when another owner has claimed the shard, or may do so after a release.
	ErrFenced = errors.New("fencer: shard has another owner")
	// ErrAlreadyOwned is returned when the owner record of the shard exists.
	ErrAlreadyOwned = errors.New("fencer: owner record already exists")
	// ErrConditionFailed is returned by Commit when a condition of the
	// caller's transaction does not hold.
	ErrConditionFailed = errors.New("fencer: transaction condition does not hold")
)

// Delays between attempts of one write.
const (
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = time.Second

	// attemptTimeout bounds one store call, since its response may never come.
	attemptTimeout = 1500 * time.Millisecond
)

// Store is the subset of the store operations that a fence uses.
type Store interface {
	storer.Committer
	Get(ctx context.Context, key string) (storer.Item, error)
}

// Fence is a daemon's access to the fence of one shard. Its methods may be
// called concurrently. Claim sets the fields below Daemon, and Write replaces
// Workers.
type Fence struct {
	Shard  string
	Daemon string
	Token  int64 // fencing token: store revision of the claim, increases across all shards
	Epoch  int64 // number of earlier claims of the shard

	// Previous is what the previous owner recorded of the workers that may have runs.
	Previous recorder.WorkerList

	// Claimed is what the claim has recorded of them, and Workers what this owner has recorded last.
	Claimed, Workers recorder.WorkerList

	// Process identifies the owner's process, see recorder.Host; 0 if that isn't known. HasEnded
	// reports whether a process of a daemon has ended; without it, all processes of this daemon
	// have. Both are set before the claim.
	Process  int64
	HasEnded func(daemon string, process int64) bool

	// PreviousOwner is the daemon that owned the shard, with PreviousProcess.
	PreviousOwner   string
	PreviousProcess int64

	// EarlierKnown reports whether the previous owner has recorded what it knew of the leases of
	// earlier owners. OwnerEnded reports whether it has also ended by the claim, so that only
	// those and its own leases may still be valid.
	EarlierKnown, OwnerEnded bool

	// RecordExpired reports whether the previous owner's record had been removed with its lease.
	RecordExpired bool

	// Released reports whether the previous owner released the shard in a
	// planned stop. WorkerLeases then says how long leases may still be valid on
	// each of Workers.
	Released     bool
	WorkerLeases []recorder.WorkerLease

	store     Store
	writeLock chan struct{} // holds one value while a write is in progress
	revision  int64         // store revision of the fence after the last write
	open      []string      // ids of writes after it that may still take effect
	released  bool          // Release was called

	confirmedAt atomic.Pointer[time.Time] // see ConfirmedAt
}

// ConfirmedAt returns when the store was last asked for something that it would have answered
// differently if another daemon had claimed the shard: a write that took effect, or a read that
// found it. It is zero before the claim.
func (f *Fence) ConfirmedAt() time.Time {
	if at := f.confirmedAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// New returns a fence of the shard for the daemon. The shard is not claimed yet.
func New(shard, daemon string, store Store) *Fence {
	return &Fence{Shard: shard, Daemon: daemon, store: store, writeLock: make(chan struct{}, 1)}
}

// lock waits until no other write is in progress, or ctx ends.
func (f *Fence) lock(ctx context.Context) (unlock func(), err error) {
	select {
	case f.writeLock <- struct{}{}:
		return func() { <-f.writeLock }, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// lockOwned does the same as lock, but returns ErrFenced after a release: from then on the shard
// may have another owner.
func (f *Fence) lockOwned(ctx context.Context) (unlock func(), err error) {
	unlock, err = f.lock(ctx)
	if err == nil && f.released {
		unlock()
		return nil, ErrFenced
	}
	return unlock, err
}

// Claim makes the daemon the owner of the shard by writing the owner record. It
// returns ErrAlreadyOwned if another daemon's owner record exists. A record
// with the daemon's own name is replaced: an earlier process of the daemon
// wrote it, and that process has ended.
func (f *Fence) Claim(ctx context.Context, owner storer.Write) error {
	unlock, err := f.lock(ctx)
	if err != nil {
		return err
	}
	defer unlock()
	item, err := f.get(ctx, recorder.FenceKey(f.Shard))
	var previous recorder.Fence
	switch {
	case errors.Is(err, storer.ErrNotFound):
		previous.Epoch = -1
		previous.Rule = recorder.QuorumRule // there are no earlier owners
	case err != nil:
		return err
	default:
		if err := recorder.Decode(item.Value, &previous); err != nil {
			return err
		}
	}
	f.revision = item.Revision
	f.Epoch = previous.Epoch + 1
	f.Previous, f.Released, f.WorkerLeases = previous.WorkerList, previous.Released, previous.WorkerLeases
	for _, left := range f.WorkerLeases {
		f.Previous.Workers = append(f.Previous.Workers, left.Worker)
	}
	f.PreviousOwner, f.PreviousProcess = previous.Owner, previous.Process
	hasEnded := f.hasEnded(previous.Owner, previous.Process)
	f.EarlierKnown = previous.KnowsEarlier()
	f.OwnerEnded = f.EarlierKnown && hasEnded
	f.Claimed = previous.Succeed(hasEnded)
	f.Workers = f.Claimed
	ownerRevision, err := f.replaceableRevision(ctx, owner.Key)
	if err != nil {
		return err
	}
	f.RecordExpired = ownerRevision == 0 && !f.Released
	tx := storer.Transaction{
		If: []storer.Condition{{Key: owner.Key, Revision: ownerRevision}},
		Put: []storer.Write{owner, {
			Key:   recorder.ClaimKey(f.Shard),
			Value: recorder.Encode(recorder.Claim{Daemon: f.Daemon, Epoch: f.Epoch}),
		}},
	}
	if err := f.commitWithRetry(ctx, f.newRecord(), tx); err != nil {
		return err
	}
	f.Token = f.revision
	return nil
}

func (f *Fence) hasEnded(daemon string, process int64) bool {
	if f.HasEnded != nil {
		return f.HasEnded(daemon, process)
	}
	return daemon == f.Daemon
}

// replaceableRevision returns the revision of the owner record if an earlier
// process of this daemon wrote it, and 0 if there is no owner record. It
// returns ErrAlreadyOwned if the record is another daemon's.
func (f *Fence) replaceableRevision(ctx context.Context, key string) (int64, error) {
	item, err := f.get(ctx, key)
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
		return 0, ErrAlreadyOwned
	}
	return item.Revision, nil
}

// get reads a key. A read without a response is repeated until ctx ends.
func (f *Fence) get(ctx context.Context, key string) (storer.Item, error) {
	for {
		callCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		item, err := f.store.Get(callCtx, key)
		expired := callCtx.Err() != nil
		cancel()
		if err == nil || !expired || ctx.Err() != nil {
			return item, err
		}
	}
}

// RestoreOwner writes the owner record again after the store deleted it along
// with its lease. A record that exists is this owner's, such as by an earlier attempt whose
// outcome was unknown, since other owners replace the fence with theirs. It is replaced.
func (f *Fence) RestoreOwner(ctx context.Context, owner storer.Write) error {
	unlock, err := f.lockOwned(ctx)
	if err != nil {
		return err
	}
	defer unlock()
	return f.commitWithRetry(ctx, f.newRecord(), storer.Transaction{Put: []storer.Write{owner}})
}

// Write stores puts, deletes the keys in removes and records the workers that may
// have runs. It returns when the outcome is known, or when ctx ends.
func (f *Fence) Write(ctx context.Context, workers recorder.WorkerList, puts []storer.Write, removes []string) error {
	unlock, err := f.lockOwned(ctx)
	if err != nil {
		return err
	}
	defer unlock()
	f.Workers = workers
	return f.commitWithRetry(ctx, f.newRecord(), storer.Transaction{Put: puts, Remove: removes})
}

// Commit applies tx if this daemon still owns the shard, and returns its store revision. It
// returns ErrConditionFailed if a condition in tx does not hold.
func (f *Fence) Commit(ctx context.Context, tx storer.Transaction) (int64, error) {
	unlock, err := f.lockOwned(ctx)
	if err != nil {
		return 0, err
	}
	defer unlock()
	err = f.commitWithRetry(ctx, f.newRecord(), tx)
	if errors.Is(err, ErrAlreadyOwned) {
		err = ErrConditionFailed
	}
	if err != nil {
		return 0, err
	}
	return f.revision, nil
}

// Release deletes the owner record at ownerKey, so that another daemon can
// claim the shard at once. The next owner reads leftovers, the workers that may
// still have runs, from the fence.
func (f *Fence) Release(ctx context.Context, ownerKey string, leftovers []recorder.WorkerLease) error {
	unlock, err := f.lock(ctx)
	if err != nil {
		return err
	}
	defer unlock()
	f.released = true
	record := f.newRecord()
	record.WorkerList, record.Released, record.WorkerLeases = recorder.WorkerList{}, true, leftovers
	return f.commitWithRetry(ctx, record, storer.Transaction{Remove: []string{ownerKey}})
}

// newRecord returns the value of the fence for the next write. The random id in
// Write tells this write from all others.
func (f *Fence) newRecord() recorder.Fence {
	return recorder.Fence{Owner: f.Daemon, Epoch: f.Epoch, WriteID: uuid.NewString(), Process: f.Process, WorkerList: f.Workers}
}

// commitWithRetry adds the fence to tx and retries the transaction until its
// outcome is known or ctx ends.
func (f *Fence) commitWithRetry(ctx context.Context, fence recorder.Fence, tx storer.Transaction) error {
	key := recorder.FenceKey(f.Shard)
	tx.If = append([]storer.Condition{{Key: key, Revision: f.revision}}, tx.If...)
	tx.Put = append([]storer.Write{{Key: key, Value: recorder.Encode(fence)}}, tx.Put...)
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = initialRetryDelay
	delays.MaxInterval = maxRetryDelay
	for {
		revision, err := f.tryCommit(ctx, tx)
		if err == nil {
			f.revision, f.open = revision, nil
			return nil
		}
		if errors.Is(err, storer.ErrNoLease) {
			f.open = append(f.open, fence.WriteID) // an earlier attempt may have taken effect
			return err
		}
		if errors.Is(err, storer.ErrConflict) {
			err = f.resolveConflict(ctx, key, fence.WriteID)
			if err == nil || errors.Is(err, ErrFenced) || errors.Is(err, ErrAlreadyOwned) {
				return err
			}
			tx.If[0].Revision = f.revision // an earlier write may have taken effect
		}
		if !waiter.Sleep(ctx, delays.NextBackOff()) {
			f.open = append(f.open, fence.WriteID)
			return err
		}
	}
}

// tryCommit sends the transaction once.
func (f *Fence) tryCommit(ctx context.Context, tx storer.Transaction) (int64, error) {
	callCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	sent := time.Now()
	revision, err := f.store.Commit(callCtx, tx)
	if err == nil {
		f.confirmedAt.Store(&sent)
	}
	return revision, err
}

// resolveConflict reads the fence after a conflict. It returns nil if an
// earlier attempt of this write took effect, ErrAlreadyOwned if the fence is
// unchanged, so that another condition of the transaction failed, errOpenWrite if
// an earlier write of this owner took effect, and ErrFenced if another owner has
// replaced the fence.
func (f *Fence) resolveConflict(ctx context.Context, key, writeID string) error {
	callCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	sent := time.Now()
	item, err := f.store.Get(callCtx, key)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return err
	}
	if err != nil {
		item = storer.Item{}
	}
	if item.Revision == f.revision {
		return ErrAlreadyOwned
	}
	var current recorder.Fence
	if err := recorder.Decode(item.Value, &current); err != nil {
		return err
	}
	if current.WriteID == writeID {
		f.confirmedAt.Store(&sent)
		f.revision, f.open = item.Revision, nil
		return nil
	}
	if slices.Contains(f.open, current.WriteID) {
		f.revision, f.open = item.Revision, nil // the others required the revision before
		return errOpenWrite
	}
	return ErrFenced
}

// errOpenWrite is returned when a write whose outcome was unknown has taken effect.
var errOpenWrite = errors.New("fencer: an earlier write took effect")
