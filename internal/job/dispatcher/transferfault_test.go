package dispatcher

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

var _ = Describe("transfers at bad moments", func() {
	queue := specifier.Queue{Name: "menus", Slack: 2, Attempts: 1}
	longRunning := func(s *specifier.Step) { s.LongRunning, s.Needs = true, resources(1500) }
	// newOwner returns a new owner that has loaded a job.
	newOwner := func(job specifier.Job, progress recorder.Progress) *harness {
		h := &harness{Shard: New(Options{
			Name: "desk", Lease: simLease, OutageLimit: simOutageLimit, Divided: true, Epoch: 1, Released: true,
		}, epoch)}
		h.feed(CatalogUpdated{Catalog: &specifier.Catalog{Version: 1, Queues: []specifier.Queue{queue}}},
			JobLoaded{Job: job, Started: true, Progress: progress},
			WorkersListed{Workers: []specifier.Worker{{ID: "w1", Incarnation: 1, Capacity: room}}})
		return h
	}

	It("ends a failed job under a new owner if only some of its parts were cancelled", func() {
		job := oneStep(1, nil)
		job.Steps = append(job.Steps, specifier.Step{Count: 1, Needs: resources(1500), LongRunning: true})
		progress := recorder.Progress{Tasks: []recorder.TaskProgress{{Step: 1, Hop: 1, Away: true}}}
		for i := range maxCleanupEntries + 1 {
			progress.Shards = append(progress.Shards, fmt.Sprintf("part%d", i))
		}
		h := newOwner(job, progress)
		h.feed(PollAnswered{Worker: "w1", Sent: h.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: time.Minute}})
		h.advance(time.Second)
		start := takeEffects[StartRun](h)[0]
		takeEffects[Commit](h)
		ended := PollAnswered{Worker: "w1", Sent: h.now, Inventory: specifier.Inventory{
			Incarnation: 1, Clock: 2 * time.Minute,
			Ended: []specifier.End{{Number: 1, Task: start.Task, Run: start.Run, Outcome: specifier.OutcomeFailed}},
		}}
		commits := h.Reduce(h.now, ended)
		Expect(commits).To(ContainElement(HaveField("Changes", ConsistOf(
			And(HaveField("State", specifier.Running), HaveField("CancelIn", HaveLen(maxCleanupEntries))),
		))))
		saved := h.jobs[job.ID].progress()

		next := newOwner(job, saved)
		next.feed(ended)
		next.advance(time.Second)
		next.advance(time.Second)
		Expect(takeEffects[StartRun](next)).To(BeEmpty())
		Expect(next.jobs).To(BeEmpty())
	})

	It("takes a task of a job whose own move isn't answered yet", func() {
		h := newHarness(queue, "w1")
		h.options.Divided = true
		job := oneStep(4, longRunning)
		h.feed(JobArrived{Job: job})
		h.jobs[job.ID].moving = true
		takeEffects[Commit](h)
		h.feed(TaskArrived{Task: specifier.TaskID{Job: job.ID}, Transfer: recorder.Transfer{Job: job, Home: "other", Hop: 1}})
		h.advance(commitInterval)
		for _, c := range takeEffects[Commit](h) {
			Expect(c.Changes).To(HaveEach(HaveField("Part", true)))
		}
		h.feed(JobMoved{ID: job.ID, OK: true})
		Expect(h.jobs).To(HaveKey(job.ID))
		Expect(takeEffects[StartRun](h)).To(HaveLen(1))
	})

	It("tries the own workers first under a new owner", func() {
		h := newOwner(oneStep(2, longRunning), recorder.Progress{})
		h.now = h.now.Add(30 * time.Millisecond)
		h.feed(PollAnswered{Worker: "w1", Sent: h.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: time.Minute}}, Tick{})
		h.advance(publishInterval)
		Expect(takeEffects[FindShard](h)).To(BeEmpty())
		Expect(takeEffects[StartRun](h)).To(HaveLen(2))
	})

	It("ignores records that fit no task", func() {
		job := oneStep(1, longRunning)
		for _, p := range []recorder.TaskProgress{{Index: -1}, {Step: -1}, {Occurrence: -1}, {Occurrence: 1 << 62}, {Index: 1}} {
			h := newOwner(job, recorder.Progress{Tasks: []recorder.TaskProgress{p}})
			Expect(takeEffects[Log](h)).To(ContainElement(HaveField("Message", "progress of unknown task ignored")))
		}
		h := newHarness(queue, "w1")
		transfer := recorder.Transfer{Job: job, Home: "other", Hop: 1}
		h.feed(TaskArrived{Task: specifier.TaskID{Job: job.ID, Index: 1}, Transfer: transfer})
		h.feed(TaskArrived{Task: specifier.TaskID{Job: "0000000000000001"}, Transfer: transfer})
		Expect(h.jobs).To(BeEmpty())

		h.feed(JobArrived{Job: job})
		h.feed(TaskArrived{Task: specifier.TaskID{Job: job.ID}, Transfer: transfer})
		Expect(h.jobs[job.ID].home).To(Equal("desk"), "the job is at home here and isn't moving")
		Expect(takeEffects[StartRun](h)).To(HaveLen(1))
	})
})
