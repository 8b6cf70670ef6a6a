package manager

import (
	"github.com/rs/zerolog"

	"dotterelcart.dev/dotterelcart/internal/job/dispatcher"
)

// reportWaiting logs and counts the long-running tasks that wait for a worker, as long
// as the daemon owns the shard.
func (o *ownedShard) reportWaiting(waits []dispatcher.Wait) {
	m := o.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.owned[o.spec.Name] != o {
		return
	}
	elsewhere, shard := m.freeElsewhere(o.spec)
	for _, w := range waits {
		m.metrics.setWaiting(o.spec.Name, w)
		if w.Tasks == 0 {
			continue
		}
		line := o.log.Info().Str("reason", w.Reason.String()).Int("tasks", w.Tasks).
			Str("job", w.Oldest.Job).Str("task", w.Oldest.String()).Dur("age", w.Age).Int("losses", w.Losses)
		line = line.Int64("needs", w.CPU).Int64("free", w.Free).Int64("elsewhere", elsewhere).Str("to", shard)
		explainWait(line, &w).Msg("long-running tasks waiting")
	}
}

// explainWait adds what the reason of a wait rests on to a log line.
func explainWait(line *zerolog.Event, w *dispatcher.Wait) *zerolog.Event {
	switch w.Reason {
	case dispatcher.WaitEarlierRuns:
		i := &w.Inherited
		return line.Int("silent", i.Workers).Int("answered", i.Answered).Dur("lapse", i.Remaining)
	case dispatcher.WaitLimit:
		return line.Int64("lasting", w.Limit.LongRunning).Int64("finite", w.Limit.Finite).Int64("limit", w.Limit.Limit)
	case dispatcher.WaitIsolation:
		i := &w.Isolation
		return line.Int("unproven", i.Unproven).Int("inconclusive", i.Inconclusive).Int("full", i.Full)
	}
	return line
}

// freeElsewhere returns the free CPU of the service's other shard that has most, in
// millicores, and that shard's name. The name is empty if there is no other. The
// caller holds m.mu.
func (m *Manager) freeElsewhere(from shardSpec) (free int64, shard string) {
	for name, view := range m.usableShards() {
		if name == from.Name || view.Load.Service != from.service {
			continue
		}
		if shard == "" || view.Load.Free.CPU > free {
			free, shard = view.Load.Free.CPU, name
		}
	}
	return free, shard
}

// clearWaiting resets the gauges of a shard that isn't owned any more.
func (m *metrics) clearWaiting(shard string) {
	for reason := range dispatcher.WaitReasons {
		m.setWaiting(shard, dispatcher.Wait{Reason: reason})
	}
}
