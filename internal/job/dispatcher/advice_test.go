package dispatcher

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// desk drives one Shard by hand and keeps its effects.
type desk struct {
	*Shard
	effects []Effect
	batch   int64
}

func newDesk(queue specifier.Queue, workers ...string) *desk {
	d := &desk{Shard: New(Options{
		Name: "desk", Service: "desk", Lease: worldLease, OutageLimit: worldOutage, PollWait: time.Second,
	}, epoch)}
	var list []specifier.Worker
	for _, id := range workers {
		list = append(list, specifier.Worker{
			ID: id, Incarnation: 1, Service: "desk", Capacity: describer.Resources{CPU: workerCPU, Memory: 1000},
		})
	}
	d.do(CatalogUpdated{Catalog: &specifier.Catalog{Version: 1, Queues: []specifier.Queue{queue}}}, WorkersListed{Workers: list})
	for _, id := range workers {
		d.do(PollAnswered{Worker: id, Sent: d.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: time.Minute}})
	}
	d.pass(100 * time.Millisecond)
	return d
}

func (d *desk) do(events ...Event) {
	d.effects = append(d.effects, d.Reduce(d.now, events...)...)
	for _, e := range d.effects {
		if c, ok := e.(Commit); ok && c.Batch > d.batch {
			d.batch = c.Batch
			d.do(Committed{Batch: c.Batch})
			return
		}
	}
}

func (d *desk) pass(t time.Duration) {
	d.now = d.now.Add(t)
	d.do(OwnershipChecked{Confirmed: true}, Tick{})
}

// taken removes and returns the effects of one type.
func taken[E Effect](d *desk) []E {
	var out []E
	var rest []Effect
	for _, one := range d.effects {
		if e, ok := one.(E); ok {
			out = append(out, e)
		} else {
			rest = append(rest, one)
		}
	}
	d.effects = rest
	return out
}

func oneStep(count int, change func(*specifier.Step)) specifier.Job {
	step := specifier.Step{Count: count, Needs: resources(1000), Estimate: time.Second}
	if change != nil {
		change(&step)
	}
	return specifier.Job{ID: "5c0e7a21d94b36f8", Queue: "menus", Steps: []specifier.Step{step}, Accepted: epoch}
}

var _ = Describe("advice", func() {
	advised := specifier.Queue{Name: "menus", Slack: 2, Attempts: 2, Advice: specifier.Advice{Needed: true}}

	It("is asked for before a start, and its ticket goes with the start", func() {
		d := newDesk(advised, "w1", "w2", "w3")
		d.do(JobArrived{Job: oneStep(2, nil)})
		Expect(taken[StartRun](d)).To(BeEmpty())
		asked := taken[AskAdvice](d)
		Expect(asked).To(HaveLen(1))
		Expect(asked[0].Workers).To(HaveLen(3))
		d.do(AdviceAnswered{Step: asked[0].Step, Asked: asked[0].Workers, Tickets: []Ticket{{"w2", "t2"}}, Validity: 3 * time.Second})
		starts := taken[StartRun](d)
		Expect(starts).To(HaveLen(2))
		Expect(starts).To(HaveEach(And(HaveField("Worker.ID", "w2"), HaveField("Ticket", "t2"))))
	})

	It("is asked for again after a failure, and for a ticket that is too old", func() {
		d := newDesk(advised, "w1")
		d.do(JobArrived{Job: oneStep(9, nil)})
		asked := taken[AskAdvice](d)
		d.do(AdviceAnswered{Step: asked[0].Step, Failed: true})
		Expect(taken[AskAdvice](d)).To(BeEmpty())
		d.pass(adviceRetry)
		asked = taken[AskAdvice](d)
		Expect(asked).To(HaveLen(1))
		d.do(AdviceAnswered{Step: asked[0].Step, Asked: asked[0].Workers, Tickets: []Ticket{{"w1", "t1"}}, Validity: time.Second})
		starts := taken[StartRun](d)
		Expect(starts).To(HaveLen(4))
		d.pass(time.Second)
		d.do(StartAnswered{Worker: "w1", Incarnation: 1, Task: starts[0].Task, Run: 1, Fault: Unhealthy})
		d.pass(time.Second)
		d.do(PollAnswered{Worker: "w1", Sent: d.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: 2 * time.Minute}})
		Expect(taken[StartRun](d)).To(BeEmpty())
		Expect(taken[AskAdvice](d)).To(HaveLen(1))
	})

	It("does not ask twice for a worker that may not run the step", func() {
		d := newDesk(advised, "w1")
		d.do(JobArrived{Job: oneStep(1, nil)})
		asked := taken[AskAdvice](d)
		d.do(AdviceAnswered{Step: asked[0].Step, Asked: asked[0].Workers})
		d.pass(5 * time.Second)
		Expect(taken[AskAdvice](d)).To(BeEmpty())
	})
})

var _ = Describe("a step", func() {
	queue := specifier.Queue{Name: "menus", Slack: 2, Attempts: 2}

	It("starts a gang whole or not at all", func() {
		gang := func(s *specifier.Step) { s.Gang = true }
		d := newDesk(queue, "w1", "w2")
		d.do(JobArrived{Job: oneStep(9, gang)}) // room for eight
		Expect(taken[StartRun](d)).To(BeEmpty())
		d = newDesk(queue, "w1", "w2")
		d.do(JobArrived{Job: oneStep(8, gang)})
		starts := taken[StartRun](d)
		Expect(starts).To(HaveLen(8))
		Expect(starts).To(HaveEach(HaveField("Run", int64(1))))
	})

	It("waits for its due time", func() {
		job := oneStep(1, nil)
		job.Repeat, job.First, job.Every = 2, epoch.Add(2*time.Second), 3*time.Second
		d := newDesk(queue, "w1")
		d.do(JobArrived{Job: job})
		d.pass(time.Second)
		Expect(taken[StartRun](d)).To(BeEmpty())
		d.pass(time.Second)
		Expect(taken[StartRun](d)).To(HaveLen(1))
		d.pass(3 * time.Second)
		second := taken[StartRun](d)
		Expect(second).To(HaveLen(1))
		Expect(second[0].Task.Occurrence).To(Equal(1))
	})

	It("keeps its data's rack as long as there is room there", func() {
		d := newDesk(queue, "w1", "w2")
		d.workers["w2"].rack = "r1-2"
		d.do(JobArrived{Job: oneStep(5, func(s *specifier.Step) { s.PreferredRack = "r1-2" })})
		count := make(map[string]int)
		for _, s := range taken[StartRun](d) {
			count[s.Worker.ID]++
		}
		Expect(count).To(Equal(map[string]int{"w2": 4, "w1": 1}))
	})

	It("goes on without a filler's CPU being counted", func() {
		d := newDesk(queue, "w1")
		d.do(JobArrived{Job: oneStep(1, func(s *specifier.Step) { s.Filler = true })})
		Expect(taken[StartRun](d)).To(HaveLen(1))
		Expect(d.workers["w1"].used.counted.CPU).To(BeZero())
	})
})
