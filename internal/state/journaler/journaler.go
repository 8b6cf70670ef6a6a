// Package journaler stores the ledger of a shard, an append-only log of records
// with one writer, in a key-value store with compare-and-swap.
//
// # Model
//
// A ledger is a snapshot followed by a linked list of segments. Each segment
// holds one group commit and is stored in a numbered slot, which is a key of
// the store. A segment names the slot of the segment after it, so the place of
// the next append is given by the stored ledger and not chosen by its writer:
//
//	head ──> slot 0        slot 1        slot 2
//	         sequence 7    sequence 8    sequence 3, obsolete
//	         next: 1       next: 2
//
// Here the next append is sequence 9 in slot 2, by compare-and-swap against the
// revision of the obsolete segment there. [Open] claims the next epoch in the head
// and then writes an empty segment, the barrier, to the same slot. The next
// append of the previous owner is also for sequence 9 in slot 2, so it fails,
// however long that owner was paused. Slots are overwritten but never deleted:
// a delete that takes effect late could remove a newer segment, and an append
// to an empty slot could succeed again.
//
//	ledger, content, err := journaler.Open(ctx, options, store)
//	state.Load(content.Snapshot, content.Records)
//	ledger.Append(1, records) // Options.Appended(1) is called once durable
package journaler

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
)

// ErrFenced is returned when another writer has claimed the ledger.
var ErrFenced = errors.New("journaler: another owner has claimed the ledger")

// Store is the subset of the store operations that a ledger uses.
type Store interface {
	Get(ctx context.Context, key string) (storer.Item, error)
	List(ctx context.Context, prefix string) ([]storer.Item, int64, error)
	Swap(ctx context.Context, key string, value []byte, expected, lease int64) (int64, error)
	Delete(ctx context.Context, key string, expected int64) error
}

// DefaultTimeout is the default of Options.Timeout.
const DefaultTimeout = 5 * time.Second

// Options configure a Ledger.
type Options struct {
	Shard string
	Owner string // name of the daemon, stored for information only

	// Pace returns the shortest time between two writes of segments or
	// snapshots. It is called before each write; nil means no limit.
	Pace func() time.Duration

	Timeout time.Duration // limit of one store call; 0 means DefaultTimeout
	Log     zerolog.Logger

	// Appended is called in order for each batch that has become durable.
	Appended func(batch int64)
	// Lost is called once if the ledger can no longer be written, because
	// another writer has claimed it or because it is corrupt.
	Lost func()
}

// Content is the content of a ledger at the time when it was opened.
type Content struct {
	Epoch    int64              // epoch of the new claim
	Snapshot []byte             // nil if there is none
	Records  []describer.Record // records after the snapshot, oldest first
}

// Ledger is an open ledger. Append and Save put their data in a queue and do
// not block; a goroutine writes the queue in order and retries until the store
// responds. Its methods may be called concurrently.
type Ledger struct {
	Epoch int64         // number of this claim, increases with each claim
	Done  chan struct{} // closed when the ledger will not write any more

	options Options
	store   Store
	log     zerolog.Logger
	nonce   string // random id of this instance; identifies a segment together with its sequence
	cancel  context.CancelFunc

	// Used by the writing goroutine only, after Open.
	state         logState
	chunks        []chunk // chunks of the snapshot in the head
	noOtherChunks bool    // the store holds no chunks of the ledger other than chunks

	mu       sync.Mutex // guards queue and finished
	queue    []queueEntry
	finished bool          // Finish was called
	wake     chan struct{} // wakes the writing goroutine
}

// queueEntry is a batch of records or a snapshot that waits to be written.
type queueEntry struct {
	batch        int64  // number of the batch, or the last batch in the snapshot
	line         []byte // encoded batch
	snapshotData []byte
	isSnapshot   bool
}

// Append queues records to be written as one batch. The number of the batch
// must be greater than those of all earlier batches of the same epoch. The
// error says that the records cannot be encoded; Options.Appended reports that
// the batch is durable.
func (l *Ledger) Append(batch int64, records []describer.Record) error {
	line, err := encodeBatch(batch, records)
	if err != nil {
		return err
	}
	l.enqueue(queueEntry{batch: batch, line: line})
	return nil
}

// Save queues a snapshot that replaces all batches up to and including batch.
// It is written after the batches queued before. The caller must not change
// data afterwards. A snapshot that is too large is logged and dropped.
func (l *Ledger) Save(batch int64, data []byte) {
	l.enqueue(queueEntry{batch: batch, snapshotData: data, isSnapshot: true})
}

// Finish ends the ledger after the queue has been written. It does not wait;
// see Done.
func (l *Ledger) Finish() {
	l.mu.Lock()
	l.finished = true
	l.mu.Unlock()
	l.wakeWriter()
}

// Close ends the ledger without writing the queue. It does not wait; see Done.
func (l *Ledger) Close() { l.cancel() }

// Check reads the head and returns ErrFenced if it has a later epoch.
func (l *Ledger) Check(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, l.options.Timeout)
	defer cancel()
	item, err := l.store.Get(ctx, headKey(l.options.Shard))
	if err != nil {
		return err
	}
	h, err := decodeHead(item.Value)
	if err != nil {
		return err
	}
	if h.Epoch > l.Epoch {
		return ErrFenced
	}
	return nil
}

func (l *Ledger) enqueue(e queueEntry) {
	l.mu.Lock()
	l.queue = append(l.queue, e)
	l.mu.Unlock()
	l.wakeWriter()
}

// wakeWriter wakes the writing goroutine if it waits for work.
func (l *Ledger) wakeWriter() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}
