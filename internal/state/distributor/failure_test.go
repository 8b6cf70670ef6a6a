package distributor_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/state/distributor"
	"dotterelcart.dev/dotterelcart/internal/state/faker"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// heartbeats makes each host observe the revisions of the others, as heartbeats
// do.
func (f *fleet) heartbeats() {
	for _, h := range f.hosts {
		for name, other := range f.hosts {
			h.ObserveRevision(name, other.Current().Revision)
		}
	}
	time.Sleep(time.Second)
}

// expectNoRevert checks that the installed revisions of each host are in
// ascending order.
func (f *fleet) expectNoRevert() {
	GinkgoHelper()
	for name, h := range f.hosts {
		h.mu.Lock()
		Expect(slices.IsSorted(h.revisions)).To(BeTrue(), "%s: %v", name, h.revisions)
		h.mu.Unlock()
	}
}

// setDown begins or ends a store outage for the named hosts.
func (f *fleet) setDown(down bool, names ...string) {
	for _, name := range names {
		f.hosts[name].client.SetDown(down)
	}
}

var _ = Describe("Distributor under failures", func() {
	var f *fleet
	// withFleet returns a spec that runs with a new fleet in virtual time.
	withFleet := func(spec func()) func() {
		return virtual(func() {
			f = newFleet()
			defer f.stopAll()
			spec()
		})
	}

	It("is not ready before it reaches the store or a peer with a configuration", withFleet(func() {
		f.start("a/1", "a/2")
		f.propose("a/1", "one")
		time.Sleep(5 * time.Second)
		f.network.SetPartitioned("a/3", "a/1", true)
		f.network.SetPartitioned("a/3", "a/2", true)
		f.startDown("a/3")
		time.Sleep(time.Minute)
		Expect(f.hosts["a/3"].IsReady()).To(BeFalse())
		f.network.SetPartitioned("a/3", "a/2", false)
		time.Sleep(10 * time.Second)
		Expect(f.hosts["a/3"].IsReady()).To(BeTrue())
		Expect(f.revisions()).To(HaveEach(int64(1)))
	}))

	It("updates a domain that is partitioned from the store through other domains", withFleet(func() {
		f.start("a/1", "a/2", "b/1", "b/2", "b/3")
		f.propose("a/1", "one")
		time.Sleep(5 * time.Second)
		f.setDown(true, "b/1", "b/2", "b/3")
		f.propose("a/1", "two")
		time.Sleep(time.Second)
		f.heartbeats()
		Expect(f.revisions()).To(HaveEach(int64(2)))
		f.expectNoRevert()
	}))

	It("replaces a watcher that alone is partitioned from the store", withFleet(func() {
		f.start("a/1", "a/2", "a/3", "b/1")
		f.propose("b/1", "one")
		time.Sleep(5 * time.Second)
		for name, h := range f.hosts {
			if strings.HasPrefix(name, "a/") && h.client.CallCount("watch") > 0 {
				h.client.SetDown(true)
			}
		}
		f.propose("b/1", "two")
		time.Sleep(15 * time.Second) // no heartbeats
		Expect(f.revisions()).To(HaveEach(int64(2)))
	}))

	It("does not revert to the revision of an outdated peer or read", withFleet(func() {
		f.start("a/1", "a/2")
		for i := range 5 {
			f.propose("a/1", fmt.Sprint("team ", i))
		}
		time.Sleep(5 * time.Second)
		outdated := f.network.AddNode("old")
		whole := map[string]any{"revision": 3, "whole": map[string]any{"revision": 3}}
		Expect(outdated.Call(ctx, "a/1", "configure", whole, nil)).To(Succeed())
		for _, h := range f.hosts {
			h.client.SetFault(func(faker.Call) faker.Outcome { return faker.StaleRead })
		}
		f.setPeers()
		time.Sleep(time.Minute)
		Expect(f.revisions()).To(HaveEach(int64(5)))
		f.expectNoRevert()
	}))

	It("sends the whole configuration to a host that missed many changes", withFleet(func() {
		f.start("a/1", "a/2")
		f.network.SetPartitioned("a/1", "a/2", true)
		f.setDown(true, "a/2")
		for i := range 100 {
			f.propose("a/1", fmt.Sprint("team ", i))
		}
		f.network.SetPartitioned("a/1", "a/2", false)
		f.heartbeats()
		time.Sleep(5 * time.Second)
		Expect(f.revisions()).To(HaveEach(int64(100)))
		Expect(f.hosts["a/2"].Current()).To(Equal(f.hosts["a/1"].Current()))
		for _, name := range []string{"a/1", "a/2"} {
			f.network.SetPartitioned("b/1", name, true)
		}
		f.start("b/1")
		time.Sleep(5 * time.Second)
		Expect(f.hosts["b/1"].Current()).To(Equal(f.hosts["a/1"].Current()))
		Expect(f.store.Items("base/")).To(HaveLen(1))
	}))

	It("accepts a configuration of 100 kB and stores a change of it in a small document", withFleet(func() {
		f.start("a/1", "a/2")
		edit := func(c describer.Configuration) (describer.Configuration, error) {
			for i := range 500 {
				c.Services = append(c.Services, describer.Service{Name: fmt.Sprintf("service %d %s", i, strings.Repeat("x", 200))})
			}
			return c, nil
		}
		_, err := f.hosts["a/1"].Propose(ctx, edit)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(5 * time.Second)
		f.propose("a/2", "one")
		time.Sleep(5 * time.Second)
		Expect(f.revisions()).To(HaveEach(int64(2)))
		Expect(len(f.store.Items(distributor.DocumentKey)[0].Value)).To(BeNumerically("<", 1000))
	}))

	It("returns MayHaveRun if the outcome cannot be read back, and NotRun if nothing was written", withFleet(func() {
		f.start("a/1")
		f.propose("a/1", "one")
		f.hosts["a/1"].client.SetDown(true)
		_, err := f.hosts["a/1"].Propose(ctx, addTeam("two"))
		Expect(classifier.VerdictOf(err)).To(Equal(classifier.NotRun))
		client := f.hosts["a/1"].client
		client.SetDown(false)
		client.SetFault(func(c faker.Call) faker.Outcome {
			if c.Operation == "swap" {
				go client.SetDown(true)
				return faker.LoseResponse
			}
			return faker.Succeed
		})
		shortCtx, cancel := contextFor(10 * time.Second)
		defer cancel()
		_, err = f.hosts["a/1"].Propose(shortCtx, addTeam("three"))
		Expect(classifier.VerdictOf(err)).To(Equal(classifier.MayHaveRun))
	}))

	It("makes every accepted change exactly once when responses are lost", func() {
		for seed := range uint64(30) {
			withFleet(func() { f.proposeUnderFaults(seed) })()
		}
	})
})

