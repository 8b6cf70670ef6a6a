// Package storer is the client of the platform's key-value store, which has
// compare-and-swap writes, leases and watches.
//
// # Contract
//
// The store has one revision, which grows with every write. The revision of a key is
// that of its last write. A write names the revision that it expects its key to
// have, so every write is a compare-and-swap; 0 means that the key must not exist.
// After an error whose verdict is MayHaveRun
// ([dotterelcart.dev/dotterelcart/internal/traffic/classifier]) the write may have
// taken effect, or may still do so: the caller must read the key to find out.
package storer

import (
	"context"
	"errors"
	"time"
)

// MaxValueSize is the maximum size of a value, in bytes.
const MaxValueSize = 1 << 20

// Errors of the store, to be tested with errors.Is. They come with the verdict NotRun.
var (
	// ErrNotFound is returned for a key that does not exist.
	ErrNotFound = errors.New("storer: key not found")
	// ErrConflict is returned when a key does not have the expected revision.
	ErrConflict = errors.New("storer: revision differs")
	// ErrNoLease is returned for a lease that does not exist or has expired.
	ErrNoLease = errors.New("storer: lease unknown or expired")
	// ErrCompacted is returned when a watch starts at a revision whose history the
	// store no longer has. The caller must list again.
	ErrCompacted = errors.New("storer: history no longer available")
)

// Item is a key with its value.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`          // revision of the last write of the key
	Lease    int64  `json:"lease,omitempty"`   // id of the lease that the key is attached to; 0 for none
	Deleted  bool   `json:"deleted,omitempty"` // whether the write deleted the key; set by Watch only
}

// Store is the whole client interface. Consumers declare the part that they use.
// Errors are *classifier.Error values.
type Store interface {
	// Get returns the item of a key, or ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// List returns the items whose keys begin with prefix, sorted by key, and the
	// revision of the store.
	List(ctx context.Context, prefix string) ([]Item, int64, error)
	// Swap writes value if the revision of the key is expected, and returns its new
	// revision. It returns ErrConflict if the key has another revision. If lease is
	// not 0, the key is deleted when that lease ends.
	Swap(ctx context.Context, key string, value []byte, expected, lease int64) (int64, error)
	// Delete deletes the key if its revision is expected. It returns ErrConflict if
	// the key has another revision, and ErrNotFound or ErrConflict if it does not
	// exist.
	Delete(ctx context.Context, key string, expected int64) error
	// Grant creates a lease that expires after ttl by the store's clock, and returns
	// its id.
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	// Renew extends a lease to its ttl from now. It returns ErrNoLease if the lease
	// has ended.
	Renew(ctx context.Context, lease int64) error
	// Revoke ends a lease and deletes the keys attached to it.
	Revoke(ctx context.Context, lease int64) error
	// Watch waits for writes after revision to keys that begin with prefix. It
	// returns their items and the revision to watch from next. It returns no items if
	// there was no write within wait.
	Watch(ctx context.Context, prefix string, revision int64, wait time.Duration) ([]Item, int64, error)
}
