package evaluator

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// small is a deployment that is quick to play.
func small() Deployment {
	d := Deployments()[1]
	d.Workers, d.RackSize, d.Demand = 8, 4, 0.3
	return d
}

func contender(name string) Variant {
	for _, c := range Variants() {
		if c.Name == name {
			return c
		}
	}
	panic("no contender " + name)
}

var _ = ginkgo.Describe("Run", func() {
	ginkgo.It("gives the same figures for the same seed", func() {
		first := play(small(), contender(DefaultName), 7)
		Expect(play(small(), contender(DefaultName), 7)).To(Equal(first))
		Expect(play(small(), contender(DefaultName), 8)).NotTo(Equal(first))
	})

	ginkgo.It("ends every restore, and starts urgent tasks in bound or says why not", func() {
		o := play(small(), contender(DefaultName), 3)
		Expect(o.RestoreTime).To(BeNumerically("<=", 21*time.Minute))
		Expect(o.UrgentInTime + o.UrgentRefused).To(BeNumerically("~", 1, 1e-9))
	})

	ginkgo.It("tabulates the goals", func() {
		r := Run(Options{
			Seeds: 1, Deployments: []Deployment{small()},
			Variants: []Variant{contender(NoColocationName), contender("first-fit"), contender(DefaultName)},
		})
		Expect(r.Table()).To(ContainSubstring("against no colocation (goal +5 %)"))
	})
})

var _ = ginkgo.Describe("fake", func() {
	ginkgo.It("has the same load for all contenders", func() {
		loads := func(name string) []float64 {
			w, all := newWorld(small(), 5)
			k := newControl(w, contender(name))
			var out []float64
			for range 200 {
				w.advance()
				k.pending = append(k.pending, all[len(out)])
				k.hear()
				k.place()
				out = append(out, w.hosts[1].load)
			}
			return out
		}
		Expect(loads("first-fit")).To(Equal(loads(NoColocationName)))
	})

	ginkgo.It("never grants more than a worker has", func() {
		w, all := newWorld(small(), 5)
		k := newControl(w, contender(DefaultName))
		k.pending = all
		for range 500 {
			k.ended(w.advance())
			k.hear()
			k.resize()
			k.protect()
			k.place()
			for _, h := range w.hosts {
				Expect(h.account.Granted.Fits(h.account.Host.Capacity.Sub(h.account.Reserved))).To(BeTrue())
			}
		}
	})
})
