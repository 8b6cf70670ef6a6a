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
	Place    placer.Policy    // default placer.Default with the learner
	Learner  *learner.Learner // of interference
	Escalate escalator.Options
	Restore  restorer.Options
}

// The budget of evictions that one shard spends on latency and on urgent work.
const (
	evictionBurst = 4.0
	evictionShare = 0.25 // evictions an hour for each worker
)

// adaptPolicies follows the targets and weights of the configuration.
func (s *State) adaptPolicies() {
	s.services = make(map[string]describer.Service, len(s.config.Services))
	for _, one := range s.config.Services {
		s.services[one.Name] = one
	}
	s.placer = s.policies.Place
	if s.placer == nil {
		s.placer = placer.InterferenceAware{
			Learner:  s.policies.Learner,
			Services: s.services,
			Weights:  s.config.Weights,
		}
	}
}

// observe takes in what an inventory reports on use and latency.
func (h *shard) observe(w *worker, in *runner.Synced) {
	fresh := false
	for i := range in.Latency {
		fresh = h.observeLatency(w, &in.Latency[i]) || fresh
	}
	if !h.isDeciding() || !h.state.reached {
		return
	}
	if fresh {
		h.escalate(w)
	}
	h.adaptGrants(w, in.Running)
}

// observeLatency teaches the learner what the interval's colocation cost.
func (h *shard) observeLatency(w *worker, l *runner.Latency) bool {
	if last, ok := w.account.Reports[l.Service]; ok && !l.To.After(last.To) {
		return false
	}
	if w.account.Reports == nil {
		w.account.Reports = make(map[string]runner.Latency)
	}
	w.account.Reports[l.Service] = *l
	if shares, ok := h.state.timeline.Average(w.name, l.From, l.To); ok {
		h.state.policies.Learner.Observe(learner.Sample{Worker: w.name, Latency: *l, Shares: shares})
	}
	return true
}

func (h *shard) observeRun(w *worker, r *runner.Running) {
	g, ok := w.account.Grants[r.Task]
	if !ok {
		return
	}
	g.Used = r.Used
	g.Progress = r.Progress
	w.account.Grants[r.Task] = g
	h.state.usage.Observe(g)
}

// escalate relieves the worker's services, in order of cost.
func (h *shard) escalate(w *worker) {
	actions := escalator.Decide(escalator.Input{
		Now:           h.state.now,
		Worker:        w.account,
		Services:      h.state.services,
		Learner:       h.state.policies.Learner,
		State:         &w.escalation,
		Budget:        h.budget,
		Options:       h.state.policies.Escalate,
		LatencyBounds: h.bounds(w),
	})
	for _, a := range actions {
		h.act(w, a)
	}
}

// limiter is a placement policy that also limits what runs already.
type limiter interface {
	// LatencyBounds returns the latency that batch tasks may bring each service to.
	LatencyBounds(w *accountant.Worker) map[string]time.Duration
	// MayGrow weighs a greater grant like a placement.
	MayGrow(w *accountant.Worker, g accountant.Grant, to describer.Resources, now time.Time) bool
}

func (h *shard) bounds(w *worker) map[string]time.Duration {
	if l, ok := h.state.placer.(limiter); ok {
		return l.LatencyBounds(w.account)
	}
	return nil
}

func (h *shard) mayGrow(t *task, w *worker, cpu int64) bool {
	l, ok := h.state.placer.(limiter)
	if !ok {
		return true
	}
	to := t.granted
	to.CPU = cpu
	return l.MayGrow(w.account, w.account.Grants[t.id()], to, h.state.now)
}

func (h *shard) act(w *worker, a escalator.Action) {
	if a.Kind == escalator.BlockBatch {
		w.account.BatchBlockedUntil = a.Until
		return
	}
	t := h.book.task(a.Task)
	if t == nil || t.state != describer.Started || t.token != a.Token || t.phase != confirmed {
		return
	}
	switch a.Kind {
	case escalator.Unthrottle:
		h.setCeiling(t, 0)
		h.grow(t, a.CPU)
	case escalator.Throttle:
		h.setCeiling(t, a.CPU)
		h.shrink(t, a.CPU)
	case escalator.Move:
		h.end(t, stopping{reason: reasonEvicted, checkpoint: true})
	case escalator.Stop:
		h.end(t, stopping{reason: reasonEvicted})
	}
}

// setCeiling keeps a run that is throttled for a service from growing.
func (h *shard) setCeiling(t *task, cpu int64) {
	w := h.worker(t.worker)
	if g, ok := w.account.Grants[t.id()]; ok {
		g.ThrottledTo = cpu
		w.account.Grants[t.id()] = g
	}
}

// want is what a run of the task is granted: what its class was measured to
// use rather than what was declared.
func (h *shard) want(t *task) describer.Resources {
	if t.job.Kind == describer.LatencyCritical {
		return t.job.Declared
	}
	return placer.SizeGrant(&h.state.usage, t.job.Job, unlimited)
}

// unlimited is larger than any worker.
var unlimited = describer.Resources{CPU: 1 << 40, Memory: 1 << 40, Accelerators: 1 << 20}

// room returns what a new grant for the task may take on the worker.
func room(t *task, w *accountant.Worker) describer.Resources {
	if t.job.Kind == describer.Batch {
		return w.FreeForBatch()
	}
	return w.Free()
}

// interference returns the slow-down of the worker's services by the batch
// tasks that run there, 0 is none.
func (h *shard) interference(w *worker) float64 {
	shares := w.account.BatchShares()
	if len(shares) == 0 {
		return 0
	}
	worst := 0.0
	for _, service := range w.account.Host.Services {
		load := w.account.Reports[service].Load
		if _, seen := h.state.policies.Learner.Baseline(service, load); !seen {
			continue
		}
		mean, _ := h.state.policies.Learner.Slowdown(service, shares, load)
		worst = max(worst, mean)
	}
	return worst
}

// newBudget returns the shard's budget of evictions.
func (h *shard) newBudget(now time.Time) *escalator.Budget {
	return escalator.NewBudget(evictionBurst, evictionShare*float64(max(len(h.order), 4)), now)
}
