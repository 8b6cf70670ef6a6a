package reducer

import (
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

var _ = Describe("a job", func() {
	It("is answered, started and acknowledged only after the record is durable", func() {
		h := newHarness("w1")
		h.feed(SubmitRequested{Request: 1, Job: testJob("menu", 1)})
		Expect(takeEffects[Reply](h)).To(BeEmpty())
		Expect(recordKinds(h.answerAppends())).To(Equal([]describer.RecordKind{describer.JobAccepted, describer.TaskStarted}))
		Expect(takeEffects[Reply](h)).To(HaveLen(1))

		starts := h.answerStarts()
		Expect(starts).To(HaveLen(1))
		run := startedRun(starts[0])
		h.advance(10 * time.Second)
		calls := takeEffects[SyncWorker](h)
		Expect(calls).To(HaveLen(1))
		Expect(calls[0].Sync.Renew).To(Equal([]runner.Run{run}))
		done := runner.SyncResult{Finished: []runner.FinishedRun{{Run: run, OK: true, Result: json.RawMessage(`"ok"`)}}}
		h.feed(WorkerSynced{Shard: "bne-1", Epoch: 1, Worker: "w1", SentAt: h.now, Synced: done})

		h.advance(6 * time.Second)
		calls = takeEffects[SyncWorker](h)
		Expect(calls[0].Sync.Ack).To(BeEmpty(), "the result isn't durable yet")
		h.feed(WorkerSynced{Shard: "bne-1", Epoch: 1, Worker: "w1", SentAt: h.now, Synced: done})
		Expect(recordKinds(h.answerAppends())).To(Equal([]describer.RecordKind{describer.TaskFinished}))
		h.advance(6 * time.Second)
		h.answerSyncs(done)
		h.advance(6 * time.Second)
		Expect(takeEffects[SyncWorker](h)[0].Sync.Ack).To(Equal([]runner.Run{run}))

		h.feed(JobStatusRequested{Request: 2, Job: "menu"})
		reply := takeEffects[Reply](h)[0]
		Expect(reply.Job.State).To(Equal("done"))
		Expect(reply.Job.Results).To(Equal([]json.RawMessage{json.RawMessage(`"ok"`)}))
	})

	It("is accepted once, and refused if a different job has its id", func() {
		h := newHarness("w1")
		h.feed(SubmitRequested{Request: 1, Job: testJob("menu", 1)})
		h.feed(SubmitRequested{Request: 2, Job: testJob("menu", 1)})
		h.feed(SubmitRequested{Request: 3, Job: testJob("menu", 2)})
		refused := takeEffects[Reply](h)
		Expect(refused).To(HaveLen(1))
		Expect(refused[0].Err.Code).To(Equal("conflict"))
		Expect(recordKinds(h.answerAppends())).To(Equal([]describer.RecordKind{describer.JobAccepted, describer.TaskStarted}))
		Expect(takeEffects[Reply](h)).To(HaveLen(2))
	})

	It("is refused with the name of the invalid field", func() {
		h := newHarness("w1")
		wrong := testJob("menu", 0)
		h.feed(SubmitRequested{Request: 1, Job: wrong})
		reply := takeEffects[Reply](h)[0]
		Expect(reply.Err.Field).To(Equal("tasks"))
		Expect(reply.Err.Verdict).To(Equal(classifier.NotRun))
	})

	It("is refused at once while the store is unreachable", func() {
		h := newHarness("w1")
		h.feed(StoreChecked{Reachable: false})
		h.feed(SubmitRequested{Request: 1, Job: testJob("menu", 1)})
		reply := takeEffects[Reply](h)[0]
		Expect(reply.Err.Code).To(Equal("store-unavailable"))
		Expect(reply.Err.Verdict).To(Equal(classifier.NotRun))
		Expect(reply.Err.RetryAfter).To(BeNumerically(">", 0))
		Expect(takeEffects[AppendRecords](h)).To(BeEmpty())
	})

	It("never starts after its cancellation, and says whether it may have run", func() {
		h := newHarness("w1")
		h.feed(SubmitRequested{Request: 1, Job: testJob("menu", 6)})
		h.answerAppends()
		starts := h.answerStarts()
		Expect(starts).To(HaveLen(4), "the worker has capacity for four")
		takeEffects[Reply](h)
		h.feed(CancelRequested{Request: 2, Job: "menu"})
		Expect(takeEffects[StopTask](h)).To(BeEmpty())
		h.answerAppends()
		reply := takeEffects[Reply](h)[0]
		Expect(reply.Job.State).To(Equal("cancelled"))
		Expect(reply.Job.MayHaveRun).To(BeTrue())
		stops := takeEffects[StopTask](h)
		Expect(stops).To(HaveLen(4))
		for _, s := range stops {
			h.feed(StopAnswered{
				Shard: "bne-1", Epoch: 1, Worker: "w1", Task: s.Stop.Task, Token: s.Stop.Token,
				Stopped: runner.StopResult{Started: true},
			})
		}
		h.answerAppends()
		h.advance(time.Minute)
		Expect(takeEffects[StartTask](h)).To(BeEmpty())
	})

	It("isn't started on a worker when it is cancelled before its start is durable", func() {
		h := newHarness("w1")
		h.feed(SubmitRequested{Request: 1, Job: testJob("menu", 1)})
		first := takeEffects[AppendRecords](h)
		h.feed(CancelRequested{Request: 2, Job: "menu"})
		h.feed(RecordsAppended{Shard: "bne-1", Epoch: 1, Batch: first[0].Batch})
		h.answerAppends()
		h.advance(time.Second)
		h.answerAppends()
		Expect(takeEffects[StartTask](h)).To(BeEmpty())
		replies := takeEffects[Reply](h)
		Expect(replies[len(replies)-1].Job.State).To(Equal("cancelled"))
	})
})

var _ = Describe("a key", func() {
	It("has one first claim, which is answered only when it is durable", func() {
		h := newHarness("w1")
		h.feed(KeyClaimRequested{Request: 1, Shard: "bne-1", Key: "charge", Owner: "a"})
		h.feed(KeyClaimRequested{Request: 2, Shard: "bne-1", Key: "charge", Owner: "b"})
		Expect(takeEffects[Reply](h)).To(BeEmpty())
		h.answerAppends()
		replies := takeEffects[Reply](h)
		Expect(*replies[0].Key).To(Equal(KeyClaim{First: true, Owner: "a"}))
		Expect(*replies[1].Key).To(Equal(KeyClaim{First: false, Owner: "a"}))
	})
})
