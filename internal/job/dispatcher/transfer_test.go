package dispatcher

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

var room = describer.Resources{CPU: workerCPU, Memory: 1000}

var _ = Describe("a long-running task that waits in a full shard", func() {
	queue := specifier.Queue{Name: "menus", Slack: 2, Attempts: 2}
	job := oneStep(2, func(s *specifier.Step) { s.LongRunning, s.Needs = true, resources(1500) })
	failed := specifier.TaskID{Job: job.ID}

	// changes returns the changes of all commits since the last call.
	changes := func(h *harness) []Change {
		var out []Change
		for _, c := range takeEffects[Commit](h) {
			out = append(out, c.Changes...)
		}
		return out
	}

	var h *harness
	BeforeEach(func() {
		h = newHarness(queue, "w1")
		h.options.Divided = true
		h.feed(JobArrived{Job: job})
		starts := takeEffects[StartRun](h)
		Expect(starts).To(HaveLen(2))
		for _, start := range starts {
			h.feed(StartAnswered{Worker: "w1", Incarnation: 1, Task: start.Task, Run: start.Run})
		}
		h.advance(time.Second)
		h.workers["w1"].reg.Draining = true
		h.feed(PollAnswered{Worker: "w1", Sent: h.now, Inventory: specifier.Inventory{
			Incarnation: 1, Clock: 2 * time.Minute,
			Active: []specifier.Run{{Task: starts[1].Task, Number: 1, ProgressPercent: full}},
			Ended:  []specifier.End{{Number: 1, Task: failed, Run: 1, Outcome: specifier.OutcomeFailed}},
		}})
		h.advance(transferDelay - time.Millisecond)
		Expect(takeEffects[FindShard](h)).To(BeEmpty())
		h.advance(publishInterval)
		Expect(takeEffects[FindShard](h)).To(Equal([]FindShard{{Task: failed, Tasks: 1, Needs: resources(1500)}}))
	})

	It("is asked for again while no shard has room", func() {
		h.advance(publishInterval)
		Expect(takeEffects[FindShard](h)).To(BeEmpty(), "not answered yet")
		h.feed(ShardFound{Task: failed})
		h.advance(findShardInterval)
		Expect(takeEffects[FindShard](h)).To(HaveLen(1))
	})

	It("is transferred in the commit that records it, and cancelled there with its job", func() {
		changes(h)
		waited := h.now.Sub(h.jobs[job.ID].task(failed).waitingSince)
		h.feed(ShardFound{Task: failed, Shard: "other", Tasks: 1})
		h.advance(commitInterval)
		Expect(changes(h)).To(ContainElement(And(
			HaveField("Handovers", []Handover{{Task: failed, Shard: "other", Transfer: recorder.Transfer{Job: job, Home: "desk", Hop: 1, LastRun: 1, Waited: waited, Tried: []string{"desk"}}}}),
			HaveField("Progress", recorder.Progress{Shards: []string{"other"}, Tasks: []recorder.TaskProgress{{Hop: 1, Away: true}}}),
			HaveField("OtherShards", []string{"other"}),
		)))
		h.workers["w1"].reg.Draining = false
		h.advance(time.Second)
		Expect(takeEffects[StartRun](h)).To(BeEmpty(), "the other shard has it")

		h.feed(JobCancelled{ID: job.ID})
		h.advance(commitInterval)
		Expect(changes(h)).To(ContainElement(And(HaveField("State", specifier.Cancelled), HaveField("CancelIn", []string{"other"}))))
	})

	It("isn't started by a new owner after the transfer", func() {
		s := New(Options{Name: "desk", Lease: simLease, OutageLimit: simOutageLimit, Divided: true, Epoch: 1}, epoch)
		n := &harness{Shard: s}
		n.feed(CatalogUpdated{Catalog: h.catalog},
			JobLoaded{Job: job, Started: true, Progress: recorder.Progress{Shards: []string{"other"}, Tasks: []recorder.TaskProgress{{Hop: 1, Away: true}}}},
			WorkersListed{Workers: []specifier.Worker{{ID: "w1", Incarnation: 1, Capacity: room}}})
		n.feed(PollAnswered{Worker: "w1", Sent: n.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: time.Minute}})
		n.advance(time.Second)
		starts := takeEffects[StartRun](n)
		Expect(starts).To(HaveLen(1))
		Expect(starts[0].Task.Index).To(Equal(1))

		n.feed(TaskArrived{Task: failed, Transfer: recorder.Transfer{Job: job, Home: "desk", Hop: 1, LastRun: 1}})
		Expect(takeEffects[StartRun](n)).To(BeEmpty(), "an old record")
		n.advance(commitInterval)
		back := n.Reduce(n.now, TaskArrived{Task: failed, Transfer: recorder.Transfer{Job: job, Home: "desk", Hop: 2, LastRun: 5001}})
		Expect(back).To(ContainElement(HaveField("Changes", HaveLen(1))))
		Expect(back).NotTo(ContainElement(BeAssignableToTypeOf(StartRun{})), "its return isn't durable")
		n.feed(Committed{Batch: n.Shard.batch})
		starts = takeEffects[StartRun](n)
		Expect(starts).To(HaveLen(1), "it has come back")
		Expect(starts[0].Task).To(Equal(failed))
		Expect(starts[0].Run).To(BeNumerically(">", 5001))
	})
})

