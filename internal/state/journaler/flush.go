package journaler

import (
	"context"
	"errors"
	"time"

	"dotterelcart.dev/dotterelcart/internal/platform/storer"
)

// run writes what is queued until ctx ends, Finish, or the ledger is fenced.
func (l *Ledger) run(ctx context.Context) {
	var last time.Time
	for {
		if !l.await(ctx) {
			return
		}
		if !l.pace(ctx, last) {
			return
		}
		last = time.Now()
		if err := l.step(ctx); err != nil {
			l.end(ctx, err)
			return
		}
	}
}

// await waits for work; it returns false when there will be none.
func (l *Ledger) await(ctx context.Context) bool {
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

// pace holds the flush back for its share of the fleet's write budget.
func (l *Ledger) pace(ctx context.Context, last time.Time) bool {
	if l.options.Pace == nil || last.IsZero() {
		return true
	}
	wait := time.Until(last.Add(l.options.Pace()))
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

func (l *Ledger) end(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	l.log.Warn().Err(err).Int64("epoch", l.Epoch).Msg("Ledger lost.")
	if l.options.Lost != nil {
		l.options.Lost()
	}
}

// step writes one snapshot or one group of batches.
func (l *Ledger) step(ctx context.Context) error {
	group, payload, save := l.take()
	if save != nil {
		return l.save(ctx, save.batch, save.data)
	}
	if err := l.commit(ctx, payload, group[len(group)-1]); err != nil {
		return err
	}
	for _, batch := range group {
		if l.options.Appended != nil {
			l.options.Appended(batch)
		}
	}
	return nil
}

// take removes a group of batches from the queue, or one snapshot.
func (l *Ledger) take() (group []int64, payload []byte, save *entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.queue[0]; e.snapshot {
		l.queue = l.queue[1:]
		return nil, nil, &e
	}
	n := 0
	for _, e := range l.queue {
		if e.snapshot || n > 0 && len(payload)+len(e.line) > MaxPayload {
			break
		}
		group = append(group, e.batch)
		payload = append(payload, e.line...)
		n++
	}
	clear(l.queue[:n])
	l.queue = l.queue[n:]
	if len(l.queue) == 0 {
		l.queue = nil
	}
	return group, payload, nil
}

// commit writes a payload as one segment, or as several when it is large.
func (l *Ledger) commit(ctx context.Context, payload []byte, batch int64) error {
	for {
		piece := payload[:min(len(payload), MaxPayload)]
		payload = payload[len(piece):]
		s := l.chain.next(l.Epoch, l.nonce)
		s.More = len(payload) > 0
		s.payload = piece
		if err := l.writeSegment(ctx, s); err != nil {
			return err
		}
		l.chain.live[len(l.chain.live)-1].last = position{l.Epoch, batch}
		if len(payload) == 0 {
			return nil
		}
	}
}

func (l *Ledger) writeSegment(ctx context.Context, s segment) error {
	value, err := s.encode()
	if err != nil {
		return err
	}
	w := l.segmentWrite()
	w.key = slotKey(l.options.Shard, l.chain.end)
	w.value = value
	w.expected, w.known = l.chain.revisions[l.chain.end], false
	if _, ok := l.chain.revisions[l.chain.end]; ok || l.isFresh(l.chain.end) {
		w.known = true
	}
	w.judge = func(item storer.Item) (judgement, error) { return l.judgeSegment(item, s.Sequence) }
	revision, err := w.do(ctx, l.options.Timeout)
	if err != nil {
		return err
	}
	l.chain.extend(s, revision)
	return nil
}

func (l *Ledger) segmentWrite() *write { return &write{store: l.store} }

// isFresh guesses that a slot above all others was never written. A wrong
// guess costs one read.
func (l *Ledger) isFresh(slot int) bool {
	for _, k := range l.chain.live {
		if k.slot >= slot {
			return false
		}
	}
	return true
}

// judgeSegment compares what stands in the slot with the segment that should.
// Content of a lower sequence is left over: a successor's barrier would have
// this very sequence, and whatever came after it a greater one.
func (l *Ledger) judgeSegment(item storer.Item, sequence int64) (judgement, error) {
	s, err := decodeSegment(item.Value)
	if err != nil {
		return foreign, errors.Join(errCorrupt, err)
	}
	switch {
	case s.Sequence < sequence:
		return older, nil
	case s.Sequence == sequence && s.Nonce == l.nonce:
		return mine, nil
	}
	return foreign, nil
}
