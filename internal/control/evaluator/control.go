package evaluator

import (
	"cmp"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/accountant"
	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/escalator"
	"dotterelcart.dev/dotterelcart/internal/control/learner"
	"dotterelcart.dev/dotterelcart/internal/control/placer"
	"dotterelcart.dev/dotterelcart/internal/control/restorer"
)

// Outcome is the result of one simulated morning. The fields are those of Result.
type Outcome struct {
	P99            time.Duration
	WithinTarget   float64
	WorkInTime     float64
	Evictions      int
	DrainEvictions int
	RestoreTime    time.Duration
	UrgentInTime   float64
	UrgentRefused  float64
}

// controller is the decision loop of one variant. It makes the decisions that a
// shard's owner makes.
type controller struct {
	*environment
	variant        Variant
	fleet          *accountant.Fleet
	byName         map[string]*host // hosts by worker name; the maps below have the same keys
	policy         placer.Policy
	learner        *learner.Learner
	timeline       learner.Timeline
	usage          placer.Usage
	budget         *escalator.Budget
	states         map[string]*escalator.State
	restores       map[string]*restorer.State // restores in progress
	pending        []*run                     // tasks that wait to run
	avoid          map[string]bool            // workers that get no tasks now
	failures       map[string]int             // failed runs in a row
	quarantined    map[string]time.Time       // time at which the quarantine ends
	sequence       int64                      // sequence number of the latest token
	evictions      int
	drainEvictions int
	restoreTime    time.Duration
}

// simulate runs one morning.
func simulate(d Deployment, v Variant, seed uint64) Outcome {
	e, all := newEnvironment(d, seed)
	c := newController(e, v)
	for next := 0; e.now.Sub(startTime) < morning; {
		finished, failed := e.advance()
		c.handleEnds(finished, failed)
		for next < len(all) && !all[next].arrives.After(e.now) {
			c.pending = append(c.pending, all[next])
			next++
		}
		c.receiveReports()
		c.resizeGrants()
		c.escalate()
		c.drain()
		c.place()
	}
	return c.outcome(all)
}

// newController returns the controller of one simulation, without pending tasks.
func newController(e *environment, v Variant) *controller {
	c := &controller{
		environment: e, variant: v, learner: learner.New(learner.Options{}),
		fleet:       &accountant.Fleet{Workers: make(map[string]*accountant.Worker)},
		byName:      make(map[string]*host),
		budget:      escalator.NewBudget(4, 12, startTime),
		states:      make(map[string]*escalator.State),
		restores:    make(map[string]*restorer.State),
		failures:    make(map[string]int),
		quarantined: make(map[string]time.Time),
	}
	for _, h := range e.hosts {
		c.fleet.Workers[h.account.Host.Name] = h.account
		c.byName[h.account.Host.Name] = h
		c.states[h.account.Host.Name] = &escalator.State{}
		c.timeline.Record(h.account.Host.Name, startTime, nil)
	}
	c.policy = v.Policy(e.deployment, c.learner)
	return c
}

// release removes a run from its worker.
func (c *controller) release(r *run) {
	h := r.worker
	h.account.Release(r.id, h.account.Grants[r.id].Token)
	delete(h.runs, r.id)
	r.worker = nil
	c.recordShares(h)
}

// recordShares notes in the timeline that a worker's grants have changed.
func (c *controller) recordShares(h *host) {
	c.timeline.Record(h.account.Host.Name, c.now, h.account.BatchShares())
}

// handleEnds handles runs that ended by themselves. In all variants a worker that
// fails 5 runs in a row is quarantined for 10 minutes.
func (c *controller) handleEnds(finished, failed []*run) {
	for _, r := range finished {
		c.failures[r.worker.account.Host.Name] = 0
		r.finished = c.now
		c.release(r)
	}
	for _, r := range failed {
		name := r.worker.account.Host.Name
		if c.failures[name]++; c.failures[name] >= 5 {
			c.quarantined[name] = c.now.Add(10 * time.Minute)
			c.failures[name] = 0
		}
		r.remaining = r.checkpointed
		c.release(r)
		c.pending = append(c.pending, r)
	}
}

// evict ends a run, with or without a checkpoint, and lets its task wait.
func (c *controller) evict(r *run, checkpoint bool) {
	if checkpoint {
		r.checkpointed = r.remaining
	}
	r.remaining = r.checkpointed
	c.release(r)
	c.pending = append(c.pending, r)
}

