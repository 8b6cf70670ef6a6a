package manager_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/state/faker"
)

// TestReclaimingProcessTakesItselfForEnded makes a daemon lose its shard and claim it again,
// with a worker in the fence that is gone. Only another process of the daemon may take it
// that the last owner has ended.
func TestReclaimingProcessTakesItselfForEnded(t *testing.T) {
	for name, restarts := range map[string]bool{"same process": false, "next process": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				store, workers, operator := newService(g, []string{"w1"}, nil)
				workers.runTime = 500 * time.Millisecond
				a := newDaemon("a", store, workers)
				time.Sleep(10 * time.Second) // until the shard is claimed
				if restarts {
					a.Close()
				}
				// The daemon learns of the claim and claims again only after the job was accepted. A job
				// that is accepted later has no earlier runs, so it would start at once.
				a.store.SetDelay(func(faker.Call) time.Duration { return time.Millisecond })
				foreign := recorder.Claim{Daemon: "a", Epoch: 5}
				_, err := operator.Commit(t.Context(), storer.Transaction{
					Put: []storer.Write{
						{Key: recorder.ClaimKey("desk@bne"), Value: recorder.Encode(foreign)},
						{Key: recorder.FenceKey("desk@bne"), Value: recorder.Encode(recorder.Fence{
							Owner: "a", Epoch: 5, WriteID: "foreign", WorkerList: recorder.WorkerList{Workers: []string{"gone"}, Settled: true},
						})},
					},
					Remove: []string{recorder.OwnerKey("desk@bne")},
				})
				g.Expect(err).NotTo(HaveOccurred())
				acceptJob(g, operator, "desk@bne", job(1))
				claim, err := operator.Get(t.Context(), recorder.ClaimKey("desk@bne"))
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(claim.Value).To(Equal(recorder.Encode(foreign)), "the shard was claimed before the job was accepted")
				if restarts {
					a = newDaemon("a", store, workers)
				}
				defer a.Close()
				time.Sleep(12 * time.Second) // longer than a claim and a lease
				done := a.state(g, 1) == specifier.Succeeded
				g.Expect(done).To(Equal(restarts))
				time.Sleep(12 * time.Second)
				g.Expect(a.state(g, 1)).To(Equal(specifier.Succeeded))
			})
		})
	}
}
