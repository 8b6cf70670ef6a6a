package manager

import (
	"cmp"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/admitter"
	"dotterelcart.dev/dotterelcart/internal/job/dispatcher"
	"dotterelcart.dev/dotterelcart/internal/job/recorder"
)

// maxViewAge is the maximum age of the view by which tasks are transferred.
const maxViewAge = 3 * time.Second

// allKnow reports whether the daemons of all hosts know a version of the records. Any
// of them may own the shard next.
func (m *Manager) allKnow(format int) bool {
	for _, host := range m.view.hosts {
		if host.Format < format {
			return false
		}
	}
	return true
}

// findShard finds another shard of the service with room for waiting tasks. It
// subtracts what they need from that shard's load in the view until the next
// summary replaces it.
func (m *Manager) findShard(from shardSpec, e dispatcher.FindShard) dispatcher.ShardFound {
	m.mu.Lock()
	defer m.mu.Unlock()
	format := recorder.LongRunningTransfers
	if e.Finite {
		format = recorder.FiniteTransfers
	}
	if time.Since(m.view.ReadAt) > maxViewAge || !m.allKnow(format) {
		return dispatcher.ShardFound{Task: e.Task, Tried: e.Tried}
	}
	var shards []admitter.Shard
	for name, view := range m.usableShards() {
		if name == from.Name || view.Load.Service != from.service || view.Owner == "" || slices.Contains(e.Tried, name) {
			continue
		}
		shards = append(shards, admitter.Shard{
			Name: name, Free: view.Load.Free, MaxFree: view.Load.MaxFree, Workers: view.Load.Workers, FiniteCPU: view.Load.FiniteCPU, MaxUsable: view.Load.LargestUsable(),
			HasLabel: e.Label == "" || slices.Contains(view.Load.Labels, e.Label),
		})
	}
	slices.SortFunc(shards, func(a, b admitter.Shard) int { return cmp.Compare(a.Name, b.Name) })
	shard, tasks := admitter.ChooseRoom(e.Needs, e.Tasks, shards, m.options.Random)
	if shard == "" && e.AlsoFull {
		shard, tasks = admitter.ChooseRate(e.Needs, shards, m.options.Random), e.Tasks
	}
	if view, ok := m.view.Shards[shard]; ok {
		view.Load.Free.CPU -= int64(tasks) * e.Needs.CPU
		m.view.Shards[shard] = view
	}
	return dispatcher.ShardFound{Task: e.Task, Tried: e.Tried, Shard: shard, Tasks: tasks}
}
