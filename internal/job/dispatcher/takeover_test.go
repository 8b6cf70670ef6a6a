package dispatcher

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

var _ = Describe("an owner", func() {
	queue := specifier.Queue{Name: "menus", Slack: 2, Attempts: 2}
	first := specifier.TaskID{Job: "5c0e7a21d94b36f8"}

	It("starts nothing on a worker before a commit names it", func() {
		s := New(Options{Name: "desk", Lease: worldLease, OutageLimit: worldOutage}, epoch)
		effects := s.Reduce(epoch, CatalogUpdated{Catalog: &specifier.Catalog{Version: 1, Queues: []specifier.Queue{queue}}},
			WorkersListed{Workers: []specifier.Worker{{ID: "w1", Incarnation: 1, Capacity: describer.Resources{CPU: 4000, Memory: 1000}}}})
		held := PollAnswered{Worker: "w1", Sent: epoch, Inventory: specifier.Inventory{Incarnation: 1, Clock: time.Minute}}
		Expect(effects).To(ContainElement(And(BeAssignableToTypeOf(Commit{}), HaveField("Workers", []string{"w1"}))))
		effects = s.Reduce(epoch.Add(time.Second), held, JobArrived{Job: oneStep(1, nil)})
		Expect(effects).NotTo(ContainElement(BeAssignableToTypeOf(StartRun{})))
		effects = s.Reduce(epoch.Add(time.Second), Committed{Batch: 1})
		Expect(effects).To(ContainElement(BeAssignableToTypeOf(StartRun{})))
	})

	It("starts nothing inherited before the workers of its predecessor have answered", func() {
		s := New(Options{Name: "desk", Lease: worldLease, OutageLimit: worldOutage, Epoch: 1, Workers: []string{"gone"}}, epoch)
		d := &desk{Shard: s}
		d.do(CatalogUpdated{Catalog: &specifier.Catalog{Version: 1, Queues: []specifier.Queue{queue}}},
			JobLoaded{Job: oneStep(1, nil)},
			WorkersListed{Workers: []specifier.Worker{{ID: "w1", Incarnation: 1, Capacity: describer.Resources{CPU: 4000, Memory: 1000}}}})
		d.do(PollAnswered{Worker: "w1", Sent: d.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: time.Minute}})
		d.pass(time.Second)
		Expect(taken[StartRun](d)).To(BeEmpty())
		d.pass(worldOutage + 2*worldLease)
		d.do(PollAnswered{Worker: "w1", Sent: d.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: 2 * time.Minute}})
		starts := taken[StartRun](d)
		Expect(starts).To(HaveLen(1))
		Expect(starts[0].Run).To(Equal(int64(runsOfEpoch + 1)))
	})

	It("does not name a silent worker once its leases have lapsed", func() {
		d := newDesk(queue, "w1", "w2")
		answers := func(id string) {
			d.do(PollAnswered{Worker: id, Sent: d.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: d.now.Sub(epoch)}})
		}
		for range 40 {
			d.pass(250 * time.Millisecond)
			for _, h := range taken[PollWorker](d) {
				if h.Worker.ID == "w2" {
					d.do(PollFailed{Worker: "w2", Incarnation: 1, Fault: OutcomeUnknown})
				}
			}
			answers("w1")
		}
		taken[Commit](d)
		d.do(JobArrived{Job: oneStep(1, nil)})
		start := taken[StartRun](d)[0]
		d.do(StartAnswered{Worker: "w1", Incarnation: 1, Task: start.Task, Run: start.Run})
		d.pass(100 * time.Millisecond)
		commits := taken[Commit](d)
		Expect(commits).NotTo(BeEmpty())
		Expect(commits[0].Workers).To(Equal([]string{"w1"}))

		d.do(PollFailed{Worker: "w1", Incarnation: 1, Fault: OutcomeUnknown})
		second := oneStep(1, nil)
		second.ID = "0000000000000001"
		effects := d.Reduce(d.now.Add(100*time.Millisecond), JobArrived{Job: second},
			PollAnswered{Worker: "w2", Sent: d.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: d.now.Sub(epoch)}})
		Expect(effects).NotTo(ContainElement(BeAssignableToTypeOf(StartRun{})), "no commit names it any more")
		Expect(effects).To(ContainElement(And(BeAssignableToTypeOf(Commit{}), HaveField("Workers", []string{"w1", "w2"}))))
		effects = d.Reduce(d.now, Committed{Batch: d.Shard.batch})
		Expect(effects).To(ContainElement(And(BeAssignableToTypeOf(StartRun{}), HaveField("Worker.ID", "w2"))))
	})

	It("waits for a predecessor that stopped as planned only until its leases have lapsed", func() {
		before := newDesk(queue, "w1", "gone")
		before.pass(time.Second)
		before.do(PollAnswered{Worker: "w1", Sent: before.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: 2 * time.Minute}})
		left := before.WorkerLeases(before.now)
		Expect(left).To(HaveLen(2))
		Expect(left[0].Worker).To(Equal("gone"))
		lapse := left[0].Remaining
		Expect(lapse).To(BeNumerically("<", left[1].Remaining), "renewed later")
		Expect(left[1].Remaining).To(BeNumerically("<=", stretch(worldLease)+lapseMargin))
		s := New(Options{
			Name: "desk", Lease: worldLease, OutageLimit: worldOutage, Epoch: 1,
			Released: true, WorkerLeases: left,
		}, epoch)
		d := &desk{Shard: s}
		d.do(CatalogUpdated{Catalog: &specifier.Catalog{Version: 1, Queues: []specifier.Queue{queue}}},
			JobLoaded{Job: oneStep(1, nil)},
			WorkersListed{Workers: []specifier.Worker{{ID: "w1", Incarnation: 1, Capacity: describer.Resources{CPU: 4000, Memory: 1000}}}})
		d.do(PollAnswered{Worker: "w1", Sent: d.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: time.Minute}})
		d.pass(lapse)
		Expect(taken[StartRun](d)).To(BeEmpty())
		d.pass(time.Millisecond)
		Expect(taken[StartRun](d)).To(HaveLen(1))
	})

	It("leaves behind how long its own predecessor may go on", func() {
		s := New(Options{Name: "desk", Lease: worldLease, OutageLimit: worldOutage, Epoch: 1, Workers: []string{"gone"}}, epoch)
		left := s.WorkerLeases(epoch.Add(time.Second))
		Expect(left).To(HaveLen(1))
		Expect(left[0].Worker).To(Equal("gone"))
		Expect(left[0].Remaining).To(BeNumerically(">", worldOutage))
	})

	It("does not wait for other workers with a task that it has seen running", func() {
		s := New(Options{Name: "desk", Lease: worldLease, OutageLimit: worldOutage, Epoch: 1, Workers: []string{"gone", "w1"}}, epoch)
		d := &desk{Shard: s}
		job := oneStep(1, nil)
		job.Steps = append(job.Steps, specifier.Step{Count: 1, Needs: resources(1000), Estimate: time.Second, After: []int{0}})
		d.do(CatalogUpdated{Catalog: &specifier.Catalog{Version: 1, Queues: []specifier.Queue{queue}}}, JobLoaded{Job: job},
			WorkersListed{Workers: []specifier.Worker{{ID: "w1", Incarnation: 1, Capacity: describer.Resources{CPU: 4000, Memory: 1000}}}})
		d.do(PollAnswered{Worker: "w1", Sent: d.now, Inventory: specifier.Inventory{
			Incarnation: 1, Clock: time.Minute, Active: []specifier.Run{{Task: first, Number: 1}},
		}})
		d.pass(time.Second)
		end := specifier.End{Number: 1, Task: first, Run: 1, Outcome: specifier.OutcomeStopped}
		d.do(PollAnswered{Worker: "w1", Sent: d.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: 2 * time.Minute, Ended: []specifier.End{end}}})
		again := taken[StartRun](d)
		Expect(again).To(HaveLen(1), "its only run is known")
		d.do(StartAnswered{Worker: "w1", Incarnation: 1, Task: first, Run: again[0].Run})
		d.pass(time.Second)
		end = specifier.End{Number: 2, Task: first, Run: again[0].Run, Outcome: specifier.OutcomeDone}
		d.do(PollAnswered{Worker: "w1", Sent: d.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: 3 * time.Minute, Ended: []specifier.End{end}}})
		Expect(taken[StartRun](d)).To(HaveLen(1), "nobody can have started the step after it")
	})

	It("starts a task that failed under it only when it knows of all earlier failures", func() {
		two := specifier.Queue{Name: "menus", Slack: 2, Attempts: 2}
		s := New(Options{Name: "desk", Lease: worldLease, OutageLimit: worldOutage, Epoch: 1, Workers: []string{"w1", "w2"}}, epoch)
		d := &desk{Shard: s}
		room := describer.Resources{CPU: 4000, Memory: 1000}
		d.do(CatalogUpdated{Catalog: &specifier.Catalog{Version: 1, Queues: []specifier.Queue{two}}}, JobLoaded{Job: oneStep(1, nil)},
			WorkersListed{Workers: []specifier.Worker{{ID: "w1", Incarnation: 1, Capacity: room}, {ID: "w2", Incarnation: 1, Capacity: room}, {ID: "w3", Incarnation: 1, Capacity: room}}})
		d.do(PollAnswered{Worker: "w3", Sent: d.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: time.Minute}})
		d.do(PollAnswered{Worker: "w2", Sent: d.now, Inventory: specifier.Inventory{
			Incarnation: 1, Clock: time.Minute, Active: []specifier.Run{{Task: first, Number: 2}},
		}})
		d.pass(time.Second)
		failed := func(number, run int64) specifier.Inventory {
			return specifier.Inventory{Incarnation: 1, Clock: 2 * time.Minute, Ended: []specifier.End{
				{Number: number, Task: first, Run: run, Outcome: specifier.OutcomeFailed},
			}}
		}
		d.do(PollAnswered{Worker: "w2", Sent: d.now, Inventory: failed(1, 2)})
		d.pass(time.Second)
		Expect(taken[StartRun](d)).To(BeEmpty(), "w1 may tell of the first failure")
		d.do(PollAnswered{Worker: "w1", Sent: d.now, Inventory: failed(1, 1)})
		Expect(taken[StartRun](d)).To(BeEmpty())
		Expect(d.ended).To(HaveKey(first.Job), "it has failed too often")
	})

	It("counts a failure once, also when its end is listed again", func() {
		d := newDesk(queue, "w1")
		d.do(JobLoaded{Job: oneStep(1, nil), Progress: recorder.Progress{Tasks: []recorder.TaskProgress{{Failed: []int64{1}}}}})
		end := specifier.End{Number: 1, Task: first, Run: 1, Outcome: specifier.OutcomeFailed}
		d.do(PollAnswered{Worker: "w1", Sent: d.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: 2 * time.Minute, Ended: []specifier.End{end}}})
		Expect(d.jobs).To(HaveKey(first.Job))
		Expect(d.jobs[first.Job].final).To(BeEmpty())
	})

	It("closes a worker that has runs of unknown needs", func() {
		d := newDesk(queue, "w1")
		strange := specifier.Run{Task: specifier.TaskID{Job: "0000000000000000"}, Number: 1}
		d.do(PollAnswered{Worker: "w1", Sent: d.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: 2 * time.Minute, Active: []specifier.Run{strange}}})
		Expect(taken[StopRun](d)).To(HaveLen(1))
		d.do(JobArrived{Job: oneStep(1, nil)})
		Expect(taken[StartRun](d)).To(BeEmpty())
		d.do(StopAnswered{Worker: "w1", Incarnation: 1, Task: strange.Task, Run: 1})
		d.now = d.now.Add(time.Second)
		d.do(PollAnswered{Worker: "w1", Sent: d.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: 2 * time.Minute}})
		Expect(taken[StartRun](d)).To(HaveLen(1))
	})

	It("lets the leases of a silent worker lapse, then starts its tasks elsewhere", func() {
		d := newDesk(queue, "w1", "w2")
		d.do(JobArrived{Job: oneStep(1, nil)})
		start := taken[StartRun](d)[0]
		d.do(StartAnswered{Worker: start.Worker.ID, Incarnation: 1, Task: start.Task, Run: 1})
		other := map[string]string{"w1": "w2", "w2": "w1"}[start.Worker.ID]
		for range 40 {
			d.pass(250 * time.Millisecond)
			for _, h := range taken[PollWorker](d) {
				if h.Worker.ID == start.Worker.ID {
					d.do(PollFailed{Worker: h.Worker.ID, Incarnation: 1, Fault: OutcomeUnknown})
				}
			}
			d.do(PollAnswered{Worker: other, Sent: d.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: d.now.Sub(epoch)}})
		}
		again := taken[StartRun](d)
		Expect(again).To(HaveLen(1))
		Expect(again[0].Worker.ID).To(Equal(other))
	})

	It("starts a silent worker's tasks elsewhere only while the store confirms the ownership", func() {
		// A successor may have reached the worker, taken in the end of the run
		// and acknowledged it.
		d := newDesk(queue, "w1", "w2")
		d.do(JobArrived{Job: oneStep(1, nil)})
		start := taken[StartRun](d)[0]
		d.do(StartAnswered{Worker: start.Worker.ID, Incarnation: 1, Task: start.Task, Run: 1})
		other := map[string]string{"w1": "w2", "w2": "w1"}[start.Worker.ID]
		for range 28 { // 7 s, less than worldOutage
			d.now = d.now.Add(250 * time.Millisecond)
			d.do(Tick{}, PollFailed{Worker: start.Worker.ID, Incarnation: 1, Fault: OutcomeUnknown})
			d.do(PollAnswered{Worker: other, Sent: d.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: d.now.Sub(epoch)}})
		}
		Expect(taken[StartRun](d)).To(BeEmpty())
		d.do(OwnershipChecked{Confirmed: true}, Tick{})
		Expect(taken[StartRun](d)).To(HaveLen(1))
	})

	It("gives up waiting for inherited runs only while the store confirms the ownership", func() {
		s := New(Options{Name: "desk", Lease: worldLease, OutageLimit: 3 * worldOutage, Epoch: 1, Released: true, WorkerLeases: []recorder.WorkerLease{{Worker: "gone"}}}, epoch)
		d := &desk{Shard: s}
		d.do(CatalogUpdated{Catalog: &specifier.Catalog{Version: 1, Queues: []specifier.Queue{queue}}}, JobLoaded{Job: oneStep(1, nil)},
			WorkersListed{Workers: []specifier.Worker{{ID: "w1", Incarnation: 1, Capacity: describer.Resources{CPU: 4000, Memory: 1000}}}})
		d.now = d.now.Add(2 * time.Second)
		d.do(Tick{}, PollAnswered{Worker: "w1", Sent: d.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: time.Minute}})
		Expect(taken[StartRun](d)).To(BeEmpty())
		d.do(OwnershipChecked{Confirmed: true}, Tick{})
		Expect(taken[StartRun](d)).To(HaveLen(1))
	})

	It("starts a failed task again where it failed, if there is no room elsewhere", func() {
		d := newDesk(queue, "w1", "w2")
		whole := func(s *specifier.Step) { s.Lasting, s.Needs = true, resources(lastingShare*workerCPU) }
		other := oneStep(1, whole)
		other.ID = "0000000000000001"
		d.do(JobArrived{Job: oneStep(1, whole)}, JobArrived{Job: other})
		starts := taken[StartRun](d)
		Expect(starts).To(HaveLen(2))
		for _, s := range starts {
			d.do(StartAnswered{Worker: s.Worker.ID, Incarnation: 1, Task: s.Task, Run: 1})
		}
		d.now = d.now.Add(time.Second)
		d.do(PollAnswered{Worker: starts[0].Worker.ID, Sent: d.now, Inventory: specifier.Inventory{
			Incarnation: 1, Clock: 2 * time.Minute,
			Ended: []specifier.End{{Number: 1, Task: starts[0].Task, Run: 1, Outcome: specifier.OutcomeFailed}},
		}})
		Expect(taken[StartRun](d)).To(BeEmpty())
		d.pass(elsewhereWait)
		again := taken[StartRun](d)
		Expect(again).To(HaveLen(1))
		Expect(again[0].Worker.ID).To(Equal(starts[0].Worker.ID))
	})

	It("tries a worker whose runs failed again within seconds", func() {
		d := newDesk(queue, "w1")
		for range 8 {
			d.now = d.now.Add(time.Second)
			d.do(PollAnswered{Worker: "w1", Sent: d.now, Inventory: specifier.Inventory{
				Incarnation: 1, Clock: d.now.Sub(epoch),
			}})
			d.suspect(d.workers["w1"])
		}
		d.do(JobArrived{Job: oneStep(1, nil)})
		Expect(taken[StartRun](d)).To(BeEmpty())
		d.pass(4 * time.Second)
		Expect(taken[StartRun](d)).To(HaveLen(1))
	})

	It("stops when a worker has seen a later owner", func() {
		d := newDesk(queue, "w1")
		d.do(PollFailed{Worker: "w1", Incarnation: 1, Fault: Fenced})
		Expect(taken[Resign](d)).To(HaveLen(1))
		d.do(JobArrived{Job: oneStep(1, nil)})
		Expect(taken[StartRun](d)).To(BeEmpty())
	})

	It("does not go on without the store for longer than a successor counts on", func() {
		d := newDesk(queue, "w1")
		taken[PollWorker](d)
		d.do(OwnershipChecked{Confirmed: false})
		d.now = d.now.Add(worldOutage + time.Second)
		d.do(Tick{}, JobArrived{Job: oneStep(1, nil)})
		Expect(taken[PollWorker](d)).To(BeEmpty())
		Expect(taken[StartRun](d)).To(BeEmpty())
	})
})
