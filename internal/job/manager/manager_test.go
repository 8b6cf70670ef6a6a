package manager_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/job/manager"
	"dotterelcart.dev/dotterelcart/internal/job/receiver"
	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/state/faker"
)

var catalog = &specifier.Catalog{Version: 1, Queues: []specifier.Queue{
	{Name: "menus", Service: "desk", Attempts: 2, Slack: 3, Completion: 5 * time.Second},
}}

// daemon is a manager and its receiver.
type daemon struct {
	*manager.Manager
	receiver *receiver.Receiver
	store    *faker.Client
}

// newDaemon starts a manager in domain "bne" and its receiver.
func newDaemon(name string, store *faker.Store, workers *fleet) *daemon {
	return newDaemonWith(name, store, workers, 0)
}

// newDaemonWith does the same with a time in which evacuations take effect.
func newDaemonWith(name string, store *faker.Store, workers *fleet, notice time.Duration) *daemon {
	return newDaemonOn(manager.Options{Daemon: name, Domain: "bne", EvacuationNotice: notice}, store, workers)
}

// newDaemonOn does the same for the host and the times in options; the other options are set here.
func newDaemonOn(options manager.Options, store *faker.Store, workers *fleet) *daemon {
	workers.register(context.Background(), store.Client("registrar"))
	client := store.Client(options.Daemon)
	return newDaemonVia(client, options, client, workers)
}

// newDaemonVia does the same for a manager that calls the store by its own means, as the given client.
func newDaemonVia(store manager.Store, options manager.Options, client *faker.Client, workers *fleet) *daemon {
	options.TTL, options.MaxLease = 3*time.Second, 10*time.Second
	options.Random = rand.New(rand.NewPCG(1, 2))
	options.CancellationNotice = 4 * time.Second
	options.Scope, options.Log = tally.NoopScope, zerolog.Nop()
	m := manager.New(options, store, workers, workers)
	m.SetCatalog(catalog)
	return &daemon{m, receiver.New(receiver.Options{
		Domain: options.Domain, Random: rand.New(rand.NewPCG(1, 2)), Scope: tally.NoopScope, Log: zerolog.Nop(),
	}, m, client), client}
}

// job returns job n: a step of 3 tasks, then one of 2 tasks.
func job(n int) specifier.Job {
	return specifier.Job{ID: fmt.Sprintf("%016x", n), Steps: []specifier.Step{
		{Count: 3, Needs: describer.Resources{CPU: 500}, Estimate: time.Second},
		{Count: 2, Needs: describer.Resources{CPU: 500}, Estimate: time.Second, After: []int{0}},
	}}
}

// submit submits job n.
func (d *daemon) submit(g Gomega, n int) {
	g.Expect(d.receiver.Submit(context.Background(), catalog.Queues[0], job(n))).To(Succeed())
}

// state returns the state of job n.
func (d *daemon) state(g Gomega, n int) specifier.State {
	state, err := d.receiver.State(context.Background(), job(n).ID)
	g.Expect(err).NotTo(HaveOccurred())
	return state
}

// inBubble runs a test with two daemons and three workers in virtual time.
func inBubble(t *testing.T, spec func(g Gomega, a, b *daemon, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store, workers := faker.New(), newFleet("w1", "w2", "w3")
		a, b := newDaemon("a", store, workers), newDaemon("b", store, workers)
		time.Sleep(6 * time.Second) // until the layout is written and the shard claimed
		spec(NewWithT(t), a, b, workers)
		a.Close()
		b.Close()
	})
}

// ownerOf returns the daemon that owns the shard, and the other one.
func ownerOf(g Gomega, a, b *daemon) (owner, other *daemon) {
	name := a.View().Shards["desk"].Owner
	g.Expect(name).To(BeElementOf("a", "b"))
	if name == "a" {
		return a, b
	}
	return b, a
}

// expectOnce checks that each of the 5 tasks of each job started once.
func expectOnce(g Gomega, f *fleet, jobs int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g.Expect(f.starts).To(HaveLen(5 * jobs))
	g.Expect(f.starts).To(HaveEach(1), "starts of each task")
}

func TestJobsThroughAnyDaemon(t *testing.T) {
	inBubble(t, func(g Gomega, a, b *daemon, f *fleet) {
		for n := range 6 {
			[]*daemon{a, b}[n%2].submit(g, n)
		}
		a.submit(g, 1) // repeated on another daemon
		time.Sleep(5 * time.Second)
		for n := range 6 {
			g.Expect(a.state(g, n)).To(Equal(specifier.Succeeded))
			g.Expect(b.state(g, n)).To(Equal(specifier.Succeeded))
		}
		expectOnce(g, f, 6)
	})
}

