package dispatcher

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// confirmationQueue is the queue of the tests in this file.
var confirmationQueue = specifier.Queue{Name: "menus", Slack: 2, Attempts: 2}

// expectNoOrders checks that the effects start no run and poll no worker.
func expectNoOrders(g Gomega, effects []Effect) {
	g.Expect(effects).NotTo(ContainElement(BeAssignableToTypeOf(StartRun{})))
	g.Expect(effects).NotTo(ContainElement(BeAssignableToTypeOf(PollWorker{})))
}

// TestLateConfirmationCountsFromItsRequest guards against an owner that acts for longer than its
// successor waits, since it processes a confirmation of its ownership late, such as after it was
// paused.
func TestLateConfirmationCountsFromItsRequest(t *testing.T) {
	for name, confirm := range map[string]func(batch int64, sent time.Time) Event{
		"renewal": func(_ int64, sent time.Time) Event { return OwnershipChecked{Confirmed: true, SentAt: sent} },
		"commit":  func(batch int64, sent time.Time) Event { return Committed{Batch: batch, SentAt: sent} },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(confirmationQueue, "w1", "w2")
			h.advance(time.Second)
			cancelled := oneStep(9, nil)
			g.Expect(h.Reduce(h.now, JobArrived{Job: cancelled}, JobCancelled{ID: cancelled.ID})).To(ContainElement(BeAssignableToTypeOf(Commit{})))
			sent := h.now
			h.now = h.now.Add(simOutageLimit)
			answer := PollFailed{Worker: "w1", Incarnation: 1, Fault: OutcomeUnknown}
			retry := h.now.Add(pollRetryDelay)
			expectNoOrders(g, h.Reduce(h.now, answer, confirm(h.Shard.batch, sent)))
			expectNoOrders(g, h.Reduce(retry, Tick{}))
			g.Expect(h.Reduce(retry, OwnershipChecked{Confirmed: true, SentAt: retry}, Tick{})).To(ContainElement(BeAssignableToTypeOf(PollWorker{})))
		})
	}
}

// TestConfirmationFromBeforeSuspension guards against an owner that acts after a suspension of its
// host by an answer from before it. The clock that tells the age of the answer stood still.
func TestConfirmationFromBeforeSuspension(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(confirmationQueue, "w1", "w2")
	sent := h.now
	h.now = h.now.Add(100 * time.Millisecond)
	h.feed(OwnershipChecked{Confirmed: false})
	takeEffects[PollWorker](h)
	for _, id := range []string{"w1", "w2"} {
		h.feed(OwnershipChecked{Confirmed: true, SentAt: sent}, PollAnswered{Worker: id, Sent: h.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: time.Minute}})
	}
	h.feed(Tick{}, JobArrived{Job: oneStep(1, nil)})
	expectNoOrders(g, h.effects)
	h.feed(OwnershipChecked{Confirmed: true, SentAt: h.now}, Tick{})
	g.Expect(takeEffects[StartRun](h)).To(HaveLen(1))
}
