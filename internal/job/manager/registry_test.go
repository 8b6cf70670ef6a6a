package manager_test

import (
	"slices"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/job/specifier"
	"dotterelcart.dev/dotterelcart/internal/state/faker"
)

// countReads counts the calls of a daemon that read registrations.
func (d *daemon) countReads() *atomic.Int64 {
	var n atomic.Int64
	d.store.SetFault(func(c faker.Call) faker.Outcome {
		if c.Key == registrationPrefix {
			n.Add(1)
		}
		return faker.Succeed
	})
	return &n
}

// TestOnlyOwnersFollowRegistrations guards against links that are busy with the
// registrations of all workers, which every host has read once to divide the service.
func TestOnlyOwnersFollowRegistrations(t *testing.T) {
	inBubble(t, func(g Gomega, a, b *daemon, f *fleet) {
		owner, other := ownerOf(g, a, b)
		withoutWorkers := &specifier.Catalog{Version: 2, Queues: append(slices.Clone(catalog.Queues), specifier.Queue{Name: "idle", Service: "none"})}
		a.SetCatalog(withoutWorkers)
		b.SetCatalog(withoutWorkers)
		time.Sleep(10 * time.Second)
		byOwner, byOther := owner.countReads(), other.countReads()
		time.Sleep(10 * time.Second)
		g.Expect(byOwner.Load()).To(BeNumerically(">=", 8))
		g.Expect(byOther.Load()).To(BeZero())

		other.store.SetFault(nil)
		owner.Close() // as a crash: its lease has to expire
		other.submit(g, 1)
		time.Sleep(20 * time.Second)
		g.Expect(other.state(g, 1)).To(Equal(specifier.Succeeded))
		expectOnce(g, f, 1)
	})
}

// TestEvacuationsAreAContact guards against a daemon that takes the store for unreachable, and
// refuses jobs, while only the answers to its watch of the view are late.
func TestEvacuationsAreAContact(t *testing.T) {
	inBubble(t, func(g Gomega, a, b *daemon, _ *fleet) {
		_, other := ownerOf(g, a, b)
		other.store.SetFault(func(c faker.Call) faker.Outcome {
			if c.Operation == "watch" {
				return faker.Drop
			}
			return faker.Succeed
		})
		time.Sleep(10 * time.Second)
		other.SetEvacuations(nil, time.Now())
		g.Expect(time.Since(other.LastContact())).To(BeZero())
	})
}
