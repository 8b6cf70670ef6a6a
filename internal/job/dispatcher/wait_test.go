package dispatcher

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

var _ = Describe("the report of waiting long-running tasks", func() {
	queue := specifier.Queue{Name: "menus", Slack: 2, Attempts: 2}
	longRunning := func(n int) specifier.Job {
		return oneStep(n, func(s *specifier.Step) { s.LongRunning, s.Needs = true, resources(1500) })
	}
	// wait returns the only Wait of the last report.
	wait := func(h *harness) Wait {
		reports := takeEffects[ReportWaiting](h)
		ExpectWithOffset(1, reports).NotTo(BeEmpty())
		waits := reports[len(reports)-1].Waits
		ExpectWithOffset(1, waits).To(HaveLen(1))
		return waits[0]
	}
	answer := func(h *harness, id string) {
		h.feed(PollAnswered{Worker: id, Sent: h.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: h.now.Sub(epoch) + time.Minute}})
	}

	It("names tasks without room, and says once when none waits any more", func() {
		h := newHarness(queue, "w1")
		h.options.Divided = true
		h.feed(JobArrived{Job: oneStep(2, func(s *specifier.Step) {
			s.LongRunning, s.MaxPerWorker, s.Needs = true, 1, resources(1500)
		})})
		for _, start := range takeEffects[StartRun](h) {
			h.feed(StartAnswered{Worker: "w1", Incarnation: 1, Task: start.Task, Run: start.Run})
		}
		h.advance(reportDelay - time.Millisecond)
		Expect(takeEffects[ReportWaiting](h)).To(BeEmpty(), "not yet")
		h.advance(reportInterval)
		w := wait(h)
		Expect(w.Reason).To(Equal(WaitNoRoom))
		Expect(w.Tasks).To(Equal(1))
		Expect(w.Age).To(Equal(reportDelay - time.Millisecond + reportInterval))
		Expect(w.CPU).To(Equal(int64(1500)))
		Expect(w.Free).To(Equal(int64(2500)))
		h.advance(reportInterval / 2)
		Expect(takeEffects[ReportWaiting](h)).To(BeEmpty(), "no more than one report in reportInterval")

		h.feed(JobCancelled{ID: longRunning(1).ID})
		h.advance(reportInterval)
		Expect(wait(h).Tasks).To(BeZero())
		h.advance(reportInterval)
		Expect(takeEffects[ReportWaiting](h)).To(BeEmpty())
	})

	It("names the limit of long-running tasks", func() {
		h := newHarness(queue, "w1")
		job := oneStep(4, func(s *specifier.Step) { s.LongRunning, s.Needs = true, resources(1000) })
		h.feed(JobArrived{Job: job}) // a fourth exceeds the limit, with room for one only
		h.advance(reportDelay)
		Expect(wait(h)).To(And(HaveField("Reason", WaitLimit), HaveField("Tasks", 1),
			HaveField("Limit", LimitWait{LongRunning: 3000, Limit: 3600})))
	})

	It("names workers that don't answer", func() {
		h := newHarness(queue, "w1")
		h.options.Divided = true
		h.feed(PollFailed{Worker: "w1", Incarnation: 1, Fault: OutcomeUnknown})
		job := longRunning(1)
		job.FormerShards = make([]string, maxMoves)
		h.feed(JobArrived{Job: job})
		h.advance(reportDelay)
		Expect(wait(h)).To(And(HaveField("Reason", WaitUnusable), HaveField("Tasks", 1)))
	})

	It("names runs by an earlier owner that aren't known", func() {
		s := New(Options{Name: "desk", Lease: simLease, OutageLimit: simOutageLimit, Epoch: 1, Previous: recorder.WorkerList{Workers: []string{"gone"}}}, epoch)
		h := &harness{Shard: s}
		h.feed(CatalogUpdated{Catalog: &specifier.Catalog{Version: 1, Queues: []specifier.Queue{queue}}}, JobLoaded{Job: longRunning(1)},
			WorkersListed{Workers: []specifier.Worker{{ID: "w1", Incarnation: 1, Capacity: resources(4000)}}})
		answer(h, "w1")
		h.advance(reportDelay)
		// It may have waited for deferralLimit under the earlier owner.
		Expect(wait(h)).To(And(HaveField("Reason", WaitEarlierRuns), HaveField("Age", deferralLimit+reportDelay),
			HaveField("Inherited", InheritedWait{Workers: 1, Remaining: withDrift(simOutageLimit+simLease) + expiryMargin - reportDelay})))
	})

	It("names a missing confirmation of the ownership", func() {
		h := newHarness(queue, "w1")
		h.feed(JobArrived{Job: longRunning(4)})
		h.now = h.now.Add(simOutageLimit)
		h.feed(Tick{})
		Expect(wait(h).Reason).To(Equal(WaitUnconfirmed))
	})
})

var _ = Describe("a worker with stalled runs", func() {
	It("is logged once while it is avoided", func() {
		h := newHarness(specifier.Queue{Name: "menus", Slack: 2, Attempts: 2}, "w1")
		h.feed(JobArrived{Job: oneStep(stalledRunsThreshold, nil)})
		var active []specifier.Run
		for _, start := range takeEffects[StartRun](h) {
			h.feed(StartAnswered{Worker: "w1", Incarnation: 1, Task: start.Task, Run: start.Run})
			active = append(active, specifier.Run{Task: start.Task, Number: start.Run})
		}
		h.advance(minStallTime + time.Millisecond)
		for range 100 {
			h.now = h.now.Add(25 * time.Millisecond)
			h.feed(PollAnswered{Worker: "w1", Sent: h.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: h.now.Sub(epoch) + time.Minute, Active: active}})
		}
		lines := 0
		for _, l := range takeEffects[Log](h) {
			if l.Message == "worker avoided after stalled runs" {
				lines++
			}
		}
		Expect(lines).To(Equal(1))
	})
})
