package dispatcher

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

var departureQueue = specifier.Queue{Name: "menus", Slack: 2}

// end delivers an inventory without runs, in which a run has ended with the outcome stopped.
func (h *harness) end(worker string, run specifier.Run) {
	h.feed(PollAnswered{Worker: worker, Sent: h.now, Inventory: specifier.Inventory{
		Incarnation: 1, Clock: time.Minute + h.now.Sub(epoch),
		Ended: []specifier.End{{Number: 1, Task: run.Task, Run: run.Number, Outcome: specifier.OutcomeStopped}},
	}})
}

// register delivers the registrations of workers, of which those in draining drain.
func (h *harness) register(workers []string, draining ...string) {
	var regs []specifier.Worker
	for _, id := range append(workers, draining...) {
		regs = append(regs, specifier.Worker{ID: id, Incarnation: 1, Service: "desk", Capacity: describer.Resources{CPU: workerCPU, Memory: 1000}})
	}
	for i := range draining {
		regs[len(workers)+i].Draining = true
	}
	h.feed(WorkersListed{Workers: regs})
}

// lastList returns the worker list of the last commit since the last call.
func lastList(g Gomega, h *harness) recorder.WorkerList {
	commits := takeEffects[Commit](h)
	g.Expect(commits).NotTo(BeEmpty(), "nothing was committed")
	return commits[len(commits)-1].WorkerList
}

// newDrainingHarness returns a shard with a long-running task on w1, which drains, and the
// number of the task's run. Only w2 isn't draining; with room says whether it has any.
func newDrainingHarness(g Gomega, withRoom bool) (*harness, specifier.Run) {
	h := newHarness(departureQueue, "w1")
	h.feed(JobArrived{Job: longRunningJob()})
	start := takeEffects[StartRun](h)[0]
	h.confirm(start)
	run := specifier.Run{Task: start.Task, Number: start.Run}
	if withRoom {
		h.register([]string{"w2"}, "w1")
		h.answer("w2", 1)
	} else {
		h.register(nil, "w1")
	}
	h.answer("w1", 1, run)
	for range 3 {
		h.advance(100 * time.Millisecond)
	}
	return h, run
}

// TestDrainedWorkerIsNotListed guards against a new owner that starts no inherited task for
// 14.5 s, since the last worker list of its predecessor has a worker that has left, although
// its runs had ended before.
func TestDrainedWorkerIsNotListed(t *testing.T) {
	g := NewWithT(t)
	h, run := newDrainingHarness(g, true)
	g.Expect(takeEffects[StopRun](h)).To(HaveLen(1))
	h.feed(StopAnswered{Worker: "w1", Incarnation: 1, Task: run.Task, Run: run.Number})
	g.Expect(lastList(g, h).Workers).To(Equal([]string{"w1", "w2"}))

	h.advance(100 * time.Millisecond)
	h.end("w1", run)
	h.advance(100 * time.Millisecond)
	h.advance(100 * time.Millisecond)
	g.Expect(lastList(g, h).Workers).To(Equal([]string{"w2"}))

	// A worker that stays after all is used only when it's listed again.
	h.register([]string{"w1", "w2"})
	h.feed(PollFailed{Worker: "w2", Incarnation: 1, Fault: OutcomeUnknown})
	second := longRunningJob()
	second.ID = "0000000000000001"
	effects := h.Reduce(h.now, JobArrived{Job: second})
	g.Expect(effects).NotTo(ContainElement(BeAssignableToTypeOf(StartRun{})))
	h.advance(100 * time.Millisecond)
	g.Expect(lastList(g, h).Workers).To(ContainElement("w1"))
	g.Expect(takeEffects[StartRun](h)).To(ContainElement(HaveField("Worker.ID", "w1")))
}

// TestUnregisteredWorkerIsNotListed is the same for a worker without runs that isn't registered
// any more, in a shard in which nothing else happens.
func TestUnregisteredWorkerIsNotListed(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(departureQueue, "w1", "w2")
	g.Expect(lastList(g, h).Workers).To(Equal([]string{"w1", "w2"}))
	h.register([]string{"w2"})
	h.feed(PollFailed{Worker: "w1", Incarnation: 1, Fault: OutcomeUnknown})
	h.advance(100 * time.Millisecond)
	g.Expect(lastList(g, h).Workers).To(Equal([]string{"w2"}))
}

