package placer_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"dotterelcart.dev/dotterelcart/internal/control/accountant"
	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/learner"
	"dotterelcart.dev/dotterelcart/internal/control/placer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
)

var now = time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)

func worker(name string, services ...string) *accountant.Worker {
	return &accountant.Worker{Host: describer.Host{
		Name: name, Rack: "r-" + name, Services: services,
		Capacity: describer.Resources{CPU: 16000, Memory: 60000},
	}}
}

func fleet(workers ...*accountant.Worker) *accountant.Fleet {
	f := &accountant.Fleet{Workers: make(map[string]*accountant.Worker)}
	for _, w := range workers {
		f.Workers[w.Host.Name] = w
	}
	return f
}

func request(index int, cpu int64) placer.Request {
	job := &describer.Job{ID: "j", Class: "translate", Declared: describer.Resources{CPU: cpu}}
	return placer.Request{Task: describer.TaskID{Job: "j", Index: index}, Job: job, Want: job.Declared}
}

// allocate gives a batch task a grant on the worker.
func allocate(w *accountant.Worker, index int, cpu int64) {
	r := request(100+index, cpu)
	Expect(w.Allocate(r.Task, accountant.Grant{Class: "translate", Resources: r.Want})).To(Succeed())
}

var _ = Describe("InterferenceAware", func() {
	target := map[string]describer.Service{"desk": {Name: "desk", Target: 100 * time.Millisecond}}

	It("prefers a worker without a service", func() {
		f := fleet(worker("a", "desk"), worker("b"))
		policy := placer.InterferenceAware{Learner: learner.New(learner.Options{}), Services: target}
		Expect(policy.Place(f, request(0, 1000), now).Worker).To(Equal("b"))
	})

	It("says why it refuses a task", func() {
		f := fleet(worker("a", "desk"))
		policy := placer.InterferenceAware{Learner: learner.New(learner.Options{Prior: 3}), Services: target}
		choice := policy.Place(f, request(0, 8000), now)
		Expect(choice.Worker).To(BeEmpty())
		Expect(choice.Reason).To(HavePrefix("would slow desk by up to "))
	})

	It("accepts one small task at a time where there are no reports", func() {
		f := fleet(worker("a", "desk"))
		policy := placer.InterferenceAware{Learner: learner.New(learner.Options{Prior: 3}), Services: target}
		Expect(policy.Place(f, request(0, 1500), now).Worker).To(Equal("a"))
		allocate(f.Workers["a"], 0, 1500)
		Expect(policy.Place(f, request(1, 1500), now).Worker).To(BeEmpty())
		f.Workers["a"].Release(request(100, 0).Task, describer.Token{})
		Expect(policy.Place(f, request(1, 1500), now).Worker).To(Equal("a"))
	})

	It("accepts a slowdown far below the target", func() {
		place := func(p99 time.Duration) string {
			f := fleet(worker("a", "desk"))
			l := learner.New(learner.Options{Prior: 1})
			for i := range 20 {
				from := now.Add(time.Duration(i) * time.Second)
				l.Observe(learner.Sample{Latency: runner.LatencyReport{
					Service: "desk", From: from, To: from.Add(time.Second), P99: p99, Count: 50,
				}})
			}
			return placer.InterferenceAware{Learner: l, Services: target}.Place(f, request(0, 4000), now).Worker
		}
		Expect(place(10 * time.Millisecond)).To(Equal("a"))
		Expect(place(60 * time.Millisecond)).To(BeEmpty())
	})

	It("places only urgent tasks while batch placement is blocked", func() {
		f := fleet(worker("a", "desk"))
		f.Workers["a"].BatchBlockedUntil = now.Add(time.Second)
		policy := placer.InterferenceAware{Services: target}
		Expect(policy.Place(f, request(0, 100), now).Reason).To(Equal("kept off while services recover"))
		urgent := request(0, 100)
		urgent.Job.Priority = describer.Urgent
		Expect(policy.Place(f, urgent, now).Worker).To(Equal("a"))
	})

	It("returns drained tasks to their former worker", func() {
		f := fleet(worker("a"), worker("b"), worker("c"))
		r := request(0, 1000)
		r.ReturnTo = "c"
		Expect(placer.InterferenceAware{}.Place(f, r, now).Worker).To(Equal("c"))
	})

	It("spreads a job over racks", func() {
		f := fleet(worker("a"), worker("b"), worker("c"))
		used := map[string]bool{}
		for i := range 3 {
			r := request(i, 1000)
			choice := placer.InterferenceAware{}.Place(f, r, now)
			Expect(f.Workers[choice.Worker].Allocate(r.Task, accountant.Grant{Resources: r.Want})).To(Succeed())
			used[choice.Worker] = true
		}
		Expect(used).To(HaveLen(3))
	})

	It("stays within the batch limit of a restore", func() {
		f := fleet(worker("a"))
		f.Workers["a"].BatchLimited, f.Workers["a"].BatchLimit = true, 500
		Expect(placer.InterferenceAware{}.Place(f, request(0, 501), now).Worker).To(BeEmpty())
		Expect(placer.InterferenceAware{}.Place(f, request(0, 500), now).Worker).To(Equal("a"))
	})
})

