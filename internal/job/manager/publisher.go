package manager

import (
	"context"
	"errors"
	"sync"
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/state/fencer"
)

// publisher holds the load summary of an owned shard that is to be written next. Summaries are written
// one at a time, and one that waits is replaced by the next.
type publisher struct {
	mu        sync.Mutex     // guards the fields below
	next      *recorder.Load // summary to write; nil if there is none
	isWriting bool           // a goroutine writes summaries

	// Used by that goroutine alone.
	record     register
	runTimesAt time.Time // when the learned run times were last written
}

// add adds a summary, in place of one that waits. It reports whether a goroutine has to be started that
// writes it.
func (p *publisher) add(load recorder.Load) (start bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next = &load
	start = !p.isWriting
	p.isWriting = true
	return start
}

// take returns the summary to write next. It returns nil if there is none; then the goroutine that writes
// has to end.
func (p *publisher) take() *recorder.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	load := p.next
	p.next = nil
	p.isWriting = load != nil
	return load
}

// writeLoads writes load summaries until none is left.
func (o *ownedShard) writeLoads(ctx context.Context) {
	for load := o.publisher.take(); load != nil; load = o.publisher.take() {
		o.manager.metrics.setLoad(o.spec.Name, *load)
		err := o.writeLoad(ctx, *load)
		if err != nil && ctx.Err() == nil {
			o.log.Warn().Err(err).Int64("epoch", load.Epoch).Dur("age", time.Since(load.MadeAt)).Msg("load publication failed")
		}
	}
}

// writeLoad replaces the load summary in the store and in the view, unless another owner has claimed the
// shard since. In the store that is a condition of the write, since the process may have been suspended
// for long without noticing, and since the write may be carried out late.
func (o *ownedShard) writeLoad(ctx context.Context, load recorder.Load) error {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	published := load
	hasRunTimes := time.Since(o.publisher.runTimesAt) >= runTimesInterval
	if !hasRunTimes {
		published.RunTimes = nil
	}
	ownClaim := []storer.Condition{{Key: recorder.ClaimKey(o.spec.Name), Revision: o.fence.Token}}
	record := &o.publisher.record
	err := record.put(limited, recorder.Encode(published), 0, ownClaim, o.checkClaim)
	if errors.Is(err, fencer.ErrFenced) {
		o.giveUp("another owner has claimed the shard")
	}
	if err != nil {
		return err
	}
	if hasRunTimes {
		o.publisher.runTimesAt = time.Now()
	}
	o.manager.updateOwnLoad(o.spec.Name, load, record.revision)
	return nil
}

// updateOwnLoad updates the load of an owned shard in the view.
func (m *Manager) updateOwnLoad(shard string, load recorder.Load, revision int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.updateLoad(shard, load, revision)
}
