package journaler

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// Bounds of the delay between attempts on a store that does not answer.
const (
	firstDelay   = 20 * time.Millisecond
	longestDelay = 2 * time.Second
)

// retry repeats f until it succeeds, fails for good with ErrFenced, or ctx
// ends. f gets a context bounded by timeout.
func retry(ctx context.Context, timeout time.Duration, f func(context.Context) error) error {
	b := &backoff.ExponentialBackOff{
		InitialInterval:     firstDelay,
		RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier:          backoff.DefaultMultiplier,
		MaxInterval:         longestDelay,
	}
	b.Reset()
	for {
		call, cancel := context.WithTimeout(ctx, timeout)
		err := f(call)
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
	errStale   = errors.New("journaler: store answered with an old value")
	errCorrupt = errors.New("journaler: ledger cannot be read")
)

// write is a compare-and-swap whose outcome is always found out. The same
// value is offered until it is in place or the place is known to be taken.
type write struct {
	store    Store
	key      string
	value    []byte
	expected int64                                // revision, corrected by read-back
	judge    func(storer.Item) (judgement, error) // of what stands there instead
	known    bool                                 // expected is known
}

// judgement is what a read-back says about a write.
type judgement uint8

const (
	mine    judgement = iota // the write took effect
	older                    // content that the write may replace
	foreign                  // another writer was here: fenced
)

// do returns the revision of the value.
func (w *write) do(ctx context.Context, timeout time.Duration) (int64, error) {
	var revision int64
	doubtful := !w.known
	err := retry(ctx, timeout, func(ctx context.Context) error {
		if doubtful {
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
		doubtful = errors.Is(err, storer.ErrConflict) || classifier.VerdictOf(err) != classifier.NotRun
		return err
	})
	return revision, err
}

// readBack looks at what stands at the key; expected becomes its revision.
func (w *write) readBack(ctx context.Context) (bool, error) {
	item, err := w.store.Get(ctx, w.key)
	if errors.Is(err, storer.ErrNotFound) {
		if w.expected != 0 && w.known {
			return false, errStale
		}
		w.expected, w.known = 0, true
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if w.known && item.Revision < w.expected {
		return false, errStale
	}
	j, err := w.judge(item)
	if err != nil {
		return false, err
	}
	if j == foreign {
		return false, ErrFenced
	}
	w.expected, w.known = item.Revision, true
	return j == mine, nil
}
