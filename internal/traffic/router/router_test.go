package router_test

import (
	"errors"
	"fmt"
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

type clock struct{ now time.Time }

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
		place, err := r.Take(t, q)
		Expect(err).NotTo(HaveOccurred())
		return place
	}
	// finish lets n requests end one after another and counts them by worker.
	finish := func(t *describer.RoutingTable, n int, end func(p *router.Slot)) map[string]int {
		out := make(map[string]int)
		for range n {
			place := take(t)
			out[place.Backend.Worker]++
			end(place)
		}
		return out
	}
	answered := func(p *router.Slot) { c.now = c.now.Add(time.Millisecond); p.Release(router.Answered) }

	It("spreads requests evenly and stops at the slots lent", func() {
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

	It("prefers the own failure domain, then the region", func() {
		t := fleet(2, func(i int, b *describer.Backend) { b.Domain = []string{"e", "d"}[i] })
		for range 4 {
			Expect(take(t).Backend.Domain).To(Equal("d"))
		}
		Expect(take(t).Backend.Domain).To(Equal("e"))
	})

	It("goes to another region only when allowed and within the budget", func() {
		t := fleet(1, func(_ int, b *describer.Backend) { b.Region, b.Domain = "x", "x" })
		_, err := r.Take(t, q)
		Expect(err).To(MatchError(router.ErrNoBackend))
		far := router.Request{Service: "desk", CrossRegion: true, Bytes: 600}
		place, err := r.Take(t, far)
		Expect(err).NotTo(HaveOccurred())
		Expect(place.CrossRegion).To(BeTrue())
		r.Options.LinkBudget.Charge(600, c.now)
		_, err = r.Take(t, far)
		Expect(err).To(MatchError(router.ErrLinkBudget))
		c.now = c.now.Add(time.Second)
		_, err = r.Take(t, far)
		Expect(err).NotTo(HaveOccurred())
	})

	It("avoids interference", func() {
		t := fleet(2, func(i int, b *describer.Backend) { b.Interference = float64(i) })
		Expect(finish(t, 10, answered)).To(Equal(map[string]int{"w000": 10}))
	})

	It("gives nothing new to a closed backend server", func() {
		t := fleet(2, func(i int, b *describer.Backend) { b.Closed = i == 0 })
		Expect(finish(t, 10, answered)).To(Equal(map[string]int{"w001": 10}))
	})

	It("ejects a failing backend server, down to a floor, and starts it slowly again", func() {
		t := fleet(10, nil)
		fail := func(p *router.Slot) {
			if p.Backend.Worker < "w005" {
				p.Release(router.Failed)
				return
			}
			answered(p)
		}
		finish(t, 400, fail)
		used := finish(t, 400, answered)
		Expect(used).To(HaveLen(7), "the floor of 0.7 keeps 7 of 10 in use")
		c.now = c.now.Add(router.DefaultEjection)
		places := make(map[string]int)
		for {
			place, err := r.Take(t, q)
			if errors.Is(err, router.ErrNoSlot) {
				break
			}
			places[place.Backend.Worker]++
		}
		Expect(places).To(HaveLen(10))
		slow := 0
		for _, n := range places {
			if n == 1 {
				slow++
			}
		}
		Expect(slow).To(Equal(3), "those that return begin with one request")
	})

	It("ejects a backend server that is far slower than the others", func() {
		t := fleet(8, nil)
		finish(t, 400, func(p *router.Slot) {
			if p.Backend.Worker == "w003" {
				c.now = c.now.Add(50 * time.Millisecond)
			}
			answered(p)
		})
		Expect(finish(t, 100, answered)).NotTo(HaveKey("w003"))
	})

	It("does not eject on few answers", func() {
		t := fleet(8, nil)
		n := 0
		finish(t, 40, func(p *router.Slot) {
			if n++; p.Backend.Worker == "w003" && n > 20 {
				c.now = c.now.Add(50 * time.Millisecond)
			}
			answered(p)
		})
		Expect(r.Capacity(t, "desk")).To(Equal(32))
	})

	It("learns a lower limit from refusals and raises it again", func() {
		t := fleet(1, nil)
		first := []*router.Slot{take(t), take(t), take(t)}
		first[0].Release(router.Overloaded)
		first[1].Release(router.Overloaded)
		Expect(r.Capacity(t, "desk")).To(Equal(1))
		first[2].Release(router.Answered)
		finish(t, 200, answered)
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
				place, err := r.Take(t, router.Request{Service: "desk"})
				if err != nil {
					b.Fatal(err)
				}
				place.Release(router.Answered)
			}
		})
	}
}