// receiveReports processes inventories and latency reports.
func (c *controller) receiveReports() {
	for _, h := range c.hosts {
		if !h.dead {
			h.account.LastInventory = c.now
		}
		for _, l := range c.takeReports(h) {
			h.account.Reports[l.Service] = l
			shares, ok := c.timeline.Average(h.account.Host.Name, l.From, l.To)
			if ok && c.variant.Adaptive {
				c.learner.Observe(learner.Sample{Worker: h.account.Host.Name, Latency: l, Shares: shares})
			}
			if c.variant.EvictOnMiss && l.P99 > c.deployment.Target {
				if task, ok := newestTask(h.account); ok {
					c.evict(h.runs[task], true)
					c.evictions++
				}
			}
		}
	}
}

// resizeGrants adapts grants to the measured use twice a minute.
func (c *controller) resizeGrants() {
	if c.variant.DeclaredSizes || c.now.Sub(startTime)%(30*time.Second) != 0 {
		return
	}
	for _, h := range c.hosts {
		for _, task := range h.account.Tasks() {
			g := h.account.Grants[task]
			c.usage.Observe(g)
			to := placer.ResizeGrant(g, h.account.FreeForBatch())
			if p, ok := c.policy.(placer.InterferenceAware); ok && !p.MayGrow(h.account, g, to, c.now) {
				to.CPU = g.Resources.CPU
			}
			if to != g.Resources && h.account.Resize(task, g.Token, to) == nil {
				c.recordShares(h)
			}
		}
	}
}

// escalate takes the escalator's actions on workers whose services miss their
// targets.
func (c *controller) escalate() {
	if !c.variant.Adaptive {
		return
	}
	for _, h := range c.hosts {
		var bounds map[string]time.Duration
		if p, ok := c.policy.(placer.InterferenceAware); ok {
			bounds = p.LatencyBounds(h.account)
		}
		actions := escalator.Decide(escalator.Input{
			Now: c.now, Worker: h.account, Services: services(c.deployment), Learner: c.learner,
			LatencyBounds: bounds, State: c.states[h.account.Host.Name], Budget: c.budget,
		})
		for _, a := range actions {
			c.carryOut(h, a)
		}
	}
}

// carryOut takes one action of the escalator on a worker.
func (c *controller) carryOut(h *host, a escalator.Action) {
	switch a.Kind {
	case escalator.BlockBatch:
		h.account.BatchBlockedUntil = a.Until
	case escalator.Move, escalator.Stop:
		c.evict(h.runs[a.Task], a.Kind == escalator.Move)
		c.evictions++
	case escalator.Throttle, escalator.Unthrottle:
		g := h.account.Grants[a.Task]
		g.ThrottledTo = 0
		if a.Kind == escalator.Throttle {
			g.ThrottledTo = a.CPU
		}
		h.account.Grants[a.Task] = g
		to := g.Resources
		to.CPU = a.CPU
		if h.account.Resize(a.Task, g.Token, to) == nil {
			c.recordShares(h)
		}
	}
}

// drain closes the second rack at a fixed time and restores it later.
func (c *controller) drain() {
	at := c.now.Sub(startTime)
	for _, h := range c.hosts[c.deployment.RackSize : 2*c.deployment.RackSize] {
		name := h.account.Host.Name
		switch at {
		case drainStart:
			h.account.Closed = true
			for _, task := range h.account.Tasks() {
				r := h.runs[task]
				r.returnTo = name
				c.evict(r, true)
				c.drainEvictions++
			}
		case drainStart + drainTime:
			h.account.Closed = false
			h.account.OpenedAt = c.now
			c.restores[name] = &restorer.State{}
		}
		if state := c.restores[name]; state != nil {
			c.restore(h, state)
		}
	}
}

// restore lets a worker take the batch tasks that the restorer allows now.
func (c *controller) restore(h *host, state *restorer.State) {
	name := h.account.Host.Name
	d := restorer.Decision{Done: true}
	if c.variant.Adaptive {
		d = restorer.Decide(restorer.Input{
			Now: c.now, Worker: h.account, Services: services(c.deployment), State: state, Returning: c.returning(name),
		})
	}
	h.account.BatchLimited, h.account.BatchLimit = !d.Done, d.Limit
	if d.Done {
		delete(c.restores, name)
		c.restoreTime = max(c.restoreTime, c.now.Sub(startTime)-drainStart-drainTime)
	}
}

// returning returns the number of waiting tasks that were drained from a worker.
func (c *controller) returning(name string) int {
	n := 0
	for _, r := range c.pending {
		if r.returnTo == name {
			n++
		}
	}
	return n
}

// placementKey identifies tasks that the policies treat alike, apart from the
// distribution of a job over racks. If one of them can't be placed, the others
// need not be tried in the same tick.
type placementKey struct {
	class    int
	returnTo string
	priority describer.Priority
	timeLeft time.Duration // time until the deadline in units of 30 minutes
}

