package dispatcher

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// newOwnerWithoutLease returns the second owner of a shard, and the run of its job that w1 has
// listed. Nothing durable says yet that w1 has answered, so the owner has granted no lease there;
// that of the first owner may still be valid.
func newOwnerWithoutLease(g Gomega) (*harness, specifier.Run) {
	job := oneStep(1, nil)
	h := newSuccessor(Options{Previous: recorder.WorkerList{Workers: []string{"w1"}}}, departureQueue, job, "w1", "w2")
	h.answer("w2", 1)
	h.feed(PollFailed{Worker: "w1", Incarnation: 1, Fault: OutcomeUnknown})
	h.advance(time.Second)
	h.list(map[string]int64{"w1": 1, "w2": 1, "w3": 1}) // a commit has w1 as inherited
	run := specifier.Run{Task: specifier.TaskID{Job: job.ID}, Number: 1}
	takeEffects[PollWorker](h)
	h.pass(PollAnswered{Worker: "w1", Sent: h.now, Inventory: specifier.Inventory{
		Incarnation: 1, Clock: time.Minute, Active: []specifier.Run{run},
	}})
	g.Expect(takeEffects[PollWorker](h)).To(ContainElement(And(HaveField("Worker.ID", "w1"), HaveField("LeaseEnd", BeZero()))))
	g.Expect(h.workers["w1"].runs).To(HaveLen(1))
	return h, run
}

// TestAdoptedRunIsLostWithoutALeaseOfItsOwner guards against a task that waits for ever for a run on a
// worker that has crashed after its first answer to a new owner, before that owner granted a lease:
// the leases there have expired when those of the first owner have.
func TestAdoptedRunIsLostWithoutALeaseOfItsOwner(t *testing.T) {
	g := NewWithT(t)
	h, run := newOwnerWithoutLease(g)
	var starts []StartRun
	for range 100 {
		h.advance(250 * time.Millisecond)
		h.feed(PollFailed{Worker: "w1", Incarnation: 1, Fault: OutcomeUnknown})
		h.answer("w2", 1)
		starts = append(starts, takeEffects[StartRun](h)...)
	}
	g.Expect(starts).To(ConsistOf(And(HaveField("Task", run.Task), HaveField("Worker.ID", "w2"))))
}

// TestWorkerLeasesHaveThoseOfEarlierOwners guards against a task that is started while its run goes on:
// an owner that ends says that no lease is valid on a worker to which it has granted none, although
// that of the owner before it is.
func TestWorkerLeasesHaveThoseOfEarlierOwners(t *testing.T) {
	g := NewWithT(t)
	h, _ := newOwnerWithoutLease(g)
	g.Expect(h.WorkerLeases(h.now)).To(ContainElement(And(
		HaveField("Worker", "w1"), HaveField("Remaining", BeNumerically(">=", simLease)),
	)))
}
