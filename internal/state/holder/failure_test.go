package holder_test

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/control/reducer"
	"dotterelcart.dev/dotterelcart/internal/state/faker"
)

const minute = time.Minute

var _ = Describe("Holder under failures", func() {
	var store *faker.Store
	var a, b *daemon

	// withHolders returns a spec that runs f with two holders in virtual time.
	withHolders := func(f func()) func() {
		return virtual(func() {
			store = faker.New()
			a, b = start(store, "a"), start(store, "b")
			defer b.stop()
			defer a.stop()
			f()
		})
	}
	lost := func(epoch int64) reducer.Event { return reducer.ShardLost{Shard: shard, Epoch: epoch} }
	appended := func(epoch, batch int64) reducer.Event {
		return reducer.RecordsAppended{Shard: shard, Epoch: epoch, Batch: batch}
	}

	It("keeps its shards during an outage and writes pending batches after it", withHolders(func() {
		a.claim()
		Expect(a.IsLeaseValid()).To(BeTrue())
		a.client.SetDown(true)
		b.client.SetDown(true)
		a.append(1, 1, "one")
		time.Sleep(5 * minute)
		Expect(a.takeEvents()).To(BeEmpty())
		Expect(a.IsLeaseValid()).To(BeFalse())
		a.append(1, 2, "two")
		a.client.SetDown(false)
		b.client.SetDown(false)
		time.Sleep(10 * time.Second)
		Expect(a.takeEvents()).To(Equal([]reducer.Event{appended(1, 1), appended(1, 2)}))
		Expect(a.IsLeaseValid()).To(BeTrue())
		Expect(b.claim()).To(Equal(reducer.ClaimFailed{Shard: shard, Owner: "a"}))
	}))

	It("loses a shard that another holder claimed during a partition", withHolders(func() {
		a.claim()
		a.client.SetDown(true)
		a.append(1, 1, "never")
		time.Sleep(minute)
		Expect(jobs(b.claim())).To(BeEmpty())
		Expect(a.takeEvents()).To(BeEmpty())
		a.client.SetDown(false)
		time.Sleep(10 * time.Second)
		Expect(a.takeEvents()).To(Equal([]reducer.Event{lost(1)}))
		a.append(1, 2, "never")
		Expect(a.takeEvents()).To(Equal([]reducer.Event{lost(1)}))
		b.append(2, 1, "one")
		time.Sleep(time.Second)
		Expect(b.takeEvents()).To(Equal([]reducer.Event{appended(2, 1)}))
	}))

	It("loses a shard without pending appends even if the next owner has died", withHolders(func() {
		a.claim()
		a.client.SetDown(true)
		time.Sleep(minute)
		b.claim()
		b.client.SetDown(true)
		time.Sleep(minute) // the next owner's record is deleted with its lease
		a.client.SetDown(false)
		time.Sleep(10 * time.Second)
		Expect(a.takeEvents()).To(Equal([]reducer.Event{lost(1)}))
	}))

	It("claims a dead owner's shard within the TTL of its lease", withHolders(func() {
		a.claim()
		a.append(1, 1, "one")
		time.Sleep(time.Second)
		a.client.SetDown(true) // simulates a crash
		died := time.Now()
		var e reducer.Event
		for {
			e = b.claim()
			if _, ok := e.(reducer.ShardClaimed); ok {
				break
			}
			time.Sleep(time.Second)
		}
		Expect(jobs(e)).To(Equal([]string{"one"}))
		Expect(time.Since(died)).To(BeNumerically("<=", 12*time.Second))
	}))

	It("hands its shards over on Close to a new process of the same name at once", withHolders(func() {
		a.claim()
		a.stop()
		again := start(store, "a")
		defer again.stop()
		Expect(again.claim()).To(Equal(reducer.ShardClaimed{Shard: shard, Epoch: 2}))
	}))

	It("does not claim the shard of a live process of the same name", withHolders(func() {
		a.claim()
		again := start(store, "a")
		defer again.stop()
		Expect(again.claim()).To(Equal(reducer.ClaimFailed{Shard: shard, Owner: "a"}))
	}))

	It("finishes a release after an outage", withHolders(func() {
		a.claim()
		a.client.SetDown(true)
		a.append(1, 1, "one")
		a.Do(reducer.ReleaseShard{Shard: shard, Epoch: 1})
		time.Sleep(5 * minute)
		Expect(a.takeEvents()).To(BeEmpty())
		a.client.SetDown(false)
		time.Sleep(10 * time.Second)
		Expect(a.takeEvents()).To(Equal([]reducer.Event{appended(1, 1), lost(1)}))
		Expect(jobs(b.claim())).To(Equal([]string{"one"}))
	}))

	It("deletes its owner record when a claim fails", withHolders(func() {
		var broken atomic.Bool
		broken.Store(true)
		a.client.SetFault(func(c faker.Call) faker.Outcome {
			switch {
			case strings.HasSuffix(c.Key, "owner") && c.Operation == "swap":
				return faker.LoseResponse
			case strings.HasSuffix(c.Key, "owner") && broken.Load():
				return faker.Drop
			}
			return faker.Succeed
		})
		a.Do(reducer.ClaimShard{Shard: shard})
		time.Sleep(minute)
		broken.Store(false)
		time.Sleep(10 * time.Second)
		Expect(a.takeEvents()).To(Equal([]reducer.Event{reducer.ClaimFailed{Shard: shard}}))
		Expect(jobs(b.claim())).To(BeEmpty())
	}))

	It("reports the store as reachable after each renewal", withHolders(func() {
		a.claim()
		a.takeEvents()
		a.takeReachable()
		time.Sleep(minute)
		Expect(len(a.takeReachable())).To(BeNumerically(">=", 17)) // one renewal in each third of the TTL of 10 s
		a.client.SetDown(true)
		time.Sleep(minute)
		Expect(a.takeReachable()).To(And(HaveEach(false), Not(BeEmpty())))
		a.client.SetDown(false)
		time.Sleep(minute)
		Expect(a.takeReachable()).To(And(HaveEach(true), Not(BeEmpty())))
	}))

	It("reports the store as reachable soon after an outage", withHolders(func() {
		a.claim()
		a.client.SetDown(true)
		a.append(1, 1, "one")
		time.Sleep(100 * time.Millisecond)
		a.client.SetDown(false)
		a.takeReachable()
		time.Sleep(time.Second) // shorter than the renewal interval
		Expect(a.takeReachable()).To(ContainElement(true))
	}))

	It("reports a lost shard before it reports the store as reachable", func() {
		for _, appends := range []int64{0, 1} {
			withHolders(func() {
				a.claim()
				a.client.SetDown(true)
				for i := range appends {
					a.append(1, i+1, "never")
				}
				time.Sleep(minute)
				b.claim()
				a.takeEvents()
				a.takeReachable()
				var order []reducer.Event
				a.watch(func(e reducer.Event) { order = append(order, e) })
				a.client.SetDown(false)
				time.Sleep(10 * time.Second)
				a.watch(nil)
				Expect(order).To(ContainElement(lost(1)))
				Expect(order).To(ContainElement(reducer.StoreChecked{Reachable: true}))
				first := slices.Index(order, lost(1))
				Expect(order[:first]).NotTo(ContainElement(reducer.StoreChecked{Reachable: true}))
			})()
		}
	})

	It("keeps every appended record during random hand-overs and faults", func() {
		for seed := range uint64(30) {
			withHolders(func() { handOverUnderFaults(rand.New(rand.NewPCG(seed, seed)), a, b) })()
		}
	})
})

