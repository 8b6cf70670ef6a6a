package dispatcher

import (
	"cmp"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// newSuccessor returns the second owner of a shard, which has loaded a job and the
// registrations of workers of 4,000 millicores each. The options say what the first owner
// left; the outage limit is simOutageLimit by default.
func newSuccessor(o Options, queue specifier.Queue, job specifier.Job, workers ...string) *harness {
	o.Name, o.Epoch, o.Lease = "desk", 1, simLease
	o.OutageLimit = cmp.Or(o.OutageLimit, simOutageLimit)
	h := &harness{Shard: New(o, epoch)}
	list := make([]specifier.Worker, 0, len(workers))
	for _, id := range workers {
		list = append(list, specifier.Worker{ID: id, Incarnation: 1, Capacity: describer.Resources{CPU: 4000, Memory: 1000}})
	}
	h.feed(CatalogUpdated{Catalog: &specifier.Catalog{Version: 1, Queues: []specifier.Queue{queue}}},
		JobLoaded{Job: job}, WorkersListed{Workers: list})
	return h
}

var _ = Describe("an owner", func() {
	queue := specifier.Queue{Name: "menus", Slack: 2, Attempts: 2}
	first := specifier.TaskID{Job: "5c0e7a21d94b36f8"}

	It("starts nothing on a worker before a durable worker list contains it", func() {
		s := New(Options{Name: "desk", Lease: simLease, OutageLimit: simOutageLimit}, epoch)
		effects := s.Reduce(epoch, CatalogUpdated{Catalog: &specifier.Catalog{Version: 1, Queues: []specifier.Queue{queue}}},
			WorkersListed{Workers: []specifier.Worker{{ID: "w1", Incarnation: 1, Capacity: describer.Resources{CPU: 4000, Memory: 1000}}}})
		answer := PollAnswered{Worker: "w1", Sent: epoch, Inventory: specifier.Inventory{Incarnation: 1, Clock: time.Minute}}
		Expect(effects).To(ContainElement(And(BeAssignableToTypeOf(Commit{}), HaveField("Workers", []string{"w1"}))))
		effects = s.Reduce(epoch.Add(time.Second), OwnershipChecked{Confirmed: true}, answer, JobArrived{Job: oneStep(1, nil)})
		Expect(effects).NotTo(ContainElement(BeAssignableToTypeOf(StartRun{})))
		effects = s.Reduce(epoch.Add(time.Second), Committed{Batch: 1})
		Expect(effects).To(ContainElement(BeAssignableToTypeOf(StartRun{})))
	})

	It("starts no inherited task before the earlier owner's workers have answered or their leases have expired", func() {
		h := newSuccessor(Options{Previous: recorder.WorkerList{Workers: []string{"gone"}}}, queue, oneStep(1, nil), "w1")
		h.feed(PollAnswered{Worker: "w1", Sent: h.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: time.Minute}})
		h.advance(time.Second)
		Expect(takeEffects[StartRun](h)).To(BeEmpty())
		h.advance(simOutageLimit + 2*simLease)
		h.feed(PollAnswered{Worker: "w1", Sent: h.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: 2 * time.Minute}})
		starts := takeEffects[StartRun](h)
		Expect(starts).To(HaveLen(1))
		Expect(starts[0].Run).To(Equal(int64(runsPerEpoch + 1)))
	})

	It("waits after a restart of its own process only until the leases of the former one have expired", func() {
		for ended, wait := range map[bool]time.Duration{true: simLease, false: simOutageLimit + simLease} {
			h := newSuccessor(Options{Previous: recorder.WorkerList{Workers: []string{"gone"}}, OwnerEnded: ended}, queue, oneStep(1, nil), "w1")
			h.feed(PollAnswered{Worker: "w1", Sent: h.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: time.Minute}})
			h.advance(wait)
			Expect(takeEffects[StartRun](h)).To(BeEmpty())
			Expect(takeEffects[Commit](h)).To(HaveEach(HaveField("Settled", false)))
			h.advance(withDrift(wait) - wait + 2*expiryMargin)
			h.feed(Tick{})
			Expect(takeEffects[StartRun](h)).To(HaveLen(1))
			h.advance(time.Second)
			Expect(takeEffects[Commit](h)).To(ContainElement(HaveField("Settled", true)))
		}
	})

	It("waits only for the last leases of an owner whose process has ended after the claim", func() {
		earlier := recorder.WorkerList{Workers: []string{"gone", "gone-before"}, InheritedKnown: true}
		earlier.Inherited = []recorder.WorkerLease{{Worker: "gone-before", Remaining: time.Second}}
		claimed := recorder.WorkerList{Workers: []string{"gone"}, EarlierEnded: true}
		claimed.Earlier = []recorder.WorkerLease{{Worker: "gone", Remaining: 9 * time.Second}}
		for name, c := range map[string]struct {
			options Options
			wait    time.Duration // from the claim
		}{
			"known":                  {Options{Previous: earlier, EarlierKnown: true}, time.Second + withDrift(simLease)},
			"not known":              {Options{Previous: recorder.WorkerList{Workers: []string{"gone"}}}, withDrift(simOutageLimit + simLease)},
			"leases of earlier ones": {Options{Previous: claimed, EarlierKnown: true, OwnerEnded: true}, 9 * time.Second},
		} {
			h := newSuccessor(c.options, queue, oneStep(1, nil), "w1")
			h.feed(PollAnswered{Worker: "w1", Sent: h.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: time.Minute}})
			h.advance(time.Second)
			h.feed(EarlierOwnerEnded{Noticed: h.now})
			h.advance(c.wait - time.Second - expiryMargin)
			Expect(takeEffects[StartRun](h)).To(BeEmpty(), name)
			h.advance(2*expiryMargin + 10*time.Millisecond)
			h.feed(Tick{})
			Expect(takeEffects[StartRun](h)).To(HaveLen(1), name)
		}
	})

	It("records that earlier owners have ended, until it knows which workers don't answer", func() {
		previous := recorder.WorkerList{Workers: []string{"gone", "gone-before"}, EarlierEnded: true}
		previous.Earlier = []recorder.WorkerLease{{Worker: "gone-before", Remaining: 12 * time.Second}}
		h := newSuccessor(Options{Previous: previous, EarlierKnown: true, OwnerEnded: true}, queue, oneStep(1, nil), "w1", "gone")
		h.feed(PollAnswered{Worker: "w1", Sent: h.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: time.Minute}})
		h.advance(inheritedAnswerTime / 2)
		commits := takeEffects[Commit](h)
		Expect(commits).NotTo(BeEmpty())
		list := commits[len(commits)-1].WorkerList
		Expect(list.InheritedKnown).To(BeFalse())
		Expect(list.EarlierEnded).To(BeTrue())
		Expect(list.Earlier).To(ConsistOf(recorder.WorkerLease{Worker: "gone-before", Remaining: 12 * time.Second}))
		h.feed(PollFailed{Worker: "gone", Incarnation: 1, Fault: OutcomeUnknown})
		h.listOutdated = true
		h.advance(time.Second)
		commits = takeEffects[Commit](h)
		Expect(commits).NotTo(BeEmpty())
		Expect(commits[len(commits)-1].InheritedKnown).To(BeTrue())
		Expect(commits[len(commits)-1].EarlierEnded).To(BeFalse())
	})

	It("leaves an unresponsive worker out of the worker list after its leases have expired", func() {
		h := newHarness(queue, "w1", "w2")
		answers := func(id string) {
			h.feed(PollAnswered{Worker: id, Sent: h.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: h.now.Sub(epoch)}})
		}
		for range 40 {
			h.advance(250 * time.Millisecond)
			for _, pollOrder := range takeEffects[PollWorker](h) {
				if pollOrder.Worker.ID == "w2" {
					h.feed(PollFailed{Worker: "w2", Incarnation: 1, Fault: OutcomeUnknown})
				}
			}
			answers("w1")
		}
		takeEffects[Commit](h)
		h.feed(JobArrived{Job: oneStep(1, nil)})
		start := takeEffects[StartRun](h)[0]
		h.feed(StartAnswered{Worker: "w1", Incarnation: 1, Task: start.Task, Run: start.Run})
		h.advance(100 * time.Millisecond)
		commits := takeEffects[Commit](h)
		Expect(commits).NotTo(BeEmpty())
		Expect(commits[0].Workers).To(Equal([]string{"w1"}))

		h.feed(PollFailed{Worker: "w1", Incarnation: 1, Fault: OutcomeUnknown})
		second := oneStep(1, nil)
		second.ID = "0000000000000001"
		effects := h.Reduce(h.now.Add(100*time.Millisecond), JobArrived{Job: second},
			PollAnswered{Worker: "w2", Sent: h.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: h.now.Sub(epoch)}})
		Expect(effects).NotTo(ContainElement(BeAssignableToTypeOf(StartRun{})), "not in the durable worker list any more")
		Expect(effects).To(ContainElement(And(BeAssignableToTypeOf(Commit{}), HaveField("Workers", []string{"w1", "w2"}))))
		effects = h.Reduce(h.now, Committed{Batch: h.Shard.batch})
		Expect(effects).To(ContainElement(And(BeAssignableToTypeOf(StartRun{}), HaveField("Worker.ID", "w2"))))
	})

	It("waits after a planned shutdown only until the earlier owner's leases have expired", func() {
		before := newHarness(queue, "w1", "gone")
		before.advance(time.Second)
		before.feed(PollAnswered{Worker: "w1", Sent: before.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: 2 * time.Minute}})
		leases := before.WorkerLeases(before.now)
		Expect(leases).To(HaveLen(2))
		Expect(leases[0].Worker).To(Equal("gone"))
		remaining := leases[0].Remaining
		Expect(remaining).To(BeNumerically("<", leases[1].Remaining), "renewed later")
		Expect(leases[1].Remaining).To(BeNumerically("<=", withDrift(simLease)+expiryMargin))
		h := newSuccessor(Options{Released: true, WorkerLeases: leases}, queue, oneStep(1, nil), "w1")
		h.feed(PollAnswered{Worker: "w1", Sent: h.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: time.Minute}})
		h.advance(remaining)
		Expect(takeEffects[StartRun](h)).To(BeEmpty())
		h.advance(time.Millisecond)
		Expect(takeEffects[StartRun](h)).To(HaveLen(1))
	})

	It("releases with the leases that an even earlier owner may still renew", func() {
		s := New(Options{Name: "desk", Lease: simLease, OutageLimit: simOutageLimit, Epoch: 1, Previous: recorder.WorkerList{Workers: []string{"gone"}}}, epoch)
		leases := s.WorkerLeases(epoch.Add(time.Second))
		Expect(leases).To(HaveLen(1))
		Expect(leases[0].Worker).To(Equal("gone"))
		Expect(leases[0].Remaining).To(BeNumerically(">", simOutageLimit))
	})

	It("starts a task that it has seen running again as soon as no earlier owner can, without waiting for other workers", func() {
		workers := recorder.WorkerList{Workers: []string{"gone", "w1", "w2", "w3"}, Settled: true}
		voters := workers
		voters.Rule = recorder.QuorumRule
		for name, c := range map[string]struct {
			options    Options
			lastOrder  time.Duration // from the claim
			lastLeases time.Duration // from the claim
		}{
			"the earlier owner may have no store": {Options{Previous: workers, EarlierKnown: true}, simOutageLimit + expiryMargin, withDrift(simOutageLimit + simLease)},
			"it has no quorum":                    {Options{Previous: voters, EarlierKnown: true, RecordTTL: simOwnerTTL}, confirmationTime, withDrift(simLease) - simOwnerTTL + confirmationTime},
			"it has ended":                        {Options{Previous: workers, EarlierKnown: true, OwnerEnded: true}, 0, withDrift(simLease)},
		} {
			for _, outcome := range []specifier.Outcome{specifier.OutcomeStopped, specifier.OutcomeLeaseExpired} {
				active := []specifier.Run{{Task: first, Number: 1}}
				end := []specifier.End{{Number: 1, Task: first, Run: 1, Outcome: outcome}}
				answer := func(h *harness, inventory specifier.Inventory) {
					inventory.Incarnation, inventory.Clock = 1, time.Minute+h.now.Sub(epoch)
					h.feed(PollAnswered{Worker: "w1", Sent: h.now, Inventory: inventory})
				}
				claim := func() *harness {
					h := newSuccessor(c.options, queue, oneStep(1, nil), "w1", "w2", "w3")
					answer(h, specifier.Inventory{Active: active})
					h.answer("w2", 1)
					h.answer("w3", 1)
					return h
				}

				h := claim()
				if c.lastOrder > 0 {
					h.advance(c.lastOrder - time.Millisecond)
					answer(h, specifier.Inventory{Active: active})
					h.advance(time.Second)
					answer(h, specifier.Inventory{Ended: end})
					Expect(takeEffects[StartRun](h)).To(BeEmpty(), name+": the earlier owner may have started it after the same end")
					h.advance(c.lastLeases + expiryMargin - h.now.Sub(epoch))
					Expect(takeEffects[StartRun](h)).To(BeEmpty(), name)
					h.advance(time.Millisecond)
					h.advance(commitInterval)
					Expect(takeEffects[StartRun](h)).To(HaveLen(1), name)
				}

				h = claim()
				h.advance(c.lastOrder)
				answer(h, specifier.Inventory{Active: active})
				h.advance(time.Millisecond)
				answer(h, specifier.Inventory{Ended: end})
				Expect(takeEffects[StartRun](h)).To(HaveLen(1), name+": no earlier owner starts it")
			}
		}
	})

	It("starts a dependent step only once it knows all runs, whose start may have followed an end that is lost", func() {
		job := oneStep(1, nil)
		job.Steps = append(job.Steps, specifier.Step{Count: 1, Needs: resources(1000), Estimate: time.Second, After: []int{0}})
		h := newSuccessor(Options{Previous: recorder.WorkerList{Workers: []string{"gone", "w1"}}}, queue, job, "w1")
		h.advance(simOutageLimit + expiryMargin)
		h.feed(PollAnswered{Worker: "w1", Sent: h.now, Inventory: specifier.Inventory{
			Incarnation: 1, Clock: time.Minute, Active: []specifier.Run{{Task: first, Number: 1}},
		}})
		h.advance(time.Second)
		end := specifier.End{Number: 1, Task: first, Run: 1, Outcome: specifier.OutcomeStopped}
		h.feed(PollAnswered{Worker: "w1", Sent: h.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: 2 * time.Minute, Ended: []specifier.End{end}}})
		again := takeEffects[StartRun](h)
		Expect(again).To(HaveLen(1))
		h.feed(StartAnswered{Worker: "w1", Incarnation: 1, Task: first, Run: again[0].Run})
		h.advance(time.Second)
		end = specifier.End{Number: 2, Task: first, Run: again[0].Run, Outcome: specifier.OutcomeDone}
		h.feed(PollAnswered{Worker: "w1", Sent: h.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: 3 * time.Minute, Ended: []specifier.End{end}}})
		h.advance(time.Second)
		Expect(takeEffects[StartRun](h)).To(BeEmpty(), "an earlier owner may have started the dependent step")
		h.advance(withDrift(simOutageLimit+simLease) + expiryMargin)
		h.feed(PollAnswered{Worker: "w1", Sent: h.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: 4 * time.Minute}})
		Expect(takeEffects[StartRun](h)).To(HaveLen(1))
	})

	It("starts an adopted task again only after it knows all earlier failures", func() {
		workers := recorder.WorkerList{Workers: []string{"w1", "w2"}, Settled: true}
		for _, o := range []Options{{Previous: workers}, {Previous: workers, EarlierKnown: true, OwnerEnded: true}} {
			h := newSuccessor(o, queue, oneStep(1, nil), "w1", "w2", "w3")
			h.feed(PollAnswered{Worker: "w3", Sent: h.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: time.Minute}})
			h.feed(PollAnswered{Worker: "w2", Sent: h.now, Inventory: specifier.Inventory{
				Incarnation: 1, Clock: time.Minute, Active: []specifier.Run{{Task: first, Number: 2}},
			}})
			h.advance(time.Second)
			failed := func(number, run int64) specifier.Inventory {
				return specifier.Inventory{Incarnation: 1, Clock: 2 * time.Minute, Ended: []specifier.End{
					{Number: number, Task: first, Run: run, Outcome: specifier.OutcomeFailed},
				}}
			}
			h.feed(PollAnswered{Worker: "w2", Sent: h.now, Inventory: failed(1, 2)})
			h.advance(time.Second)
			Expect(takeEffects[StartRun](h)).To(BeEmpty(), "w1 may report an earlier failure")
			h.feed(PollAnswered{Worker: "w1", Sent: h.now, Inventory: failed(1, 1)})
			h.advance(commitInterval)
			Expect(takeEffects[StartRun](h)).To(BeEmpty())
			Expect(h.ended).To(HaveKey(first.Job), "the job has failed after two failed runs")
		}
	})

	It("counts a failed run once if its end is listed again", func() {
		h := newHarness(queue, "w1")
		h.feed(JobLoaded{Job: oneStep(1, nil), Progress: recorder.Progress{Tasks: []recorder.TaskProgress{{Failed: []int64{1}}}}})
		end := specifier.End{Number: 1, Task: first, Run: 1, Outcome: specifier.OutcomeFailed}
		h.feed(PollAnswered{Worker: "w1", Sent: h.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: 2 * time.Minute, Ended: []specifier.End{end}}})
		Expect(h.jobs).To(HaveKey(first.Job))
		Expect(h.jobs[first.Job].final).To(BeEmpty())
	})

	It("starts nothing on a worker that has runs with unknown needs", func() {
		h := newHarness(queue, "w1")
		unknownRun := specifier.Run{Task: specifier.TaskID{Job: "0000000000000000"}, Number: 1}
		h.feed(PollAnswered{Worker: "w1", Sent: h.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: 2 * time.Minute, Active: []specifier.Run{unknownRun}}})
		Expect(takeEffects[StopRun](h)).To(HaveLen(1))
		h.feed(JobArrived{Job: oneStep(1, nil)})
		Expect(takeEffects[StartRun](h)).To(BeEmpty())
		h.feed(StopAnswered{Worker: "w1", Incarnation: 1, Task: unknownRun.Task, Run: 1})
		h.now = h.now.Add(time.Second)
		h.feed(PollAnswered{Worker: "w1", Sent: h.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: 2 * time.Minute}})
		Expect(takeEffects[StartRun](h)).To(HaveLen(1))
	})

	It("starts an unresponsive worker's tasks elsewhere after its leases have expired", func() {
		h := newHarness(queue, "w1", "w2")
		h.feed(JobArrived{Job: oneStep(1, nil)})
		start := takeEffects[StartRun](h)[0]
		h.feed(StartAnswered{Worker: start.Worker.ID, Incarnation: 1, Task: start.Task, Run: 1})
		other := map[string]string{"w1": "w2", "w2": "w1"}[start.Worker.ID]
		for range 40 {
			h.advance(250 * time.Millisecond)
			for _, pollOrder := range takeEffects[PollWorker](h) {
				if pollOrder.Worker.ID == start.Worker.ID {
					h.feed(PollFailed{Worker: pollOrder.Worker.ID, Incarnation: 1, Fault: OutcomeUnknown})
				}
			}
			h.feed(PollAnswered{Worker: other, Sent: h.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: h.now.Sub(epoch)}})
		}
		again := takeEffects[StartRun](h)
		Expect(again).To(HaveLen(1))
		Expect(again[0].Worker.ID).To(Equal(other))
	})

	It("starts an unresponsive worker's tasks elsewhere only while the store confirms the ownership", func() {
		// Another owner may have reached the worker, processed the end of the
		// run and acknowledged it.
		h := newHarness(queue, "w1", "w2")
		h.feed(JobArrived{Job: oneStep(1, nil)})
		start := takeEffects[StartRun](h)[0]
		h.feed(StartAnswered{Worker: start.Worker.ID, Incarnation: 1, Task: start.Task, Run: 1})
		other := map[string]string{"w1": "w2", "w2": "w1"}[start.Worker.ID]
		for range 28 { // 7 s, less than simOutageLimit
			h.now = h.now.Add(250 * time.Millisecond)
			h.feed(Tick{}, PollFailed{Worker: start.Worker.ID, Incarnation: 1, Fault: OutcomeUnknown})
			h.feed(PollAnswered{Worker: other, Sent: h.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: h.now.Sub(epoch)}})
		}
		Expect(takeEffects[StartRun](h)).To(BeEmpty())
		h.feed(OwnershipChecked{Confirmed: true}, Tick{})
		Expect(takeEffects[StartRun](h)).To(HaveLen(1))
	})

	It("stops waiting for inherited runs only while the store confirms the ownership", func() {
		options := Options{OutageLimit: 3 * simOutageLimit, Released: true, WorkerLeases: []recorder.WorkerLease{{Worker: "gone"}}}
		h := newSuccessor(options, queue, oneStep(1, nil), "w1")
		h.now = h.now.Add(2 * time.Second)
		h.feed(Tick{}, PollAnswered{Worker: "w1", Sent: h.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: time.Minute}})
		Expect(takeEffects[StartRun](h)).To(BeEmpty())
		h.feed(OwnershipChecked{Confirmed: true}, Tick{})
		Expect(takeEffects[StartRun](h)).To(HaveLen(1))
	})

	It("starts a failed task on the same worker again if there is no room elsewhere", func() {
		h := newHarness(queue, "w1", "w2")
		whole := func(s *specifier.Step) { s.LongRunning, s.Needs = true, resources(longRunningShare*workerCPU) }
		other := oneStep(1, whole)
		other.ID = "0000000000000001"
		h.feed(JobArrived{Job: oneStep(1, whole)}, JobArrived{Job: other})
		starts := takeEffects[StartRun](h)
		Expect(starts).To(HaveLen(2))
		for _, s := range starts {
			h.feed(StartAnswered{Worker: s.Worker.ID, Incarnation: 1, Task: s.Task, Run: 1})
		}
		h.now = h.now.Add(time.Second)
		h.feed(PollAnswered{Worker: starts[0].Worker.ID, Sent: h.now, Inventory: specifier.Inventory{
			Incarnation: 1, Clock: 2 * time.Minute,
			Ended: []specifier.End{{Number: 1, Task: starts[0].Task, Run: 1, Outcome: specifier.OutcomeFailed}},
		}})
		Expect(takeEffects[StartRun](h)).To(BeEmpty())
		h.advance(otherWorkerWait)
		again := takeEffects[StartRun](h)
		Expect(again).To(HaveLen(1))
		Expect(again[0].Worker.ID).To(Equal(starts[0].Worker.ID))
	})

	It("uses a worker with failed runs again after some seconds", func() {
		h := newHarness(queue, "w1")
		for range 8 {
			h.now = h.now.Add(time.Second)
			h.feed(PollAnswered{Worker: "w1", Sent: h.now, Inventory: specifier.Inventory{
				Incarnation: 1, Clock: h.now.Sub(epoch),
			}})
			h.countFailure(h.workers["w1"])
		}
		h.feed(JobArrived{Job: oneStep(1, nil)})
		Expect(takeEffects[StartRun](h)).To(BeEmpty())
		h.advance(4 * time.Second)
		Expect(takeEffects[StartRun](h)).To(HaveLen(1))
	})

	It("resigns when a worker has seen a higher fencing token", func() {
		h := newHarness(queue, "w1")
		h.feed(PollFailed{Worker: "w1", Incarnation: 1, Fault: Fenced})
		Expect(takeEffects[Resign](h)).To(HaveLen(1))
		h.feed(JobArrived{Job: oneStep(1, nil)})
		Expect(takeEffects[StartRun](h)).To(BeEmpty())
	})

	It("gives no orders after the outage limit without the store", func() {
		h := newHarness(queue, "w1")
		takeEffects[PollWorker](h)
		h.feed(OwnershipChecked{Confirmed: false})
		h.now = h.now.Add(simOutageLimit + time.Second)
		h.feed(Tick{}, JobArrived{Job: oneStep(1, nil)})
		Expect(takeEffects[PollWorker](h)).To(BeEmpty())
		Expect(takeEffects[StartRun](h)).To(BeEmpty())
	})
})