var _ = Describe("baselines", func() {
	It("choose different workers", func() {
		f := fleet(worker("a", "desk"), worker("b", "desk"), worker("c"))
		allocate(f.Workers["c"], 0, 4000)
		r := request(0, 1000)
		Expect(placer.FirstFit{}.Place(f, r, now).Worker).To(Equal("a"))
		Expect(placer.LeastLoaded{}.Place(f, r, now).Worker).To(Equal("a"))
		Expect(placer.NoColocation{}.Place(f, r, now).Worker).To(Equal("c"))
		f.Workers["a"].Reports = map[string]runner.LatencyReport{"desk": {Load: 0.9}}
		Expect(placer.StaticThreshold{Share: 0.5, Load: 0.8}.Place(f, r, now).Worker).To(Equal("b"))
		Expect(placer.StaticThreshold{Share: 0.05, Load: 0.8}.Place(f, r, now).Worker).To(Equal("c"))
	})
})

var _ = Describe("grant sizes", func() {
	capacity := describer.Resources{CPU: 16000, Memory: 60000, Accelerators: 1}
	job := &describer.Job{Team: "t", Class: "c", Declared: describer.Resources{CPU: 8000, Memory: 1000}}

	It("follow measured use with a margin", func() {
		var u placer.Usage
		for range 50 {
			u.Observe(accountant.Grant{
				Team: "t", Class: "c", Resources: job.Declared,
				Used: describer.Resources{CPU: 2000, Memory: 500},
			})
		}
		Expect(placer.SizeGrant(&u, job, capacity).CPU).To(BeNumerically("~", 2300, 30))
		Expect(placer.SizeGrant(nil, job, capacity)).To(Equal(job.Declared))
	})

	It("grow when use reaches the grant, within the maximum error of a declaration", func() {
		var u placer.Usage
		grant := accountant.Grant{Team: "t", Class: "c", Resources: job.Declared}
		for range 200 {
			grant.Used = grant.Resources
			u.Observe(grant)
			grant.Resources = placer.SizeGrant(&u, job, describer.Resources{CPU: 1 << 40, Memory: 1 << 40})
		}
		Expect(grant.Resources.CPU).To(BeNumerically("<=", 80000))
		Expect(grant.Resources.CPU).To(BeNumerically(">", 16000))
		Expect(placer.SizeGrant(&u, job, capacity).CPU).To(Equal(capacity.CPU))
	})

	It("do not grow for a throttled task", func() {
		g := accountant.Grant{Resources: job.Declared, Used: job.Declared, ThrottledTo: 8000}
		Expect(placer.ResizeGrant(g, capacity).CPU).To(BeEquivalentTo(8000))
		g.ThrottledTo = 0
		Expect(placer.ResizeGrant(g, capacity).CPU).To(BeEquivalentTo(12000))
	})
})

