package manager_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/state/faker"
)

// TestLateResignation guards against a resignation that the store carries out late and that
// replaces the one of the next owner, so that the owner after it waits as without one.
func TestLateResignation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store, workers := faker.New(), newFleet("w1")
		operator := store.Client("operator")
		a := newDaemon("a", store, workers)
		defer a.Close()
		time.Sleep(6 * time.Second) // until the shard is claimed
		g.Expect(a.View().Shards["desk"].Owner).To(Equal("a"))
		key := recorder.ResignationKey("desk")
		a.store.SetDelay(func(c faker.Call) time.Duration {
			if c.Operation == "commit" && c.Key == key {
				return 3 * time.Second
			}
			return 0
		})
		commit(g, operator,
			storer.Write{Key: recorder.OwnerKey("desk"), Value: recorder.Encode(recorder.Owner{Daemon: "b"})},
			storer.Write{Key: recorder.FenceKey("desk"), Value: recorder.Encode(recorder.Fence{Owner: "b", Epoch: 1, WriteID: "foreign"})},
			storer.Write{Key: recorder.ClaimKey("desk"), Value: recorder.Encode(recorder.Claim{Daemon: "b", Epoch: 1})})
		time.Sleep(2 * time.Second)
		next := recorder.Resignation{Epoch: 1, Remaining: time.Second}
		commit(g, operator, storer.Write{Key: key, Value: recorder.Encode(next)})
		time.Sleep(5 * time.Second)
		items := store.Items(key)
		g.Expect(items).To(HaveLen(1))
		var last recorder.Resignation
		g.Expect(recorder.Decode(items[0].Value, &last)).To(Succeed())
		g.Expect(last).To(Equal(next))
	})
}
