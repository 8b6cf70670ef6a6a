package manager_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
	"dotterelcart.dev/dotterelcart/internal/state/faker"
)

// TestCancellationOfABusyJob guards against a cancellation through a host far from the store
// that conflicts again and again with the owner's writes for the tasks that end.
func TestCancellationOfABusyJob(t *testing.T) {
	inBubble(t, func(g Gomega, a, b *daemon, f *fleet) {
		owner, other := ownerOf(g, a, b)
		f.runTime = 120 * time.Millisecond
		busy := specifier.Job{ID: job(1).ID, Steps: []specifier.Step{
			{Count: 2000, Needs: describer.Resources{CPU: 500}, Estimate: time.Second},
		}}
		g.Expect(owner.receiver.Submit(context.Background(), catalog.Queues[0], busy)).To(Succeed())
		time.Sleep(2 * time.Second)
		g.Expect(owner.state(g, 1)).To(Equal(specifier.Running))

		other.store.SetDelay(func(faker.Call) time.Duration { return 300 * time.Millisecond })
		began := time.Now()
		g.Expect(other.receiver.Cancel(context.Background(), busy.ID)).To(Succeed())
		g.Expect(time.Since(began)).To(BeNumerically("<", time.Second), "one read and one write")
		time.Sleep(time.Second)
		g.Expect(owner.state(g, 1)).To(Equal(specifier.Cancelled))
	})
}
