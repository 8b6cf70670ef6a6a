package dispatcher

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// An owner whose link is full receives answers late, and none for some calls.
var _ = Describe("an owner that lags behind its workers' answers", func() {
	queue := specifier.Queue{Name: "menus", Slack: 2, Attempts: 2}
	const answerTime = 1200 * time.Millisecond // of calls through the full link
	const interval = 250 * time.Millisecond

	var h *harness
	var run StartRun
	var other string

	BeforeEach(func() {
		h = newHarness(queue, "w1", "w2")
		h.feed(JobArrived{Job: oneStep(1, nil)})
		run = takeEffects[StartRun](h)[0]
		h.feed(StartAnswered{Worker: run.Worker.ID, Incarnation: 1, Task: run.Task, Run: run.Run})
		other = map[string]string{"w1": "w2", "w2": "w1"}[run.Worker.ID]
	})

	inventory := func(ends ...specifier.End) specifier.Inventory {
		return specifier.Inventory{Incarnation: 1, Clock: h.now.Sub(epoch), Ended: ends}
	}
	// pass lets time pass in which the worker of the run doesn't answer, and the
	// other one answers at once or late.
	pass := func(d time.Duration, late bool) {
		for end := h.now.Add(d); h.now.Before(end); {
			h.now = h.now.Add(interval)
			h.feed(Tick{}, OwnershipChecked{Confirmed: true})
			for _, order := range takeEffects[PollWorker](h) {
				if order.Worker.ID == run.Worker.ID {
					h.feed(PollFailed{Worker: order.Worker.ID, Incarnation: 1, Fault: OutcomeUnknown})
				}
			}
			sent := h.now
			if late {
				sent = h.now.Add(-h.workers[other].pollWait - answerTime)
			}
			h.feed(PollAnswered{Worker: other, Sent: sent, Inventory: inventory()})
		}
	}

	It("doesn't start a task again whose worker it can't hear", func() {
		pass(4*simLease, true)
		Expect(takeEffects[StartRun](h)).To(BeEmpty())
		h.feed(PollAnswered{Worker: run.Worker.ID, Sent: h.now, Inventory: inventory(
			specifier.End{Number: 1, Task: run.Task, Run: run.Run, Outcome: specifier.OutcomeDone})})
		pass(simLease, false)
		Expect(takeEffects[StartRun](h)).To(BeEmpty(), "the task has completed")
	})

	It("starts the task elsewhere if the worker is still silent once answers are prompt again", func() {
		pass(4*simLease, true)
		pass(2*congestionWindow, false)
		again := takeEffects[StartRun](h)
		Expect(again).To(HaveLen(1))
		Expect(again[0].Worker.ID).To(Equal(other))
	})

	// It guards against an owner that takes a calm time for congestion, and never starts the tasks again of
	// a worker that is registered but doesn't answer.
	It("starts the task elsewhere while nothing else ends", func() {
		h.options.PollWait = 1500 * time.Millisecond
		for end := h.now.Add(2 * simLease); h.now.Before(end); {
			sent := h.now
			for range int(h.options.PollWait / interval) {
				h.now = h.now.Add(interval)
				h.feed(Tick{}, OwnershipChecked{Confirmed: true})
				for _, order := range takeEffects[PollWorker](h) {
					if order.Worker.ID == run.Worker.ID {
						h.feed(PollFailed{Worker: order.Worker.ID, Incarnation: 1, Fault: OutcomeUnknown})
					}
				}
			}
			h.feed(PollAnswered{Worker: other, Sent: sent.Add(-interval / 10), Inventory: inventory()})
		}
		Expect(takeEffects[StartRun](h)).To(HaveLen(1))
	})

	It("takes late ticks for its own delay", func() {
		for range 8 {
			h.now = h.now.Add(simLease / 4)
			h.feed(OwnershipChecked{Confirmed: true}, Tick{}, PollFailed{Worker: run.Worker.ID, Incarnation: 1, Fault: OutcomeUnknown},
				PollAnswered{Worker: other, Sent: h.now, Inventory: inventory()})
		}
		Expect(takeEffects[StartRun](h)).To(BeEmpty())
	})

	It("waits for inherited runs of a registered worker that it can't hear", func() {
		pass(congestionWindow, true)
		h.inheritedExpiry[run.Worker.ID] = h.now
		pass(2*simLease, true)
		Expect(h.inheritedExpiry).To(HaveKey(run.Worker.ID))
		pass(2*congestionWindow, false)
		Expect(h.inheritedExpiry).To(BeEmpty())
	})
})
