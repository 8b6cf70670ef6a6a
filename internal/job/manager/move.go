package manager

import (
	"cmp"
	"context"
	"errors"
	"slices"

	"dotterelcart.dev/dotterelcart/internal/control/admitter"
	"dotterelcart.dev/dotterelcart/internal/job/dispatcher"
	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/state/fencer"
)

// moveJob moves a job that has never run to another shard of its service. One
// transaction removes it here and adds it there, unless it is being cancelled.
func (o *ownedShard) moveJob(ctx context.Context, e dispatcher.MoveJob) {
	to := e.To
	if to == "" {
		to = o.manager.chooseShard(o.spec, e)
	}
	if to == "" {
		o.post(dispatcher.JobMoved{ID: e.Job.ID})
		return
	}
	from, job := o.spec.Name, e.Job
	job.FormerShards = append(slices.Clone(job.FormerShards), from)
	entry := recorder.IndexEntry{Shard: to, Queue: job.Queue, State: specifier.Queued}
	revision, err := o.fence.Commit(ctx, storer.Transaction{
		If: []storer.Condition{{Key: recorder.CancelKey(from, job.ID)}},
		Put: []storer.Write{
			{Key: recorder.JobKey(to, job.ID), Value: recorder.Encode(job)},
			{Key: recorder.IndexKey(job.ID), Value: recorder.Encode(entry)},
		},
		Remove: []string{recorder.JobKey(from, job.ID)},
	})
	switch {
	case err == nil:
		o.addMoved(movedJob{queue: job.Queue, shard: to, revision: revision})
		o.log.Info().Str("job", job.ID).Str("to", to).Int64("lasting", e.LongRunningCPU).Msg("job moved")
	case errors.Is(err, fencer.ErrConditionFailed):
		o.log.Info().Str("job", job.ID).Msg("job move refused, cancellation pending")
	case errors.Is(err, fencer.ErrFenced):
		o.giveUp("another owner has written to the store")
		return
	default:
		if ctx.Err() == nil {
			o.giveUp("store write failed: " + err.Error())
		}
		return
	}
	o.post(dispatcher.JobMoved{ID: job.ID, OK: err == nil})
}

// movedJob is a pending job that was moved to another shard.
type movedJob struct {
	queue    string
	shard    string // shard that has the job now
	revision int64  // store revision of the move
}

// addMoved records a job that was moved.
func (o *ownedShard) addMoved(job movedJob) {
	o.manager.mu.Lock()
	defer o.manager.mu.Unlock()
	o.moved = append(o.moved, job)
}

// countMoved adds the moved jobs to the pending ones of a load summary until the other shard's summary
// counts them. Its owner may have been suspended or lost, and then no summary would for seconds.
func (o *ownedShard) countMoved(load *recorder.Load) {
	m := o.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	o.moved = slices.DeleteFunc(o.moved, func(job movedJob) bool {
		other := m.view.Shards[job.shard].Load
		return other.ReadRevision == 0 || other.ReadRevision >= job.revision
	})
	for _, job := range o.moved {
		load.AddPending(job.queue, 1)
	}
}

// chooseShard chooses at random another shard of the service that has room for
// the job's long-running tasks, or returns "". It adds the tasks to that
// shard's load in the view until the next summary replaces it.
func (m *Manager) chooseShard(from shardSpec, e dispatcher.MoveJob) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var shards []admitter.Shard
	for name, view := range m.usableShards() {
		if view.Load.Service != from.service || name == from.Name || view.Owner == "" || slices.Contains(e.Job.FormerShards, name) {
			continue
		}
		shards = append(shards, admitter.Shard{
			Name: name, Workers: view.Load.Workers, LongRunningCPU: view.Load.LongRunningCPU, LongRunningLimit: view.Load.LongRunningLimit,
			Free: view.Load.Free, FiniteCPU: view.Load.FiniteCPU, MaxUsable: view.Load.LargestUsable(),
			HasLabel: !slices.ContainsFunc(e.Job.Steps, func(step specifier.Step) bool {
				return step.Label != "" && !slices.Contains(view.Load.Labels, step.Label)
			}),
		})
	}
	slices.SortFunc(shards, func(a, b admitter.Shard) int { return cmp.Compare(a.Name, b.Name) })
	work := admitter.Work{LongRunningCPU: e.LongRunningCPU, Spread: e.Job.Spread()}
	var to string
	if e.LongRunningCPU > 0 {
		to = admitter.ChooseLongRunning(work, shards, m.options.Random)
	} else {
		to = admitter.ChooseRate(largestNeeds(&e.Job), shards, m.options.Random)
	}
	if view, ok := m.view.Shards[to]; ok {
		view.Load.LongRunningCPU += e.LongRunningCPU
		m.view.Shards[to] = view
	}
	return to
}
