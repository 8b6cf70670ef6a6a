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

// Outcome is one morning.
type Outcome struct {
	P99          time.Duration
	WithinTarget float64
	WorkInTime         float64
	Evictions    int
	DrainEvictions      int
	RestoreTime      time.Duration
	UrgentInTime       float64
	UrgentRefused      float64
}

// control is the decision loop around one contender's policies.
type control struct {
	*world
	contender Variant
	fleet     *accountant.Fleet
	byName    map[string]*host
	policy    placer.Policy
	learner   *learner.Learner
	timeline  learner.Timeline
	usage     placer.Usage
	budget    *escalator.Budget
	states    map[string]*escalator.State
	restores  map[string]*restorer.State
	pending   []*run
	avoid     map[string]bool
	failures  map[string]int
	aside     map[string]time.Time
	sequence  int64
	evictions int
	drained   int
	restored  time.Duration
}

// play runs one morning.
func play(d Deployment, c Variant, seed uint64) Outcome {
	w, all := newWorld(d, seed)
	k := newControl(w, c)
	for next := 0; w.now.Sub(begin) < morning; {
		finished, failed := w.advance()
		k.ended(finished, failed)
		for next < len(all) && !all[next].arrives.After(w.now) {
			k.pending = append(k.pending, all[next])
			next++
		}
		k.hear()
		k.resize()
		k.protect()
		k.drain()
		k.place()
	}
	return k.outcome(all)
}

func newControl(w *world, c Variant) *control {
	k := &control{
		world: w, contender: c, learner: learner.New(learner.Options{}),
		fleet:    &accountant.Fleet{Workers: make(map[string]*accountant.Worker)},
		byName:   make(map[string]*host),
		budget:   escalator.NewBudget(4, 12, begin),
		states:   make(map[string]*escalator.State),
		restores: make(map[string]*restorer.State),
		failures: make(map[string]int),
		aside:    make(map[string]time.Time),
	}
	for _, h := range w.hosts {
		k.fleet.Workers[h.account.Host.Name] = h.account
		k.byName[h.account.Host.Name] = h
		k.states[h.account.Host.Name] = &escalator.State{}
		k.timeline.Record(h.account.Host.Name, begin, nil)
	}
	k.policy = c.Policy(w.deployment, k.learner)
	return k
}

func (k *control) release(r *run) {
	h := r.worker
	h.account.Release(r.id, h.account.Grants[r.id].Token)
	delete(h.runs, r.id)
	r.worker = nil
	k.changed(h)
}

func (k *control) changed(h *host) {
	k.timeline.Record(h.account.Host.Name, k.now, h.account.BatchShares())
}

// ended takes in runs that ended by themselves. A worker that fails 5 runs in
// a row is set aside for 10 minutes, whatever the contender.
func (k *control) ended(finished, failed []*run) {
	for _, r := range finished {
		k.failures[r.worker.account.Host.Name] = 0
		r.finished = k.now
		k.release(r)
	}
	for _, r := range failed {
		name := r.worker.account.Host.Name
		if k.failures[name]++; k.failures[name] >= 5 {
			k.aside[name] = k.now.Add(10 * time.Minute)
			k.failures[name] = 0
		}
		r.work = r.saved
		k.release(r)
		k.pending = append(k.pending, r)
	}
}

// evict ends a run with or without a checkpoint.
func (k *control) evict(r *run, checkpoint bool) {
	if checkpoint {
		r.saved = r.work
	}
	r.work = r.saved
	k.release(r)
	k.pending = append(k.pending, r)
}

// hear takes in inventories and reports.
func (k *control) hear() {
	for _, h := range k.hosts {
		if !h.dead {
			h.account.LastInventory = k.now
		}
		for _, l := range k.arrived(h) {
			h.account.Reports[l.Service] = l
			shares, ok := k.timeline.Average(h.account.Host.Name, l.From, l.To)
			if ok && k.contender.Adaptive {
				k.learner.Observe(learner.Sample{Worker: h.account.Host.Name, Latency: l, Shares: shares})
			}
			if k.contender.EvictOnMiss && l.P99 > k.deployment.Target {
				if task, ok := evictNewest(h.account); ok {
					k.evict(h.runs[task], true)
					k.evictions++
				}
			}
		}
	}
}

