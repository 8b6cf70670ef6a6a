package pacer

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/control/ranker"
)

// play replays a worker whose serving task has a load that swings, beside
// fillers with the given harm. It returns the longest time over the target
// and the share of full pace that the fillers had.
func play(harms []float64, swing float64, seconds int) (longest time.Duration, used float64) {
	const step = 500 * time.Millisecond
	fillers := make([]Filler, len(harms))
	for i, harm := range harms {
		fillers[i] = Filler{Pace: full, Interference: harm}
	}
	over := time.Duration(0)
	steps := seconds * int(time.Second/step)
	for i := range steps {
		base := 0.5 * (1 + swing*math.Sin(2*math.Pi*float64(i)/20))
		tail := base
		for _, f := range fillers {
			tail *= math.Exp(f.Interference * float64(f.Pace) / full)
			used += float64(f.Pace) / full / float64(steps*len(fillers))
		}
		if tail > 1 {
			over += step
		} else {
			over = 0
		}
		longest = max(longest, over)
		Decide(tail, over, fillers)
	}
	return longest, used
}

var _ = Describe("Decide", func() {
	It("keeps a serving task under its target most of the time beside a harmful filler", func() {
		longest, _ := play([]float64{1.2, 0.02, 0.02}, 0.5, 60)
		Expect(longest).To(BeNumerically("<=", 1500*time.Millisecond))
	})

	It("leaves harmless fillers at full pace", func() {
		_, used := play([]float64{0.01, 0.02}, 0.5, 60)
		Expect(used).To(BeNumerically("~", 1, 0.01))
	})

	It("slows the most harmful filler first", func() {
		fillers := []Filler{{Pace: 100, Interference: 0.1}, {Pace: 100, Interference: 0.9}}
		Decide(1.1, 0, fillers)
		Expect(fillers[0].Pace).To(Equal(100))
		Expect(fillers[1].Pace).To(BeNumerically("<", 100))
	})

	It("lets work that is late give way to work that can end in time", func() {
		fillers := []Filler{{Pace: 100, Interference: 0.6}, {Pace: 100, Interference: 0.3, Lateness: ranker.Late}}
		Decide(1.1, 0, fillers)
		Expect(fillers[0].Pace).To(Equal(100))
		Expect(fillers[1].Pace).To(BeNumerically("<", 100))
	})

	It("stops every filler when a tail stays over its target", func() {
		fillers := []Filler{{Pace: 100, Interference: 0}, {Pace: 50, Interference: 0}}
		Decide(1.3, overLimit, fillers)
		Expect(fillers).To(HaveEach(HaveField("Pace", 0)))
	})

	It("lets fillers work again when nothing serves beside them", func() {
		fillers := []Filler{{Pace: 0, Interference: 5}}
		for range 3 {
			Decide(0, 0, fillers)
		}
		Expect(fillers[0].Pace).To(Equal(100))
	})
})
