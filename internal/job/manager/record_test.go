package manager_test

import (
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/state/faker"
)

// TestLeaseEndsDuringClaim guards against an owner without an owner record: the store lease ends
// while the jobs of a claimed shard are read, so that any other daemon may claim the shard, too.
func TestLeaseEndsDuringClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store, workers := faker.New(), newFleet("w1")
		a := newDaemon("a", store, workers)
		defer a.Close()
		hasRecord := func() bool { return len(store.Items(recorder.OwnerKey("desk"))) == 1 }
		a.store.SetDelay(func(c faker.Call) time.Duration {
			if c.Operation == "list" && c.Key == recorder.ShardPrefix("desk") {
				return 6 * time.Second
			}
			return 0
		})
		for !hasRecord() {
			time.Sleep(50 * time.Millisecond)
		}
		a.store.SetFault(func(c faker.Call) faker.Outcome {
			if c.Operation == "renew" {
				return faker.Drop
			}
			return faker.Succeed
		})
		time.Sleep(4 * time.Second) // the lease lasts for 3 s
		g.Expect(hasRecord()).To(BeFalse())
		a.store.SetFault(nil)
		time.Sleep(4 * time.Second)
		a.submit(g, 1)
		time.Sleep(2 * time.Second)
		g.Expect(hasRecord()).To(BeTrue())
		workers.mu.Lock()
		defer workers.mu.Unlock()
		g.Expect(workers.starts).NotTo(BeEmpty(), "the daemon acts as the owner")
	})
}

// TestRecordOfAnEndedLease guards against a replaced owner that renews leases on workers for good:
// it has written its owner record again, but hears of that only when the lease of that record has
// ended as well, and then takes the renewals of the next lease for confirmations.
func TestRecordOfAnEndedLease(t *testing.T) {
	inBubble(t, func(g Gomega, a, b *daemon, f *fleet) {
		const outageLimit = 8 * time.Second
		owner, other := ownerOf(g, a, b)
		token := f.cutOffSuccessors()
		other.store.SetDown(true)
		owner.store.SetDown(true)
		time.Sleep(5 * time.Second) // the first lease ends

		began := time.Now()
		var isWritten, isKnown atomic.Bool
		owner.store.SetFault(func(c faker.Call) faker.Outcome {
			isFence := strings.HasPrefix(c.Key, recorder.FenceKey("desk"))
			secondEnded := time.Since(began) > 6*time.Second
			switch {
			case c.Operation == "grant":
				return faker.Succeed
			case c.Operation == "renew" && (!isWritten.Load() || secondEnded):
				return faker.Succeed
			case isKnown.Load():
				return faker.Drop
			case c.Operation == "commit" && isFence && !isWritten.Load():
				isWritten.Store(true)
				return faker.LoseResponse
			case c.Operation == "commit" && isFence && time.Since(began) > 8*time.Second:
				return faker.Succeed // a conflict with the write before
			case c.Operation == "get" && isFence && time.Since(began) > 8*time.Second:
				isKnown.Store(true)
				return faker.Succeed
			}
			return faker.Drop
		})
		owner.store.SetDown(false)
		// The delays between the attempts of a write are random.
		for time.Since(began) < 9*time.Second || !isKnown.Load() && time.Since(began) < 13*time.Second {
			time.Sleep(100 * time.Millisecond)
		}
		g.Expect(isKnown.Load()).To(BeTrue())
		other.store.SetDown(false)
		time.Sleep(4 * time.Second)
		g.Expect(other.View().Shards["desk"].Owner).To(Equal(other.store.Name))
		claimed := time.Now()
		time.Sleep(3 * outageLimit)
		f.mu.Lock()
		renewed := f.renewed[token]
		f.mu.Unlock()
		g.Expect(renewed).NotTo(BeZero(), "the replaced owner has renewed leases before")
		g.Expect(renewed.Sub(claimed)).To(BeNumerically("<=", outageLimit))
	})
}

// TestOwnershipDuringSlowLoad guards against an owner that acts for longer than its successor
// waits: the shard was claimed by another daemon while its jobs were still being read.
func TestOwnershipDuringSlowLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const outageLimit = 8 * time.Second
		store, workers := faker.New(), newFleet("w1")
		a := newDaemon("a", store, workers)
		defer a.Close()
		ownerOfShard := func() string {
			items := store.Items(recorder.OwnerKey("desk"))
			if len(items) == 0 {
				return ""
			}
			var owner recorder.Owner
			g.Expect(recorder.Decode(items[0].Value, &owner)).To(Succeed())
			return owner.Daemon
		}
		a.store.SetDelay(func(c faker.Call) time.Duration {
			if c.Operation == "list" && c.Key == recorder.ProgressPrefix("desk") {
				return 6 * time.Second
			}
			return 0
		})
		for ownerOfShard() != "a" {
			time.Sleep(50 * time.Millisecond)
		}
		token := store.Items(recorder.FenceKey("desk"))[0].Revision
		workers.mu.Lock()
		workers.maxToken = map[string]int64{"w1": token} // the next owner doesn't reach it
		workers.mu.Unlock()
		a.store.SetFault(func(c faker.Call) faker.Outcome {
			if c.Operation == "list" || c.Operation == "watch" && c.Key == workers.Prefix() {
				return faker.Succeed
			}
			return faker.Drop
		})
		b := newDaemon("b", store, workers)
		defer b.Close()
		for ownerOfShard() != "b" {
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(3 * outageLimit)
		workers.mu.Lock()
		defer workers.mu.Unlock()
		g.Expect(workers.token).To(HaveKeyWithValue("w1", token), "the first owner polls the worker")
		g.Expect(workers.renewed).NotTo(HaveKey(token), "the store hasn't confirmed it since its claim")
	})
}
