package manager_test

import (
	"context"
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/state/faker"
)

// longRunningJob returns a job with one long-running task of 1,500 millicores.
func longRunningJob(n int) specifier.Job {
	return specifier.Job{ID: job(n).ID, Queue: catalog.Queues[0].Name, Accepted: time.Now(), Steps: []specifier.Step{
		{Count: 1, Needs: describer.Resources{CPU: 1500}, Estimate: time.Minute, LongRunning: true},
	}}
}

// newService returns workers in the shards desk@bne and desk@gc, whose tasks run for
// an hour, and a store that has the layout.
func newService(g Gomega, bne, gc []string) (store *faker.Store, workers *fleet, operator *faker.Client) {
	store, workers = faker.New(), newFleet(append(slices.Clone(bne), gc...)...)
	workers.runTime = time.Hour
	workers.domain = make(map[string]string)
	for _, id := range gc {
		workers.domain[id] = "gc"
	}
	operator = store.Client("operator")
	layout := recorder.Layout{Shards: []recorder.ShardLayout{shardOf("bne", bne), shardOf("gc", gc)}}
	commit(g, operator, storer.Write{Key: recorder.LayoutKey("desk"), Value: recorder.Encode(layout)})
	return store, workers, operator
}

// shardOf returns the shard of a failure domain with the given workers, or with a rack
// that has none.
func shardOf(domain string, workers []string) recorder.ShardLayout {
	s := recorder.ShardLayout{Name: "desk@" + domain, Domain: domain, Workers: len(workers)}
	for _, id := range workers {
		s.Racks = append(s.Racks, domain+"/r-"+id)
	}
	if len(workers) == 0 {
		s.Racks = []string{domain + "/r-none"}
	}
	return s
}

// acceptJob writes what a receiver writes for an accepted job.
func acceptJob(g Gomega, store *faker.Client, shard string, job specifier.Job) {
	entry := recorder.IndexEntry{Shard: shard, Queue: job.Queue, State: specifier.Queued}
	commit(g, store, storer.Write{Key: recorder.IndexKey(job.ID), Value: recorder.Encode(entry)},
		storer.Write{Key: recorder.JobKey(shard, job.ID), Value: recorder.Encode(job)})
}

func commit(g Gomega, store *faker.Client, puts ...storer.Write) {
	_, err := store.Commit(context.Background(), storer.Transaction{Put: puts})
	g.Expect(err).NotTo(HaveOccurred())
}

// TestExcessIsHandedOn accepts four long-running jobs for a shard with room for
// two, as happens when several hosts decide based on the same load summary. Two
// of the jobs must move to the other shard.
func TestExcessIsHandedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store, workers, operator := newService(g, []string{"w1"}, []string{"w2"})
		a, b := newDaemon("a", store, workers), newDaemon("b", store, workers)
		defer a.Close()
		defer b.Close()
		time.Sleep(10 * time.Second) // until both shards are claimed
		const jobs = 4
		for n := range jobs {
			acceptJob(g, operator, "desk@bne", longRunningJob(n))
		}
		time.Sleep(5 * time.Second)

		g.Expect(workers.activeOn("w1")).To(HaveLen(2))
		g.Expect(workers.activeOn("w2")).To(HaveLen(2))
		g.Expect(workers.starts).To(HaveLen(jobs))
		g.Expect(workers.starts).To(HaveEach(1))
		for n := range jobs {
			g.Expect(a.state(g, n)).To(Equal(specifier.Running))
			g.Expect(b.receiver.Cancel(t.Context(), job(n).ID)).To(Succeed())
		}
		time.Sleep(5 * time.Second)
		for n := range jobs {
			g.Expect(a.state(g, n)).To(Equal(specifier.Cancelled))
		}
		g.Expect(workers.activeOn("w2")).To(BeEmpty())
	})
}

// fillFirstShard waits until both shards are claimed, and fills the two workers of the first one
// with long-running jobs.
func fillFirstShard(g Gomega, operator *faker.Client, workers *fleet, jobs int) {
	time.Sleep(10 * time.Second)
	for n := range jobs {
		acceptJob(g, operator, "desk@bne", longRunningJob(n))
	}
	time.Sleep(2 * time.Second)
	g.Expect(workers.activeOn("w1")).To(HaveLen(2))
	g.Expect(workers.activeOn("w2")).To(HaveLen(2))
}

