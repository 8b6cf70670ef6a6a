package learner

import (
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/platform/runner"
)

var start = time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)

// report returns a noisy sample of a service whose latency is 20 ms alone and
// multiplied by exp(0.8 * share of "heavy").
func report(r *rand.Rand, at time.Time, heavy, light float64) Sample {
	seconds := 0.02 * math.Exp(0.8*heavy+0.2*r.NormFloat64())
	return Sample{
		Worker: "w",
		Latency: runner.LatencyReport{
			Service: "desk", From: at.Add(-10 * time.Second), To: at, Load: 0.6, Count: 500,
			P99: time.Duration(seconds * float64(time.Second)),
		},
		Shares: map[string]float64{"heavy": heavy, "light": light},
	}
}

// trained returns a learner that has observed the given number of reports.
func trained(reports int) *Learner {
	l := New(Options{})
	r := rand.New(rand.NewPCG(7, 7))
	for i := range reports {
		at := start.Add(time.Duration(i) * 10 * time.Second)
		l.Observe(report(r, at, 0.5*r.Float64(), 0.5*r.Float64()))
	}
	return l
}

var _ = Describe("Learner", func() {
	It("returns the prior without reports", func() {
		l := New(Options{})
		mean, upper := l.Coefficient("desk", "heavy", 0.6)
		Expect(mean).To(Equal(l.Options.Prior))
		Expect(upper).To(BeNumerically(">", mean))
	})

	It("distinguishes classes in noisy reports", func() {
		l := trained(600)
		heavy, upper := l.Coefficient("desk", "heavy", 0.6)
		light, _ := l.Coefficient("desk", "light", 0.6)
		Expect(heavy).To(BeNumerically("~", 0.8, 0.3))
		Expect(light).To(BeNumerically("~", 0, 0.3))
		Expect(upper - heavy).To(BeNumerically("<", 0.2))
		base, ok := l.Baseline("desk", 0.6)
		Expect(ok).To(BeTrue())
		Expect(base).To(BeNumerically("~", 20*time.Millisecond, 2*time.Millisecond))
	})

	It("stays near the prior with few reports", func() {
		heavy, _ := trained(3).Coefficient("desk", "heavy", 0.6)
		Expect(heavy).To(BeNumerically("~", 0.4, 0.25))
	})

	It("becomes less certain with time", func() {
		l := trained(600)
		mean, upper := l.Coefficient("desk", "heavy", 0.6)
		late := report(rand.New(rand.NewPCG(1, 1)), start.Add(24*time.Hour), 0, 0)
		l.Observe(late)
		agedMean, agedUpper := l.Coefficient("desk", "heavy", 0.6)
		Expect(agedUpper - agedMean).To(BeNumerically(">", 2*(upper-mean)))
		Expect(math.Abs(agedMean - l.Options.Prior)).To(BeNumerically("<", math.Abs(mean-l.Options.Prior)))
	})

	It("limits the effect of a single outlier", func() {
		l := trained(600)
		before, _ := l.Coefficient("desk", "heavy", 0.6)
		outlier := report(rand.New(rand.NewPCG(1, 1)), start.Add(2*time.Hour), 0.5, 0)
		outlier.Latency.P99 = 20 * time.Second
		l.Observe(outlier)
		after, _ := l.Coefficient("desk", "heavy", 0.6)
		Expect(after - before).To(BeNumerically("<", 0.3))
	})

	It("shares one coefficient between classes beyond its limit", func() {
		l := New(Options{MaxClasses: 1})
		s := report(rand.New(rand.NewPCG(1, 1)), start, 0.3, 0.3)
		l.Observe(s)
		model := l.Models[ModelKey{"desk", Band(0.6)}]
		Expect(model.Mean).To(HaveLen(3))
		Expect(model.Index["heavy"]).To(Equal(model.Index["light"]))
	})

	It("explains what the reports showed", func() {
		lines := trained(600).Explain("desk", "heavy")
		Expect(lines).To(HaveLen(1))
		Expect(lines[0]).To(HavePrefix("desk beside heavy at load 50-75 %: half of the worker slows it by "))
	})
})

var _ = Describe("Timeline", func() {
	It("weights shares by the time for which they were held", func() {
		var t Timeline
		t.Record("w", start, nil)
		t.Record("w", start.Add(15*time.Second), map[string]float64{"heavy": 0.4})
		shares, ok := t.Average("w", start.Add(10*time.Second), start.Add(20*time.Second))
		Expect(ok).To(BeTrue())
		Expect(shares["heavy"]).To(BeNumerically("~", 0.2, 1e-9))
	})

	It("returns false for an interval that begins before its first change", func() {
		var t Timeline
		t.Record("w", start, nil)
		_, ok := t.Average("w", start.Add(-time.Second), start.Add(time.Second))
		Expect(ok).To(BeFalse())
	})

	It("drops changes older than its retention", func() {
		t := Timeline{Retention: time.Minute}
		for i := range 1000 {
			t.Record("w", start.Add(time.Duration(i)*time.Second), nil)
		}
		Expect(len(t.Workers["w"])).To(BeNumerically("<=", 62))
	})
})
