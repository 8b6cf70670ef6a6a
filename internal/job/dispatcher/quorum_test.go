package dispatcher

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

func TestQuorumsHaveACommonVoter(t *testing.T) {
	for n := range 1000 {
		if ownerQuorum(n)+successorQuorum(n) <= n {
			t.Errorf("%d voters: an owner needs %d, a successor %d", n, ownerQuorum(n), successorQuorum(n))
		}
	}
}

// answerWithoutStore delivers answers of workers after a while in which the store confirmed nothing.
func (h *harness) answerWithoutStore(ids ...string) {
	h.now = h.now.Add(quorumPollWait)
	h.feedUnconfirmed(Tick{})
	for _, id := range ids {
		h.feedUnconfirmed(PollAnswered{Worker: id, Sent: h.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: time.Minute + h.now.Sub(epoch)}})
	}
}

// feedUnconfirmed is feed without answers to commits.
func (h *harness) feedUnconfirmed(events ...Event) {
	h.effects = append(h.effects, h.Reduce(h.now, events...)...)
}

// TestOwnerWithoutStoreNeedsQuorum guards against an owner that renews leases, or starts runs, while
// its successor takes it that it can't: too few workers have accepted its token lately.
func TestOwnerWithoutStoreNeedsQuorum(t *testing.T) {
	for name, test := range map[string]struct {
		answer []string
		acts   bool
	}{
		"all":              {[]string{"w1", "w2", "w3"}, true},
		"two thirds":       {[]string{"w1", "w2"}, true},
		"fewer":            {[]string{"w1"}, false},
		"one more is gone": {[]string{"w2"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(departureQueue, "w1", "w2", "w3")
			h.advance(time.Second)
			h.answerWithoutStore("w1", "w2", "w3")
			for range 10 { // 2.5 s
				takeEffects[PollWorker](h)
				h.answerWithoutStore(test.answer...)
			}
			h.feedUnconfirmed(JobArrived{Job: oneStep(1, nil)})
			polls := takeEffects[PollWorker](h)
			g.Expect(polls).NotTo(BeEmpty(), "it goes on polling")
			g.Expect(takeEffects[StartRun](h)).To(HaveLen(map[bool]int{true: 1}[test.acts]))
			for _, p := range polls {
				g.Expect(p.LeaseEnd > 0).To(Equal(test.acts))
				g.Expect(p.Wait).To(BeNumerically("<=", quorumPollWait))
				if test.acts {
					g.Expect(p.LeaseEnd - time.Minute - h.now.Sub(epoch)).To(BeNumerically("<=", quorumLease))
				}
			}
		})
	}
}

// TestRestartedWorkerIsNoVoter guards against an owner that counts the answers of a worker which has
// forgotten the token of the next owner.
func TestRestartedWorkerIsNoVoter(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(departureQueue, "w1", "w2", "w3")
	h.advance(time.Second)
	for range 10 {
		h.answerWithoutStore("w1", "w2")
	}
	g.Expect(h.mayAct()).To(BeTrue())
	h.feedUnconfirmed(PollAnswered{Worker: "w2", Sent: h.now, Inventory: specifier.Inventory{Incarnation: 2, Clock: time.Second}})
	g.Expect(h.mayAct()).To(BeFalse())
	h.answerWithoutStore("w1", "w3")
	g.Expect(h.mayAct()).To(BeTrue())
}

// TestVotersOfOpenCommitCount guards against an owner that has a quorum of the list that was durable
// last, while a commit without an answer may have replaced it.
func TestVotersOfOpenCommitCount(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(departureQueue, "w1", "w2", "w3")
	h.advance(time.Second)
	h.answerWithoutStore("w1", "w2", "w3")
	h.feedUnconfirmed(WorkersListed{Workers: []specifier.Worker{
		{ID: "w1", Incarnation: 1},
		{ID: "w2", Incarnation: 1},
		{ID: "w3", Incarnation: 1},
		{ID: "w4", Incarnation: 1},
		{ID: "w5", Incarnation: 1},
		{ID: "w6", Incarnation: 1},
	}})
	for range 10 {
		h.answerWithoutStore("w1", "w2", "w3", "w4", "w5", "w6")
	}
	g.Expect(h.mayAct()).To(BeFalse(), "w4 to w6 weren't known when the ownership was confirmed")
}

// TestSuccessorWaitsForOneLease guards against long-running tasks that wait for the outage limit after
// their owner was lost together with some of the workers, and against a shorter wait than is safe.
func TestSuccessorWaitsForOneLease(t *testing.T) {
	workers := []string{"gone", "w1", "w2", "w3"}
	outage, lease := withDrift(simOutageLimit+simLease)+expiryMargin, withDrift(simLease)+expiryMargin
	for name, test := range map[string]struct {
		previous recorder.WorkerList
		answer   []string
		wait     time.Duration // from the claim
	}{
		"quorum":                  {recorder.WorkerList{Workers: workers, Settled: true, Rule: recorder.QuorumRule}, []string{"w1", "w2", "w3"}, lease},
		"of the owner before":     {recorder.WorkerList{Workers: workers, Rule: recorder.QuorumRule, Voters: workers}, []string{"w1", "w2", "w3"}, lease},
		"owner of another rule":   {recorder.WorkerList{Workers: workers, Settled: true}, []string{"w1", "w2", "w3"}, outage},
		"voters don't answer":     {recorder.WorkerList{Workers: []string{"gone", "w1"}, Rule: recorder.QuorumRule, Voters: []string{"gone", "gone2", "gone3"}}, []string{"w1"}, outage},
		"leases of owners before": {recorder.WorkerList{Workers: workers, EarlierEnded: true, Rule: recorder.QuorumRule, Earlier: []recorder.WorkerLease{{Worker: "gone", Remaining: 9 * time.Second}}}, []string{"w1", "w2", "w3"}, 9 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newSuccessor(Options{Previous: test.previous, EarlierKnown: test.previous.KnowsEarlier()}, departureQueue, longRunningJob(), "w1", "w2", "w3")
			for _, id := range test.answer {
				h.answer(id, 1)
			}
			h.advance(inheritedAnswerTime)
			h.advance(test.wait - inheritedAnswerTime)
			g.Expect(takeEffects[StartRun](h)).To(BeEmpty())
			h.advance(time.Millisecond)
			h.advance(commitInterval)
			h.advance(commitInterval)
			g.Expect(takeEffects[StartRun](h)).To(HaveLen(1))
		})
	}
}

// TestVotersOfEarlierOwnersAreKept guards against an owner that is lost before it knows that the one
// before it renews no leases: the next owner would take its voters for those of both.
func TestVotersOfEarlierOwnersAreKept(t *testing.T) {
	g := NewWithT(t)
	previous := recorder.WorkerList{Workers: []string{"gone", "w1", "w2", "w3"}, Settled: true, Rule: recorder.QuorumRule}
	h := newSuccessor(Options{Previous: previous, EarlierKnown: true}, departureQueue, longRunningJob(), "w1", "w2", "w3", "w4", "w5")
	h.answer("w1", 1)
	h.answer("w4", 1)
	h.answer("w5", 1)
	h.advance(time.Second)
	list := lastList(g, h)
	g.Expect(list.QuorumVoters()).To(Equal(previous.Workers), "one of four has answered")
	h.answer("w2", 1)
	h.advance(time.Second)
	list = lastList(g, h)
	g.Expect(list.Voters).To(BeEmpty())
	g.Expect(list.EarlierEnded || list.InheritedKnown).To(BeTrue())
	g.Expect(list.QuorumVoters()).To(Equal([]string{"w1", "w2", "w4", "w5"}))
}
