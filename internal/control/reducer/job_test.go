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
		d := newHarness("w1")
		d.feed(SubmitRequested{Request: 1, Job: testJob("menu", 1)})
		Expect(takeEffects[Reply](d)).To(BeEmpty())
		Expect(recordKinds(d.answerAppends())).To(Equal([]describer.RecordKind{describer.JobAccepted, describer.TaskStarted}))
		Expect(takeEffects[Reply](d)).To(HaveLen(1))

		starts := d.answerStarts()
		Expect(starts).To(HaveLen(1))
		run := startedRun(starts[0])
		d.advance(10 * time.Second)
		calls := takeEffects[SyncWorker](d)
		Expect(calls).To(HaveLen(1))
		Expect(calls[0].Sync.Renew).To(Equal([]runner.Run{run}))
		done := runner.Synced{Finished: []runner.Finished{{Run: run, OK: true, Result: json.RawMessage(`"ok"`)}}}
		d.feed(WorkerSynced{Shard: "bne-1", Epoch: 1, Worker: "w1", SentAt: d.now, Synced: done})

		d.advance(6 * time.Second)
		calls = takeEffects[SyncWorker](d)
		Expect(calls[0].Sync.Ack).To(BeEmpty(), "the end isn't durable yet")
		d.feed(WorkerSynced{Shard: "bne-1", Epoch: 1, Worker: "w1", SentAt: d.now, Synced: done})
		Expect(recordKinds(d.answerAppends())).To(Equal([]describer.RecordKind{describer.TaskFinished}))
		d.advance(6 * time.Second)
		d.answerSyncs(done)
		d.advance(6 * time.Second)
		Expect(takeEffects[SyncWorker](d)[0].Sync.Ack).To(Equal([]runner.Run{run}))

		d.feed(JobStatusRequested{Request: 2, Job: "menu"})
		reply := takeEffects[Reply](d)[0]
		Expect(reply.Job.State).To(Equal("done"))
		Expect(reply.Job.Results).To(Equal([]json.RawMessage{json.RawMessage(`"ok"`)}))
	})

	It("is accepted once, and refused if another one has its id", func() {
		d := newHarness("w1")
		d.feed(SubmitRequested{Request: 1, Job: testJob("menu", 1)})
		d.feed(SubmitRequested{Request: 2, Job: testJob("menu", 1)})
		d.feed(SubmitRequested{Request: 3, Job: testJob("menu", 2)})
		refused := takeEffects[Reply](d)
		Expect(refused).To(HaveLen(1))
		Expect(refused[0].Err.Code).To(Equal("conflict"))
		Expect(recordKinds(d.answerAppends())).To(Equal([]describer.RecordKind{describer.JobAccepted, describer.TaskStarted}))
		Expect(takeEffects[Reply](d)).To(HaveLen(2))
	})

	It("names the field that is wrong", func() {
		d := newHarness("w1")
		wrong := testJob("menu", 0)
		d.feed(SubmitRequested{Request: 1, Job: wrong})
		reply := takeEffects[Reply](d)[0]
		Expect(reply.Err.Field).To(Equal("tasks"))
		Expect(reply.Err.Verdict).To(Equal(classifier.NotRun))
	})

	It("is refused at once while the store is away", func() {
		d := newHarness("w1")
		d.feed(StoreChecked{Reachable: false})
		d.feed(SubmitRequested{Request: 1, Job: testJob("menu", 1)})
		reply := takeEffects[Reply](d)[0]
		Expect(reply.Err.Code).To(Equal("store-unavailable"))
		Expect(reply.Err.Verdict).To(Equal(classifier.NotRun))
		Expect(reply.Err.RetryAfter).To(BeNumerically(">", 0))
		Expect(takeEffects[AppendRecords](d)).To(BeEmpty())
	})

	It("never starts after its cancellation, and says whether it may have run", func() {
		d := newHarness("w1")
		d.feed(SubmitRequested{Request: 1, Job: testJob("menu", 6)})
		d.answerAppends()
		starts := d.answerStarts()
		Expect(starts).To(HaveLen(4), "the worker has room for four")
		takeEffects[Reply](d)
		d.feed(CancelRequested{Request: 2, Job: "menu"})
		Expect(takeEffects[StopTask](d)).To(BeEmpty())
		d.answerAppends()
		reply := takeEffects[Reply](d)[0]
		Expect(reply.Job.State).To(Equal("cancelled"))
		Expect(reply.Job.MayHaveRun).To(BeTrue())
		stops := takeEffects[StopTask](d)
		Expect(stops).To(HaveLen(4))
		for _, s := range stops {
			d.feed(StopAnswered{
				Shard: "bne-1", Epoch: 1, Worker: "w1", Task: s.Stop.Task, Token: s.Stop.Token,
				Stopped: runner.Stopped{Ran: true},
			})
		}
		d.answerAppends()
		d.advance(time.Minute)
		Expect(takeEffects[StartTask](d)).To(BeEmpty())
	})

	It("isn't asked for when it is cancelled before its start is durable", func() {
		d := newHarness("w1")
		d.feed(SubmitRequested{Request: 1, Job: testJob("menu", 1)})
		first := takeEffects[AppendRecords](d)
		d.feed(CancelRequested{Request: 2, Job: "menu"})
		d.feed(RecordsAppended{Shard: "bne-1", Epoch: 1, Batch: first[0].Batch})
		d.answerAppends()
		d.advance(time.Second)
		d.answerAppends()
		Expect(takeEffects[StartTask](d)).To(BeEmpty())
		replies := takeEffects[Reply](d)
		Expect(replies[len(replies)-1].Job.State).To(Equal("cancelled"))
	})
})

var _ = Describe("a key", func() {
	It("is fresh once, and only when it is durable", func() {
		d := newHarness("w1")
		d.feed(KeyClaimRequested{Request: 1, Shard: "bne-1", Key: "charge", Owner: "a"})
		d.feed(KeyClaimRequested{Request: 2, Shard: "bne-1", Key: "charge", Owner: "b"})
		Expect(takeEffects[Reply](d)).To(BeEmpty())
		d.answerAppends()
		replies := takeEffects[Reply](d)
		Expect(*replies[0].Key).To(Equal(KeyClaim{First: true, Owner: "a"}))
		Expect(*replies[1].Key).To(Equal(KeyClaim{First: false, Owner: "a"}))
	})
})
