package dispatcher

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// TestConfirmationCountsFromItsRequest guards against an owner that acts on an answer of the store
// which it processes long after it asked: another owner may have claimed the shard meanwhile, and
// doesn't expect leases after OutageLimit.
func TestConfirmationCountsFromItsRequest(t *testing.T) {
	for name, confirm := range map[string]func(h *harness) []Event{
		"answer to a renewal, processed late": func(h *harness) []Event {
			sent := h.now
			h.now = h.now.Add(simOutageLimit)
			return []Event{OwnershipChecked{Confirmed: true, SentAt: sent}}
		},
		"answer to a commit, processed late": func(h *harness) []Event {
			h.effects = append(h.effects, h.Reduce(h.now, JobArrived{Job: oneStep(1, nil)}, JobCancelled{ID: oneStep(1, nil).ID})...)
			commits := takeEffects[Commit](h)
			h.batch = commits[len(commits)-1].Batch
			h.now = h.now.Add(simOutageLimit)
			return []Event{Committed{Batch: h.batch}}
		},
		"answer to a renewal from before a suspension of the host": func(h *harness) []Event {
			sent := h.now
			h.now = h.now.Add(100 * time.Millisecond)
			return []Event{OwnershipChecked{Confirmed: false}, OwnershipChecked{Confirmed: true, SentAt: sent}}
		},
		"answer to a commit from before a suspension of the host": func(h *harness) []Event {
			h.effects = append(h.effects, h.Reduce(h.now, JobArrived{Job: oneStep(1, nil)}, JobCancelled{ID: oneStep(1, nil).ID})...)
			commits := takeEffects[Commit](h)
			h.batch = commits[len(commits)-1].Batch
			h.now = h.now.Add(100 * time.Millisecond)
			return []Event{OwnershipChecked{Confirmed: false}, Committed{Batch: h.batch}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(departureQueue, "w1", "w2")
			for id := range h.workers {
				h.feed(PollFailed{Worker: id, Incarnation: 1, Fault: OutcomeUnknown})
			}
			h.advance(commitInterval)
			h.now = h.now.Add(pollRetryDelay)
			takeEffects[Commit](h)
			takeEffects[PollWorker](h)
			other := oneStep(1, nil)
			other.ID = "0000000000000002"
			h.feed(append(confirm(h), Tick{}, JobArrived{Job: other})...)
			g.Expect(h.mayAct()).To(BeFalse())
			g.Expect(takeEffects[PollWorker](h)).To(BeEmpty())
			g.Expect(takeEffects[StartRun](h)).To(BeEmpty())
			h.feed(OwnershipChecked{Confirmed: true, SentAt: h.now}, Tick{})
			g.Expect(takeEffects[PollWorker](h)).NotTo(BeEmpty())
		})
	}
}

// TestCommitLeavesRoomForAnotherOwner guards against an owner that starts the tasks of a silent worker
// elsewhere because a commit was durable. Its owner record may have ended with its lease, so that
// another owner claims the shard right after the commit and renews the leases on that worker.
func TestCommitLeavesRoomForAnotherOwner(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(departureQueue, "w1", "w2")
	h.feed(JobArrived{Job: oneStep(1, nil)})
	h.advance(commitInterval)
	start := takeEffects[StartRun](h)[0]
	h.confirm(start)
	h.advance(time.Second)
	other := map[string]string{"w1": "w2", "w2": "w1"}[start.Worker.ID]
	for range 28 { // 7 s, less than simOutageLimit, without an answer to a renewal
		h.now = h.now.Add(250 * time.Millisecond)
		h.feed(Tick{}, PollFailed{Worker: start.Worker.ID, Incarnation: 1, Fault: OutcomeUnknown})
		h.feed(PollAnswered{Worker: other, Sent: h.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: time.Minute + h.now.Sub(epoch)}})
	}
	g.Expect(takeEffects[StartRun](h)).To(BeEmpty())
	second := oneStep(1, nil)
	second.ID = "0000000000000002"
	h.feed(JobArrived{Job: second}, JobCancelled{ID: second.ID})
	for range 2 {
		h.now = h.now.Add(100 * time.Millisecond)
		h.feed(Tick{})
	}
	g.Expect(takeEffects[StartRun](h)).To(BeEmpty(), "the commit is durable, but another owner may have followed")
	h.advance(100 * time.Millisecond)
	h.advance(100 * time.Millisecond)
	g.Expect(takeEffects[StartRun](h)).To(HaveLen(1))
}

// TestTwoOwnersAfterAnOutage is a case in which TestCommitLeavesRoomForAnotherOwner matters: the first
// owner reaches only one of two workers, and the next one, which claims the shard right after a commit
// of the first one, only the other. The task must not run on both.
func TestTwoOwnersAfterAnOutage(t *testing.T) {
	for ms := 3000; ms <= 6400; ms += 100 {
		s := newSimulation(t, 1, 2)
		sh, first := s.shards[0], s.shards[0].owner
		first.unreachable[s.workers[1]] = true
		s.advance(2 * time.Second)
		job := oneStep(1, func(step *specifier.Step) { step.LongRunning = true })
		sh.submit(job)
		s.advance(3 * time.Second)
		if len(s.workers[0].runs) != 1 {
			t.Fatal("the task doesn't run on the first worker")
		}
		delete(first.unreachable, s.workers[1])
		s.advance(2 * provenTime) // the start of a task that is suspect waits for a commit
		length := time.Duration(ms) * time.Millisecond
		s.beginOutage(storeOutage{lossRate: 1, noRenewals: true}, length)
		first.unreachable[s.workers[0]], first.outage.recordGone = true, true
		s.advance(length)
		sh.submit(specifier.Job{ID: "0000000000000002", Steps: job.Steps})
		batch := first.outage.appliedBatch
		for range 2000 {
			s.advance(time.Millisecond)
			if first.outage.appliedBatch > batch {
				break
			}
		}
		sh.claim()
		sh.owner.unreachable[s.workers[1]] = true
		s.schedule(2*time.Second, first.learnOfClaim)
		s.advance(20 * time.Second)
	}
}
