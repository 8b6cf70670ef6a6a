package manager_test

import (
	"context"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/job/recorder"
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

// TestOwnerReadsCancellationsLate guards against an owner that starts tasks of a cancelled job
// for as long as the store confirms its ownership, though it doesn't read what else changes.
func TestOwnerReadsCancellationsLate(t *testing.T) {
	inBubble(t, func(g Gomega, a, b *daemon, f *fleet) {
		owner, other := ownerOf(g, a, b)
		f.runTime = 4 * time.Second
		lasting := specifier.Job{ID: job(1).ID, Steps: []specifier.Step{
			{Count: 1, Needs: describer.Resources{CPU: 500}, LongRunning: true},
		}}
		g.Expect(owner.receiver.Submit(context.Background(), catalog.Queues[0], lasting)).To(Succeed())
		time.Sleep(time.Second)
		owner.store.SetFault(func(c faker.Call) faker.Outcome {
			if c.Operation == "watch" && c.Key == recorder.ShardPrefix("desk") {
				return faker.Drop
			}
			return faker.Succeed
		})
		time.Sleep(2 * time.Second)
		g.Expect(other.receiver.Cancel(context.Background(), lasting.ID)).To(Succeed())
		time.Sleep(6 * time.Second) // the run ends after 1 s
		g.Expect(f.startsOf(lasting.ID)).To(Equal(1))

		owner.store.SetFault(nil)
		time.Sleep(2 * time.Second)
		g.Expect(owner.state(g, 1)).To(Equal(specifier.Cancelled))
		g.Expect(f.startsOf(lasting.ID)).To(Equal(1))
	})
}

// startsOf returns the number of starts of a job's tasks.
func (f *fleet) startsOf(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := 0
	for task, n := range f.starts {
		if task.Job == job {
			total += n
		}
	}
	return total
}

// TestStartsBehindFailedWatch guards against an owner that starts tasks of a cancelled job,
// because its watch fails while the store confirms its ownership.
func TestStartsBehindFailedWatch(t *testing.T) {
	inBubble(t, func(g Gomega, a, b *daemon, f *fleet) {
		owner, other := ownerOf(g, a, b)
		defer other.receiver.Close()
		f.runTime = 2 * time.Second
		long := specifier.Job{ID: job(1).ID, Steps: []specifier.Step{
			{Count: 600, Needs: describer.Resources{CPU: 500}, Estimate: f.runTime},
		}}
		owner.submit(g, 2)
		g.Expect(owner.receiver.Submit(context.Background(), catalog.Queues[0], long)).To(Succeed())
		time.Sleep(2 * time.Second)
		owner.store.SetFault(func(call faker.Call) faker.Outcome {
			if call.Operation == "watch" && strings.HasPrefix(call.Key, recorder.ShardPrefix("desk")) {
				return faker.Drop
			}
			return faker.Succeed
		})
		g.Expect(other.receiver.Cancel(context.Background(), long.ID)).To(Succeed())
		time.Sleep(6 * time.Second)
		before := f.startCount()
		time.Sleep(10 * time.Second)
		g.Expect(f.startCount()).To(Equal(before), "no starts behind the cancellation")
		owner.store.SetFault(func(faker.Call) faker.Outcome { return faker.Succeed })
		time.Sleep(3 * time.Second)
		g.Expect(owner.state(g, 1)).To(Equal(specifier.Cancelled))
		owner.submit(g, 3)
		time.Sleep(8 * time.Second)
		g.Expect(owner.state(g, 3)).To(Equal(specifier.Succeeded), "starts go on")
	})
}
