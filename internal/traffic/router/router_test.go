package router_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/traffic/router"
)

func TestRouter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "router")
}

// clock is the virtual time of the router.
type clock struct{ now time.Time }

// fleet returns a routing table with n backend servers, each after change.
func fleet(n int, change func(i int, b *describer.Backend)) *describer.RoutingTable {
	var all []describer.Backend
	for i := range n {
		b := describer.Backend{Worker: fmt.Sprintf("w%03d", i), Domain: "d", Region: "r", Slots: 8, Connections: 64}
		if change != nil {
			change(i, &b)
		}
		all = append(all, b)
	}
	return &describer.RoutingTable{Services: map[string][]describer.Backend{"desk": all}}
}

// noSlots is a SlotSource without slots that counts the requests for them. It gives one if a
// lease has arrived meanwhile.
type noSlots struct {
	requests int
	arrived  bool
}

func (n *noSlots) Limit(describer.Backend) int { return 0 }

func (n *noSlots) Acquire(describer.Backend, time.Time) (func(), bool) {
	n.requests++
	return func() {}, n.arrived
}

var _ = Describe("Router", func() {
	var (
		c *clock
		r *router.Router
		q = router.Request{Service: "desk"}
	)
	BeforeEach(func() {
		c = &clock{now: time.Unix(1000, 0)}
		r = router.New(router.Options{
			Domain: "d", Region: "r", Seed: 7, LinkBudget: router.NewLinkBudget(1000), Now: func() time.Time { return c.now },
		}, &router.FixedShare{Hosts: 2})
	})
	take := func(t *describer.RoutingTable) *router.Slot {
		slot, err := r.Take(t, q)
		Expect(err).NotTo(HaveOccurred())
		return slot
	}
	// run sends n requests one after another and counts them by worker.
	run := func(t *describer.RoutingTable, n int, end func(s *router.Slot)) map[string]int {
		out := make(map[string]int)
		for range n {
			slot := take(t)
			out[slot.Backend.Worker]++
			end(slot)
		}
		return out
	}
	answered := func(s *router.Slot) { c.now = c.now.Add(time.Millisecond); s.Release(router.Answered) }

	It("spreads requests evenly up to the available slots", func() {
		t := fleet(5, nil)
		count := make(map[string]int)
		for range 20 {
			count[take(t).Backend.Worker]++
		}
		for _, n := range count {
			Expect(n).To(Equal(4))
		}
		_, err := r.Take(t, q)
		Expect(err).To(MatchError(router.ErrNoSlot))
	})

	It("prefers its own failure domain, then its region", func() {
		t := fleet(2, func(i int, b *describer.Backend) { b.Domain = []string{"e", "d"}[i] })
		for range 4 {
			Expect(take(t).Backend.Domain).To(Equal("d"))
		}
		Expect(take(t).Backend.Domain).To(Equal("e"))
	})

	It("uses another region only when allowed and within the link budget", func() {
		t := fleet(1, func(_ int, b *describer.Backend) { b.Region, b.Domain = "x", "x" })
		_, err := r.Take(t, q)
		Expect(err).To(MatchError(router.ErrNoBackend))
		crossRegion := router.Request{Service: "desk", CrossRegion: true, Bytes: 600}
		slot, err := r.Take(t, crossRegion)
		Expect(err).NotTo(HaveOccurred())
		Expect(slot.CrossRegion).To(BeTrue())
		r.Options.LinkBudget.Charge(600, c.now)
		_, err = r.Take(t, crossRegion)
		Expect(err).To(MatchError(router.ErrLinkBudget))
		c.now = c.now.Add(time.Second)
		_, err = r.Take(t, crossRegion)
		Expect(err).NotTo(HaveOccurred())
	})

	It("asks for a slot of backend servers of which it has none", func() {
		// A lender requests slots of a worker only after a request has missed one.
		slots := &noSlots{}
		r = router.New(router.Options{Domain: "d", Region: "r"}, slots)
		_, err := r.Take(fleet(3, func(_ int, b *describer.Backend) { b.Domain = "other" }), q)
		Expect(err).To(MatchError(router.ErrNoSlot))
		Expect(slots.requests).To(Equal(1))
	})

	It("uses a slot that has arrived while it asked", func() {
		r = router.New(router.Options{Domain: "d", Region: "r"}, &noSlots{arrived: true})
		slot, err := r.Take(fleet(3, nil), q)
		Expect(err).NotTo(HaveOccurred())
		Expect(slot.Backend.Worker).NotTo(BeEmpty())
	})

	It("avoids interference", func() {
		t := fleet(2, func(i int, b *describer.Backend) { b.Interference = float64(i) })
		Expect(run(t, 10, answered)).To(Equal(map[string]int{"w000": 10}))
	})

	It("sends no request to a closed backend server", func() {
		t := fleet(2, func(i int, b *describer.Backend) { b.Closed = i == 0 })
		Expect(run(t, 10, answered)).To(Equal(map[string]int{"w001": 10}))
	})

	Describe("while a failure domain is evacuated", func() {
		evacuate := func(domains ...string) *describer.RoutingTable {
			return fleet(4, func(i int, b *describer.Backend) {
				b.Domain = []string{"d", "d", "e", "e"}[i]
				b.Evacuated = slices.Contains(domains, b.Domain)
				b.Closed = b.Evacuated
			})
		}

		It("sends new requests to other domains, also retries and hedges, and completes those in flight", func() {
			inFlight := take(evacuate())
			Expect(inFlight.Backend.Domain).To(Equal("d"))
			table := evacuate("d")
			for range 8 {
				Expect(take(table).Backend.Domain).To(Equal("e"))
			}
			_, err := r.Take(table, q)
			Expect(err).To(MatchError(router.ErrNoSlot))
			_, err = r.Take(table, router.Request{Service: "desk", CrossRegion: true, Avoid: map[string]bool{"w002": true, "w003": true}})
			Expect(err).To(MatchError(router.ErrNoBackend))
			Expect(err).NotTo(MatchError(router.ErrEvacuated), "a server that was tried is not evacuated")
			inFlight.Release(router.Answered)
			Expect(take(evacuate()).Backend.Domain).To(Equal("d"), "the domain is used again")
		})

		It("says so if all are", func() {
			_, err := r.Take(evacuate("d", "e"), q)
			Expect(err).To(MatchError(router.ErrEvacuated))
			Expect(r.Capacity(evacuate("d", "e"), "desk")).To(BeZero())
			_, err = r.Take(&describer.RoutingTable{Services: map[string][]describer.Backend{"desk": nil}}, q)
			Expect(err).NotTo(MatchError(router.ErrEvacuated), "there is no backend server")
		})
	})

	It("ejects failing backend servers, up to a bound, with a slow start afterwards", func() {
		t := fleet(10, nil)
		fail := func(s *router.Slot) {
			if s.Backend.Worker < "w005" {
				s.Release(router.Failed)
				return
			}
			answered(s)
		}
		run(t, 400, fail)
		inUse := run(t, 400, answered)
		Expect(inUse).To(HaveLen(7), "the default MinOpen of 0.7 keeps 7 of 10 in use")
		c.now = c.now.Add(router.DefaultEjection)
		slots := make(map[string]int)
		for {
			slot, err := r.Take(t, q)
			if errors.Is(err, router.ErrNoSlot) {
				break
			}
			slots[slot.Backend.Worker]++
		}
		Expect(slots).To(HaveLen(10))
		single := 0
		for _, n := range slots {
			if n == 1 {
				single++
			}
		}
		Expect(single).To(Equal(3), "servers that return begin with one request")
	})

	It("ejects a backend server that is far slower than the others", func() {
		t := fleet(8, nil)
		run(t, 400, func(s *router.Slot) {
			if s.Backend.Worker == "w003" {
				c.now = c.now.Add(50 * time.Millisecond)
			}
			answered(s)
		})
		Expect(run(t, 100, answered)).NotTo(HaveKey("w003"))
	})

	It("does not eject a backend server after few responses", func() {
		t := fleet(8, nil)
		n := 0
		run(t, 40, func(s *router.Slot) {
			if n++; s.Backend.Worker == "w003" && n > 20 {
				c.now = c.now.Add(50 * time.Millisecond)
			}
			answered(s)
		})
		Expect(r.Capacity(t, "desk")).To(Equal(32))
	})

	It("lowers the limit after refusals and raises it again", func() {
		t := fleet(1, nil)
		first := []*router.Slot{take(t), take(t), take(t)}
		first[0].Release(router.Overloaded)
		first[1].Release(router.Overloaded)
		Expect(r.Capacity(t, "desk")).To(Equal(1))
		first[2].Release(router.Answered)
		run(t, 200, answered)
		Expect(r.Capacity(t, "desk")).To(Equal(4))
	})
})

func BenchmarkTake(b *testing.B) {
	for _, n := range []int{48, 2500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			t := fleet(n, nil)
			r := router.New(router.Options{Domain: "d", Region: "r"}, &router.FixedShare{Hosts: 2})
			b.ReportAllocs()
			for b.Loop() {
				slot, err := r.Take(t, router.Request{Service: "desk"})
				if err != nil {
					b.Fatal(err)
				}
				slot.Release(router.Answered)
			}
		})
	}
}
