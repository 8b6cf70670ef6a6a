package dispatcher

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// harness feeds a Shard events and collects its effects. It confirms commits at
// once.
type harness struct {
	*Shard
	effects []Effect
	batch   int64
}

// newHarness returns a harness whose workers have answered a poll and are in the
// durable worker list.
func newHarness(queue specifier.Queue, workers ...string) *harness {
	h := &harness{Shard: New(Options{
		Name: "desk", Service: "desk", Lease: simLease, OutageLimit: simOutageLimit, PollWait: time.Second, Reservations: true,
	}, epoch)}
	var list []specifier.Worker
	for _, id := range workers {
		list = append(list, specifier.Worker{
			ID: id, Incarnation: 1, Service: "desk", Capacity: describer.Resources{CPU: workerCPU, Memory: 1000},
		})
	}
	h.feed(CatalogUpdated{Catalog: &specifier.Catalog{Version: 1, Queues: []specifier.Queue{queue}}}, WorkersListed{Workers: list})
	for _, id := range workers {
		h.feed(PollAnswered{Worker: id, Sent: h.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: time.Minute}})
	}
	h.advance(100 * time.Millisecond)
	return h
}

// feed applies events and then confirms the commit that they caused.
func (h *harness) feed(events ...Event) {
	h.effects = append(h.effects, h.Reduce(h.now, events...)...)
	for _, e := range h.effects {
		if c, ok := e.(Commit); ok && c.Batch > h.batch {
			h.batch = c.Batch
			h.feed(Committed{Batch: c.Batch})
			return
		}
	}
}

// advance moves the clock, confirms the ownership and sends a tick.
func (h *harness) advance(t time.Duration) {
	h.now = h.now.Add(t)
	h.feed(OwnershipChecked{Confirmed: true}, Tick{})
}

// takeEffects removes and returns the collected effects of one type.
func takeEffects[E Effect](h *harness) []E {
	var out []E
	var rest []Effect
	for _, one := range h.effects {
		if e, ok := one.(E); ok {
			out = append(out, e)
		} else {
			rest = append(rest, one)
		}
	}
	h.effects = rest
	return out
}

// oneStep returns a job with one step of count tasks that need 1,000 millicores
// for 1 s, with an optional change of the step.
func oneStep(count int, change func(*specifier.Step)) specifier.Job {
	step := specifier.Step{Count: count, Needs: resources(1000), Estimate: time.Second}
	if change != nil {
		change(&step)
	}
	return specifier.Job{ID: "5c0e7a21d94b36f8", Queue: "menus", Steps: []specifier.Step{step}, Accepted: epoch}
}

