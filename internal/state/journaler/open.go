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

// Open claims the ledger under a greater epoch, fences the former owner and
// reads the content. It keeps trying until ctx ends; ErrFenced means that
// another claim overtook this one. ctx does not bound the open ledger.
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
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	l.cancel = cancel
	go func() {
		defer close(l.Done)
		defer cancel()
		l.run(run)
	}()
	return l, content, nil
}

// claim raises the epoch in the head.
func (l *Ledger) claim(ctx context.Context) error {
	var tried int64 // epoch of an earlier attempt, whose answer may be lost
	return retry(ctx, l.options.Timeout, func(ctx context.Context) error {
		h, revision, err := l.readHead(ctx)
		if err != nil {
			return err
		}
		if h.Nonce == l.nonce {
			l.adopt(h, revision)
			return nil
		}
		if tried != 0 && h.Epoch >= tried {
			return ErrFenced
		}
		next := h
		next.Epoch, next.Owner, next.Nonce, next.Change = h.Epoch+1, l.options.Owner, l.nonce, 1
		value, err := next.encode()
		if err != nil {
			return err
		}
		tried = next.Epoch
		revision, err = l.store.Swap(ctx, headKey(l.options.Shard), value, revision, 0)
		if err != nil {
			return err
		}
		l.adopt(next, revision)
		return nil
	})
}

func (l *Ledger) adopt(h head, revision int64) {
	l.Epoch = h.Epoch
	l.chain = newChain(h, revision)
}

func (l *Ledger) readHead(ctx context.Context) (head, int64, error) {
	item, err := l.store.Get(ctx, headKey(l.options.Shard))
	if errors.Is(err, storer.ErrNotFound) {
		return head{Sequence: 1}, 0, nil
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

// replay reads the snapshot and the chain, and writes the barrier at its end.
func (l *Ledger) replay(ctx context.Context) (Content, error) {
	data, err := l.readSnapshot(ctx)
	if err != nil {
		return Content{}, err
	}
	ahead := l.readAhead(ctx)
	r := replayer{snapshot: l.chain.head.Snapshot}
	w := l.segmentWrite()
	for {
		item, s, err := l.nextSlot(ctx, ahead)
		if err != nil {
			return Content{}, err
		}
		if s.Sequence == l.chain.sequence {
			if s.Epoch > l.Epoch {
				return Content{}, ErrFenced
			}
			if err := r.add(s); err != nil {
				return Content{}, fmt.Errorf("%w: %w", errCorrupt, err)
			}
			l.chain.extend(s, item.Revision)
			continue
		}
		if s.Sequence > l.chain.sequence {
			return Content{}, ErrFenced
		}
		done, err := l.barrier(ctx, w, item.Revision)
		if err != nil {
			return Content{}, err
		}
		if done {
			return Content{Epoch: l.Epoch, Snapshot: data, Records: r.records}, nil
		}
	}
}

// barrier tries to write an empty segment at the end of the chain. It returns
// false when the former owner's last append got there first.
func (l *Ledger) barrier(ctx context.Context, w *write, expected int64) (bool, error) {
	s := l.chain.next(l.Epoch, l.nonce)
	var err error
	if w.value, err = s.encode(); err != nil {
		return false, err
	}
	w.key = slotKey(l.options.Shard, l.chain.end)
	w.expected, w.known = expected, true
	taken := false
	w.judge = func(item storer.Item) (judgement, error) {
		j, err := l.judgeSegment(item, s.Sequence)
		if j == foreign {
			taken = true
		}
		return j, err
	}
	revision, err := w.do(ctx, l.options.Timeout)
	if errors.Is(err, ErrFenced) && taken {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	l.chain.extend(s, revision)
	return true, nil
}

// readAhead reads all slots in one call, so that a replay from another region
// does not wait a round trip for each segment. It is tried once: if the answer
// is too much for one call, the slots are read one by one.
func (l *Ledger) readAhead(ctx context.Context) map[string]storer.Item {
	ctx, cancel := context.WithTimeout(ctx, l.options.Timeout)
	defer cancel()
	items, _, err := l.store.List(ctx, slotPrefix(l.options.Shard))
	if err != nil {
		l.log.Info().Err(err).Msg("Segments not read in one call.")
		return nil
	}
	slots := make(map[string]storer.Item, len(items))
	for _, item := range items {
		slots[item.Key] = item
	}
	return slots
}

// nextSlot returns the slot at the end of the chain. What was read ahead is
// used once: if the barrier finds it outdated, the slot is read again.
func (l *Ledger) nextSlot(ctx context.Context, ahead map[string]storer.Item) (storer.Item, segment, error) {
	key := slotKey(l.options.Shard, l.chain.end)
	item, ok := ahead[key]
	if !ok {
		return l.readSlot(ctx, l.chain.end)
	}
	delete(ahead, key)
	s, err := decodeSegment(item.Value)
	if err != nil {
		return item, s, fmt.Errorf("%w: %w", errCorrupt, err)
	}
	return item, s, nil
}

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

func (l *Ledger) readSnapshot(ctx context.Context) ([]byte, error) {
	s := l.chain.head.Snapshot
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
	if int64(len(data)) != s.Size || xxhash.Sum64(data) != s.Sum {
		return nil, fmt.Errorf("%w: snapshot %s differs from its sum", errCorrupt, s.Name)
	}
	return data, nil
}

// replayer collects the records that the snapshot does not contain.
type replayer struct {
	snapshot snapshot
	records  []describer.Record
	epoch    int64
	partial  []byte // of a group that goes on in the next segment
}

func (r *replayer) add(s segment) error {
	if s.Epoch < r.epoch {
		return errors.New("journaler: epoch goes back")
	}
	if s.Epoch != r.epoch {
		// The former owner's last group was never whole, so never acknowledged.
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
		if !r.snapshot.covers(s.Epoch, b.Batch) {
			r.records = append(r.records, b.Records...)
		}
	}
	return nil
}
