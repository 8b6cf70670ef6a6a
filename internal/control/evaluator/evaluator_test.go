package evaluator

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// small returns a deployment that is quick to simulate.
func small() Deployment {
	d := Deployments()[1]
	d.Workers, d.RackSize, d.Demand = 8, 4, 0.3
	return d
}

func variant(name string) Variant {
	for _, v := range Variants() {
		if v.Name == name {
			return v
		}
	}
	panic("unknown variant " + name)
}

var _ = ginkgo.Describe("Run", func() {
	ginkgo.It("returns the same outcome for the same seed", func() {
		first := simulate(small(), variant(DefaultName), 7)
		Expect(simulate(small(), variant(DefaultName), 7)).To(Equal(first))
		Expect(simulate(small(), variant(DefaultName), 8)).NotTo(Equal(first))
	})

	ginkgo.It("ends every restore, and starts urgent tasks in time or refuses them with a reason", func() {
		o := simulate(small(), variant(DefaultName), 3)
		Expect(o.RestoreTime).To(BeNumerically("<=", 21*time.Minute))
		Expect(o.UrgentInTime + o.UrgentRefused).To(BeNumerically("~", 1, 1e-9))
	})

	ginkgo.It("prints the goals below the table", func() {
		r := Run(Options{
			Seeds: 1, Deployments: []Deployment{small()},
			Variants: []Variant{variant(NoColocationName), variant("first-fit"), variant(DefaultName)},
		})
		Expect(r.Table()).To(ContainSubstring("against no colocation (goal +5 %)"))
	})
})

var _ = ginkgo.Describe("environment", func() {
	ginkgo.It("has the same load for all variants", func() {
		loads := func(name string) []float64 {
			e, all := newEnvironment(small(), 5)
			c := newController(e, variant(name))
			var out []float64
			for range 200 {
				e.advance()
				c.pending = append(c.pending, all[len(out)])
				c.receiveReports()
				c.place()
				out = append(out, e.hosts[1].load)
			}
			return out
		}
		Expect(loads("first-fit")).To(Equal(loads(NoColocationName)))
	})

	ginkgo.It("never grants more than a worker's capacity", func() {
		e, all := newEnvironment(small(), 5)
		c := newController(e, variant(DefaultName))
		c.pending = all
		for range 500 {
			c.handleEnds(e.advance())
			c.receiveReports()
			c.resizeGrants()
			c.escalate()
			c.place()
			for _, h := range e.hosts {
				Expect(h.account.Granted.Fits(h.account.Host.Capacity.Sub(h.account.Reserved))).To(BeTrue())
			}
		}
	})
})
