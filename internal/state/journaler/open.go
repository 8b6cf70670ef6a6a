package journaler

import (
	"context"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
)

// Open claims the ledger under the next epoch, which fences the previous owner,
// and reads the content. It retries until ctx ends, and returns ErrFenced if
// another writer claimed the ledger in the meantime. The end of ctx does not
// end the open ledger.
func Open(ctx context.Context, o Options, store Store) (*Ledger, Content, error) {
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	l := &Ledger{
		Done:    make(chan struct{}),
		options: o,
		store:   store,
		log:     o.Log.With().Str("part", "journaler").Str("shard", o.Shard).Logger(),
		nonce:   uuid.NewString(),
		wake:    make(chan struct{}, 1),
	}
	if err := l.claim(ctx); err != nil {
		return nil, Content{}, err
	}
	content, err := l.replay(ctx)
	if err != nil {
		return nil, Content{}, err
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	l.cancel = cancel
	go func() {
		defer close(l.Done)
		defer cancel()
		l.run(runCtx)
	}()
	return l, content, nil
}

// claim writes a head with the next epoch and this instance as the owner.
func (l *Ledger) claim(ctx context.Context) error {
	var triedEpoch int64 // epoch of the last attempt, whose response may have been lost
	return retry(ctx, l.options.Timeout, func(ctx context.Context) error {
		h, revision, err := l.readHead(ctx)
		if err != nil {
			return err
		}
		if h.Nonce == l.nonce {
			l.setHead(h, revision)
			return nil
		}
		if triedEpoch != 0 && h.Epoch >= triedEpoch {
			return ErrFenced
		}
		next := h
		next.Epoch, next.Owner, next.Nonce, next.Change = h.Epoch+1, l.options.Owner, l.nonce, 1
		value, err := next.encode()
		if err != nil {
			return err
		}
		triedEpoch = next.Epoch
		revision, err = l.store.Swap(ctx, headKey(l.options.Shard), value, revision, 0)
		if err != nil {
			return err
		}
		l.setHead(next, revision)
		return nil
	})
}

// setHead initializes the state from the head that this instance has written.
func (l *Ledger) setHead(h head, revision int64) {
	l.Epoch = h.Epoch
	l.state = newLogState(h, revision)
}

// readHead returns the head and its store revision, which is 0 for a new ledger.
func (l *Ledger) readHead(ctx context.Context) (head, int64, error) {
	item, err := l.store.Get(ctx, headKey(l.options.Shard))
	if errors.Is(err, storer.ErrNotFound) {
		return head{FirstSequence: 1}, 0, nil
	}
	if err != nil {
		return head{}, 0, err
	}
	h, err := decodeHead(item.Value)
	if err != nil {
		return head{}, 0, fmt.Errorf("%w: %w", errCorrupt, err)
	}
	return h, item.Revision, nil
}

// replay reads the snapshot and all segments after it, and writes a barrier
// segment at the end, so that the previous owner cannot append any more.
func (l *Ledger) replay(ctx context.Context) (Content, error) {
	data, err := l.readSnapshot(ctx)
	if err != nil {
		return Content{}, err
	}
	prefetched := l.prefetchSlots(ctx)
	r := replayer{snapshot: l.state.head.Snapshot}
	w := l.newWrite()
	for {
		item, s, err := l.readNextSlot(ctx, prefetched)
		if err != nil {
			return Content{}, err
		}
		if s.Sequence == l.state.nextSequence {
			if s.Epoch > l.Epoch {
				return Content{}, ErrFenced
			}
			if err := r.add(s); err != nil {
				return Content{}, fmt.Errorf("%w: %w", errCorrupt, err)
			}
			l.state.add(s, item.Revision)
			continue
		}
		if s.Sequence > l.state.nextSequence {
			return Content{}, ErrFenced
		}
		done, err := l.writeBarrier(ctx, w, item.Revision)
		if err != nil {
			return Content{}, err
		}
		if done {
			return Content{Epoch: l.Epoch, Snapshot: data, Records: r.records}, nil
		}
	}
}

// writeBarrier writes an empty segment to the next slot. It returns false when
// another segment was written there first, such as the previous owner's last
// append.
func (l *Ledger) writeBarrier(ctx context.Context, w *conditionalWrite, expected int64) (bool, error) {
	s := l.state.newSegment(l.Epoch, l.nonce)
	var err error
	if w.value, err = s.encode(); err != nil {
		return false, err
	}
	w.key = slotKey(l.options.Shard, l.state.nextSlot)
	w.expected, w.expectedKnown = expected, true
	slotTaken := false
	w.classify = func(item storer.Item) (itemOrigin, error) {
		origin, err := l.classifySegment(item, s.Sequence)
		if origin == foreign {
			slotTaken = true
		}
		return origin, err
	}
	revision, err := w.do(ctx, l.options.Timeout)
	if errors.Is(err, ErrFenced) && slotTaken {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	l.state.add(s, revision)
	return true, nil
}

// prefetchSlots reads all slots in one call, so that a replay from another
// region does not take a round trip for each segment. It makes one attempt: if
// that fails, as when the response is too large for one call, the slots are
// read one by one.
func (l *Ledger) prefetchSlots(ctx context.Context) map[string]storer.Item {
	ctx, cancel := context.WithTimeout(ctx, l.options.Timeout)
	defer cancel()
	items, _, err := l.store.List(ctx, slotPrefix(l.options.Shard))
	if err != nil {
		l.log.Info().Err(err).Msg("segment listing failed, reading segments one by one")
		return nil
	}
	slots := make(map[string]storer.Item, len(items))
	for _, item := range items {
		slots[item.Key] = item
	}
	return slots
}

// readNextSlot returns the item and segment in the next slot. A prefetched item
// is used once: if the barrier write finds it outdated, the slot is read from
// the store.
func (l *Ledger) readNextSlot(ctx context.Context, prefetched map[string]storer.Item) (storer.Item, segment, error) {
	key := slotKey(l.options.Shard, l.state.nextSlot)
	item, ok := prefetched[key]
	if !ok {
		return l.readSlot(ctx, l.state.nextSlot)
	}
	delete(prefetched, key)
	s, err := decodeSegment(item.Value)
	if err != nil {
		return item, s, fmt.Errorf("%w: %w", errCorrupt, err)
	}
	return item, s, nil
}

// readSlot reads a slot; both results are zero if it was never written.
func (l *Ledger) readSlot(ctx context.Context, slot int) (item storer.Item, s segment, err error) {
	err = retry(ctx, l.options.Timeout, func(ctx context.Context) error {
		item, err = l.store.Get(ctx, slotKey(l.options.Shard, slot))
		if errors.Is(err, storer.ErrNotFound) {
			item, s = storer.Item{}, segment{}
			return nil
		}
		if err != nil {
			return err
		}
		if s, err = decodeSegment(item.Value); err != nil {
			return fmt.Errorf("%w: %w", errCorrupt, err)
		}
		return nil
	})
	return item, s, err
}

// readSnapshot returns the data of the snapshot in the head, or nil if there is
// none.
func (l *Ledger) readSnapshot(ctx context.Context) ([]byte, error) {
	s := l.state.head.Snapshot
	if s.Name == "" {
		return nil, nil
	}
	data := make([]byte, 0, s.Size)
	for i := range s.Chunks {
		err := retry(ctx, l.options.Timeout, func(ctx context.Context) error {
			item, err := l.store.Get(ctx, chunkKey(l.options.Shard, s.Name, i))
			if err != nil {
				return err
			}
			data = append(data, item.Value...)
			return nil
		})
		if err != nil {
			return nil, err
		}
	}
	if int64(len(data)) != s.Size || xxhash.Sum64(data) != s.Checksum {
		return nil, fmt.Errorf("%w: snapshot %s does not match its size or checksum", errCorrupt, s.Name)
	}
	return data, nil
}

// replayer collects the records that follow the snapshot from the segments.
type replayer struct {
	snapshot snapshot
	records  []describer.Record
	epoch    int64
	partial  []byte // payload so far of a group that continues in the next segment
}

// add takes the segments in the order of their sequence.
func (r *replayer) add(s segment) error {
	if s.Epoch < r.epoch {
		return errors.New("journaler: segment has a lower epoch than the one before")
	}
	if s.Epoch != r.epoch {
		// The previous owner did not complete its last group, so it never
		// acknowledged the batches in it.
		r.partial = nil
	}
	r.epoch = s.Epoch
	payload := s.payload
	if r.partial != nil {
		payload = append(r.partial, payload...)
		r.partial = nil
	}
	if s.More {
		r.partial = payload
		return nil
	}
	batches, err := decodeBatches(payload)
	if err != nil {
		return err
	}
	for _, b := range batches {
		if !r.snapshot.covers(s.Epoch, b.Number) {
			r.records = append(r.records, b.Records...)
		}
	}
	return nil
}
