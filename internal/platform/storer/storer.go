// Package storer is the client of the platform's key-value store.
//
// # Contract
//
// Every key has a revision that grows with each change in the whole store. A
// write names the revision it expects, so it is a compare-and-swap; 0 means
// that the key must not exist. An error whose verdict is MayHaveRun
// ([dotterelcart.dev/dotterelcart/internal/traffic/classifier]) says that the
// write may have taken effect: read the key back before assuming anything.
package storer

import (
	"context"
	"errors"
	"time"
)

// MaxValueSize is the largest value the store takes, in bytes.
const MaxValueSize = 1 << 20

// Errors of the store, found with errors.Is. Both come with verdict NotRun.
var (
	ErrNotFound = errors.New("storer: key not found")
	ErrConflict = errors.New("storer: revision differs")
	ErrNoLease  = errors.New("storer: lease unknown or expired")

	// ErrCompacted says that a watch asked for history that is gone: list again.
	ErrCompacted = errors.New("storer: history no longer available")
)

// Item is a key with its value.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"` // in watch answers only
}

// Store is the whole client interface; consumers declare the part they use.
type Store interface {
	// Get returns ErrNotFound for a missing key.
	Get(ctx context.Context, key string) (Item, error)
	// List returns the items below prefix sorted by key, and the store's revision.
	List(ctx context.Context, prefix string) ([]Item, int64, error)
	// Swap writes value if the key's revision is expected and returns the new one.
	// With lease != 0 the key vanishes when the lease ends.
	Swap(ctx context.Context, key string, value []byte, expected, lease int64) (int64, error)
	// Delete removes the key if its revision is expected.
	Delete(ctx context.Context, key string, expected int64) error
	// Grant makes a lease that lasts ttl from the store's clock.
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	// Renew extends a lease by its ttl.
	Renew(ctx context.Context, lease int64) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease int64) error
	// Watch waits until something below prefix changes after revision and
	// returns the changes and the revision to wait from next. It returns no
	// changes when wait has passed.
	Watch(ctx context.Context, prefix string, revision int64, wait time.Duration) ([]Item, int64, error)
}
