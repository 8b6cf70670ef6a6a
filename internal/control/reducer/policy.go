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

// Policies are the exchangeable decisions. Nil ones have defaults.
type Policies struct {
	Placement   placer.Policy    // default placer.Default with the learner
	Learner     *learner.Learner // of interference
	Escalation  escalator.Options
	Restoration restorer.Options
}

// The budget of evictions that one shard spends on latency and on urgent work.
const (
	evictionBurst = 4.0
	evictionShare = 0.25 // evictions an hour for each worker
)

// adaptPolicies follows the targets and weights of the configuration.
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

// observe takes in what an inventory reports on use and latency.
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

// observeLatency teaches the learner what the interval's colocation cost.
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

// escalate relieves the worker's services, in order of cost.
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

// limiter is a placement policy that also limits what runs already.
type runLimiter interface {
	// Bounds returns the latency that batch tasks may bring each service to.
	Bounds(w *accountant.Worker) map[string]time.Duration
	// MayGrow weighs a greater grant like a placement.
	MayGrow(w *accountant.Worker, g accountant.Grant, to describer.Resources, now time.Time) bool
}

func (sh *shard) latencyBounds(w *worker) map[string]time.Duration {
	if l, ok := sh.state.placer.(runLimiter); ok {
		return l.Bounds(w.account)
	}
	return nil
}

func (sh *shard) mayGrow(t *task, w *worker, cpu int64) bool {
	l, ok := sh.state.placer.(runLimiter)
	if !ok {
		return true
	}
	to := t.granted
	to.CPU = cpu
	return l.MayGrow(w.account, w.account.Grants[t.id()], to, sh.state.now)
}

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
		sh.setCeiling(t, 0)
		sh.grow(t, a.CPU)
	case escalator.Throttle:
		sh.setCeiling(t, a.CPU)
		sh.shrink(t, a.CPU)
	case escalator.Move:
		sh.stopRun(t, stopRequest{reason: reasonEvicted, checkpoint: true})
	case escalator.Stop:
		sh.stopRun(t, stopRequest{reason: reasonEvicted})
	}
}

// setCeiling keeps a run that is throttled for a service from growing.
func (sh *shard) setCeiling(t *task, cpu int64) {
	w := sh.ensureWorker(t.worker)
	if g, ok := w.account.Grants[t.id()]; ok {
		g.ThrottledTo = cpu
		w.account.Grants[t.id()] = g
	}
}

// want is what a run of the task is granted: what its class was measured to
// use rather than what was declared.
func (sh *shard) wantedGrant(t *task) describer.Resources {
	if t.job.Kind == describer.LatencyCritical {
		return t.job.Declared
	}
	return placer.SizeGrant(&sh.state.usage, t.job.Job, unlimited)
}

// unlimited is larger than any worker.
var unlimited = describer.Resources{CPU: 1 << 40, Memory: 1 << 40, Accelerators: 1 << 20}

// room returns what a new grant for the task may take on the worker.
func roomFor(t *task, w *accountant.Worker) describer.Resources {
	if t.job.Kind == describer.Batch {
		return w.FreeForBatch()
	}
	return w.Free()
}

// interference returns the slow-down of the worker's services by the batch
// tasks that run there, 0 is none.
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

// newBudget returns the shard's budget of evictions.
func (sh *shard) newEvictionBudget(now time.Time) *escalator.Budget {
	return escalator.NewBudget(evictionBurst, evictionShare*float64(max(len(sh.sortedWorkers), 4)), now)
}