// proposeUnderFaults makes hosts propose concurrently under random faults. Each
// edit increments a counter, so that a change that is lost or made twice shows.
func (f *fleet) proposeUnderFaults(seed uint64) {
	GinkgoHelper()
	f.start("a/1", "a/2", "b/1")
	outcomes := []faker.Outcome{faker.Drop, faker.LoseResponse, faker.LoseResponse, faker.StaleRead}
	for _, name := range []string{"a/1", "a/2", "b/1"} {
		random := rand.New(rand.NewPCG(seed, uint64(len(name))))
		f.hosts[name].client.SetFault(func(faker.Call) faker.Outcome {
			if random.Float64() < 0.3 {
				return outcomes[random.IntN(len(outcomes))]
			}
			return faker.Succeed
		})
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	accepted, unknown := 0, 0
	for _, h := range f.hosts {
		all.Go(func() {
			for range 15 {
				proposeCtx, cancel := contextFor(time.Minute)
				_, err := h.Propose(proposeCtx, countUp)
				cancel()
				mu.Lock()
				switch {
				case err == nil:
					accepted++
				case classifier.VerdictOf(err) == classifier.MayHaveRun:
					unknown++
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	for range 10 {
		f.heartbeats()
	}
	count := f.hosts["a/1"].Current().Teams[0].Weight
	Expect(count).To(BeNumerically(">=", accepted), "seed %d", seed)
	Expect(count).To(BeNumerically("<=", accepted+unknown), "seed %d", seed)
	Expect(f.revisions()).To(HaveEach(int64(count)))
	f.expectNoRevert()
}

// countUp increments the counter, which is the weight of a team.
func countUp(c describer.Configuration) (describer.Configuration, error) {
	if len(c.Teams) == 0 {
		c.Teams = []describer.Team{{Name: "counter"}}
	}
	c.Teams[0].Weight++
	return c, nil
}
