package journaler

import (
	"context"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"dotterelcart.dev/dotterelcart/internal/platform/storer"
)

// save writes a snapshot in chunks under a name that nobody else uses,
// switches the head to it and removes what nobody can refer to any more.
func (l *Ledger) save(ctx context.Context, batch int64, data []byte) error {
	if len(data) > maxChunks*MaxPayload {
		l.log.Error().Int("size", len(data)).Msg("Snapshot is too large, the ledger goes on growing.")
		return nil
	}
	s := snapshot{
		Name:  fmt.Sprintf("%d-%d-%s", l.Epoch, l.chain.head.Change, l.nonce),
		Size:  int64(len(data)),
		Sum:   xxhash.Sum64(data),
		Epoch: l.Epoch,
		Batch: batch,
	}
	var chunks []chunk
	for ; s.Chunks == 0 || len(data) > 0; s.Chunks++ {
		piece := data[:min(len(data), MaxPayload)]
		data = data[len(piece):]
		c, err := l.writeChunk(ctx, chunkKey(l.options.Shard, s.Name, s.Chunks), piece)
		if err != nil {
			return err
		}
		chunks = append(chunks, c)
	}
	if err := l.switchHead(ctx, s); err != nil {
		return err
	}
	old, known := l.chunks, l.cleaned
	l.chunks, l.cleaned = chunks, true
	if !known {
		old = l.inherited(ctx, s.Name)
	}
	l.clean(ctx, old)
	return nil
}

// chunk is a stored part of a snapshot.
type chunk struct {
	key      string
	revision int64
}

func (l *Ledger) writeChunk(ctx context.Context, key string, data []byte) (chunk, error) {
	w := &write{store: l.store, key: key, value: data, known: true}
	// The name holds the nonce, so whatever stands there is this chunk.
	w.judge = func(storer.Item) (judgement, error) { return mine, nil }
	revision, err := w.do(ctx, l.options.Timeout)
	return chunk{key, revision}, err
}

func (l *Ledger) switchHead(ctx context.Context, s snapshot) error {
	live, sequence, slot := l.chain.trim(s)
	h := l.chain.head
	h.Change++
	h.Sequence, h.Slot, h.Snapshot = sequence, slot, s
	value, err := h.encode()
	if err != nil {
		return err
	}
	w := &write{store: l.store, key: headKey(l.options.Shard), value: value, expected: l.chain.revision, known: true}
	w.judge = func(item storer.Item) (judgement, error) { return l.judgeHead(item, h.Change) }
	revision, err := w.do(ctx, l.options.Timeout)
	if err != nil {
		return err
	}
	l.chain.head, l.chain.revision, l.chain.live = h, revision, live
	return nil
}

func (l *Ledger) judgeHead(item storer.Item, change int64) (judgement, error) {
	h, err := decodeHead(item.Value)
	if err != nil {
		return foreign, errors.Join(errCorrupt, err)
	}
	switch {
	case h.Nonce != l.nonce:
		return foreign, nil
	case h.Change == change:
		return mine, nil
	}
	return older, nil
}

// inherited lists the chunks that former owners left, finished or not. Chunks
// of later epochs are left alone: they are a successor's, and this owner has
// been fenced without knowing it yet.
func (l *Ledger) inherited(ctx context.Context, keep string) []chunk {
	ctx, cancel := context.WithTimeout(ctx, l.options.Timeout)
	defer cancel()
	prefix := snapshotPrefix(l.options.Shard)
	items, _, err := l.store.List(ctx, prefix)
	if err != nil {
		l.log.Debug().Err(err).Msg("Old snapshots not listed.")
		l.cleaned = false
		return nil
	}
	var out []chunk
	for _, item := range items {
		name, _, _ := strings.Cut(strings.TrimPrefix(item.Key, prefix), "/")
		if name != keep && nameEpoch(name) <= l.Epoch {
			out = append(out, chunk{item.Key, item.Revision})
		}
	}
	return out
}

// nameEpoch returns the epoch in the name of a snapshot; a name that has none
// is taken for a later epoch.
func nameEpoch(name string) int64 {
	text, _, _ := strings.Cut(name, "-")
	epoch, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return math.MaxInt64
	}
	return epoch
}

// clean deletes chunks that no head can refer to any more: their names are
// never used again, so even a late delete harms nothing.
func (l *Ledger) clean(ctx context.Context, old []chunk) {
	ctx, cancel := context.WithTimeout(ctx, l.options.Timeout)
	defer cancel()
	for _, c := range old {
		if err := l.store.Delete(ctx, c.key, c.revision); err != nil {
			l.log.Debug().Err(err).Str("key", c.key).Msg("Old snapshot not deleted.")
			l.cleaned = false // list again after the next snapshot
			return
		}
	}
}
