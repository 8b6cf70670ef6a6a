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

// save writes a snapshot in chunks under a unique name, replaces the snapshot
// in the head with it and deletes the chunks that no head can refer to any
// more.
func (l *Ledger) save(ctx context.Context, lastBatch int64, data []byte) error {
	if len(data) > maxChunks*MaxPayload {
		l.log.Error().Int("size", len(data)).Msg("snapshot rejected as too large, ledger keeps growing")
		return nil
	}
	s := snapshot{
		Name:     fmt.Sprintf("%d-%d-%s", l.Epoch, l.state.head.Change, l.nonce),
		Size:     int64(len(data)),
		Checksum: xxhash.Sum64(data),
		Epoch:    l.Epoch,
		Batch:    lastBatch,
	}
	var chunks []chunk
	for ; s.Chunks == 0 || len(data) > 0; s.Chunks++ {
		part := data[:min(len(data), MaxPayload)]
		data = data[len(part):]
		c, err := l.writeChunk(ctx, chunkKey(l.options.Shard, s.Name, s.Chunks), part)
		if err != nil {
			return err
		}
		chunks = append(chunks, c)
	}
	if err := l.replaceSnapshot(ctx, s); err != nil {
		return err
	}
	old, known := l.chunks, l.noOtherChunks
	l.chunks, l.noOtherChunks = chunks, true
	if !known {
		old = l.listOldChunks(ctx, s.Name)
	}
	l.deleteChunks(ctx, old)
	return nil
}

// chunk is a stored part of a snapshot.
type chunk struct {
	key      string
	revision int64
}

func (l *Ledger) writeChunk(ctx context.Context, key string, data []byte) (chunk, error) {
	w := &conditionalWrite{store: l.store, key: key, value: data, expectedKnown: true}
	// The key contains the nonce, so only this instance can have written it.
	w.classify = func(storer.Item) (itemOrigin, error) { return ownWrite, nil }
	revision, err := w.do(ctx, l.options.Timeout)
	return chunk{key, revision}, err
}

// replaceSnapshot writes a head that names the snapshot and the first segment
// that it does not cover.
func (l *Ledger) replaceSnapshot(ctx context.Context, s snapshot) error {
	segments, sequence, slot := l.state.after(s)
	h := l.state.head
	h.Change++
	h.FirstSequence, h.FirstSlot, h.Snapshot = sequence, slot, s
	value, err := h.encode()
	if err != nil {
		return err
	}
	w := &conditionalWrite{store: l.store, key: headKey(l.options.Shard), value: value, expected: l.state.headRevision, expectedKnown: true}
	w.classify = func(item storer.Item) (itemOrigin, error) { return l.classifyHead(item, h.Change) }
	revision, err := w.do(ctx, l.options.Timeout)
	if err != nil {
		return err
	}
	l.state.head, l.state.headRevision, l.state.segments = h, revision, segments
	return nil
}

// classifyHead compares the stored head with the one that is to be written and
// has the given change number.
func (l *Ledger) classifyHead(item storer.Item, change int64) (itemOrigin, error) {
	h, err := decodeHead(item.Value)
	if err != nil {
		return foreign, errors.Join(errCorrupt, err)
	}
	switch {
	case h.Nonce != l.nonce:
		return foreign, nil
	case h.Change == change:
		return ownWrite, nil
	}
	return replaceable, nil
}

// listOldChunks lists the chunks that previous owners left, of finished and
// unfinished snapshots. It leaves out chunks of later epochs: those belong to a
// new owner, which has fenced this one without its knowing yet.
func (l *Ledger) listOldChunks(ctx context.Context, currentName string) []chunk {
	ctx, cancel := context.WithTimeout(ctx, l.options.Timeout)
	defer cancel()
	prefix := snapshotPrefix(l.options.Shard)
	items, _, err := l.store.List(ctx, prefix)
	if err != nil {
		l.log.Debug().Err(err).Msg("old snapshot listing failed")
		l.noOtherChunks = false
		return nil
	}
	var out []chunk
	for _, item := range items {
		name, _, _ := strings.Cut(strings.TrimPrefix(item.Key, prefix), "/")
		if name != currentName && snapshotEpoch(name) <= l.Epoch {
			out = append(out, chunk{item.Key, item.Revision})
		}
	}
	return out
}

// snapshotEpoch returns the epoch in the name of a snapshot. A name without an
// epoch counts as one of a later epoch, so that its chunks are never deleted.
func snapshotEpoch(name string) int64 {
	text, _, _ := strings.Cut(name, "-")
	epoch, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return math.MaxInt64
	}
	return epoch
}

// deleteChunks deletes chunks that no head can refer to any more. Snapshot
// names are never reused, so a delete that takes effect late does no harm.
func (l *Ledger) deleteChunks(ctx context.Context, old []chunk) {
	ctx, cancel := context.WithTimeout(ctx, l.options.Timeout)
	defer cancel()
	for _, c := range old {
		if err := l.store.Delete(ctx, c.key, c.revision); err != nil {
			l.log.Debug().Err(err).Str("key", c.key).Msg("old snapshot deletion failed")
			l.noOtherChunks = false // list the chunks again after the next snapshot
			return
		}
	}
}
