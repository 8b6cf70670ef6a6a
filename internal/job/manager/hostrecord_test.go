package manager_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/job/manager"
	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/state/faker"
)

// isHostCommit reports whether a call writes the record of a host.
func isHostCommit(c faker.Call) bool {
	kind, _ := recorder.ParseViewKey(c.Key)
	return c.Operation == "commit" && kind == recorder.HostView
}

// TestLateHostRecord guards against a host record that the store carries out after the daemon has started
// again: it replaced the new process's record and went away with the lease of the former one, so that the
// host owned no shards any more, nor showed that its former process has ended.
func TestLateHostRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store, workers := faker.New(), newFleet("w1")
		workers.register(t.Context(), store.Client("registrar"))
		defer time.Sleep(maxDelay) // until all transactions have been carried out
		start := func(delay time.Duration) *daemon {
			client := store.Client("a")
			client.SetDelay(func(c faker.Call) time.Duration {
				if isHostCommit(c) {
					return delay
				}
				return 0
			})
			return newDaemonVia(impatientStore{client}, manager.Options{Daemon: "a", Domain: "bne"}, client, workers)
		}
		first := start(4 * time.Second)
		time.Sleep(time.Second)
		first.Close()
		second := start(0)
		defer second.Close()
		time.Sleep(30 * time.Second) // longer than the lease of the first process's record
		items := store.Items(recorder.HostKey("a"))
		g.Expect(items).To(HaveLen(1))
		var host recorder.Host
		g.Expect(recorder.Decode(items[0].Value, &host)).To(Succeed())
		g.Expect(host.Process).To(BeNumerically(">", 0))
	})
}

// TestHostRecordAfterConflict guards against a daemon that stays without a host record after another write
// has come before its own.
func TestHostRecordAfterConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store, workers := faker.New(), newFleet("w1")
		client := store.Client("a")
		isFirst := true
		client.SetDelay(func(c faker.Call) time.Duration {
			if isHostCommit(c) && isFirst {
				isFirst = false
				return time.Second
			}
			return 0
		})
		a := newDaemonVia(client, manager.Options{Daemon: "a", Domain: "bne"}, client, workers)
		defer a.Close()
		time.Sleep(500 * time.Millisecond)
		former := recorder.Encode(recorder.Host{Domain: "bne", Process: 1})
		commit(g, store.Client("former"), storer.Write{Key: recorder.HostKey("a"), Value: former})
		time.Sleep(time.Second)
		var host recorder.Host
		g.Expect(recorder.Decode(store.Items(recorder.HostKey("a"))[0].Value, &host)).To(Succeed())
		g.Expect(host.Format).To(Equal(recorder.Format))
	})
}
