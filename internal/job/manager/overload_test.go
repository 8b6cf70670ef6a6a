package manager_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/job/manager"
	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/state/faker"
)

// TestOverloadedOwnerTakesItsReleasedShardBack lets an idle host join one that owns two shards and
// can carry one. It guards against an owner that releases a shard and claims it again at once, and
// against jobs that wait meanwhile. Whether the owner is the first depends on when it reads what
// has changed, so the idle host joins at several times.
func TestOverloadedOwnerTakesItsReleasedShardBack(t *testing.T) {
	for n := range 10 {
		joinAfter := 10*time.Second + time.Duration(n)*70*time.Millisecond
		t.Run(joinAfter.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { joinOverloadedOwner(t, joinAfter) })
		})
	}
}

func joinOverloadedOwner(t *testing.T, joinAfter time.Duration) {
	t.Helper()
	g := NewWithT(t)
	store, workers, operator := newService(g, []string{"w1"}, []string{"w2"})
	workers.runTime = 500 * time.Millisecond
	a := newDaemonOn(oneWorkerHost("a"), store, workers)
	defer a.Close()
	a.store.SetDelay(storeDelay)
	time.Sleep(joinAfter) // until both shards are claimed
	g.Expect(owners(a)).To(Equal([]string{"a", "a"}))
	b := newDaemonOn(oneWorkerHost("b"), store, workers)
	defer b.Close()
	b.store.SetDelay(storeDelay)
	time.Sleep(10 * time.Second) // until the idle host is known, and for one release and claim
	g.Expect(owners(a)).To(ConsistOf("a", "b"))
	for n, shard := range []string{"desk@bne", "desk@gc"} {
		acceptJob(g, operator, shard, job(n))
	}
	time.Sleep(4 * time.Second)
	for n := range 2 {
		g.Expect(a.state(g, n)).To(Equal(specifier.Succeeded))
	}
}

// TestOverloadedOwnerReleasesInVain has a host that could carry a shard better, but doesn't claim it,
// such as one that has lost the store. It guards against a shard that is without an owner for seconds
// again and again.
func TestOverloadedOwnerReleasesInVain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store, workers, operator := newService(g, []string{"w1"}, []string{"w2"})
		a := newDaemonOn(oneWorkerHost("a"), store, workers)
		defer a.Close()
		time.Sleep(10 * time.Second) // until both shards are claimed
		g.Expect(owners(a)).To(Equal([]string{"a", "a"}))
		commit(g, operator, storer.Write{
			Key: recorder.HostKey("idle"), Value: recorder.Encode(recorder.Host{Domain: "bne", CPU: 4, Format: recorder.Format}),
		})
		const interval = 100 * time.Millisecond
		ownerless := time.Duration(0)
		for range int(time.Minute / interval) {
			time.Sleep(interval)
			if slices.Contains(owners(a), "") {
				ownerless += interval
			}
		}
		g.Expect(ownerless).To(BeNumerically(">", time.Second), "a shard is left to the idle host")
		g.Expect(ownerless).To(BeNumerically("<", 8*time.Second))
	})
}

// storeDelay is the duration of a call to the store from another region.
func storeDelay(faker.Call) time.Duration { return 60 * time.Millisecond }

// oneWorkerHost returns the options of a daemon on a host that can carry shards of one worker.
func oneWorkerHost(name string) manager.Options {
	return manager.Options{Daemon: name, Domain: "bne", CPU: 4}
}

// owners returns the owners of both shards.
func owners(d *daemon) []string {
	view := d.View()
	return []string{view.Shards["desk@bne"].Owner, view.Shards["desk@gc"].Owner}
}
