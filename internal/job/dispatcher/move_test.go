package dispatcher

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

var _ = Describe("a shard with more long-running tasks than its limit", func() {
	queue := specifier.Queue{Name: "menus", Slack: 2, Attempts: 2}
	longRunningJob := func(n int) specifier.Job {
		job := oneStep(2, func(s *specifier.Step) { s.LongRunning, s.Needs = true, resources(1000) })
		job.ID = fmt.Sprintf("%016x", n)
		return job
	}

	var h *harness
	BeforeEach(func() {
		h = newHarness(queue, "w1", "w2") // 8,000 millicores in all, 7,200 for long-running tasks
		h.options.Divided = true
		for n := range 6 { // 12,000 millicores in all
			h.feed(JobArrived{Job: longRunningJob(n)})
		}
		Expect(takeEffects[StartRun](h)).To(HaveLen(6), "three jobs of 2,000")
	})

	It("moves jobs that have never run, until the rest is within the limit", func() {
		h.advance(publishInterval)
		moves := takeEffects[MoveJob](h)
		Expect(moves).To(HaveLen(3))
		for _, m := range moves {
			Expect(m.LongRunningCPU).To(Equal(int64(2000)))
			h.feed(JobMoved{ID: m.Job.ID, OK: true})
			Expect(h.jobs).NotTo(HaveKey(m.Job.ID))
			h.feed(JobArrived{Job: m.Job}) // a delayed watch delivers it again
			Expect(h.jobs).NotTo(HaveKey(m.Job.ID))
		}
		h.advance(publishInterval)
		Expect(takeEffects[MoveJob](h)).To(BeEmpty())
	})

	It("starts no task of a job that is being moved, and keeps a job that no shard has room for", func() {
		h.advance(publishInterval)
		move := takeEffects[MoveJob](h)[0]
		h.loseRuns(h.workers["w1"], LossSilence)
		h.advance(100 * time.Millisecond)
		for _, start := range takeEffects[StartRun](h) {
			Expect(start.Task.Job).NotTo(Equal(move.Job.ID))
		}
		h.feed(JobMoved{ID: move.Job.ID})
		Expect(h.jobs).To(HaveKey(move.Job.ID))
		h.advance(moveWait)
		for _, m := range takeEffects[MoveJob](h) {
			h.feed(JobMoved{ID: m.Job.ID})
		}
		Expect(takeEffects[StartRun](h)).NotTo(BeEmpty(), "it starts here after a failed move")
	})

	It("moves no job that has been moved maxMoves times, and none if the service has one shard", func() {
		h.options.Divided = false
		h.advance(publishInterval)
		Expect(takeEffects[MoveJob](h)).To(BeEmpty())
		h.options.Divided = true
		for _, j := range h.jobs {
			j.spec.FormerShards = []string{"a", "b", "c"}
		}
		h.advance(publishInterval)
		Expect(takeEffects[MoveJob](h)).To(BeEmpty())
	})
})
