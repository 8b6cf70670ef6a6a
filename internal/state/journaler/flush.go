package journaler

import (
	"context"
	"errors"
	"time"

	"dotterelcart.dev/dotterelcart/internal/platform/storer"
)

// run writes the queue until ctx ends, the ledger is finished, or a write fails
// for good.
func (l *Ledger) run(ctx context.Context) {
	var lastWrite time.Time
	for {
		if !l.waitForWork(ctx) {
			return
		}
		if !l.throttle(ctx, lastWrite) {
			return
		}
		lastWrite = time.Now()
		if err := l.writeNext(ctx); err != nil {
			l.reportLost(ctx, err)
			return
		}
	}
}

// waitForWork waits until the queue has an entry. It returns false when ctx has
// ended, or when the ledger is finished and the queue is empty.
func (l *Ledger) waitForWork(ctx context.Context) bool {
	for {
		l.mu.Lock()
		queued, finished := len(l.queue) > 0, l.finished
		l.mu.Unlock()
		if ctx.Err() != nil {
			return false
		}
		if queued {
			return true
		}
		if finished {
			return false
		}
		select {
		case <-ctx.Done():
		case <-l.wake:
		}
	}
}

// throttle waits until Options.Pace has passed since the last write, which
// keeps all daemons together within the write budget. It returns false when ctx
// ends first.
func (l *Ledger) throttle(ctx context.Context, lastWrite time.Time) bool {
	if l.options.Pace == nil || lastWrite.IsZero() {
		return true
	}
	wait := time.Until(lastWrite.Add(l.options.Pace()))
	if wait <= 0 {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

// reportLost reports a write that failed for good, unless ctx has ended.
func (l *Ledger) reportLost(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	l.log.Warn().Err(err).Int64("epoch", l.Epoch).Msg("ledger lost")
	if l.options.Lost != nil {
		l.options.Lost()
	}
}

// writeNext writes one snapshot, or one group of batches.
func (l *Ledger) writeNext(ctx context.Context) error {
	batches, payload, snap := l.dequeue()
	if snap != nil {
		return l.save(ctx, snap.batch, snap.snapshotData)
	}
	if err := l.writeGroup(ctx, payload, batches[len(batches)-1]); err != nil {
		return err
	}
	for _, number := range batches {
		if l.options.Appended != nil {
			l.options.Appended(number)
		}
	}
	return nil
}

// dequeue removes a snapshot from the queue, or as many batches as fit into one
// segment, at least one.
func (l *Ledger) dequeue() (batches []int64, payload []byte, snap *queueEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.queue[0]; e.isSnapshot {
		l.queue = l.queue[1:]
		return nil, nil, &e
	}
	n := 0
	for _, e := range l.queue {
		if e.isSnapshot || n > 0 && len(payload)+len(e.line) > MaxPayload {
			break
		}
		batches = append(batches, e.batch)
		payload = append(payload, e.line...)
		n++
	}
	clear(l.queue[:n])
	l.queue = l.queue[n:]
	if len(l.queue) == 0 {
		l.queue = nil
	}
	return batches, payload, nil
}

// writeGroup writes the payload of a group commit as one segment, or as several
// if it exceeds MaxPayload. lastBatch is the last batch in the payload.
func (l *Ledger) writeGroup(ctx context.Context, payload []byte, lastBatch int64) error {
	for {
		part := payload[:min(len(payload), MaxPayload)]
		payload = payload[len(part):]
		s := l.state.newSegment(l.Epoch, l.nonce)
		s.More = len(payload) > 0
		s.payload = part
		if err := l.writeSegment(ctx, s); err != nil {
			return err
		}
		l.state.segments[len(l.state.segments)-1].lastBatch = batchID{l.Epoch, lastBatch}
		if len(payload) == 0 {
			return nil
		}
	}
}

// writeSegment writes a segment to the next slot and records it in the state.
func (l *Ledger) writeSegment(ctx context.Context, s segment) error {
	value, err := s.encode()
	if err != nil {
		return err
	}
	w := l.newWrite()
	w.key = slotKey(l.options.Shard, l.state.nextSlot)
	w.value = value
	w.expected, w.expectedKnown = l.state.slotRevisions[l.state.nextSlot], false
	if _, ok := l.state.slotRevisions[l.state.nextSlot]; ok || l.isPresumedUnused(l.state.nextSlot) {
		w.expectedKnown = true
	}
	w.classify = func(item storer.Item) (itemOrigin, error) { return l.classifySegment(item, s.Sequence) }
	revision, err := w.do(ctx, l.options.Timeout)
	if err != nil {
		return err
	}
	l.state.add(s, revision)
	return nil
}

func (l *Ledger) newWrite() *conditionalWrite { return &conditionalWrite{store: l.store} }

// isPresumedUnused reports whether a slot is above all known segments, so that
// it was probably never written. If it was, the write costs one read more.
func (l *Ledger) isPresumedUnused(slot int) bool {
	for _, ref := range l.state.segments {
		if ref.slot >= slot {
			return false
		}
	}
	return true
}

// classifySegment compares the item in a slot with the segment that is to be
// written there. A lower sequence is an old segment that may be overwritten: if
// another owner had claimed the ledger, its barrier segment would have the same
// sequence, and later segments in this slot greater ones.
func (l *Ledger) classifySegment(item storer.Item, sequence int64) (itemOrigin, error) {
	s, err := decodeSegment(item.Value)
	if err != nil {
		return foreign, errors.Join(errCorrupt, err)
	}
	switch {
	case s.Sequence < sequence:
		return replaceable, nil
	case s.Sequence == sequence && s.Nonce == l.nonce:
		return ownWrite, nil
	}
	return foreign, nil
}
