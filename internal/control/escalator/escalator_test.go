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

// bench is one worker with a service and tasks of 2 classes.
type bench struct {
	now    time.Time
	worker *accountant.Worker
	state  State
	budget *Budget
	taken  map[Kind]int
	order  []Kind

	learner *learner.Learner
	bounds  map[string]time.Duration
}

func newBench(tasks int, burst float64) *bench {
	b := &bench{now: start, budget: NewBudget(burst, 0, start), taken: make(map[Kind]int)}
	b.worker = &accountant.Worker{Host: describer.Host{
		Name: "w", Capacity: describer.Resources{CPU: 16000}, Services: []string{"desk"},
	}}
	for i := range tasks {
		id := describer.TaskID{Job: "j", Index: i}
		_ = b.worker.Allocate(id, accountant.Grant{Class: "c", Resources: describer.Resources{CPU: 4000}})
	}
	return b
}

// report lets 10 s pass, reports a latency as a share of the target and carries out what is decided.
func (b *bench) report(ratio float64) []Action {
	b.now = b.now.Add(10 * time.Second)
	b.worker.Reports = map[string]runner.Latency{"desk": {
		Service: "desk", To: b.now, Count: 300, Load: 0.5,
		P99: time.Duration(ratio * float64(target)),
	}}
	actions := Decide(Input{
		Now: b.now, Worker: b.worker, State: &b.state, Budget: b.budget, Learner: b.learner, LatencyBounds: b.bounds,
		Services: map[string]describer.Service{"desk": {Name: "desk", Target: target}},
	})
	for _, a := range actions {
		b.taken[a.Kind]++
		b.order = append(b.order, a.Kind)
		switch a.Kind {
		case Unthrottle, Throttle:
			g := b.worker.Grants[a.Task]
			_ = b.worker.Resize(a.Task, a.Token, describer.Resources{CPU: a.CPU, Memory: g.Resources.Memory})
		case Move, Stop:
			b.worker.Release(a.Task, a.Token)
		}
	}
	return actions
}

var _ = Describe("Decide", func() {
	It("takes the steps in order of cost", func() {
		b := newBench(2, 9)
		for range 40 {
			b.report(1.5)
		}
		seen := map[Kind]bool{}
		first := []Kind{}
		for _, k := range b.order {
			if !seen[k] {
				first = append(first, k)
			}
			seen[k] = true
		}
		Expect(first).To(Equal([]Kind{BlockBatch, Throttle, Move}))
		Expect(b.worker.Grants).To(BeEmpty())
	})

	It("throttles no more tasks than are expected to be needed", func() {
		b := newBench(4, 9)
		b.report(1.02)
		Expect(b.taken[Throttle]).To(Equal(1))
	})

	It("stops runs only when moving was not enough and the target is missed by far", func() {
		b := newBench(4, 9)
		for range 60 {
			b.report(5)
		}
		Expect(b.taken[Move]).To(BeNumerically(">", 0))
	})

	It("waits until reports can show the effect", func() {
		b := newBench(2, 9)
		b.report(1.5)
		acted := b.state.LastStep
		b.report(1.5)
		Expect(b.state.LastStep).To(Equal(acted))
	})

	It("does nothing but keep tasks off when batch is not to blame", func() {
		b := newBench(0, 9)
		small := accountant.Grant{Class: "c", Resources: describer.Resources{CPU: 200}}
		Expect(b.worker.Allocate(describer.TaskID{Job: "small"}, small)).To(Succeed())
		for range 20 {
			b.report(3)
		}
		Expect(b.taken).To(HaveLen(1))
		Expect(b.taken[BlockBatch]).To(Equal(20))
	})

	It("throttles, and no more, where more than the bound is expected", func() {
		b := newBench(3, 9)
		b.learner = learner.New(learner.Options{})
		b.bounds = map[string]time.Duration{"desk": 55 * time.Millisecond}
		for range 30 {
			b.learner.Observe(learner.Sample{Latency: runner.Latency{
				Service: "desk", To: b.now, Count: 300, Load: 0.5, P99: target / 2,
			}})
		}
		for range 30 {
			b.report(0.6)
		}
		Expect(b.taken).To(HaveLen(1))
		Expect(b.taken[Throttle]).To(Equal(3))
	})

	It("raises throttled grants again when the target has been kept for a while", func() {
		b := newBench(2, 9)
		b.report(1.5)
		Expect(b.taken[Throttle]).To(Equal(2))
		for range 40 {
			b.report(0.5)
		}
		Expect(b.taken[Unthrottle]).To(Equal(2))
		Expect(b.worker.BatchCPU()).To(BeEquivalentTo(8000))
	})

	It("does not swing with noisy waves around the target", func() {
		b := newBench(3, 9)
		r := rand.New(rand.NewPCG(3, 3))
		for i := range 720 { // 2 hours
			wave := 0.85 + 0.15*math.Sin(float64(i)/6)
			b.report(wave * math.Exp(0.3*r.NormFloat64()))
		}
		Expect(b.taken[Throttle] + b.taken[Unthrottle]).To(BeNumerically("<=", 24))
		Expect(b.taken[Move] + b.taken[Stop]).To(BeNumerically("<=", 2))
	})
})

// TestBudget checks that no sequence of latencies and times takes more
// evictions than the bucket holds and gains.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		burst := rapid.Float64Range(0, 3).Draw(t, "burst")
		hourly := rapid.Float64Range(0, 60).Draw(t, "hourly")
		b := newBench(4, burst)
		b.budget.Hourly = hourly
		for range rapid.IntRange(1, 60).Draw(t, "reports") {
			b.now = b.now.Add(time.Duration(rapid.IntRange(-5, 120).Draw(t, "pause")) * time.Second)
			b.report(rapid.Float64Range(0.1, 10).Draw(t, "ratio"))
			taken := float64(b.taken[Move] + b.taken[Stop])
			if allowed := burst + hourly*b.now.Sub(start).Hours(); taken > allowed+1e-9 {
				t.Fatalf("%v evictions, %v allowed", taken, allowed)
			}
		}
	})
}