// TestLeasesOfLeavingWorkersAreBounded guards against a new owner that waits for all of the time
// for which its predecessor might work without the store, for a worker that was about to leave
// and had runs: there the predecessor must not renew leases as long.
func TestLeasesOfLeavingWorkersAreBounded(t *testing.T) {
	g := NewWithT(t)
	before, run := newDrainingHarness(g, false)
	last := lastList(g, before)
	g.Expect(last.Leaving).To(Equal([]string{"w1"}))
	takeEffects[PollWorker](before)

	// The owner has lost the store.
	claimed := before.now
	for before.now.Sub(claimed) < simOutageLimit {
		before.now = before.now.Add(100 * time.Millisecond)
		before.feed(Tick{})
		for _, poll := range takeEffects[PollWorker](before) {
			if before.now.Sub(claimed) > confirmationTime {
				g.Expect(poll.LeaseEnd).To(BeZero(), "%s after the last confirmation", before.now.Sub(claimed))
			}
		}
		before.answer("w1", 1, run)
	}

	h := newSuccessor(Options{Previous: last}, departureQueue, longRunningJob(), "w2")
	h.answer("w2", 1)
	bound := withDrift(confirmationTime+simLease) + expiryMargin
	h.advance(bound)
	g.Expect(takeEffects[StartRun](h)).To(BeEmpty())
	h.advance(100 * time.Millisecond)
	g.Expect(takeEffects[StartRun](h)).To(HaveLen(1))
}

// TestInheritedLeasesAreNotCountedAnew guards against owners that follow each other quickly, and
// that each wait anew for a worker which has left under the first of them.
func TestInheritedLeasesAreNotCountedAnew(t *testing.T) {
	for name, ended := range map[string]bool{"another daemon": false, "the same daemon": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			second := newSuccessor(Options{Previous: recorder.WorkerList{Workers: []string{"gone", "w1"}}}, departureQueue, longRunningJob(), "w1")
			second.answer("w1", 1)
			const served = 4 * time.Second
			second.advance(served)
			second.register([]string{"w1", "w2"}) // changes the list
			last := lastList(g, second)
			g.Expect(last.Inherited).To(HaveLen(1))
			g.Expect(last.Inherited[0].Worker).To(Equal("gone"))
			wait := withDrift(simOutageLimit+simLease) + expiryMargin - served
			g.Expect(last.Inherited[0].Remaining).To(Equal(wait))

			third := newSuccessor(Options{Previous: last, OwnerEnded: ended}, departureQueue, longRunningJob(), "w1", "w2")
			third.answer("w1", 1)
			third.answer("w2", 1)
			third.advance(inheritedAnswerTime) // a commit of which workers answer
			third.advance(last.Inherited[0].Remaining - inheritedAnswerTime)
			g.Expect(takeEffects[StartRun](third)).To(BeEmpty())
			third.advance(time.Millisecond)
			g.Expect(takeEffects[StartRun](third)).To(HaveLen(1))
		})
	}
}

// TestPollsAreShortWhileLeasesCannotBeRenewed guards against runs that lapse because a worker answers
// after it was listed as inherited, and the next poll, which renews nothing, waits there for long.
func TestPollsAreShortWhileLeasesCannotBeRenewed(t *testing.T) {
	g := NewWithT(t)
	h := newSuccessor(Options{
		Previous: recorder.WorkerList{Workers: []string{"w1"}}, PollWait: 1500 * time.Millisecond,
	}, departureQueue, longRunningJob(), "w1")
	h.advance(inheritedAnswerTime)
	h.register([]string{"w1", "w2"}) // a commit has w1 as inherited
	takeEffects[PollWorker](h)
	h.feedUnconfirmed(PollAnswered{Worker: "w1", Sent: h.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: time.Minute}})
	g.Expect(takeEffects[PollWorker](h)).To(ConsistOf(And(
		HaveField("Worker.ID", "w1"), HaveField("LeaseEnd", BeZero()), HaveField("Wait", BeNumerically("<=", pendingPollDelay)),
	)))
}

