package dispatcher

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

var _ = Describe("a shard with too many lasting jobs", func() {
	queue := specifier.Queue{Name: "menus", Slack: 2, Attempts: 2}
	lasting := func(n int) specifier.Job {
		job := oneStep(2, func(s *specifier.Step) { s.Lasting, s.Needs = true, resources(1000) })
		job.ID = fmt.Sprintf("%016x", n)
		return job
	}

	var d *desk
	BeforeEach(func() {
		d = newDesk(queue, "w1", "w2") // 8,000 millicores, 7,200 of them for lasting tasks
		d.options.Domain = "bne"
		for n := range 6 { // 12,000
			d.do(JobArrived{Job: lasting(n)})
		}
		Expect(taken[StartRun](d)).To(HaveLen(6), "three jobs of 2,000")
	})

	It("hands on those of which nothing has run, until the rest is within the limit", func() {
		d.pass(publishInterval)
		moves := taken[MoveJob](d)
		Expect(moves).To(HaveLen(3))
		for _, m := range moves {
			Expect(m.LastingCPU).To(Equal(int64(2000)))
			d.do(JobMoved{ID: m.Job.ID, OK: true})
			Expect(d.jobs).NotTo(HaveKey(m.Job.ID))
			d.do(JobArrived{Job: m.Job}) // a watch that lags delivers it again
			Expect(d.jobs).NotTo(HaveKey(m.Job.ID))
		}
		d.pass(publishInterval)
		Expect(taken[MoveJob](d)).To(BeEmpty())
	})

	It("starts nothing of a job on its way, and keeps one that no shard has room for", func() {
		d.pass(publishInterval)
		move := taken[MoveJob](d)[0]
		d.dropRuns(d.workers["w1"])
		d.pass(100 * time.Millisecond)
		for _, start := range taken[StartRun](d) {
			Expect(start.Task.Job).NotTo(Equal(move.Job.ID))
		}
		d.do(JobMoved{ID: move.Job.ID})
		Expect(d.jobs).To(HaveKey(move.Job.ID))
		d.pass(moveTime)
		for _, m := range taken[MoveJob](d) {
			d.do(JobMoved{ID: m.Job.ID})
		}
		Expect(taken[StartRun](d)).NotTo(BeEmpty(), "it starts here after all")
	})

	It("does not hand on what was handed on often, nor in the only shard of a service", func() {
		d.options.Domain = ""
		d.pass(publishInterval)
		Expect(taken[MoveJob](d)).To(BeEmpty())
		d.options.Domain = "bne"
		for _, j := range d.jobs {
			j.spec.FormerShards = []string{"a", "b", "c"}
		}
		d.pass(publishInterval)
		Expect(taken[MoveJob](d)).To(BeEmpty())
	})
})
