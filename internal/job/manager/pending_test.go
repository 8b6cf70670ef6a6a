package manager_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/job/manager"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// TestPendingWhileJobsMove guards against jobs that are moved to another shard and that no load summary
// counts until the other shard's next one, so that hosts answer that none is pending. That takes long if the
// other shard's owner is suspended or lost.
func TestPendingWhileJobsMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store, workers, operator := newService(g, []string{"w1"}, []string{"w2"})
		a, c := newEvacuationDaemon("a", store, workers), newEvacuationDaemon("c", store, workers)
		b := newDaemonOn(manager.Options{Daemon: "b", Domain: "gc", EvacuationNotice: evacuationNotice}, store, workers)
		daemons := map[string]*daemon{"a": a, "b": b, "c": c}
		for _, d := range daemons {
			defer d.Close()
		}
		var domains domainSet
		stop := confirm(domains.get, a, b, c)
		defer stop()
		time.Sleep(10 * time.Second) // until both shards are claimed
		from, to := a.View().Shards["desk@bne"].Owner, a.View().Shards["desk@gc"].Owner
		g.Expect(from).NotTo(Equal(to))
		accept := func(n int, shard string, cpu int64) {
			acceptJob(g, operator, shard, specifier.Job{
				ID: job(n).ID, Queue: catalog.Queues[0].Name, Terms: catalog.Queues[0], Accepted: time.Now(),
				Steps: []specifier.Step{{Count: 1, Needs: describer.Resources{CPU: cpu}, Estimate: time.Second}},
			})
		}
		accept(100, "desk@bne", 4000)
		accept(101, "desk@gc", 4000)
		time.Sleep(2 * time.Second)
		g.Expect(workers.startCount()).To(Equal(2), "both workers are full")
		const waiting = 8
		for n := range waiting {
			accept(n, "desk@bne", 1000)
		}
		time.Sleep(5 * time.Second)
		daemons[to].store.SetDown(true)
		domains.set("bne")
		for i := range 300 {
			time.Sleep(50 * time.Millisecond)
			for name, d := range daemons {
				if name != to {
					g.Expect(d.receiver.Pending("menus")).To(BeNumerically(">=", waiting), "at %s after %v", name, time.Duration(i)*50*time.Millisecond)
				}
			}
		}
		g.Expect(a.state(g, 0)).To(Equal(specifier.Queued))
	})
}
