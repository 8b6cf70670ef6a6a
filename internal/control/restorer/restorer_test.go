package restorer

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"dotterelcart.dev/dotterelcart/internal/control/accountant"
	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
)

var start = time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)

const target = 100 * time.Millisecond

type bench struct {
	in    Input
	state State
}

func newBench() *bench {
	b := &bench{}
	b.in = Input{
		Now: start, State: &b.state,
		Worker: &accountant.Worker{
			Host:          describer.Host{Name: "w", Capacity: describer.Resources{CPU: 16000}, Services: []string{"desk"}},
			LastInventory: start,
		},
		Services: map[string]describer.Service{"desk": {Name: "desk", Target: target}},
	}
	return b
}

// report lets 10 s pass with a latency as a share of the target.
func (b *bench) report(ratio float64) Decision {
	b.in.Now = b.in.Now.Add(10 * time.Second)
	b.in.Worker.LastInventory = b.in.Now
	b.in.Worker.Reports = map[string]runner.LatencyReport{"desk": {
		Service: "desk", To: b.in.Now, Count: 300, P99: time.Duration(ratio * float64(target)),
	}}
	return Decide(b.in)
}

// until reports until the restore is done and returns the time that it took.
func (b *bench) until(ratio func(i int) float64) time.Duration {
	for i := range 10000 {
		if b.report(ratio(i)).Done {
			break
		}
	}
	return b.in.Now.Sub(start)
}

var _ = Describe("Decide", func() {
	It("gives work back gradually", func() {
		b := newBench()
		limits := []int64{}
		for d := (Decision{}); !d.Done; {
			d = b.report(0.5)
			if n := len(limits); n == 0 || limits[n-1] != d.Limit {
				limits = append(limits, d.Limit)
			}
		}
		Expect(limits).To(Equal([]int64{2000, 4000, 8000, 16000}))
		Expect(b.in.Now.Sub(start)).To(BeNumerically("~", 4*time.Minute, 20*time.Second))
	})

	It("says what holds it back", func() {
		b := newBench()
		Expect(b.report(2).BlockedBy).To(Equal("desk is at 200 % of its target, must fall below 90 %"))
	})

	It("waits at the last step for tasks that are owed", func() {
		b := newBench()
		b.in.Returning = 3
		for range 30 {
			b.report(0.5)
		}
		Expect(b.report(0.5).BlockedBy).To(HavePrefix("3 tasks wait to come back"))
		b.in.Returning = 0
		Expect(b.report(0.5).Done).To(BeTrue())
	})

	It("ends although a service never comes within its target", func() {
		Expect(newBench().until(func(int) float64 { return 3 })).To(BeNumerically("<=", 21*time.Minute))
	})

	It("lets no time pass for a silent worker, and ends when it is gone", func() {
		b := newBench()
		b.report(0.5)
		b.in.Now = b.in.Now.Add(time.Hour)
		d := Decide(b.in)
		Expect(d.Open).To(BeFalse())
		Expect(d.BlockedBy).To(Equal("no answer from the worker for 1h0m0s"))
		Expect(b.state.Step).To(Equal(0))
		Expect(b.report(0.5).Limit).To(BeEquivalentTo(2000))
		b.in.Removed = true
		Expect(Decide(b.in).Done).To(BeTrue())
	})
})

// TestEndsUnderNoise checks that any latency leads to the end within the
// patience of all steps, and that the limit never falls.
func TestEndsUnderNoise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench()
		ratios := rapid.SliceOfN(rapid.Float64Range(0.05, 8), 1, 40).Draw(t, "ratios")
		wave := rapid.Float64Range(0, 0.5).Draw(t, "wave")
		b.in.Returning = rapid.IntRange(0, 3).Draw(t, "owed")
		var limit int64
		for i := range 200 {
			d := b.report(ratios[i%len(ratios)] * (1 + wave*math.Sin(float64(i))))
			if d.Limit < limit {
				t.Fatalf("limit fell from %d to %d", limit, d.Limit)
			}
			limit = d.Limit
			if d.Done {
				return
			}
		}
		t.Fatal("no end after 2000 s with a patience of 4 * 300 s")
	})
}
