package reducer

import (
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/accountant"
	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/escalator"
	"dotterelcart.dev/dotterelcart/internal/control/learner"
	"dotterelcart.dev/dotterelcart/internal/control/placer"
	"dotterelcart.dev/dotterelcart/internal/control/restorer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
)

// Policies are the replaceable parts of the decisions. Zero values have defaults.
type Policies struct {
	Placement   placer.Policy    // chooses workers for tasks; the default is placer.Default with Learner
	Learner     *learner.Learner // estimates how batch tasks slow down services
	Escalation  escalator.Options
	Restoration restorer.Options
}

// The eviction budget of a shard limits evictions for the latency of services and for
// urgent tasks. It is a token bucket.
const (
	evictionBurst = 4.0  // capacity in evictions
	evictionRate  = 0.25 // evictions per hour and worker
)

// updatePolicies adopts the services and weights of the configuration.
func (s *State) updatePolicies() {
	s.services = make(map[string]describer.Service, len(s.config.Services))
	for _, one := range s.config.Services {
		s.services[one.Name] = one
	}
	s.placer = s.policies.Placement
	if s.placer == nil {
		s.placer = placer.InterferenceAware{
			Learner:  s.policies.Learner,
			Services: s.services,
			Weights:  s.config.Weights,
		}
	}
}

// observeInventory processes the resource use and latencies that an inventory reports:
// it escalates if services are slow, and resizes grants.
func (sh *shard) observeInventory(w *worker, in *runner.SyncResult) {
	fresh := false
	for i := range in.Latency {
		fresh = sh.observeLatency(w, &in.Latency[i]) || fresh
	}
	if !sh.isWritable() || !sh.state.storeReachable {
		return
	}
	if fresh {
		sh.escalate(w)
	}
	sh.adaptGrants(w, in.Running)
}

// observeLatency passes the latency of a service, with the batch tasks that ran next to
// it in the reported interval, to the learner. It reports false if the report is not
// newer than the last one.
func (sh *shard) observeLatency(w *worker, l *runner.LatencyReport) bool {
	if last, ok := w.account.Reports[l.Service]; ok && !l.To.After(last.To) {
		return false
	}
	if w.account.Reports == nil {
		w.account.Reports = make(map[string]runner.LatencyReport)
	}
	w.account.Reports[l.Service] = *l
	if shares, ok := sh.state.timeline.Average(w.name, l.From, l.To); ok {
		sh.state.policies.Learner.Observe(learner.Sample{Worker: w.name, Latency: *l, Shares: shares})
	}
	return true
}

// observeRun updates the use and progress of a run.
func (sh *shard) observeRun(w *worker, r *runner.ActiveRun) {
	g, ok := w.account.Grants[r.Task]
	if !ok {
		return
	}
	g.Used = r.Used
	g.Progress = r.Progress
	w.account.Grants[r.Task] = g
	sh.state.usage.Observe(g)
}

// escalate takes measures against slow services on the worker, the cheapest first.
func (sh *shard) escalate(w *worker) {
	actions := escalator.Decide(escalator.Input{
		Now:           sh.state.now,
		Worker:        w.account,
		Services:      sh.state.services,
		Learner:       sh.state.policies.Learner,
		State:         &w.escalationState,
		Budget:        sh.evictionBudget,
		Options:       sh.state.policies.Escalation,
		LatencyBounds: sh.latencyBounds(w),
	})
	for _, a := range actions {
		sh.applyAction(w, a)
	}
}

// runLimiter is an optional interface of placement policies that also limit runs after
// their start.
type runLimiter interface {
	// LatencyBounds returns for each service the greatest latency that batch tasks may cause.
	LatencyBounds(w *accountant.Worker) map[string]time.Duration
	// MayGrow reports whether a grant may grow, by the rules for placements.
	MayGrow(w *accountant.Worker, g accountant.Grant, to describer.Resources, now time.Time) bool
}

// latencyBounds returns the bounds of the placement policy, or nil if it has none.
func (sh *shard) latencyBounds(w *worker) map[string]time.Duration {
	if l, ok := sh.state.placer.(runLimiter); ok {
		return l.LatencyBounds(w.account)
	}
	return nil
}

// mayGrow reports whether the placement policy allows the run a processor grant of cpu
// millicores.
func (sh *shard) mayGrow(t *task, w *worker, cpu int64) bool {
	l, ok := sh.state.placer.(runLimiter)
	if !ok {
		return true
	}
	to := t.granted
	to.CPU = cpu
	return l.MayGrow(w.account, w.account.Grants[t.id()], to, sh.state.now)
}

// applyAction carries out one measure of the escalator, unless the run has ended or its
// start is not confirmed.
func (sh *shard) applyAction(w *worker, a escalator.Action) {
	if a.Kind == escalator.BlockBatch {
		w.account.BatchBlockedUntil = a.Until
		return
	}
	t := sh.view.task(a.Task)
	if t == nil || t.state != describer.Started || t.token != a.Token || t.startPhase != startConfirmed {
		return
	}
	switch a.Kind {
	case escalator.Unthrottle:
		sh.setThrottledTo(t, 0)
		sh.grow(t, a.CPU)
	case escalator.Throttle:
		sh.setThrottledTo(t, a.CPU)
		sh.shrink(t, a.CPU)
	case escalator.Move:
		sh.stopRun(t, stopRequest{reason: reasonEvicted, checkpoint: true})
	case escalator.Stop:
		sh.stopRun(t, stopRequest{reason: reasonEvicted})
	}
}

// setThrottledTo keeps a run that is throttled for the sake of a service from growing
// above cpu millicores; 0 removes the limit.
func (sh *shard) setThrottledTo(t *task, cpu int64) {
	w := sh.ensureWorker(t.worker)
	if g, ok := w.account.Grants[t.id()]; ok {
		g.ThrottledTo = cpu
		w.account.Grants[t.id()] = g
	}
}

// wantedGrant returns the resources to grant to a run of the task. For batch tasks it is
// the measured use of their class rather than what was declared.
func (sh *shard) wantedGrant(t *task) describer.Resources {
	if t.job.Kind == describer.LatencyCritical {
		return t.job.Declared
	}
	return placer.SizeGrant(&sh.state.usage, t.job.Job, unlimited)
}

// unlimited is larger than the capacity of any worker.
var unlimited = describer.Resources{CPU: 1 << 40, Memory: 1 << 40, Accelerators: 1 << 20}

// freeFor returns the largest grant that the task may get on the worker now.
func freeFor(t *task, w *accountant.Worker) describer.Resources {
	if t.job.Kind == describer.Batch {
		return w.FreeForBatch()
	}
	return w.Free()
}

// interference returns the estimated slowdown of the worker's services by the batch
// tasks that run there, for the service that suffers most; 0 means none.
func (sh *shard) interference(w *worker) float64 {
	shares := w.account.BatchShares()
	if len(shares) == 0 {
		return 0
	}
	worst := 0.0
	for _, service := range w.account.Host.Services {
		load := w.account.Reports[service].Load
		if _, seen := sh.state.policies.Learner.Baseline(service, load); !seen {
			continue
		}
		mean, _ := sh.state.policies.Learner.Slowdown(service, shares, load)
		worst = max(worst, mean)
	}
	return worst
}

// newEvictionBudget returns a full eviction budget for the shard's number of workers, at
// least four.
func (sh *shard) newEvictionBudget(now time.Time) *escalator.Budget {
	return escalator.NewBudget(evictionBurst, evictionRate*float64(max(len(sh.sortedWorkers), 4)), now)
}
