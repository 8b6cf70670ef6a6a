package reducer

import (
	"github.com/google/btree"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// team is the state of one team (tenant) in one shard.
type team struct {
	name    string
	used    describer.Resources  // sum of the grants of its started tasks
	pending *btree.BTreeG[*task] // tasks to place, in the order of lessTask
}

// lessTask orders a team's pending tasks: first by priority, then by deadline, then by
// the acceptance of their jobs.
func lessTask(a, b *task) bool {
	if a.job != b.job {
		return lessJob(a.job, b.job)
	}
	return a.index < b.index
}

func lessJob(a, b *job) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	if !a.Deadline.Equal(b.Deadline) {
		return !a.Deadline.IsZero() && (b.Deadline.IsZero() || a.Deadline.Before(b.Deadline))
	}
	return a.seq < b.seq
}

// ensureTeam returns the team with the given name, which it adds if necessary.
func (sh *shard) ensureTeam(name string) *team {
	t := sh.teams[name]
	if t == nil {
		t = &team{name: name, pending: btree.NewG(8, lessTask)}
		sh.teams[name] = t
	}
	return t
}

// enqueue makes a pending task eligible for placement.
func (sh *shard) enqueue(t *task) {
	t.queued = true
	sh.ensureTeam(t.job.Team).pending.ReplaceOrInsert(t)
	sh.placementIdle = false
}

// dequeue removes a task from its team's queue, if it is queued.
func (sh *shard) dequeue(t *task) {
	if !t.queued {
		return
	}
	t.queued = false
	sh.ensureTeam(t.job.Team).pending.Delete(t)
}

// next returns the first pending task after the given one, or the first of all if after
// is nil. It returns nil at the end.
func (t *team) next(after *task) *task {
	var found *task
	visit := func(tk *task) bool {
		if tk == after {
			return true
		}
		found = tk
		return false
	}
	if after == nil {
		t.pending.Ascend(visit)
	} else {
		t.pending.AscendGreaterOrEqual(after, visit)
	}
	return found
}

// shardQuota returns a team's quota in one shard: its quota divided by the number of
// shards, rounded up. Zero means unlimited.
func (sh *shard) shardQuota(c *describer.Team) describer.Resources {
	n := int64(max(len(sh.state.config.Shards), 1))
	share := func(total int64) int64 { return (total + n - 1) / n }
	return describer.Resources{
		CPU:          share(c.Quota.CPU),
		Memory:       share(c.Quota.Memory),
		Accelerators: share(c.Quota.Accelerators),
	}
}

// isWithinQuota reports whether used is within the quota of each resource that has one.
func isWithinQuota(used, quota describer.Resources) bool {
	within := func(used, quota int64) bool { return quota == 0 || used <= quota }
	return within(used.CPU, quota.CPU) && within(used.Memory, quota.Memory) &&
		within(used.Accelerators, quota.Accelerators)
}
