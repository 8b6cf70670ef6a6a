package dispatcher

import (
	"fmt"
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

// TestCommitsExpireNoLeases guards against a second run of a task, perhaps after the end of the
// first was acknowledged: the owner's record has gone with its lease, and while the owner can still
// write, another daemon may claim the shard and renew the leases of a worker that doesn't answer
// this one.
func TestCommitsExpireNoLeases(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(confirmationQueue, "w1", "w2")
	h.feed(JobArrived{Job: oneStep(1, nil)})
	start := takeEffects[StartRun](h)[0]
	h.feed(StartAnswered{Worker: start.Worker.ID, Incarnation: 1, Task: start.Task, Run: 1})
	other := map[string]string{"w1": "w2", "w2": "w1"}[start.Worker.ID]
	commits := 0
	for i := range 28 { // 7 s, more than simLease and less than simOutageLimit
		h.now = h.now.Add(250 * time.Millisecond)
		job := oneStep(1, nil)
		job.ID = fmt.Sprintf("%016x", i)
		h.feed(Tick{}, PollFailed{Worker: start.Worker.ID, Incarnation: 1, Fault: OutcomeUnknown}, JobArrived{Job: job}, JobCancelled{ID: job.ID})
		h.feed(PollAnswered{Worker: other, Sent: h.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: h.now.Sub(epoch)}})
		commits += len(takeEffects[Commit](h))
	}
	g.Expect(commits).To(BeNumerically(">", 20))
	g.Expect(takeEffects[StartRun](h)).NotTo(ContainElement(HaveField("Task", start.Task)))
	h.advance(2 * commitInterval)
	g.Expect(takeEffects[StartRun](h)).To(ContainElement(HaveField("Task", start.Task)))
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

// TestNoSecondRunAfterTheLastCommit guards against a second run of a long-running task beside the
// first: the owner's record has gone with its lease, its last write was answered, and another daemon
// has claimed the shard since and renews the lease of the first run. A start after a loss that may
// have crashed the worker waits for a write, which fails then; that of a proven run doesn't.
func TestNoSecondRunAfterTheLastCommit(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(lossQueue, "w1")
	run := h.proveLongRunning()
	h.register([]string{"w1", "w2"})
	h.answer("w2", 1)
	h.advance(100 * time.Millisecond)
	h.answer("w1", 1, run)
	takeEffects[StartRun](h)
	for i := range 30 { // 7.5 s, more than a lease
		h.now = h.now.Add(250 * time.Millisecond)
		events := []Event{Tick{}, PollFailed{Worker: "w1", Incarnation: 1, Fault: OutcomeUnknown}}
		if i < 24 {
			job := oneStep(1, nil)
			job.ID = fmt.Sprintf("%016x", i)
			h.feed(append(events, JobArrived{Job: job}, JobCancelled{ID: job.ID})...)
		} else { // no commit is answered any more
			h.effects = append(h.effects, h.Reduce(h.now, events...)...)
		}
		h.effects = append(h.effects, h.Reduce(h.now, PollAnswered{Worker: "w2", Sent: h.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: time.Minute + h.now.Sub(epoch)}})...)
	}
	g.Expect(takeEffects[StartRun](h)).To(BeEmpty())
	h.feed(OwnershipChecked{Confirmed: true}, Tick{})
	g.Expect(takeEffects[StartRun](h)).To(ContainElement(HaveField("Task", run.Task)))
}
