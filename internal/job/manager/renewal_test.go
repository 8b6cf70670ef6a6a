package manager_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/state/faker"
)

// TestRenewalConfirmsNoLostOwnership guards against a replaced owner that renews leases on workers
// for good, since it takes the renewals of its new store lease for confirmations of a shard that
// another daemon has claimed. The new owner waits only for as long as an owner may work without
// confirmation.
func TestRenewalConfirmsNoLostOwnership(t *testing.T) {
	inBubble(t, func(g Gomega, a, b *daemon, f *fleet) {
		const outageLimit = 8 * time.Second
		owner, other := ownerOf(g, a, b)
		token := f.cutOffSuccessors()
		owner.store.SetDown(true)
		time.Sleep(5 * time.Second) // its lease expires
		g.Expect(other.View().Shards["desk"].Owner).To(Equal(other.store.Name))
		claimed := time.Now()
		owner.store.SetFault(func(c faker.Call) faker.Outcome {
			if c.Operation == "renew" || c.Operation == "grant" {
				return faker.Succeed
			}
			return faker.Drop
		})
		owner.store.SetDown(false)
		time.Sleep(3 * outageLimit)
		f.mu.Lock()
		renewed := f.renewed[token]
		f.mu.Unlock()
		g.Expect(renewed).NotTo(BeZero(), "the replaced owner has renewed leases before")
		g.Expect(renewed.Sub(claimed)).To(BeNumerically("<=", outageLimit))
	})
}