func TestCancellationThroughTheOtherDaemon(t *testing.T) {
	inBubble(t, func(g Gomega, a, b *daemon, f *fleet) {
		owner, other := ownerOf(g, a, b)
		f.runTime = time.Minute
		owner.submit(g, 1)
		time.Sleep(time.Second)
		g.Expect(other.receiver.Cancel(context.Background(), job(1).ID)).To(Succeed())
		time.Sleep(2 * time.Second)
		g.Expect(owner.state(g, 1)).To(Equal(specifier.Cancelled))
		f.mu.Lock()
		defer f.mu.Unlock()
		for id, runs := range f.active {
			g.Expect(runs).To(BeEmpty(), id)
		}
	})
}

func TestOwnerCrashes(t *testing.T) {
	inBubble(t, func(g Gomega, a, b *daemon, f *fleet) {
		owner, other := ownerOf(g, a, b)
		f.runTime = 3 * time.Second
		owner.submit(g, 1)
		time.Sleep(time.Second)
		owner.Close() // as a crash: its lease has to expire
		other.submit(g, 2)
		time.Sleep(20 * time.Second)
		g.Expect(other.state(g, 1)).To(Equal(specifier.Succeeded))
		g.Expect(other.state(g, 2)).To(Equal(specifier.Succeeded))
		expectOnce(g, f, 2)
	})
}

func TestPlannedStopHandsOver(t *testing.T) {
	inBubble(t, func(g Gomega, a, b *daemon, f *fleet) {
		owner, other := ownerOf(g, a, b)
		owner.submit(g, 1)
		time.Sleep(100 * time.Millisecond)
		owner.Shutdown(context.Background())
		time.Sleep(2 * time.Second) // less than the lease
		g.Expect(other.View().Shards["desk"].Owner).NotTo(BeEmpty())
		time.Sleep(3 * time.Second)
		g.Expect(other.state(g, 1)).To(Equal(specifier.Succeeded))
		expectOnce(g, f, 1)
	})
}

func TestStoreOutage(t *testing.T) {
	inBubble(t, func(g Gomega, a, b *daemon, f *fleet) {
		owner, _ := ownerOf(g, a, b)
		owner.submit(g, 1)
		time.Sleep(100 * time.Millisecond)
		a.store.SetDown(true)
		b.store.SetDown(true)
		time.Sleep(4 * time.Second)
		began := time.Now()
		err := owner.receiver.Submit(context.Background(), catalog.Queues[0], job(2))
		g.Expect(err).To(HaveOccurred())
		g.Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond), "refused at once")
		a.store.SetDown(false)
		b.store.SetDown(false)
		time.Sleep(8 * time.Second)
		g.Expect(owner.state(g, 1)).To(Equal(specifier.Succeeded))
		expectOnce(g, f, 1)
	})
}

// An earlier owner that is cut off from the store must stop once a worker has
// seen the new owner's fencing token.
func TestOwnerCutOffFromTheStore(t *testing.T) {
	inBubble(t, func(g Gomega, a, b *daemon, f *fleet) {
		owner, other := ownerOf(g, a, b)
		f.runTime = 2 * time.Second
		owner.submit(g, 1)
		time.Sleep(100 * time.Millisecond)
		owner.store.SetDown(true)
		time.Sleep(6 * time.Second)
		g.Expect(other.View().Shards["desk"].Owner).NotTo(Equal(owner.store.Name))
		owner.store.SetDown(false)
		time.Sleep(10 * time.Second)
		g.Expect(other.state(g, 1)).To(Equal(specifier.Succeeded))
		expectOnce(g, f, 1)
	})
}

// An owner whose lease has expired while it can still read the store sees the
// new owner's claim and must not start jobs that were accepted after it.
func TestReplacedOwnerLeavesNewJobs(t *testing.T) {
	inBubble(t, func(g Gomega, a, b *daemon, f *fleet) {
		owner, other := ownerOf(g, a, b)
		f.mu.Lock()
		f.maxToken = map[string]int64{"w1": f.token["w1"]} // the new owner doesn't reach w1
		f.mu.Unlock()
		owner.store.SetFault(func(c faker.Call) faker.Outcome {
			if c.Operation == "renew" || c.Operation == "grant" {
				return faker.Drop
			}
			return faker.Succeed
		})
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			if other.View().Shards["desk"].Owner == other.store.Name {
				break
			}
		}
		for n := range 4 {
			for other.receiver.Submit(context.Background(), catalog.Queues[0], job(n)) != nil {
				time.Sleep(50 * time.Millisecond)
			}
		}
		time.Sleep(30 * time.Second)
		g.Expect(other.state(g, 3)).To(Equal(specifier.Succeeded))
		expectOnce(g, f, 4)
	})
}