// TestInheritedWorkerGetsNoLeaseWhileListed guards against an owner that renews leases on a worker
// which has answered late, and of which the durable list says that its leases expire soon.
func TestInheritedWorkerGetsNoLeaseWhileListed(t *testing.T) {
	g := NewWithT(t)
	h := newSuccessor(Options{Previous: recorder.WorkerList{Workers: []string{"w1"}}}, departureQueue, longRunningJob(), "w1")
	h.feed(PollFailed{Worker: "w1", Incarnation: 1, Fault: OutcomeUnknown})
	h.register([]string{"w1", "w2"})
	h.advance(100 * time.Millisecond)
	g.Expect(lastList(g, h).Inherited).To(ConsistOf(HaveField("Worker", "w1")))
	takeEffects[PollWorker](h)

	sent := h.now
	h.now = h.now.Add(time.Second)
	answer := PollAnswered{Worker: "w1", Sent: sent, Inventory: specifier.Inventory{Incarnation: 1, Clock: time.Minute}}
	effects := h.Reduce(h.now, answer)
	g.Expect(effects).To(ContainElement(And(BeAssignableToTypeOf(PollWorker{}), HaveField("LeaseEnd", BeZero()))))
	g.Expect(effects).NotTo(ContainElement(BeAssignableToTypeOf(StartRun{})))
	g.Expect(effects).To(ContainElement(And(BeAssignableToTypeOf(Commit{}), HaveField("Inherited", BeEmpty()))))

	h.effects = append(h.effects, effects...)
	h.feed(Committed{Batch: h.Shard.batch})
	g.Expect(takeEffects[StartRun](h)).To(HaveLen(1))
	answer.Sent = h.now
	h.feed(answer)
	g.Expect(takeEffects[PollWorker](h)).To(ContainElement(HaveField("LeaseEnd", Not(BeZero()))))
}

// TestReturnedWorkerIsListedFirst guards against an owner that starts runs on a worker which drained
// and stays after all, while the durable list says that its leases expire soon.
func TestReturnedWorkerIsListedFirst(t *testing.T) {
	g := NewWithT(t)
	h, run := newDrainingHarness(g, false)
	g.Expect(lastList(g, h).Leaving).To(Equal([]string{"w1"}))
	h.register([]string{"w1"})
	second := longRunningJob()
	second.ID = "0000000000000002"
	effects := h.Reduce(h.now, JobArrived{Job: second})
	g.Expect(effects).NotTo(ContainElement(BeAssignableToTypeOf(StartRun{})))
	h.now = h.now.Add(confirmationTime)
	effects = append(effects, h.Reduce(h.now, PollAnswered{Worker: "w1", Sent: h.now, Inventory: specifier.Inventory{
		Incarnation: 1, Clock: time.Minute + h.now.Sub(epoch), Active: []specifier.Run{run},
	}})...)
	g.Expect(effects).To(ContainElement(And(BeAssignableToTypeOf(PollWorker{}), HaveField("LeaseEnd", BeZero()))))
	g.Expect(effects).To(ContainElement(And(BeAssignableToTypeOf(Commit{}), HaveField("Leaving", BeEmpty()))))
	h.effects = append(h.effects, effects...)
	h.feed(Committed{Batch: h.Shard.batch})
	g.Expect(takeEffects[StartRun](h)).To(HaveLen(1))
}

// TestInheritedWorkerThatDrainsCausesNoCommits guards against a new owner that writes its worker list
// again with each tick, until a worker that drains has answered.
func TestInheritedWorkerThatDrainsCausesNoCommits(t *testing.T) {
	g := NewWithT(t)
	h := newSuccessor(Options{Previous: recorder.WorkerList{Workers: []string{"w1"}}}, departureQueue, longRunningJob(), "w1")
	h.register(nil, "w1")
	h.advance(100 * time.Millisecond)
	takeEffects[Commit](h)
	for range 10 {
		h.advance(100 * time.Millisecond)
	}
	g.Expect(takeEffects[Commit](h)).To(BeEmpty())
}
