package escalator

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"dotterelcart.dev/dotterelcart/internal/control/accountant"
	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/learner"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
)

var start = time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)

const target = 100 * time.Millisecond

// fixture is one worker with a service and batch tasks of one class.
type fixture struct {
	now    time.Time
	worker *accountant.Worker
	state  State
	budget *Budget
	taken  map[Kind]int
	order  []Kind

	learner *learner.Learner
	bounds  map[string]time.Duration
}

// newFixture returns a worker with the given number of batch tasks and a full
// budget that is never refilled.
func newFixture(tasks int, burst float64) *fixture {
	f := &fixture{now: start, budget: NewBudget(burst, 0, start), taken: make(map[Kind]int)}
	f.worker = &accountant.Worker{Host: describer.Host{
		Name: "w", Capacity: describer.Resources{CPU: 16000}, Services: []string{"desk"},
	}}
	for i := range tasks {
		id := describer.TaskID{Job: "j", Index: i}
		_ = f.worker.Allocate(id, accountant.Grant{Class: "c", Resources: describer.Resources{CPU: 4000}})
	}
	return f
}

// report advances the time by 10 s, reports a latency ratio and carries out the
// decided actions.
func (f *fixture) report(ratio float64) []Action {
	f.now = f.now.Add(10 * time.Second)
	f.worker.Reports = map[string]runner.LatencyReport{"desk": {
		Service: "desk", To: f.now, Count: 300, Load: 0.5,
		P99: time.Duration(ratio * float64(target)),
	}}
	actions := Decide(Input{
		Now: f.now, Worker: f.worker, State: &f.state, Budget: f.budget, Learner: f.learner, LatencyBounds: f.bounds,
		Services: map[string]describer.Service{"desk": {Name: "desk", Target: target}},
	})
	for _, a := range actions {
		f.taken[a.Kind]++
		f.order = append(f.order, a.Kind)
		switch a.Kind {
		case Unthrottle, Throttle:
			g := f.worker.Grants[a.Task]
			_ = f.worker.Resize(a.Task, a.Token, describer.Resources{CPU: a.CPU, Memory: g.Resources.Memory})
		case Move, Stop:
			f.worker.Release(a.Task, a.Token)
		}
	}
	return actions
}

var _ = Describe("Decide", func() {
	It("takes the steps in order of rising cost", func() {
		f := newFixture(2, 9)
		for range 40 {
			f.report(1.5)
		}
		seen := map[Kind]bool{}
		first := []Kind{}
		for _, k := range f.order {
			if !seen[k] {
				first = append(first, k)
			}
			seen[k] = true
		}
		Expect(first).To(Equal([]Kind{BlockBatch, Throttle, Move}))
		Expect(f.worker.Grants).To(BeEmpty())
	})

	It("throttles only as many tasks as are expected to be needed", func() {
		f := newFixture(4, 9)
		f.report(1.02)
		Expect(f.taken[Throttle]).To(Equal(1))
	})

	It("stops runs only when moving was not enough and the target is missed by far", func() {
		f := newFixture(4, 9)
		for range 60 {
			f.report(5)
		}
		Expect(f.taken[Move]).To(BeNumerically(">", 0))
	})

	It("waits until reports can show the effect of a step", func() {
		f := newFixture(2, 9)
		f.report(1.5)
		lastStep := f.state.LastStep
		f.report(1.5)
		Expect(f.state.LastStep).To(Equal(lastStep))
	})

	It("only blocks new batch tasks when the running ones cause no slowdown", func() {
		f := newFixture(0, 9)
		small := accountant.Grant{Class: "c", Resources: describer.Resources{CPU: 200}}
		Expect(f.worker.Allocate(describer.TaskID{Job: "small"}, small)).To(Succeed())
		for range 20 {
			f.report(3)
		}
		Expect(f.taken).To(HaveLen(1))
		Expect(f.taken[BlockBatch]).To(Equal(20))
	})

	It("throttles but doesn't evict when the expected latency exceeds the bound", func() {
		f := newFixture(3, 9)
		f.learner = learner.New(learner.Options{})
		f.bounds = map[string]time.Duration{"desk": 55 * time.Millisecond}
		for range 30 {
			f.learner.Observe(learner.Sample{Latency: runner.LatencyReport{
				Service: "desk", To: f.now, Count: 300, Load: 0.5, P99: target / 2,
			}})
		}
		for range 30 {
			f.report(0.6)
		}
		Expect(f.taken).To(HaveLen(1))
		Expect(f.taken[Throttle]).To(Equal(3))
	})

	It("undoes throttles when the target has been met for a while", func() {
		f := newFixture(2, 9)
		f.report(1.5)
		Expect(f.taken[Throttle]).To(Equal(2))
		for range 40 {
			f.report(0.5)
		}
		Expect(f.taken[Unthrottle]).To(Equal(2))
		Expect(f.worker.BatchCPU()).To(BeEquivalentTo(8000))
	})

	It("doesn't oscillate when noisy latency rises and falls around the target", func() {
		f := newFixture(3, 9)
		r := rand.New(rand.NewPCG(3, 3))
		for i := range 720 { // 2 hours
			wave := 0.85 + 0.15*math.Sin(float64(i)/6)
			f.report(wave * math.Exp(0.3*r.NormFloat64()))
		}
		Expect(f.taken[Throttle] + f.taken[Unthrottle]).To(BeNumerically("<=", 24))
		Expect(f.taken[Move] + f.taken[Stop]).To(BeNumerically("<=", 2))
	})
})

// TestBudget checks that for any sequence of latencies and times no more
// evictions are taken than the bucket held and gained.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		burst := rapid.Float64Range(0, 3).Draw(t, "burst")
		hourly := rapid.Float64Range(0, 60).Draw(t, "hourly")
		f := newFixture(4, burst)
		f.budget.Hourly = hourly
		for range rapid.IntRange(1, 60).Draw(t, "reports") {
			f.now = f.now.Add(time.Duration(rapid.IntRange(-5, 120).Draw(t, "pause")) * time.Second)
			f.report(rapid.Float64Range(0.1, 10).Draw(t, "ratio"))
			taken := float64(f.taken[Move] + f.taken[Stop])
			if allowed := burst + hourly*f.now.Sub(start).Hours(); taken > allowed+1e-9 {
				t.Fatalf("%v evictions, %v allowed", taken, allowed)
			}
		}
	})
}
