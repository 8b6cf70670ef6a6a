package registrar_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/platform/lister"
	"dotterelcart.dev/dotterelcart/internal/standin/registrar"
)

var _ = Describe("Registrar", func() {
	ctx := context.Background()
	start := func(delay time.Duration) *registrar.Registrar {
		r, err := registrar.New("127.0.0.1:0", delay)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { r.Close() })
		r.Set([]describer.Host{{Name: "w1", State: describer.Live, Address: "10.0.0.1:80"}})
		return r
	}

	It("shows a change only after the delay", func() {
		r := start(time.Hour)
		r.SetState("w1", describer.Leaving)
		hosts, err := lister.New("http://"+r.Address, http.DefaultClient).Hosts(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(hosts).To(HaveExactElements(HaveField("State", describer.Live)))
	})

	It("shows and removes hosts, with replaced addresses in a view", func() {
		r := start(0)
		r.SetView("fnq", map[string]string{"10.0.0.1:80": "10.0.0.9:80"})
		c := lister.New("http://"+r.Address+"/fnq", http.DefaultClient)
		r.SetState("w1", describer.Leaving)
		hosts, err := c.Hosts(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(hosts).To(HaveExactElements(And(
			HaveField("State", describer.Leaving), HaveField("Address", "10.0.0.9:80"))))
		r.SetState("w1", "")
		Expect(c.Hosts(ctx)).To(BeEmpty())
	})
})
