package journaler

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// Delays between attempts on a store that does not respond.
const (
	initialRetryDelay = 20 * time.Millisecond
	maxRetryDelay     = 2 * time.Second
)

// retry calls f until it succeeds, ctx ends, or f fails with ErrFenced or
// errCorrupt, which a further attempt cannot change. Each call of f gets a
// context bounded by timeout.
func retry(ctx context.Context, timeout time.Duration, f func(context.Context) error) error {
	b := &backoff.ExponentialBackOff{
		InitialInterval:     initialRetryDelay,
		RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier:          backoff.DefaultMultiplier,
		MaxInterval:         maxRetryDelay,
	}
	b.Reset()
	for {
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		err := f(callCtx)
		cancel()
		if err == nil || errors.Is(err, ErrFenced) || errors.Is(err, errCorrupt) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(b.NextBackOff()):
		}
	}
}

var (
	errStaleRead = errors.New("journaler: store returned an outdated value")
	errCorrupt   = errors.New("journaler: ledger is corrupt")
)

// conditionalWrite is a compare-and-swap that is retried until its outcome is
// known: the value is stored, or another writer has written the key.
type conditionalWrite struct {
	store         Store
	key           string
	value         []byte
	expected      int64                                 // store revision to replace, updated when the key is read
	classify      func(storer.Item) (itemOrigin, error) // called for the item read from key
	expectedKnown bool                                  // if false, the key is read before the first swap
}

// itemOrigin says where an item read from the store comes from, as seen by the
// writer that wants to replace it.
type itemOrigin uint8

const (
	ownWrite    itemOrigin = iota // the write took effect
	replaceable                   // older content that the write may replace
	foreign                       // another writer has claimed the ledger
)

// do performs the write and returns the store revision of the value. It returns
// ErrFenced if another writer has written the key.
func (w *conditionalWrite) do(ctx context.Context, timeout time.Duration) (int64, error) {
	var revision int64
	mustRead := !w.expectedKnown
	err := retry(ctx, timeout, func(ctx context.Context) error {
		if mustRead {
			done, err := w.readBack(ctx)
			if err != nil {
				return err
			}
			if done {
				revision = w.expected
				return nil
			}
		}
		var err error
		revision, err = w.store.Swap(ctx, w.key, w.value, w.expected, 0)
		if err == nil {
			return nil
		}
		mustRead = errors.Is(err, storer.ErrConflict) || classifier.VerdictOf(err) != classifier.NotRun
		return err
	})
	return revision, err
}

// readBack reads the key, sets expected to its revision, and reports whether
// the write has taken effect.
func (w *conditionalWrite) readBack(ctx context.Context) (bool, error) {
	item, err := w.store.Get(ctx, w.key)
	if errors.Is(err, storer.ErrNotFound) {
		if w.expected != 0 && w.expectedKnown {
			return false, errStaleRead
		}
		w.expected, w.expectedKnown = 0, true
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if w.expectedKnown && item.Revision < w.expected {
		return false, errStaleRead
	}
	origin, err := w.classify(item)
	if err != nil {
		return false, err
	}
	if origin == foreign {
		return false, ErrFenced
	}
	w.expected, w.expectedKnown = item.Revision, true
	return origin == ownWrite, nil
}
