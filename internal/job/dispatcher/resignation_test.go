package dispatcher

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
)

// TestResignationOfAnOwnerThatWasWaiting guards against a third owner that starts tasks before the
// first one's leases have expired, since the second resigned without having written or started
// anything: what it had inherited counts as well, and the resignation of the first doesn't.
func TestResignationOfAnOwnerThatWasWaiting(t *testing.T) {
	g := NewWithT(t)
	previous := recorder.WorkerList{Workers: []string{"w1", "w2", "w3"}}
	second := newSuccessor(Options{Previous: previous}, departureQueue, longRunningJob(), "w1", "w2", "w3")
	second.answer("w1", 1)
	second.feed(PollFailed{Worker: "w2", Incarnation: 1, Fault: OutcomeUnknown}) // w3 hasn't been heard of
	second.now = second.now.Add(time.Second)
	inherited := withDrift(simOutageLimit+simLease) + expiryMargin - time.Second
	resignation := second.Resignation(second.now)
	g.Expect(resignation.Silent).To(Equal([]recorder.WorkerLease{{Worker: "w2", Remaining: inherited}}))
	g.Expect(resignation.Remaining).To(Equal(inherited), "of w3")

	third := newSuccessor(Options{Previous: previous}, departureQueue, longRunningJob(), "w1")
	third.answer("w1", 1)
	third.feed(EarlierOwnerResigned{Resignation: recorder.Resignation{Epoch: third.options.Epoch - 2}, Received: third.now})
	resignation.Epoch = third.options.Epoch - 1
	third.feed(EarlierOwnerResigned{Resignation: resignation, Received: third.now})
	third.advance(inherited)
	g.Expect(takeEffects[StartRun](third)).To(BeEmpty())
	third.advance(time.Millisecond)
	g.Expect(takeEffects[StartRun](third)).To(HaveLen(1))
}
