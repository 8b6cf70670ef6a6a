package dispatcher

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// TestNewOwnerEndsAJobWhoseCleanupWasInterrupted guards against a job that is shown as running for
// ever. It has more transfer records than one commit removes, so that its progress is durable with
// all tasks done before its final state is; the next owner has no task left whose end would end it.
func TestNewOwnerEndsAJobWhoseCleanupWasInterrupted(t *testing.T) {
	const tasks = maxCleanupEntries + 1
	g := NewWithT(t)
	job := oneStep(tasks, nil)
	returned := func(index, hop int) TaskArrived {
		return TaskArrived{
			Task:     specifier.TaskID{Job: job.ID, Index: index},
			Transfer: recorder.Transfer{Job: job, Home: "desk", Hop: hop, Done: true},
		}
	}
	away := recorder.Progress{Shards: []string{"other"}}
	for i := range tasks {
		away.Tasks = append(away.Tasks, recorder.TaskProgress{Index: i, Hop: 1, Away: true})
	}
	h := &harness{Shard: New(Options{Name: "desk", Lease: simLease, OutageLimit: simOutageLimit, Divided: true, Epoch: 1}, epoch)}
	h.feed(CatalogUpdated{Catalog: &specifier.Catalog{Version: 1, Queues: []specifier.Queue{departureQueue}}},
		JobLoaded{Job: job, Started: true, Progress: away}, WorkersListed{})
	for i := range tasks - 1 {
		h.feed(returned(i, 2))
	}
	h.advance(time.Second)
	takeEffects[Commit](h)
	h.pass(returned(tasks-1, 2))
	commits := takeEffects[Commit](h)
	g.Expect(commits).To(HaveLen(1))
	g.Expect(commits[0].Changes).To(HaveLen(1))
	change := commits[0].Changes[0]
	g.Expect(change.State).To(Equal(specifier.Running), "its cleanup takes another commit")

	// The owner ends before that one.
	n := &harness{Shard: New(Options{Name: "desk", Lease: simLease, OutageLimit: simOutageLimit, Divided: true, Epoch: 2}, epoch)}
	events := []Event{
		CatalogUpdated{Catalog: h.catalog}, JobLoaded{Job: job, Started: true, Progress: change.Progress},
	}
	for i := range tasks {
		if r := returned(i, 2); !slices.Contains(change.RemoveTransfers, r.Task) {
			events = append(events, r)
		}
	}
	n.feed(append(events, WorkersListed{})...)
	n.advance(time.Second)
	g.Expect(takeEffects[Commit](n)).To(ContainElement(HaveField("Changes", ContainElement(And(
		HaveField("ID", job.ID), HaveField("State", specifier.Succeeded),
	)))))
	g.Expect(n.JobCount()).To(BeZero())
}