// handOverUnderFaults moves a shard back and forth between holders under random
// faults.
func handOverUnderFaults(random *rand.Rand, daemons ...*daemon) {
	GinkgoHelper()
	outcomes := []faker.Outcome{faker.Drop, faker.LoseResponse, faker.LoseResponse, faker.StaleRead}
	for _, d := range daemons {
		random := rand.New(rand.NewPCG(random.Uint64(), 1))
		d.client.SetFault(func(faker.Call) faker.Outcome {
			if random.Float64() < 0.2 {
				return outcomes[random.IntN(len(outcomes))]
			}
			return faker.Succeed
		})
	}
	expected := []string{}
	for round := range 8 {
		d := daemons[random.IntN(len(daemons))]
		claimed, ok := d.claim().(reducer.ShardClaimed)
		if !ok {
			time.Sleep(time.Duration(random.IntN(20)) * time.Second)
			continue
		}
		Expect(jobs(claimed)).To(Equal(expected))
		name := string(rune('a' + round))
		d.append(claimed.Epoch, 1, name)
		time.Sleep(2 * minute)
		Expect(d.takeEvents()).To(Equal([]reducer.Event{reducer.RecordsAppended{Shard: shard, Epoch: claimed.Epoch, Batch: 1}}))
		expected = append(expected, name)
		d.Do(reducer.ReleaseShard{Shard: shard, Epoch: claimed.Epoch})
		time.Sleep(minute)
		Expect(d.takeEvents()).To(Equal([]reducer.Event{reducer.ShardLost{Shard: shard, Epoch: claimed.Epoch}}))
	}
}