// resize adapts grants to measured use, twice a minute.
func (k *control) resize() {
	if k.contender.DeclaredSizes || k.now.Sub(begin)%(30*time.Second) != 0 {
		return
	}
	for _, h := range k.hosts {
		for _, task := range h.account.Tasks() {
			g := h.account.Grants[task]
			k.usage.Observe(g)
			to := placer.ResizeGrant(g, h.account.FreeForBatch())
			if p, ok := k.policy.(placer.InterferenceAware); ok && !p.MayGrow(h.account, g, to, k.now) {
				to.CPU = g.Resources.CPU
			}
			if to != g.Resources && h.account.Resize(task, g.Token, to) == nil {
				k.changed(h)
			}
		}
	}
}

// protect escalates where services miss their targets.
func (k *control) protect() {
	if !k.contender.Adaptive {
		return
	}
	for _, h := range k.hosts {
		var bounds map[string]time.Duration
		if p, ok := k.policy.(placer.InterferenceAware); ok {
			bounds = p.LatencyBounds(h.account)
		}
		actions := escalator.Decide(escalator.Input{
			Now: k.now, Worker: h.account, Services: services(k.deployment), Learner: k.learner,
			LatencyBounds: bounds, State: k.states[h.account.Host.Name], Budget: k.budget,
		})
		for _, a := range actions {
			k.carryOut(h, a)
		}
	}
}

func (k *control) carryOut(h *host, a escalator.Action) {
	switch a.Kind {
	case escalator.BlockBatch:
		h.account.BatchBlockedUntil = a.Until
	case escalator.Move, escalator.Stop:
		k.evict(h.runs[a.Task], a.Kind == escalator.Move)
		k.evictions++
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
			k.changed(h)
		}
	}
}

// drain closes the second rack for a while and restores it.
func (k *control) drain() {
	at := k.now.Sub(begin)
	for _, h := range k.hosts[k.deployment.RackSize : 2*k.deployment.RackSize] {
		name := h.account.Host.Name
		switch at {
		case drainAt:
			h.account.Closed = true
			for _, task := range h.account.Tasks() {
				r := h.runs[task]
				r.homeTo = name
				k.evict(r, true)
				k.drained++
			}
		case drainAt + drainFor:
			h.account.Closed = false
			h.account.OpenedAt = k.now
			k.restores[name] = &restorer.State{}
		}
		if state := k.restores[name]; state != nil {
			k.restore(h, state)
		}
	}
}

func (k *control) restore(h *host, state *restorer.State) {
	name := h.account.Host.Name
	d := restorer.Decision{Done: true}
	if k.contender.Adaptive {
		d = restorer.Decide(restorer.Input{
			Now: k.now, Worker: h.account, Services: services(k.deployment), State: state, Returning: k.owed(name),
		})
	}
	h.account.BatchLimited, h.account.BatchLimit = !d.Done, d.Limit
	if d.Done {
		delete(k.restores, name)
		k.restored = max(k.restored, k.now.Sub(begin)-drainAt-drainFor)
	}
}

func (k *control) owed(name string) int {
	n := 0
	for _, r := range k.pending {
		if r.homeTo == name {
			n++
		}
	}
	return n
}

// alike stands for tasks that no policy tells apart, if the rack and the job
// are left out: what one of them is refused, the others are.
type alike struct {
	class    int
	home     string
	priority describer.Priority
	left     time.Duration // until the deadline, in half hours
}

// place starts pending tasks: urgent ones first, then by deadline.
func (k *control) place() {
	slices.SortStableFunc(k.pending, func(a, b *run) int {
		if c := cmp.Compare(b.job.Priority, a.job.Priority); c != 0 {
			return c
		}
		return a.job.Deadline.Compare(b.job.Deadline)
	})
	k.avoid = k.avoided()
	missed := make(map[alike]bool)
	k.pending = slices.DeleteFunc(k.pending, func(r *run) bool {
		key := alike{r.class, r.homeTo, r.job.Priority, r.job.Deadline.Sub(k.now) / (30 * time.Minute)}
		if missed[key] {
			return false
		}
		started := k.start(r)
		missed[key] = !started
		return started
	})
}

