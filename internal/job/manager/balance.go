package manager

import (
	"cmp"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/balancer"
	"dotterelcart.dev/dotterelcart/internal/job/dispatcher"
	"dotterelcart.dev/dotterelcart/internal/job/recorder"
)

// otherRegionRoundTrip is the assumed duration of a round trip to another region.
const otherRegionRoundTrip = 60 * time.Millisecond

// planBalance decides by the load summaries of the other shards how much waiting work a
// shard gives away. It subtracts the granted CPU from those shards' load in the view until
// the next summary replaces it.
func (m *Manager) planBalance(from shardSpec, e dispatcher.RequestBalance) dispatcher.BalancePlanned {
	m.mu.Lock()
	defer m.mu.Unlock()
	if time.Since(m.view.ReadAt) > maxViewAge {
		return dispatcher.BalancePlanned{}
	}
	regions := make(map[string]string)
	layout := m.view.layouts[from.service]
	for _, shard := range layout.Shards {
		regions[shard.Name] = shard.Region
	}
	var shards []balancer.Shard
	for name, view := range m.usableShards() {
		if name == from.Name || view.Load.Service != from.service || view.Owner == "" {
			continue
		}
		s := balancerShard(name, &view.Load)
		s.Age = time.Since(view.LoadReceived)
		if s.SameRegion = regions[name] == from.Region; !s.SameRegion {
			s.RoundTrip = otherRegionRoundTrip
		}
		shards = append(shards, s)
	}
	slices.SortFunc(shards, func(a, b balancer.Shard) int { return cmp.Compare(a.Name, b.Name) })
	request := balancer.Request{Source: balancerShard(from.Name, &e.Load), Waiting: e.Waiting, CommitTime: e.CommitTime}
	grants := balancer.Decide(request, shards, m.options.Random)
	m.subtractGrants(grants)
	return dispatcher.BalancePlanned{Grants: grants, WholeJobsOnly: !m.allKnow(recorder.FiniteTransfers)}
}

// subtractGrants subtracts granted CPU from the load in the view. The caller holds m.mu.
func (m *Manager) subtractGrants(grants []balancer.Grant) {
	for i := range grants {
		g := &grants[i]
		view := m.view.Shards[g.Shard]
		view.Load.UnusedCPU -= g.CPU
		if g.Kind == balancer.Reserved {
			view.Load.Free.CPU -= g.CPU
		}
		m.view.Shards[g.Shard] = view
	}
}

// balancerShard converts a load summary.
func balancerShard(name string, l *recorder.Load) balancer.Shard {
	s := balancer.Shard{
		Name: name, Workers: l.Workers, MaxFree: l.MaxFree, MaxCapacity: l.MaxCapacity, Labels: l.Labels,
		Free: [balancer.Kinds]int64{balancer.Reserved: l.Free.CPU, balancer.Filler: l.UnusedCPU},
		Rate: [balancer.Kinds]int64{balancer.Reserved: l.Free.CPU + l.FiniteCPU, balancer.Filler: l.UnusedCPU + l.FillerCPU},
	}
	for _, b := range l.Backlog {
		s.Backlog = append(s.Backlog, balancer.Backlog{
			Priority: b.Priority, Work: [balancer.Kinds]int64{balancer.Reserved: b.ReadyReservedWork, balancer.Filler: b.ReadyFillerWork},
		})
	}
	return s
}

// reportBalance logs and counts work that is given to another shard.
func (o *ownedShard) reportBalance(e dispatcher.ReportBalance) {
	m := o.manager.metrics
	scope := m.scope.Tagged(map[string]string{"shard": o.spec.Name, "kind": e.Grant.Kind.String()})
	scope.Counter("balance_jobs").Inc(int64(e.Jobs))
	scope.Counter("balance_tasks").Inc(int64(e.Tasks))
	o.log.Info().Str("to", e.Grant.Shard).Str("reason", e.Reason()).Int("jobs", e.Jobs).Int("tasks", e.Tasks).
		Dur("gain", e.Grant.Gain).Msg("waiting work given away")
}