var _ = Describe("advice", func() {
	advised := specifier.Queue{Name: "menus", Slack: 2, Attempts: 2, Advice: specifier.Advice{Needed: true}}

	It("is requested before a start, which then carries the ticket", func() {
		h := newHarness(advised, "w1", "w2", "w3")
		h.feed(JobArrived{Job: oneStep(2, nil)})
		Expect(takeEffects[StartRun](h)).To(BeEmpty())
		requests := takeEffects[RequestAdvice](h)
		Expect(requests).To(HaveLen(1))
		Expect(requests[0].Workers).To(HaveLen(3))
		h.feed(AdviceAnswered{Number: requests[0].Number, Step: requests[0].Step, Requested: requests[0].Workers, Tickets: []Ticket{{"w2", "t2"}}, Validity: 3 * time.Second})
		starts := takeEffects[StartRun](h)
		Expect(starts).To(HaveLen(2))
		Expect(starts).To(HaveEach(And(HaveField("Worker.ID", "w2"), HaveField("Ticket", "t2"))))
	})

	It("is requested again after a failure and for an expired ticket", func() {
		h := newHarness(advised, "w1")
		h.feed(JobArrived{Job: oneStep(9, nil)})
		requests := takeEffects[RequestAdvice](h)
		h.feed(AdviceAnswered{Number: requests[0].Number, Step: requests[0].Step, Outcome: AdviceTimedOut})
		Expect(takeEffects[RequestAdvice](h)).To(BeEmpty())
		h.advance(minAdviceBackoff)
		requests = takeEffects[RequestAdvice](h)
		Expect(requests).To(HaveLen(1))
		h.feed(AdviceAnswered{Number: requests[0].Number, Step: requests[0].Step, Requested: requests[0].Workers, Tickets: []Ticket{{"w1", "t1"}}, Validity: time.Second})
		starts := takeEffects[StartRun](h)
		Expect(starts).To(HaveLen(4))
		h.advance(time.Second)
		h.feed(StartAnswered{Worker: "w1", Incarnation: 1, Task: starts[0].Task, Run: 1, Fault: Unhealthy})
		h.advance(time.Second)
		h.feed(PollAnswered{Worker: "w1", Sent: h.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: 2 * time.Minute}})
		Expect(takeEffects[StartRun](h)).To(BeEmpty())
		Expect(takeEffects[RequestAdvice](h)).To(HaveLen(1))
	})

	It("isn't requested twice for a worker that must not run the step", func() {
		h := newHarness(advised, "w1")
		h.feed(JobArrived{Job: oneStep(1, nil)})
		requests := takeEffects[RequestAdvice](h)
		h.feed(AdviceAnswered{Number: requests[0].Number, Step: requests[0].Step, Requested: requests[0].Workers})
		h.advance(5 * time.Second)
		Expect(takeEffects[RequestAdvice](h)).To(BeEmpty())
	})
})

var _ = Describe("a step", func() {
	queue := specifier.Queue{Name: "menus", Slack: 2, Attempts: 2}

	It("starts all tasks of a gang or none", func() {
		gang := func(s *specifier.Step) { s.Gang = true }
		h := newHarness(queue, "w1", "w2")
		h.feed(JobArrived{Job: oneStep(9, gang)}) // there is room for 8
		Expect(takeEffects[StartRun](h)).To(BeEmpty())
		h = newHarness(queue, "w1", "w2")
		h.feed(JobArrived{Job: oneStep(8, gang)})
		starts := takeEffects[StartRun](h)
		Expect(starts).To(HaveLen(8))
		Expect(starts).To(HaveEach(HaveField("Run", int64(1))))
	})

	It("waits for its due time", func() {
		job := oneStep(1, nil)
		job.Repeat, job.First, job.Every = 2, epoch.Add(2*time.Second), 3*time.Second
		h := newHarness(queue, "w1")
		h.feed(JobArrived{Job: job})
		h.advance(time.Second)
		Expect(takeEffects[StartRun](h)).To(BeEmpty())
		h.advance(time.Second)
		Expect(takeEffects[StartRun](h)).To(HaveLen(1))
		h.advance(3 * time.Second)
		second := takeEffects[StartRun](h)
		Expect(second).To(HaveLen(1))
		Expect(second[0].Task.Occurrence).To(Equal(1))
	})

	It("prefers the rack of its data while there is room", func() {
		h := newHarness(queue, "w1", "w2")
		h.workers["w2"].rack = "r1-2"
		h.feed(JobArrived{Job: oneStep(5, func(s *specifier.Step) { s.PreferredRack = "r1-2" })})
		count := make(map[string]int)
		for _, s := range takeEffects[StartRun](h) {
			count[s.Worker.ID]++
		}
		Expect(count).To(Equal(map[string]int{"w2": 4, "w1": 1}))
	})

	It("reserves no CPU for a filler", func() {
		h := newHarness(queue, "w1")
		h.feed(JobArrived{Job: oneStep(1, func(s *specifier.Step) { s.Filler = true })})
		Expect(takeEffects[StartRun](h)).To(HaveLen(1))
		Expect(h.workers["w1"].allocated.reserved.CPU).To(BeZero())
	})
})