func (k *control) start(r *run) bool {
	request := k.request(r)
	choice := k.policy.Place(k.fleet, request, k.now)
	if choice.Worker == "" && r.job.Priority == describer.Urgent && k.contender.Adaptive {
		choice = k.makeRoom(r, request)
	}
	if choice.Worker == "" {
		return false
	}
	h := k.byName[choice.Worker]
	k.sequence++
	if r.began.IsZero() {
		r.began = k.now
	}
	err := h.account.Allocate(r.id, accountant.Grant{
		Token: describer.Token{Epoch: 1, Sequence: k.sequence}, Class: r.job.Class, Team: r.job.Team,
		Kind: r.job.Kind, Priority: r.job.Priority, Resources: request.Want, Since: k.now,
	})
	if err != nil {
		return false
	}
	r.worker = h
	h.runs[r.id] = r
	k.changed(h)
	return true
}

func (k *control) request(r *run) placer.Request {
	want := r.job.Declared
	if !k.contender.DeclaredSizes {
		want = placer.SizeGrant(&k.usage, r.job, k.deployment.WorkerSize.Sub(describer.Resources{CPU: k.deployment.WorkerSize.CPU / 4}))
	}
	return placer.Request{
		Task: r.id, Job: r.job, Want: want, ReturnTo: r.homeTo, Avoid: k.avoid, Deadline: r.job.Deadline,
	}
}

// avoided returns the workers that fail everything or are silent.
func (k *control) avoided() map[string]bool {
	avoid := make(map[string]bool)
	for name, until := range k.aside {
		if k.now.Before(until) {
			avoid[name] = true
		}
	}
	for _, h := range k.hosts {
		if h.dead && k.now.Sub(h.account.LastInventory) > 15*time.Second {
			avoid[h.account.Host.Name] = true
		}
	}
	return avoid
}

// makeRoom throttles or evicts for an urgent task.
func (k *control) makeRoom(r *run, request placer.Request) placer.Choice {
	room := placer.Preempt(k.fleet, request, placer.Costs{}, k.budget.Available(k.now), k.now.Sub(r.arrives))
	if room.Worker == "" {
		r.refused = room.Reason
		return placer.Choice{Reason: room.Reason}
	}
	h := k.byName[room.Worker]
	for _, s := range room.Throttle {
		g := h.account.Grants[s.Task]
		g.Resources.CPU = s.To
		if h.account.Resize(s.Task, g.Token, g.Resources) != nil {
			return placer.Choice{Reason: "throttling failed"}
		}
	}
	for _, task := range room.Evict {
		k.budget.Take(k.now)
		k.evict(h.runs[task], true)
		k.evictions++
	}
	return placer.Choice{Worker: room.Worker}
}

// outcome sums up the morning.
func (k *control) outcome(all []*run) Outcome {
	o := Outcome{
		P99:          time.Duration(k.latencies.ValueAtQuantile(99)) * time.Microsecond,
		WithinTarget: float64(k.within) / float64(max(k.intervals, 1)),
		Evictions:    k.evictions, DrainEvictions: k.drained, RestoreTime: k.restored,
	}
	if len(k.restores) > 0 {
		o.RestoreTime = morning // never
	}
	done, whole, urgent := 0.0, 0.0, 0.0
	for _, r := range all {
		work := r.whole * k.truth.classes[r.class].cores
		whole += work
		if !r.finished.IsZero() && !r.finished.After(r.job.Deadline) {
			done += work
		}
		if r.job.Priority != describer.Urgent {
			continue
		}
		urgent++
		switch {
		case !r.began.IsZero() && r.began.Sub(r.arrives) <= placer.UrgentStartLimit:
			o.UrgentInTime++
		case r.refused != "":
			o.UrgentRefused++
		}
	}
	o.WorkInTime = done / whole
	o.UrgentInTime /= max(urgent, 1)
	o.UrgentRefused /= max(urgent, 1)
	return o
}