// TestLongRunningTaskWaitsBesideRoomInAnotherShard has a worker leave whose
// long-running tasks have failed. Their shard has no room for them, another has.
func TestLongRunningTaskWaitsBesideRoomInAnotherShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store, workers, operator := newService(g, []string{"w1", "w2"}, []string{"w3"})
		a, b := newDaemon("a", store, workers), newDaemon("b", store, workers)
		defer a.Close()
		defer b.Close()
		const jobs = 4
		fillFirstShard(g, operator, workers, jobs)

		leave(g, operator, workers, "w1")
		time.Sleep(maxLongRunningWait)
		g.Expect(workers.activeOn("w1")).To(BeEmpty())
		g.Expect(workers.activeOn("w2")).To(HaveLen(2))
		g.Expect(workers.activeOn("w3")).To(HaveLen(2))

		for n := range jobs {
			g.Expect(b.state(g, n)).To(Equal(specifier.Running))
			g.Expect(a.receiver.Cancel(t.Context(), job(n).ID)).To(Succeed())
		}
		time.Sleep(maxCancelTime)
		for id, runs := range workers.active {
			g.Expect(runs).To(BeEmpty(), id)
		}
		for n := range jobs {
			g.Expect(b.state(g, n)).To(Equal(specifier.Cancelled))
		}
		for _, shard := range []string{"desk@bne", "desk@gc"} {
			g.Expect(store.Items(recorder.ShardPrefix(shard))).To(HaveLen(1), "only the claim")
			g.Expect(store.Items(recorder.ProgressPrefix(shard))).To(BeEmpty())
		}
	})
}

// maxInterruption is the time after its last run within which a long-running task has to run
// again if there is room for it. Calls between hosts, the store and workers may take slowCalls of
// it, which are instant in this test.
const (
	maxInterruption = 9 * time.Second
	slowCalls       = time.Second
)

// TestLostLongRunningTaskIsTransferredInTime has a worker fall silent whose tasks fit in another
// shard only. It guards against tasks that wait for the leases on the worker and then anew
// before they may be transferred.
func TestLostLongRunningTaskIsTransferredInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store, workers, operator := newService(g, []string{"w1", "w2"}, []string{"w3"})
		a, b := newDaemon("a", store, workers), newDaemon("b", store, workers)
		defer a.Close()
		defer b.Close()
		fillFirstShard(g, operator, workers, 4)

		workers.mu.Lock()
		workers.maxToken = map[string]int64{"w1": 0, "w2": math.MaxInt64, "w3": math.MaxInt64}
		workers.mu.Unlock()
		time.Sleep(maxInterruption - slowCalls)
		g.Expect(workers.activeOn("w3")).To(HaveLen(2))
	})
}

// TestNoTransferBesideEarlierVersions has a daemon that doesn't know transfers, and
// that may own the shard next.
func TestNoTransferBesideEarlierVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store, workers, operator := newService(g, []string{"w1"}, []string{"w2"})
		commit(g, operator, storer.Write{Key: recorder.HostKey("earlier"), Value: []byte(`{"domain":"bne"}`)})
		a := newDaemon("a", store, workers)
		defer a.Close()
		time.Sleep(10 * time.Second) // until both shards are claimed
		acceptJob(g, operator, "desk@bne", longRunningJob(1))
		time.Sleep(2 * time.Second)
		leave(g, operator, workers, "w1")
		time.Sleep(maxLongRunningWait)
		g.Expect(workers.activeOn("w2")).To(BeEmpty())

		commit(g, operator, storer.Write{Key: recorder.HostKey("earlier"), Value: []byte(`{"domain":"bne","format":1}`)})
		time.Sleep(maxLongRunningWait)
		g.Expect(workers.activeOn("w2")).To(HaveLen(1))
	})
}

// leave fails all runs of a worker that doesn't take any more.
func leave(g Gomega, store *faker.Client, workers *fleet, id string) {
	workers.mu.Lock()
	g.Expect(workers.active[id]).NotTo(BeEmpty())
	for task := range workers.active[id] {
		workers.endRun(id, task, specifier.OutcomeFailed)
	}
	workers.mu.Unlock()
	w := workers.registration(id)
	w.Draining = true
	putWorker(context.Background(), store, w)
}

const (
	maxLongRunningWait = 6 * time.Second // of a long-running task for a new run if there is room for it
	maxCancelTime      = 3 * time.Second // until the runs of a cancelled job have ended
)

