// Package journaler keeps the ledger of a shard in the platform's store.
//
// # Model
//
// A ledger is a snapshot followed by a chain of segments. Each segment holds
// one group commit and sits in a numbered slot, which is a key of the store.
// It names the slot of the segment after it, so that the place of the next
// append is a fact of the ledger and not a choice of its writer:
//
//	head ──> slot 0        slot 1        slot 2
//	         sequence 7    sequence 8    sequence 3, left over
//	         next: 1       next: 2
//
// Here the next append is sequence 9 in slot 2, by compare-and-swap against
// the revision of the left-over content. [Open] claims a greater epoch in the
// head and then writes a segment of its own, the barrier, at exactly that
// place. The former owner's next append is for the same sequence in the same
// slot, so it fails, however long it was paused. Slots are overwritten and
// never deleted: there is no late delete to fear and no moment at which the
// place is free again.
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

// ErrFenced says that another writer has claimed the ledger.
var ErrFenced = errors.New("journaler: another owner has claimed the ledger")

// Store is the part of the store that a ledger uses.
type Store interface {
	Get(ctx context.Context, key string) (storer.Item, error)
	List(ctx context.Context, prefix string) ([]storer.Item, int64, error)
	Swap(ctx context.Context, key string, value []byte, expected, lease int64) (int64, error)
	Delete(ctx context.Context, key string, expected int64) error
}

// DefaultTimeout bounds one store call.
const DefaultTimeout = 5 * time.Second

// Options configure a Ledger.
type Options struct {
	Shard    string
	Owner    string               // daemon's name, for people
	Pace     func() time.Duration // shortest time between two flushes; nil means none
	Timeout  time.Duration        // of one store call, 0 is DefaultTimeout
	Log      zerolog.Logger
	Appended func(batch int64) // called in order of the batches
	Lost     func()            // called once, when the ledger turns out to be fenced
}

// Content is what a ledger held when it was opened.
type Content struct {
	Epoch    int64
	Snapshot []byte // nil if there is none
	Records  []describer.Record
}

// Ledger is an open ledger. Append and Save do not block; a goroutine writes
// in their order and tries again until the store answers.
type Ledger struct {
	Epoch int64
	Done  chan struct{} // closed when nothing will be written any more

	options Options
	store   Store
	log     zerolog.Logger
	nonce   string // of this instance; a segment is told by nonce and sequence
	cancel  context.CancelFunc

	// Of the writing goroutine.
	chain   chain
	chunks  []chunk // of the snapshot in force
	cleaned bool    // chunks are the only ones below the prefix

	mu       sync.Mutex
	queue    []entry
	finished bool
	wake     chan struct{}
}

// entry is a batch of records, or a snapshot when data is set.
type entry struct {
	batch    int64
	line     []byte // encoded records
	data     []byte
	snapshot bool
}

// Append makes records durable as one batch. Batches are numbered upwards.
func (l *Ledger) Append(batch int64, records []describer.Record) error {
	line, err := encodeBatch(batch, records)
	if err != nil {
		return err
	}
	l.put(entry{batch: batch, line: line})
	return nil
}

// Save replaces all batches up to and including batch by data, once the
// batches queued before are durable.
func (l *Ledger) Save(batch int64, data []byte) {
	l.put(entry{batch: batch, data: data, snapshot: true})
}

// Finish ends the ledger after what is queued has been written.
func (l *Ledger) Finish() {
	l.mu.Lock()
	l.finished = true
	l.mu.Unlock()
	l.signal()
}

// Close ends the ledger without writing what is queued.
func (l *Ledger) Close() { l.cancel() }

// Check reads the head and returns ErrFenced if it names another claim.
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

func (l *Ledger) put(e entry) {
	l.mu.Lock()
	l.queue = append(l.queue, e)
	l.mu.Unlock()
	l.signal()
}

func (l *Ledger) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}
