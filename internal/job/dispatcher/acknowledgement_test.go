package dispatcher

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// pass applies events while the store answers no write: commits aren't confirmed.
func (h *harness) pass(events ...Event) {
	h.now = h.now.Add(200 * time.Millisecond)
	h.effects = append(h.effects, h.Reduce(h.now, append(events, Tick{})...)...)
}

// listEnds delivers the ends of a worker, numbered from 1, while the store answers no write.
func (h *harness) listEnds(worker string, active []specifier.Run, ends ...specifier.End) {
	for i := range ends {
		ends[i].Number = int64(i + 1)
	}
	h.pass(PollAnswered{Worker: worker, Sent: h.now, Inventory: specifier.Inventory{
		Incarnation: 1, Clock: time.Minute + h.now.Sub(epoch), Active: active, Ended: ends,
	}})
}

// registerAgain removes a worker's registration for a while, and restores it.
func (h *harness) registerAgain(id string) {
	reg := h.workers[id].reg
	h.pass(WorkersListed{})
	h.pass()
	h.pass(WorkersListed{Workers: []specifier.Worker{reg}})
}

// acknowledged returns the highest number of an end that was acknowledged since the last call.
func (h *harness) acknowledged() int64 {
	highest := int64(0)
	for _, poll := range takeEffects[PollWorker](h) {
		highest = max(highest, poll.Acknowledged)
	}
	return highest
}

// TestEndIsAcknowledgedOnlyWhenDurable guards against an end that its worker forgets while the store
// doesn't have the change that it caused: the next owner starts the task again.
func TestEndIsAcknowledgedOnlyWhenDurable(t *testing.T) {
	done := func(run specifier.Run) specifier.End {
		return specifier.End{Task: run.Task, Run: run.Number, Outcome: specifier.OutcomeDone}
	}
	for name, test := range map[string]struct {
		arrival Event // of a job with two tasks
		end     func(h *harness, runs []specifier.Run)
		ends    int64 // number of ends that the worker lists last
	}{
		"all tasks done, listed again after a new registration": {
			arrival: JobArrived{Job: oneStep(2, nil)},
			end: func(h *harness, runs []specifier.Run) {
				h.listEnds("w1", nil, done(runs[0]), done(runs[1]))
				h.registerAgain("w1")
				h.listEnds("w1", nil, done(runs[0]), done(runs[1]))
			},
			ends: 2,
		},
		"one task done, listed again after a new registration": {
			arrival: JobArrived{Job: oneStep(2, nil)},
			end: func(h *harness, runs []specifier.Run) {
				stopped := specifier.End{Task: runs[1].Task, Run: 1, Outcome: specifier.OutcomeStopped}
				h.listEnds("w1", nil, done(runs[0]), stopped)
				h.registerAgain("w1")
				h.listEnds("w1", nil, done(runs[0]), stopped)
			},
			ends: 2,
		},
		"task of a job that was cancelled": {
			arrival: JobArrived{Job: oneStep(2, nil)},
			end: func(h *harness, runs []specifier.Run) {
				h.pass(JobCancelled{ID: runs[0].Task.Job})
				h.listEnds("w1", nil, done(runs[0]), done(runs[1]))
			},
			ends: 2,
		},
		"member of a gang that is done": {
			arrival: JobArrived{Job: oneStep(2, func(s *specifier.Step) { s.Gang = true })},
			end: func(h *harness, runs []specifier.Run) {
				h.listEnds("w1", runs[1:], done(runs[0]))
				h.listEnds("w1", nil, done(runs[0]), done(runs[1]))
			},
			ends: 2,
		},
		"task that returns to another shard, listed again after a new registration": {
			arrival: TaskArrived{Task: specifier.TaskID{Job: oneStep(2, nil).ID}, Transfer: recorder.Transfer{Job: oneStep(2, nil), Home: "other", Hop: 1}},
			end: func(h *harness, runs []specifier.Run) {
				h.listEnds("w1", nil, done(runs[0]))
				h.registerAgain("w1")
				h.listEnds("w1", nil, done(runs[0]))
			},
			ends: 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(departureQueue, "w1")
			h.feed(test.arrival)
			h.advance(commitInterval)
			var runs []specifier.Run
			for _, start := range takeEffects[StartRun](h) {
				h.confirm(start)
				runs = append(runs, specifier.Run{Task: start.Task, Number: start.Run})
			}
			g.Expect(runs).NotTo(BeEmpty())
			h.advance(time.Second)
			h.acknowledged()
			test.end(h, runs)
			for range 3 {
				h.pass()
			}
			g.Expect(h.acknowledged()).To(BeZero(), "no change is durable")

			h.advance(time.Second)
			h.advance(time.Second)
			h.answer("w1", 1)
			h.advance(time.Second)
			g.Expect(h.acknowledged()).To(Equal(test.ends))
		})
	}
}