// TestLongRunningTaskWaitsInFormerlyOnlyShard is the same after a second shard has
// joined the only one of the service under its owner.
func TestLongRunningTaskWaitsInFormerlyOnlyShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store, workers := faker.New(), newFleet("w1", "w2")
		workers.domain = map[string]string{"w2": "gc"}
		workers.runTime = time.Hour
		operator := store.Client("operator")
		only := recorder.ShardLayout{Name: "desk", Domain: "bne", Racks: []string{"bne/r-w1"}, Workers: 1}
		commit(g, operator, storer.Write{Key: recorder.LayoutKey("desk"), Value: recorder.Encode(recorder.Layout{Shards: []recorder.ShardLayout{only}})})
		a := newDaemon("a", store, workers)
		defer a.Close()
		time.Sleep(800 * time.Millisecond) // until the shard is claimed
		g.Expect(a.View().Shards).To(HaveLen(1))
		second := recorder.ShardLayout{Name: "desk@gc", Domain: "gc", Racks: []string{"gc/r-w2"}, Workers: 1}
		commit(g, operator, storer.Write{Key: recorder.LayoutKey("desk"), Value: recorder.Encode(recorder.Layout{Shards: []recorder.ShardLayout{only, second}})})
		time.Sleep(5 * time.Second)
		acceptJob(g, operator, "desk", longRunningJob(1))
		time.Sleep(2 * time.Second)
		leave(g, operator, workers, "w1")
		time.Sleep(maxLongRunningWait)
		g.Expect(workers.activeOn("w2")).To(HaveLen(1))
	})
}

// TestJobMovesToShardWithoutOwner has a job that exceeds its shard's limit, and a
// shard with room that nobody owns.
func TestJobMovesToShardWithoutOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store, workers, operator := newService(g, []string{"w1", "w2"}, nil)
		commit(g, operator,
			storer.Write{Key: recorder.OwnerKey("desk@gc"), Value: recorder.Encode(recorder.Owner{Daemon: "other"})},
			storer.Write{Key: recorder.LoadKey("desk@gone"), Value: recorder.Encode(recorder.Load{
				Service: "desk", Workers: 10, LongRunningLimit: 100_000, Free: describer.Resources{CPU: 100_000},
			})})
		a := newDaemon("a", store, workers)
		defer a.Close()
		time.Sleep(10 * time.Second) // until the shard is claimed
		for n := range 6 {
			acceptJob(g, operator, "desk@bne", longRunningJob(n))
		}
		time.Sleep(5 * time.Second)
		g.Expect(store.Items(recorder.ShardPrefix("desk@gone"))).To(BeEmpty())

		// With an owner the shard gets jobs, so it was only this that kept them here.
		commit(g, operator, storer.Write{Key: recorder.OwnerKey("desk@gone"), Value: recorder.Encode(recorder.Owner{Daemon: "other"})})
		for n := range 6 {
			acceptJob(g, operator, "desk@bne", longRunningJob(6+n))
		}
		time.Sleep(3 * time.Second)
		g.Expect(store.Items(recorder.ShardPrefix("desk@gone"))).NotTo(BeEmpty())
	})
}

// TestFiniteJobWaitsInShardWithoutWorkers has the only worker of a shard leave before
// the last step of a job. Another shard is idle.
func TestFiniteJobWaitsInShardWithoutWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store, workers, operator := newService(g, []string{"w1"}, []string{"w2"})
		workers.runTime = 500 * time.Millisecond
		a := newDaemon("a", store, workers)
		defer a.Close()
		time.Sleep(10 * time.Second) // until both shards are claimed
		loseOnlyWorker(g, operator, workers)
		time.Sleep(maxFiniteWait)
		g.Expect(workers.starts).NotTo(BeEmpty())
		g.Expect(a.state(g, 1)).To(Equal(specifier.Succeeded))
	})
}

// TestNoFiniteTransferBesideEarlierVersions is the same with a daemon that would run a task
// again that has completed elsewhere.
func TestNoFiniteTransferBesideEarlierVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store, workers, operator := newService(g, []string{"w1"}, []string{"w2"})
		commit(g, operator, storer.Write{Key: recorder.HostKey("earlier"), Value: []byte(`{"domain":"bne","format":1}`)})
		workers.runTime = 500 * time.Millisecond
		a := newDaemon("a", store, workers)
		defer a.Close()
		time.Sleep(10 * time.Second) // until both shards are claimed
		loseOnlyWorker(g, operator, workers)
		time.Sleep(maxFiniteWait)
		g.Expect(a.state(g, 1)).To(Equal(specifier.Running))
		commit(g, operator, storer.Write{Key: recorder.HostKey("earlier"), Value: []byte(`{"domain":"bne","format":2}`)})
		time.Sleep(maxFiniteWait)
		g.Expect(a.state(g, 1)).To(Equal(specifier.Succeeded))
	})
}

// loseOnlyWorker accepts job 1 for the shard desk@bne and drains its only worker, w1, before
// the last step of the job.
func loseOnlyWorker(g Gomega, operator *faker.Client, workers *fleet) {
	finite := job(1)
	finite.Queue, finite.Accepted = catalog.Queues[0].Name, time.Now()
	acceptJob(g, operator, "desk@bne", finite)
	time.Sleep(300 * time.Millisecond)
	w1 := workers.registration("w1")
	w1.Draining = true
	putWorker(context.Background(), operator, w1)
}

// maxFiniteWait is how long a finite job may be left undone while there is room.
const maxFiniteWait = 14 * time.Second
