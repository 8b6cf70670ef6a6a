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

// move hands a job of which nothing has run to another shard of its service.
// One write removes it here and adds it there, unless it is being cancelled.
func (o *owned) move(ctx context.Context, e dispatcher.MoveJob) {
	to := o.m.shardFor(o.target, e)
	if to == "" {
		o.post(dispatcher.JobMoved{ID: e.Job.ID})
		return
	}
	from, job := o.target.name, e.Job
	job.FormerShards = append(slices.Clone(job.FormerShards), from)
	entry := recorder.IndexEntry{Shard: to, Queue: job.Queue, State: specifier.Queued}
	err := o.fence.Commit(ctx, storer.Transaction{
		If: []storer.Condition{{Key: recorder.CancelKey(from, job.ID)}},
		Put: []storer.Write{
			{Key: recorder.JobKey(to, job.ID), Value: recorder.Encode(job)},
			{Key: recorder.IndexKey(job.ID), Value: recorder.Encode(entry)},
		},
		Remove: []string{recorder.JobKey(from, job.ID)},
	})
	switch {
	case err == nil:
		o.log.Info().Str("job", job.ID).Str("to", to).Int64("lasting", e.LastingCPU).Msg("job moved")
	case errors.Is(err, fencer.ErrConditionFailed):
		o.log.Info().Str("job", job.ID).Msg("job not moved: it is being cancelled")
	case errors.Is(err, fencer.ErrFenced):
		o.lose("another owner has written")
		return
	default:
		if ctx.Err() == nil {
			o.lose("a write failed: " + err.Error())
		}
		return
	}
	o.post(dispatcher.JobMoved{ID: job.ID, OK: err == nil})
}

// shardFor draws another shard of the service that has room for a job's lasting
// tasks, and counts them there until its next summary. It is empty without one.
func (m *Manager) shardFor(from target, e dispatcher.MoveJob) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var shards []admitter.Shard
	for name, s := range m.view.Shards {
		if s.Load.Service != from.service || name == from.name || slices.Contains(e.Job.FormerShards, name) {
			continue
		}
		shards = append(shards, admitter.Shard{
			Name: name, Workers: s.Load.Workers, LongRunningCPU: s.Load.LastingCPU, LongRunningLimit: s.Load.LastingLimit,
			HasLabel: !slices.ContainsFunc(e.Job.Steps, func(step specifier.Step) bool {
				return step.Label != "" && !slices.Contains(s.Load.Labels, step.Label)
			}),
		})
	}
	slices.SortFunc(shards, func(a, b admitter.Shard) int { return cmp.Compare(a.Name, b.Name) })
	to := admitter.ChooseLongRunning(e.LastingCPU, shards, m.options.Random)
	if s, ok := m.view.Shards[to]; ok {
		s.Load.LastingCPU += e.LastingCPU
		m.view.Shards[to] = s
	}
	return to
}
