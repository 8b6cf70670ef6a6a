package holder

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"dotterelcart.dev/dotterelcart/internal/platform/storer"
)

// renewal is the name of the operation Renew.
const renewal = "renew"

// watchedStore counts calls and reports whether each had an answer.
type watchedStore struct {
	Store
	report func(operation string, ok bool)

	mu    sync.Mutex
	count map[string]int64
}

func (w *watchedStore) note(operation string, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	ok := err == nil || errors.Is(err, storer.ErrNotFound) ||
		errors.Is(err, storer.ErrConflict) || errors.Is(err, storer.ErrNoLease)
	w.mu.Lock()
	if w.count == nil {
		w.count = map[string]int64{}
	}
	w.count[operation]++
	w.mu.Unlock()
	w.report(operation, ok)
}

func (w *watchedStore) calls() map[string]int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.count)
}

func (w *watchedStore) Get(ctx context.Context, key string) (storer.Item, error) {
	item, err := w.Store.Get(ctx, key)
	w.note("get", err)
	return item, err
}

func (w *watchedStore) List(ctx context.Context, prefix string) ([]storer.Item, int64, error) {
	items, revision, err := w.Store.List(ctx, prefix)
	w.note("list", err)
	return items, revision, err
}

func (w *watchedStore) Swap(ctx context.Context, key string, value []byte, expected, lease int64) (int64, error) {
	revision, err := w.Store.Swap(ctx, key, value, expected, lease)
	w.note("swap", err)
	return revision, err
}

func (w *watchedStore) Delete(ctx context.Context, key string, expected int64) error {
	err := w.Store.Delete(ctx, key, expected)
	w.note("delete", err)
	return err
}

func (w *watchedStore) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	lease, err := w.Store.Grant(ctx, ttl)
	w.note("grant", err)
	return lease, err
}

func (w *watchedStore) Renew(ctx context.Context, lease int64) error {
	err := w.Store.Renew(ctx, lease)
	w.note(renewal, err)
	return err
}

func (w *watchedStore) Revoke(ctx context.Context, lease int64) error {
	err := w.Store.Revoke(ctx, lease)
	w.note("revoke", err)
	return err
}
