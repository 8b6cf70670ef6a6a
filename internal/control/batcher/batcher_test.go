package batcher

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// service returns the durations of requests to a service.
func service(setup, each time.Duration) func(n int) time.Duration {
	return func(n int) time.Duration { return setup + time.Duration(n)*each }
}

// alike returns n candidates that are approved with a probability.
func alike(n int, probability float64) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = probability
	}
	return out
}

func TestSize(t *testing.T) {
	const ms = time.Millisecond
	for _, one := range []struct {
		name     string
		needed   int
		approval float64
		duration func(int) time.Duration
		min, max int
	}{
		{"one that is certain", 1, 1, service(300*ms, 60*ms), 1, 1},
		{"one of which half are approved", 1, 0.5, service(300*ms, 60*ms), 1, 4},
		{"many with a long setup", 20, 1, service(5000*ms, 10*ms), 15, 20},
		{"many without a setup", 20, 1, service(0, 2000*ms), 1, 1},
		{"many that cost nothing each", 20, 1, service(300*ms, 0), 16, 20},
		{"few are approved", 4, 0.1, service(1000*ms, 10*ms), 20, 60},
		{"none is expected", 1, 0, service(300*ms, 60*ms), 1, 1},
		{"no time at all", 3, 1, service(0, 0), 3, 3},
	} {
		t.Run(one.name, func(t *testing.T) {
			g := NewWithT(t)
			n := Size(one.needed, alike(100, one.approval), one.duration)
			g.Expect(n).To(And(BeNumerically(">=", one.min), BeNumerically("<=", one.max)))
		})
	}
}

func TestSizeIsLimitedByCandidates(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Size(9, alike(2, 0.5), service(time.Second, 0))).To(Equal(2))
	g.Expect(Size(9, alike(1, 0.5), service(time.Second, 0))).To(Equal(1))
}

func TestExpectedApprovals(t *testing.T) {
	g := NewWithT(t)
	got := expectedApprovals(2, []float64{1, 0.5, 0.5})
	g.Expect(got).To(HaveExactElements(BeNumerically("~", 1), BeNumerically("~", 1.5), BeNumerically("~", 1.75)))
}
