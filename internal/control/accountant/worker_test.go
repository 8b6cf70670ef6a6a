package accountant

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

var _ = Describe("Worker", func() {
	var w *Worker
	id := describer.TaskID{Job: "j"}
	token := describer.Token{Epoch: 1, Sequence: 1}

	BeforeEach(func() {
		w = &Worker{Host: describer.Host{Name: "w", Capacity: describer.Resources{CPU: 1000, Memory: 100}}}
		grant := Grant{Token: token, Class: "c", Resources: describer.Resources{CPU: 300, Memory: 90}}
		Expect(w.Allocate(id, grant)).To(Succeed())
	})

	It("keeps batch grants within the limit of a restore", func() {
		w.BatchLimited, w.BatchLimit = true, 500
		Expect(w.FreeForBatch().CPU).To(BeEquivalentTo(200))
		w.Closed = true
		Expect(w.FreeForBatch()).To(BeZero())
	})

	It("shrinks grants on a worker whose capacity fell", func() {
		w.Host.Capacity.Memory = 50
		Expect(w.Resize(id, token, describer.Resources{CPU: 300, Memory: 60})).To(Succeed())
		Expect(w.Resize(id, token, describer.Resources{CPU: 300, Memory: 61})).NotTo(Succeed())
	})

	It("ignores a release with an old token", func() {
		w.Release(id, describer.Token{})
		Expect(w.Tasks()).To(Equal([]describer.TaskID{id}))
		Expect(w.BatchShares()).To(Equal(map[string]float64{"c": 0.3}))
	})

	It("clones its grants", func() {
		c := w.Clone()
		c.Release(id, token)
		Expect(w.Grants).To(HaveLen(1))
	})
})