// The host record has to return after its lease has expired, also if that happens
// again and again before the record is written, and the daemon has to end meanwhile.
func TestHostRecordReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store, workers := faker.New(), newFleet("w1")
		d := newDaemon("a", store, workers)
		isPresent := func() bool { return len(store.Items(recorder.HostKey("a"))) == 1 }
		time.Sleep(5 * time.Second)
		g.Expect(isPresent()).To(BeTrue())

		began := time.Now()
		fault := func(c faker.Call) faker.Outcome {
			isCut := int(time.Since(began).Seconds())%20 < 15 // longer than the lease
			if c.Operation == "renew" && isCut || c.Operation == "commit" {
				return faker.Drop
			}
			return faker.Succeed
		}
		d.store.SetFault(fault)
		time.Sleep(2 * time.Minute)
		g.Expect(isPresent()).To(BeFalse())
		d.store.SetFault(nil)
		time.Sleep(30 * time.Second)
		g.Expect(isPresent()).To(BeTrue())

		d.store.SetFault(fault)
		time.Sleep(2 * time.Minute)
		d.Close()
	})
}

// TestIdleServiceAcceptsJobs submits to a service whose load hasn't changed for long.
func TestIdleServiceAcceptsJobs(t *testing.T) {
	inBubble(t, func(g Gomega, a, b *daemon, _ *fleet) {
		time.Sleep(40 * time.Second)
		for n, d := range []*daemon{a, b} {
			err := d.receiver.Submit(context.Background(), catalog.Queues[0], job(n))
			if err != nil {
				t.Errorf("%s: %v", d.store.Name, err)
			}
		}
		time.Sleep(5 * time.Second)
	})
}

// TestUnknownRecordsKeepShardFromLoading has records below a shard that this version
// doesn't know.
func TestUnknownRecordsKeepShardFromLoading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store, workers := faker.New(), newFleet("w1")
		prefix := recorder.ShardPrefix("desk")
		commit(g, store.Client("operator"),
			storer.Write{Key: prefix + "later/1", Value: []byte("{}")}, storer.Write{Key: prefix + "task/1.x", Value: []byte("{}")})
		a := newDaemon("a", store, workers)
		defer a.Close()
		time.Sleep(6 * time.Second) // until the shard is claimed
		a.submit(g, 1)
		time.Sleep(5 * time.Second)
		g.Expect(a.state(g, 1)).To(Equal(specifier.Succeeded))
	})
}

// TestTakeOverWaitsForWorkersThatHaveLeft has a worker leave for good just before the
// store is out for longer than the owner's lease, so that another daemon takes the
// shard over and finds the worker in the durable list.
func TestTakeOverWaitsForWorkersThatHaveLeft(t *testing.T) {
	inBubble(t, func(g Gomega, a, b *daemon, f *fleet) {
		owner, other := ownerOf(g, a, b)
		f.mu.Lock()
		f.runTime = time.Hour
		f.mu.Unlock()
		acceptJob(g, owner.store, "desk", longRunningJob(1))
		time.Sleep(time.Second)
		var left string
		f.mu.Lock()
		for id, runs := range f.active {
			if len(runs) > 0 {
				left = id
			}
		}
		f.maxToken = map[string]int64{left: 0}
		f.mu.Unlock()
		_, err := owner.store.Commit(t.Context(), storer.Transaction{Remove: []string{registrationPrefix + left}})
		g.Expect(err).NotTo(HaveOccurred())
		owner.store.SetDown(true)
		time.Sleep(6 * time.Second)
		owner.store.SetDown(false)
		g.Expect(other.View().Shards["desk"].Owner).To(Equal(other.store.Name))
		time.Sleep(maxLongRunningWait)
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.active, left)
		running := 0
		for _, runs := range f.active {
			running += len(runs)
		}
		if running != 1 {
			t.Errorf("%d runs %s after the store came back", running, maxLongRunningWait)
		}
	})
}