var _ = Describe("a part of another shard's job", func() {
	queue := specifier.Queue{Name: "menus", Slack: 2, Attempts: 2}
	job := oneStep(3, func(s *specifier.Step) { s.LongRunning, s.Needs = true, resources(1500) })
	arrived := func(index int) TaskArrived {
		return TaskArrived{
			Task:     specifier.TaskID{Job: job.ID, Index: index},
			Transfer: recorder.Transfer{Job: job, Home: "other", Hop: 1, LastRun: 3000},
		}
	}

	It("runs only the tasks that arrived, and removes its records when it is cancelled", func() {
		h := newHarness(queue, "w1")
		h.feed(arrived(1), arrived(1))
		h.feed(arrived(2))
		h.advance(commitInterval)
		starts := takeEffects[StartRun](h)
		Expect(starts).To(HaveLen(2))
		Expect(starts[0].Run).To(Equal(int64(3001)))
		h.feed(JobCancelled{ID: job.ID})
		Expect(takeEffects[StopRun](h)).To(HaveLen(2))
		h.advance(time.Second)
		commits := takeEffects[Commit](h)
		Expect(commits[len(commits)-1].Changes).To(ContainElement(And(
			HaveField("Part", true), HaveField("State", specifier.Cancelled),
			HaveField("RemoveTransfers", []specifier.TaskID{arrived(1).Task, arrived(2).Task}),
		)))
		Expect(h.jobs).To(BeEmpty())
		h.feed(arrived(0))
		h.advance(time.Second)
		Expect(takeEffects[StartRun](h)).To(BeEmpty())
		Expect(takeEffects[Commit](h)).To(ContainElement(HaveField("StaleTransfers", []specifier.TaskID{arrived(0).Task})))
	})

	It("gives a task back to the job's home if another shard has room", func() {
		h := newHarness(queue, "w1")
		h.options.Divided = true
		h.feed(arrived(0), arrived(1), arrived(2))
		h.advance(commitInterval)
		h.feed(Tick{})
		Expect(takeEffects[StartRun](h)).To(HaveLen(2))
		takeEffects[Commit](h)
		h.advance(transferDelay)
		h.advance(publishInterval)
		found := takeEffects[FindShard](h)
		Expect(found).To(HaveLen(1))
		h.feed(ShardFound{Task: found[0].Task, Shard: "third", Tasks: 1})
		h.advance(commitInterval)
		commits := takeEffects[Commit](h)
		handovers := commits[len(commits)-1].Changes[0].Handovers
		Expect(handovers).To(HaveLen(1))
		Expect(handovers[0]).To(And(HaveField("Shard", "other"), HaveField("Transfer.Hop", 2)))
	})

	It("comes to a shard that the job was once moved away from", func() {
		h := newHarness(queue, "w1")
		h.movedAt[job.ID] = h.now
		h.feed(JobArrived{Job: job}) // a delayed watch
		Expect(h.jobs).To(BeEmpty())
		h.feed(arrived(0))
		h.advance(commitInterval)
		Expect(h.jobs).To(HaveKey(job.ID))
		Expect(h.jobs[job.ID].task(arrived(0).Task).worker).NotTo(BeNil())
	})

	It("removes a cancellation that comes once more after its end", func() {
		h := newHarness(queue, "w1")
		h.feed(arrived(0))
		h.feed(JobCancelled{ID: job.ID})
		h.advance(time.Second)
		h.advance(time.Second)
		Expect(h.jobs).To(BeEmpty())
		h.feed(JobCancelled{ID: job.ID})
		h.advance(commitInterval)
		Expect(takeEffects[Commit](h)).To(ContainElement(HaveField("StaleCancels", []string{job.ID})))
	})

	It("isn't run if its cancellation came first", func() {
		h := newHarness(queue, "w1")
		h.feed(JobCancelled{ID: job.ID})
		h.feed(arrived(0))
		Expect(takeEffects[StartRun](h)).To(BeEmpty())
		Expect(h.jobs).To(BeEmpty())
	})

	It("starts under a new owner at once if the earlier one can't have started it", func() {
		s := New(Options{Name: "desk", Lease: simLease, OutageLimit: simOutageLimit, Epoch: 1, Previous: recorder.WorkerList{Workers: []string{"w1", "gone"}}}, epoch)
		h := &harness{Shard: s}
		h.feed(CatalogUpdated{Catalog: &specifier.Catalog{Version: 1, Queues: []specifier.Queue{queue}}}, arrived(0),
			WorkersListed{Workers: []specifier.Worker{{ID: "w1", Incarnation: 1, Capacity: room}}})
		h.feed(PollAnswered{Worker: "w1", Sent: h.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: time.Minute}})
		h.advance(time.Second)
		Expect(takeEffects[StartRun](h)).To(HaveLen(1))
	})

	It("waits under a new owner for the runs of the earlier one", func() {
		s := New(Options{Name: "desk", Lease: simLease, OutageLimit: simOutageLimit, Epoch: 1, Previous: recorder.WorkerList{Workers: []string{"w1", "gone"}}}, epoch)
		h := &harness{Shard: s}
		loaded := arrived(0)
		loaded.Progress = recorder.Progress{Tasks: []recorder.TaskProgress{{Hop: 1}}}
		h.feed(CatalogUpdated{Catalog: &specifier.Catalog{Version: 1, Queues: []specifier.Queue{queue}}}, loaded,
			WorkersListed{Workers: []specifier.Worker{{ID: "w1", Incarnation: 1, Capacity: room}}})
		h.feed(PollAnswered{Worker: "w1", Sent: h.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: time.Minute}})
		h.advance(time.Second)
		Expect(takeEffects[StartRun](h)).To(BeEmpty())
		h.advance(simOutageLimit + 2*simLease)
		h.feed(PollAnswered{Worker: "w1", Sent: h.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: 2 * time.Minute}})
		starts := takeEffects[StartRun](h)
		Expect(starts).To(HaveLen(1))
		Expect(starts[0].Run).To(Equal(int64(3000 + runsPerEpoch + 1)))
	})
})