// place starts pending tasks where possible, urgent ones first, then in order of
// their deadlines.
func (c *controller) place() {
	slices.SortStableFunc(c.pending, func(a, b *run) int {
		if order := cmp.Compare(b.job.Priority, a.job.Priority); order != 0 {
			return order
		}
		return a.job.Deadline.Compare(b.job.Deadline)
	})
	c.avoid = c.workersToAvoid()
	refused := make(map[placementKey]bool)
	c.pending = slices.DeleteFunc(c.pending, func(r *run) bool {
		key := placementKey{r.class, r.returnTo, r.job.Priority, r.job.Deadline.Sub(c.now) / (30 * time.Minute)}
		if refused[key] {
			return false
		}
		started := c.start(r)
		refused[key] = !started
		return started
	})
}

// start places a task and reports whether it could.
func (c *controller) start(r *run) bool {
	request := c.request(r)
	choice := c.policy.Place(c.fleet, request, c.now)
	if choice.Worker == "" && r.job.Priority == describer.Urgent && c.variant.Adaptive {
		choice = c.preempt(r, request)
	}
	if choice.Worker == "" {
		return false
	}
	h := c.byName[choice.Worker]
	c.sequence++
	if r.started.IsZero() {
		r.started = c.now
	}
	err := h.account.Allocate(r.id, accountant.Grant{
		Token: describer.Token{Epoch: 1, Sequence: c.sequence}, Class: r.job.Class, Team: r.job.Team,
		Kind: r.job.Kind, Priority: r.job.Priority, Resources: request.Want, Since: c.now,
	})
	if err != nil {
		return false
	}
	r.worker = h
	h.runs[r.id] = r
	c.recordShares(h)
	return true
}

// request returns the placement request of a task.
func (c *controller) request(r *run) placer.Request {
	want := r.job.Declared
	if !c.variant.DeclaredSizes {
		want = placer.SizeGrant(&c.usage, r.job, c.deployment.WorkerSize.Sub(describer.Resources{CPU: c.deployment.WorkerSize.CPU / 4}))
	}
	return placer.Request{
		Task: r.id, Job: r.job, Want: want, ReturnTo: r.returnTo, Avoid: c.avoid, Deadline: r.job.Deadline,
	}
}

// workersToAvoid returns the workers that are quarantined or do not respond.
func (c *controller) workersToAvoid() map[string]bool {
	avoid := make(map[string]bool)
	for name, until := range c.quarantined {
		if c.now.Before(until) {
			avoid[name] = true
		}
	}
	for _, h := range c.hosts {
		if h.dead && c.now.Sub(h.account.LastInventory) > 15*time.Second {
			avoid[h.account.Host.Name] = true
		}
	}
	return avoid
}

// preempt throttles or evicts tasks for an urgent one.
func (c *controller) preempt(r *run, request placer.Request) placer.Choice {
	preemption := placer.Preempt(c.fleet, request, placer.Costs{}, c.budget.Available(c.now), c.now.Sub(r.arrives))
	if preemption.Worker == "" {
		r.refused = preemption.Reason
		return placer.Choice{Reason: preemption.Reason}
	}
	h := c.byName[preemption.Worker]
	for _, s := range preemption.Throttle {
		g := h.account.Grants[s.Task]
		g.Resources.CPU = s.To
		if h.account.Resize(s.Task, g.Token, g.Resources) != nil {
			return placer.Choice{Reason: "throttling failed"}
		}
	}
	for _, task := range preemption.Evict {
		c.budget.Take(c.now)
		c.evict(h.runs[task], true)
		c.evictions++
	}
	return placer.Choice{Worker: preemption.Worker}
}

// outcome returns the measures of the morning. all are its tasks.
func (c *controller) outcome(all []*run) Outcome {
	o := Outcome{
		P99:          time.Duration(c.latencies.ValueAtQuantile(99)) * time.Microsecond,
		WithinTarget: float64(c.withinTarget) / float64(max(c.intervals, 1)),
		Evictions:    c.evictions, DrainEvictions: c.drainEvictions, RestoreTime: c.restoreTime,
	}
	if len(c.restores) > 0 {
		o.RestoreTime = morning // a restore has not ended
	}
	inTime, total, urgent := 0.0, 0.0, 0.0
	for _, r := range all {
		work := r.total * c.truth.classes[r.class].cores
		total += work
		if !r.finished.IsZero() && !r.finished.After(r.job.Deadline) {
			inTime += work
		}
		if r.job.Priority != describer.Urgent {
			continue
		}
		urgent++
		switch {
		case !r.started.IsZero() && r.started.Sub(r.arrives) <= placer.UrgentStartLimit:
			o.UrgentInTime++
		case r.refused != "":
			o.UrgentRefused++
		}
	}
	o.WorkInTime = inTime / total
	o.UrgentInTime /= max(urgent, 1)
	o.UrgentRefused /= max(urgent, 1)
	return o
}
