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

// fixture is the restore of one worker with a service.
type fixture struct {
	in    Input
	state State
}

func newFixture() *fixture {
	f := &fixture{}
	f.in = Input{
		Now: start, State: &f.state,
		Worker: &accountant.Worker{
			Host:          describer.Host{Name: "w", Capacity: describer.Resources{CPU: 16000}, Services: []string{"desk"}},
			LastInventory: start,
		},
		Services: map[string]describer.Service{"desk": {Name: "desk", Target: target}},
	}
	return f
}

// report advances the time by 10 s and reports a latency ratio.
func (f *fixture) report(ratio float64) Decision {
	f.in.Now = f.in.Now.Add(10 * time.Second)
	f.in.Worker.LastInventory = f.in.Now
	f.in.Worker.Reports = map[string]runner.LatencyReport{"desk": {
		Service: "desk", To: f.in.Now, Count: 300, P99: time.Duration(ratio * float64(target)),
	}}
	return Decide(f.in)
}

// until reports until the restore has ended and returns the time that it took.
func (f *fixture) until(ratio func(i int) float64) time.Duration {
	for i := range 10000 {
		if f.report(ratio(i)).Done {
			break
		}
	}
	return f.in.Now.Sub(start)
}

var _ = Describe("Decide", func() {
	It("raises the limit step by step", func() {
		f := newFixture()
		limits := []int64{}
		for d := (Decision{}); !d.Done; {
			d = f.report(0.5)
			if n := len(limits); n == 0 || limits[n-1] != d.Limit {
				limits = append(limits, d.Limit)
			}
		}
		Expect(limits).To(Equal([]int64{2000, 4000, 8000, 16000}))
		Expect(f.in.Now.Sub(start)).To(BeNumerically("~", 4*time.Minute, 20*time.Second))
	})

	It("says why a step can't end", func() {
		f := newFixture()
		Expect(f.report(2).BlockedBy).To(Equal("desk is at 200 % of its target, must fall below 90 %"))
	})

	It("waits in the last step for the drained tasks to return", func() {
		f := newFixture()
		f.in.Returning = 3
		for range 30 {
			f.report(0.5)
		}
		Expect(f.report(0.5).BlockedBy).To(HavePrefix("3 tasks wait to come back"))
		f.in.Returning = 0
		Expect(f.report(0.5).Done).To(BeTrue())
	})

	It("ends although a service never meets its target", func() {
		Expect(newFixture().until(func(int) float64 { return 3 })).To(BeNumerically("<=", 21*time.Minute))
	})

	It("suspends a step while the worker does not respond, and ends when it is removed", func() {
		f := newFixture()
		f.report(0.5)
		f.in.Now = f.in.Now.Add(time.Hour)
		d := Decide(f.in)
		Expect(d.Open).To(BeFalse())
		Expect(d.BlockedBy).To(Equal("no answer from the worker for 1h0m0s"))
		Expect(f.state.Step).To(Equal(0))
		Expect(f.report(0.5).Limit).To(BeEquivalentTo(2000))
		f.in.Removed = true
		Expect(Decide(f.in).Done).To(BeTrue())
	})
})

// TestEndsUnderNoise checks that for any latency a restore ends within the
// maximum time of all steps, and that the limit never falls.
func TestEndsUnderNoise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		ratios := rapid.SliceOfN(rapid.Float64Range(0.05, 8), 1, 40).Draw(t, "ratios")
		wave := rapid.Float64Range(0, 0.5).Draw(t, "wave")
		f.in.Returning = rapid.IntRange(0, 3).Draw(t, "returning")
		var limit int64
		for i := range 200 {
			d := f.report(ratios[i%len(ratios)] * (1 + wave*math.Sin(float64(i))))
			if d.Limit < limit {
				t.Fatalf("limit fell from %d to %d", limit, d.Limit)
			}
			limit = d.Limit
			if d.Done {
				return
			}
		}
		t.Fatal("no end after 2000 s with 4 steps of at most 300 s")
	})
}
