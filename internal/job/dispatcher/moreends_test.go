package dispatcher

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// page delivers an inventory without runs in which the given runs have ended done, numbered from
// first on. more says that ends may follow.
func (h *harness) page(worker string, first int64, more bool, runs ...specifier.Run) {
	inventory := specifier.Inventory{Incarnation: 1, Clock: time.Minute + h.now.Sub(epoch), MoreEnds: more}
	for i, run := range runs {
		inventory.Ended = append(inventory.Ended, specifier.End{
			Number: first + int64(i), Task: run.Task, Run: run.Number, Outcome: specifier.OutcomeDone,
		})
	}
	h.feed(PollAnswered{Worker: worker, Sent: h.now, Inventory: inventory})
}

// TestEndOnALaterPage guards against a task that runs again although it has ended done: its worker
// lists only the first of many ends, so that the run is in neither of its lists.
func TestEndOnALaterPage(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(departureQueue, "w1")
	h.feed(JobArrived{Job: oneStep(2, nil)})
	var runs []specifier.Run
	for _, start := range takeEffects[StartRun](h) {
		h.confirm(start)
		runs = append(runs, specifier.Run{Task: start.Task, Number: start.Run})
	}
	g.Expect(runs).To(HaveLen(2))
	for range 3 {
		h.advance(time.Second)
		h.page("w1", 1, true, runs[0])
	}
	g.Expect(takeEffects[StartRun](h)).To(BeEmpty())
	h.advance(time.Second)
	h.page("w1", 2, false, runs[1])
	g.Expect(takeEffects[StartRun](h)).To(BeEmpty())
	g.Expect(h.JobCount()).To(BeZero(), "the job has succeeded")
}

// TestNewOwnerWaitsForLaterPages is the same for a new owner, which must acknowledge the first ends
// to learn of the others.
func TestNewOwnerWaitsForLaterPages(t *testing.T) {
	for name, dies := range map[string]bool{"the worker answers": false, "the worker dies": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			job := oneStep(2, nil)
			first, second := specifier.TaskID{Job: job.ID}, specifier.TaskID{Job: job.ID, Index: 1}
			h := newSuccessor(Options{Previous: recorder.WorkerList{Workers: []string{"w1"}}}, departureQueue, job, "w1", "w2")
			h.answer("w2", 1)
			unknown := specifier.Run{Task: specifier.TaskID{Job: "0000000000000001"}, Number: 1}
			h.page("w1", 1, true, unknown, specifier.Run{Task: first, Number: 1})
			h.advance(time.Second)
			h.page("w1", 1, true, unknown, specifier.Run{Task: first, Number: 1})
			polls := takeEffects[PollWorker](h)
			g.Expect(polls[len(polls)-1].Acknowledged).To(Equal(int64(2)))
			g.Expect(takeEffects[StartRun](h)).To(BeEmpty())
			if !dies {
				h.advance(time.Second)
				h.page("w1", 3, false, specifier.Run{Task: second, Number: 1})
				g.Expect(takeEffects[StartRun](h)).To(BeEmpty())
				g.Expect(h.JobCount()).To(BeZero(), "the job has succeeded")
				return
			}
			h.feed(PollFailed{Worker: "w1", Incarnation: 1, Fault: OutcomeUnknown})
			for range 2 * simLease / (250 * time.Millisecond) {
				h.advance(250 * time.Millisecond)
				for _, poll := range takeEffects[PollWorker](h) {
					if poll.Worker.ID == "w1" {
						h.feed(PollFailed{Worker: "w1", Incarnation: 1, Fault: OutcomeUnknown})
					}
				}
				h.answer("w2", 1)
			}
			g.Expect(takeEffects[StartRun](h)).To(ConsistOf(HaveField("Task", second)))
		})
	}
}
