package holder

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"dotterelcart.dev/dotterelcart/internal/platform/storer"
)

// renewOperation is the name of the operation Renew.
const renewOperation = "renew"

// monitoredStore counts the calls of a store and reports whether the store
// responded to them.
type monitoredStore struct {
	Store
	onCall func(operation string, responded bool)

	mu     sync.Mutex
	counts map[string]int64 // number of calls by operation
}

// observe counts a call that ended with err, unless the caller canceled it.
func (s *monitoredStore) observe(operation string, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	responded := err == nil || errors.Is(err, storer.ErrNotFound) ||
		errors.Is(err, storer.ErrConflict) || errors.Is(err, storer.ErrNoLease)
	s.mu.Lock()
	if s.counts == nil {
		s.counts = map[string]int64{}
	}
	s.counts[operation]++
	s.mu.Unlock()
	s.onCall(operation, responded)
}

// calls returns the number of calls by operation.
func (s *monitoredStore) calls() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.counts)
}

func (s *monitoredStore) Get(ctx context.Context, key string) (storer.Item, error) {
	item, err := s.Store.Get(ctx, key)
	s.observe("get", err)
	return item, err
}

func (s *monitoredStore) List(ctx context.Context, prefix string) ([]storer.Item, int64, error) {
	items, revision, err := s.Store.List(ctx, prefix)
	s.observe("list", err)
	return items, revision, err
}

func (s *monitoredStore) Swap(ctx context.Context, key string, value []byte, expected, lease int64) (int64, error) {
	revision, err := s.Store.Swap(ctx, key, value, expected, lease)
	s.observe("swap", err)
	return revision, err
}

func (s *monitoredStore) Delete(ctx context.Context, key string, expected int64) error {
	err := s.Store.Delete(ctx, key, expected)
	s.observe("delete", err)
	return err
}

func (s *monitoredStore) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	lease, err := s.Store.Grant(ctx, ttl)
	s.observe("grant", err)
	return lease, err
}

func (s *monitoredStore) Renew(ctx context.Context, lease int64) error {
	err := s.Store.Renew(ctx, lease)
	s.observe(renewOperation, err)
	return err
}

func (s *monitoredStore) Revoke(ctx context.Context, lease int64) error {
	err := s.Store.Revoke(ctx, lease)
	s.observe("revoke", err)
	return err
}
