package reducer

import (
	"github.com/google/btree"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// team is a tenant's standing in one shard.
type team struct {
	name    string
	used    describer.Resources // granted to its started tasks
	pending *btree.BTreeG[*task]
}

// queueOrder sorts a team's pending tasks: urgent ones first, then by
// deadline, then by acceptance.
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

func (sh *shard) ensureTeam(name string) *team {
	t := sh.teams[name]
	if t == nil {
		t = &team{name: name, pending: btree.NewG(8, lessTask)}
		sh.teams[name] = t
	}
	return t
}

func (sh *shard) enqueue(t *task) {
	t.queued = true
	sh.ensureTeam(t.job.Team).pending.ReplaceOrInsert(t)
	sh.placementIdle = false
}

func (sh *shard) dequeue(t *task) {
	if !t.queued {
		return
	}
	t.queued = false
	sh.ensureTeam(t.job.Team).pending.Delete(t)
}

// next returns the first pending task after the given one, or the first of
// all if it is nil.
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

// quota is a team's limit in one shard: its quota over the shards of the
// configuration, and unlimited if it is zero.
func (sh *shard) shardQuota(c *describer.Team) describer.Resources {
	n := int64(max(len(sh.state.config.Shards), 1))
	share := func(whole int64) int64 { return (whole + n - 1) / n }
	return describer.Resources{
		CPU:          share(c.Quota.CPU),
		Memory:       share(c.Quota.Memory),
		Accelerators: share(c.Quota.Accelerators),
	}
}

// isWithin reports whether used keeps to the parts of the quota that are set.
func isWithinQuota(used, quota describer.Resources) bool {
	keeps := func(used, quota int64) bool { return quota == 0 || used <= quota }
	return keeps(used.CPU, quota.CPU) && keeps(used.Memory, quota.Memory) &&
		keeps(used.Accelerators, quota.Accelerators)
}
