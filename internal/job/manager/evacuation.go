package manager

import (
	"context"
	"maps"
	"sync"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/evacuator"
	"dotterelcart.dev/dotterelcart/internal/job/dispatcher"
	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// evacuations is what the daemon knows of evacuated failure domains.
type evacuations struct {
	maxAge time.Duration // see dispatcher.Options.MaxEvacuationAge

	mu         sync.Mutex
	set        evacuator.Set
	suspension suspension
}

// SetEvacuations replaces the evacuated failure domains by those that the store had
// after readAt, when the request for them was sent. It must be called with each
// response, also if nothing has changed, and before the first SetCatalog.
func (m *Manager) SetEvacuations(domains []string, readAt time.Time) {
	m.recordContact()
	m.evacuations.mu.Lock()
	m.evacuations.noteSuspension(time.Now())
	evacuated, returned := m.evacuations.set.Update(domains, readAt)
	count := len(m.evacuations.set.Domains())
	m.evacuations.mu.Unlock()
	if len(evacuated)+len(returned) > 0 {
		m.log.Info().Strs("evacuated", evacuated).Strs("returned", returned).Int("domains", count).Msg("evacuations changed")
	}
	m.options.Scope.Gauge("evacuated_domains").Update(float64(count))
	m.post(m.evacuations.event())
}

// MaxEvacuationAge returns how old SetEvacuations may be while runs are started; 0 is
// no limit.
func (m *Manager) MaxEvacuationAge() time.Duration { return m.evacuations.maxAge }

// event returns the event that passes the set on to an owned shard.
func (e *evacuations) event() dispatcher.EvacuationsListed {
	e.mu.Lock()
	defer e.mu.Unlock()
	return dispatcher.EvacuationsListed{Domains: e.set.Domains(), ReadAt: e.set.ReadAt()}
}

// invalidate makes the set outdated until the next reading.
func (e *evacuations) invalidate(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.set.Invalidate(now)
}

// allows decides whether a run may be started in a domain now.
func (e *evacuations) allows(domain string, now time.Time) evacuator.Verdict {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.noteSuspension(now)
	return e.set.Allows(domain, now, e.maxAge)
}

// noteSuspension makes the set outdated if the host was suspended since the last call. It is
// also called at each reading, so that a suspension before the first order is seen. The
// caller holds e.mu.
func (e *evacuations) noteSuspension(now time.Time) {
	if e.suspension.occurred() {
		e.set.Invalidate(now)
	}
}

// start orders a worker to start a run, unless its domain has been evacuated or the set
// has become outdated since the decision: the process may have been paused in between.
func (o *ownedShard) start(ctx context.Context, e dispatcher.StartRun) dispatcher.Fault {
	if v := o.manager.evacuations.allows(e.Worker.Domain, time.Now()); v != evacuator.Allowed {
		o.log.Info().Str("task", e.Task.String()).Str("worker", e.Worker.ID).Str("reason", v.String()).Msg("run start not sent")
		return dispatcher.NotSent
	}
	return o.manager.workers.Start(ctx, o.fence.Token, e)
}

// reportEvacuations updates the gauge that says whether starts are paused because the
// set of evacuated domains is too old.
func (m *Manager) reportEvacuations(now time.Time) {
	if m.evacuations.maxAge == 0 {
		return
	}
	m.evacuations.mu.Lock()
	isCurrent := m.evacuations.set.IsCurrent(now, m.evacuations.maxAge)
	m.evacuations.mu.Unlock()
	paused := 1.0
	if isCurrent {
		paused = 0
	}
	m.options.Scope.Gauge("evacuation_starts_paused").Update(paused)
}

// usableShards returns a copy of the shards of the view, in which those of evacuated
// domains have no usable workers. Their owners may not have published that yet, or may
// have ended. The caller holds m.mu.
func (m *Manager) usableShards() map[string]ShardView {
	shards := maps.Clone(m.view.Shards)
	m.evacuations.mu.Lock()
	defer m.evacuations.mu.Unlock()
	for name, s := range shards {
		if m.evacuations.set.IsEvacuated(s.Load.Domain) {
			s.Load = withoutWorkers(s.Load)
			shards[name] = s
		}
	}
	return shards
}

// withoutWorkers returns a load summary as if no worker were usable. The largest
// capacity remains, since jobs that exceed it are refused for good.
func withoutWorkers(l recorder.Load) recorder.Load {
	l.Workers, l.Labels = 0, nil
	l.Capacity, l.Free, l.MaxFree = describer.Resources{}, describer.Resources{}, describer.Resources{}
	l.FiniteCPU, l.LongRunningCPU, l.LongRunningLimit, l.UnusedCPU, l.FillerCPU = 0, 0, 0, 0, 0
	return l
}

// largestNeeds returns the most that a task of the job reserves of each resource.
func largestNeeds(job *specifier.Job) describer.Resources {
	var largest describer.Resources
	for i := range job.Steps {
		largest = largest.Max(job.Steps[i].ReservedNeeds())
	}
	return largest
}
