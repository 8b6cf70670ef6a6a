package dispatcher

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

var _ = Describe("an owner that reads cancellations late", func() {
	const maxAge = 2 * time.Second
	var h *harness

	BeforeEach(func() {
		h = newHarness(specifier.Queue{Name: "menus", Slack: 2, Attempts: 2}, "w1")
		h.options.MaxCancellationAge = maxAge
		h.feed(CancellationsRead{At: h.now})
	})

	It("starts no task of a job that may have been cancelled", func() {
		h.advance(maxAge)
		h.feed(JobArrived{Job: longRunningJob()})
		h.advance(time.Second)
		Expect(takeEffects[StartRun](h)).To(BeEmpty())
		Expect(takeEffects[Log](h)).To(ContainElement(And(
			HaveField("Message", "run starts paused"), HaveField("Reason", "cancellations read late"), HaveField("Age", maxAge),
		)))

		h.feed(CancellationsRead{At: h.now}, Tick{})
		Expect(takeEffects[StartRun](h)).To(HaveLen(1))
		Expect(takeEffects[Log](h)).To(ContainElement(And(
			HaveField("Message", "run starts resumed"), HaveField("Reason", "cancellations known"),
		)))
	})

	It("drops a start that waits to be durable", func() {
		h.loadSuspect(longRunningJob(), twoLosses())
		Expect(h.startObstacle(&run{worker: h.workers["w1"], task: h.jobs[longRunningID].steps[0].tasks[0]})).To(BeEmpty())
		h.advance(maxAge)
		Expect(h.startObstacle(&run{worker: h.workers["w1"], task: h.jobs[longRunningID].steps[0].tasks[0]})).NotTo(BeEmpty())
	})

	It("goes on while the store confirms nothing either", func() {
		h.now = h.now.Add(2 * maxAge)
		h.answer("w1", 1)
		h.feed(JobArrived{Job: longRunningJob()})
		Expect(takeEffects[StartRun](h)).To(HaveLen(1))
	})
})
