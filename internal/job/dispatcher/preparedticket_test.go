package dispatcher

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
)

// TestTicketExpiresBeforeStartIsDurable has a suspect task, whose start has to be durable before
// it is ordered, and a ticket that expires until then. It guards against starts without a ticket
// that each worker rejects, one after each commit.
func TestTicketExpiresBeforeStartIsDurable(t *testing.T) {
	g := NewWithT(t)
	const validity = 200 * time.Millisecond
	h := newHarness(advisedQueue("menus", 100*time.Millisecond, 0, validity), "w1", "w2")
	job := oneStep(1, nil)
	h.feed(JobArrived{Job: job})
	suspect := h.jobs[job.ID].steps[0].tasks[0]
	suspect.losses = []recorder.Loss{{Run: 1, Worker: "w9"}}
	h.suspects[suspect.id()] = suspect
	answer := func(r RequestAdvice, ticket string) AdviceAnswered {
		return AdviceAnswered{Number: r.Number, Step: r.Step, Requested: r.Workers, Validity: validity, Tickets: []Ticket{{r.Workers[0].ID, ticket}}}
	}
	requests := takeEffects[RequestAdvice](h)
	g.Expect(requests).To(HaveLen(1))
	takeEffects[Commit](h)
	h.effects = append(h.effects, h.Reduce(h.now, answer(requests[0], "t1"))...)
	commits := takeEffects[Commit](h)
	g.Expect(commits).To(HaveLen(1), "the start has to be durable")
	h.now = h.now.Add(validity)
	h.feed(Committed{Batch: commits[0].Batch}, OwnershipChecked{Confirmed: true}, Tick{})
	g.Expect(takeEffects[StartRun](h)).To(BeEmpty(), "without a ticket")
	renewals := takeEffects[RequestAdvice](h)
	g.Expect(renewals).To(HaveLen(1))
	g.Expect(renewals[0].Workers).To(HaveExactElements(HaveField("ID", requests[0].Workers[0].ID)))
	h.feed(answer(renewals[0], "t2"))
	g.Expect(takeEffects[StartRun](h)).To(ConsistOf(HaveField("Ticket", "t2")))
}
