package dispatcher

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// TestJobOfARemovedQueueKeepsItsAttempts guards against a task that always fails and is started
// without end, since its queue was removed before the owner changed.
func TestJobOfARemovedQueueKeepsItsAttempts(t *testing.T) {
	g := NewWithT(t)
	job := oneStep(1, nil)
	job.Terms = specifier.Queue{Name: job.Queue, Attempts: 2}
	job.Queue = "removed"
	var stored specifier.Job
	g.Expect(recorder.Decode(recorder.Encode(job), &stored)).To(Succeed())
	h := newSuccessor(Options{}, departureQueue, stored, "w1")
	h.answer("w1", 1)
	starts := 0
	for number := range int64(5) {
		h.advance(time.Second)
		for _, start := range takeEffects[StartRun](h) {
			starts++
			h.confirm(start)
			h.feed(PollAnswered{Worker: "w1", Sent: h.now, Inventory: specifier.Inventory{
				Incarnation: 1, Clock: time.Minute + h.now.Sub(epoch),
				Ended: []specifier.End{{Number: number + 1, Task: start.Task, Run: start.Run, Outcome: specifier.OutcomeFailed}},
			}})
		}
	}
	g.Expect(starts).To(Equal(job.Terms.Attempts))
	g.Expect(h.JobCount()).To(BeZero(), "the job has failed")
}