var _ = Describe("Preempt", func() {
	var w *accountant.Worker

	BeforeEach(func() {
		w = worker("a")
		for i := range 4 {
			allocate(w, i, 4000)
		}
	})

	It("throttles before it evicts", func() {
		p := placer.Preempt(fleet(w), request(0, 8000), placer.Costs{}, 9, 0)
		Expect(p.Worker).To(Equal("a"))
		Expect(p.Evict).To(BeEmpty())
		Expect(p.Throttle).To(HaveLen(4))
		Expect(p.Freed.CPU).To(BeEquivalentTo(8000))
	})

	It("evicts the fewest tasks when throttling is not enough", func() {
		p := placer.Preempt(fleet(w), request(0, 9000), placer.Costs{}, 9, 0)
		Expect(p.Evict).To(HaveLen(1))
	})

	It("says why it refuses", func() {
		Expect(placer.Preempt(fleet(w), request(0, 9000), placer.Costs{}, 0, 0).Reason).To(Equal("the eviction budget is used up"))
		Expect(placer.Preempt(fleet(w), request(0, 90000), placer.Costs{}, 9, 0).Reason).To(Equal("no open worker is large enough"))
		late := placer.Preempt(fleet(w), request(0, 9000), placer.Costs{}, 9, 3*time.Second)
		Expect(late.Reason).To(HavePrefix("making room takes 4.5s"))
	})
})

// TestMakeRoomIsEnough checks on random accounts that a preemption frees enough
// for the urgent task, in time, within the budget and without touching urgent or
// latency-critical tasks, or else states a reason.
func TestMakeRoomIsEnough(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := fleet(worker("a"), worker("b", "desk"), worker("c"))
		for i := range rapid.IntRange(0, 30).Draw(t, "grants") {
			name := rapid.SampledFrom(f.Names()).Draw(t, "worker")
			_ = f.Workers[name].Allocate(describer.TaskID{Job: "x", Index: i}, accountant.Grant{
				Kind:      rapid.SampledFrom([]describer.Kind{describer.Batch, describer.LatencyCritical}).Draw(t, "kind"),
				Priority:  rapid.SampledFrom([]describer.Priority{describer.Normal, describer.Urgent}).Draw(t, "priority"),
				Resources: describer.Resources{CPU: rapid.Int64Range(1, 8000).Draw(t, "cpu"), Memory: rapid.Int64Range(0, 30000).Draw(t, "memory")},
			})
		}
		budget := rapid.IntRange(0, 4).Draw(t, "budget")
		elapsed := time.Duration(rapid.IntRange(0, 8).Draw(t, "elapsed")) * time.Second
		r := request(0, rapid.Int64Range(1, 20000).Draw(t, "want"))
		r.Want.Memory = rapid.Int64Range(0, 60000).Draw(t, "memory")
		p := placer.Preempt(f, r, placer.Costs{}, budget, elapsed)
		if p.Worker == "" {
			if p.Reason == "" {
				t.Fatal("refused without a reason")
			}
			return
		}
		if len(p.Evict) > budget || elapsed+p.Wait > placer.UrgentStartLimit {
			t.Fatalf("%d evictions with a budget of %d, starts after %s", len(p.Evict), budget, elapsed+p.Wait)
		}
		w := f.Workers[p.Worker]
		for _, task := range p.Evict {
			mustBePreemptible(t, w.Grants[task])
			w.Release(task, describer.Token{})
		}
		for _, s := range p.Throttle {
			g := w.Grants[s.Task]
			mustBePreemptible(t, g)
			g.Resources.CPU = s.To
			if err := w.Resize(s.Task, g.Token, g.Resources); err != nil {
				t.Fatal(err)
			}
		}
		if err := w.Allocate(r.Task, accountant.Grant{Resources: r.Want}); err != nil {
			t.Fatal(fmt.Errorf("freed resources are not enough: %w", err))
		}
	})
}

func mustBePreemptible(t *rapid.T, g accountant.Grant) {
	if g.Kind != describer.Batch || g.Priority == describer.Urgent {
		t.Fatalf("%v %v task was preempted", g.Priority, g.Kind)
	}
}
