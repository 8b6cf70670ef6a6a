package manager

import (
	"context"
	"errors"
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/dispatcher"
	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/state/fencer"
)

// commit writes changes to the store and posts Committed once they are durable.
// The write is repeated until its outcome is known. If it fails before ctx ends,
// the daemon stops owning the shard.
func (o *ownedShard) commit(ctx context.Context, e dispatcher.Commit) {
	puts, removes := o.commitEntries(e)
	began := time.Now()
	err := o.fence.Write(ctx, e.WorkerList, puts, removes)
	o.manager.metrics.commits.RecordDuration(time.Since(began))
	switch {
	case err == nil:
		o.manager.recordContact()
		o.post(dispatcher.Committed{Batch: e.Batch, SentAt: o.fence.ConfirmedAt()})
	case errors.Is(err, fencer.ErrFenced):
		o.giveUp("another owner has written to the store")
	case ctx.Err() == nil:
		o.giveUp("store write failed: " + err.Error())
	}
}

// commitEntries returns the keys that a commit writes and deletes.
func (o *ownedShard) commitEntries(e dispatcher.Commit) (puts []storer.Write, removes []string) {
	shard := o.spec.Name
	for _, task := range e.StaleTransfers {
		removes = append(removes, recorder.TransferKey(shard, task))
	}
	for _, id := range e.StaleCancels {
		removes = append(removes, recorder.CancelKey(shard, id))
	}
	for i := range e.Changes {
		p, r := changeEntries(shard, &e.Changes[i])
		puts, removes = append(puts, p...), append(removes, r...)
	}
	return puts, removes
}

// changeEntries returns the keys that the change of one job writes and deletes.
func changeEntries(shard string, c *dispatcher.Change) (puts []storer.Write, removes []string) {
	entry := recorder.IndexEntry{Shard: shard, Queue: c.Queue, State: c.State, Parts: c.OtherShards}
	if c.State.IsFinal() {
		entry.Ended = time.Now()
		removes = append(removes, recorder.JobKey(shard, c.ID), recorder.CancelKey(shard, c.ID), recorder.ProgressKey(shard, c.ID))
	} else {
		puts = append(puts, storer.Write{Key: recorder.ProgressKey(shard, c.ID), Value: recorder.Encode(c.Progress)})
	}
	if !c.Part && !c.SameIndex {
		// A cancellation expects the entry that it has read.
		puts = append(puts, storer.Write{Key: recorder.IndexKey(c.ID), Value: recorder.Encode(entry)})
	}
	for _, h := range c.Handovers {
		puts = append(puts, storer.Write{Key: recorder.TransferKey(h.Shard, h.Task), Value: recorder.Encode(h.Transfer)})
	}
	for _, other := range c.CancelIn {
		puts = append(puts, storer.Write{Key: recorder.CancelKey(other, c.ID), Value: recorder.Encode(recorder.Cancellation{})})
	}
	for _, task := range c.RemoveTransfers {
		removes = append(removes, recorder.TransferKey(shard, task))
	}
	return puts, removes
}