// TestEndBesideAFailureIsAcknowledgedOnlyWhenDurable guards against the loss of an end that comes
// when its job has failed on another worker, and the store doesn't know it.
func TestEndBesideAFailureIsAcknowledgedOnlyWhenDurable(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(specifier.Queue{Name: "menus", Slack: 2, Attempts: 1}, "w1", "w2")
	h.feed(JobArrived{Job: oneStep(2, func(s *specifier.Step) { s.MaxPerWorker = 1 })})
	ends := make(map[string]specifier.End)
	for _, start := range takeEffects[StartRun](h) {
		h.confirm(start)
		ends[start.Worker.ID] = specifier.End{Task: start.Task, Run: start.Run, Outcome: specifier.OutcomeDone}
	}
	g.Expect(ends).To(HaveLen(2))
	h.advance(time.Second)
	h.acknowledged()
	failure := ends["w1"]
	failure.Outcome = specifier.OutcomeFailed
	h.listEnds("w1", nil, failure)
	h.listEnds("w2", nil, ends["w2"])
	for range 3 {
		h.pass()
	}
	g.Expect(h.acknowledged()).To(BeZero(), "no change is durable")
	h.advance(time.Second)
	g.Expect(h.JobCount()).To(BeZero())
}

// TestWorkerWithUnacknowledgedEndsStaysListed guards against a worker that is removed, and left out of
// the durable worker list, while the change of an end there isn't durable: the next owner wouldn't
// wait for it, and would start the task again.
func TestWorkerWithUnacknowledgedEndsStaysListed(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(departureQueue, "w1")
	h.feed(JobArrived{Job: oneStep(1, nil)})
	start := takeEffects[StartRun](h)[0]
	h.confirm(start)
	h.advance(time.Second)
	h.listEnds("w1", nil, specifier.End{Task: start.Task, Run: start.Run, Outcome: specifier.OutcomeDone})
	h.pass(WorkersListed{})
	h.listEnds("w1", nil, specifier.End{Task: start.Task, Run: start.Run, Outcome: specifier.OutcomeDone})
	h.pass()
	g.Expect(h.WorkerLeases(h.now)).To(ConsistOf(HaveField("Worker", "w1")))

	for range 3 {
		h.advance(time.Second)
		h.answer("w1", 1)
	}
	g.Expect(h.WorkerLeases(h.now)).To(BeEmpty(), "the end is durable and acknowledged")
}

// TestPartlyListedWorkerStaysListed guards against a worker that is left out of the durable worker
// list after it has listed only some of its ends: the next owner would start tasks again that have
// ended there.
func TestPartlyListedWorkerStaysListed(t *testing.T) {
	g := NewWithT(t)
	job := oneStep(2, nil)
	h := newSuccessor(Options{Previous: recorder.WorkerList{Workers: []string{"w1"}}}, departureQueue, job, "w1", "w2")
	h.answer("w2", 1)
	h.page("w1", 1, true, specifier.Run{Task: specifier.TaskID{Job: job.ID}, Number: 1})
	h.feed(PollFailed{Worker: "w1", Incarnation: 1, Fault: OutcomeUnknown})
	h.advance(time.Second)
	g.Expect(h.WorkerLeases(h.now)).To(ContainElement(HaveField("Worker", "w1")))
}
