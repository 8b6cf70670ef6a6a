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
		d := newDesk("w1")
		d.do(SubmitRequested{Request: 1, Job: testJob("menu", 1)})
		Expect(taken[Reply](d)).To(BeEmpty())
		Expect(kinds(d.durable())).To(Equal([]describer.RecordKind{describer.JobAccepted, describer.TaskStarted}))
		Expect(taken[Reply](d)).To(HaveLen(1))

		starts := d.started()
		Expect(starts).To(HaveLen(1))
		run := runOf(starts[0])
		d.wait(10 * time.Second)
		calls := taken[SyncWorker](d)
		Expect(calls).To(HaveLen(1))
		Expect(calls[0].Sync.Renew).To(Equal([]runner.Run{run}))
		done := runner.SyncResult{Finished: []runner.FinishedRun{{Run: run, OK: true, Result: json.RawMessage(`"ok"`)}}}
		d.do(WorkerSynced{Shard: "bne-1", Epoch: 1, Worker: "w1", SentAt: d.now, Synced: done})

		d.wait(6 * time.Second)
		calls = taken[SyncWorker](d)
		Expect(calls[0].Sync.Ack).To(BeEmpty(), "the end isn't durable yet")
		d.do(WorkerSynced{Shard: "bne-1", Epoch: 1, Worker: "w1", SentAt: d.now, Synced: done})
		Expect(kinds(d.durable())).To(Equal([]describer.RecordKind{describer.TaskFinished}))
		d.wait(6 * time.Second)
		d.inventory(done)
		d.wait(6 * time.Second)
		Expect(taken[SyncWorker](d)[0].Sync.Ack).To(Equal([]runner.Run{run}))

		d.do(JobStatusRequested{Request: 2, Job: "menu"})
		reply := taken[Reply](d)[0]
		Expect(reply.Job.State).To(Equal("done"))
		Expect(reply.Job.Results).To(Equal([]json.RawMessage{json.RawMessage(`"ok"`)}))
	})

	It("is accepted once, and refused if another one has its id", func() {
		d := newDesk("w1")
		d.do(SubmitRequested{Request: 1, Job: testJob("menu", 1)})
		d.do(SubmitRequested{Request: 2, Job: testJob("menu", 1)})
		d.do(SubmitRequested{Request: 3, Job: testJob("menu", 2)})
		refused := taken[Reply](d)
		Expect(refused).To(HaveLen(1))
		Expect(refused[0].Err.Code).To(Equal("conflict"))
		Expect(kinds(d.durable())).To(Equal([]describer.RecordKind{describer.JobAccepted, describer.TaskStarted}))
		Expect(taken[Reply](d)).To(HaveLen(2))
	})

	It("names the field that is wrong", func() {
		d := newDesk("w1")
		wrong := testJob("menu", 0)
		d.do(SubmitRequested{Request: 1, Job: wrong})
		reply := taken[Reply](d)[0]
		Expect(reply.Err.Field).To(Equal("tasks"))
		Expect(reply.Err.Verdict).To(Equal(classifier.NotRun))
	})

	It("is refused at once while the store is away", func() {
		d := newDesk("w1")
		d.do(StoreChecked{Reachable: false})
		d.do(SubmitRequested{Request: 1, Job: testJob("menu", 1)})
		reply := taken[Reply](d)[0]
		Expect(reply.Err.Code).To(Equal("store-unavailable"))
		Expect(reply.Err.Verdict).To(Equal(classifier.NotRun))
		Expect(reply.Err.RetryAfter).To(BeNumerically(">", 0))
		Expect(taken[AppendRecords](d)).To(BeEmpty())
	})

	It("never starts after its cancellation, and says whether it may have run", func() {
		d := newDesk("w1")
		d.do(SubmitRequested{Request: 1, Job: testJob("menu", 6)})
		d.durable()
		starts := d.started()
		Expect(starts).To(HaveLen(4), "the worker has room for four")
		taken[Reply](d)
		d.do(CancelRequested{Request: 2, Job: "menu"})
		Expect(taken[StopTask](d)).To(BeEmpty())
		d.durable()
		reply := taken[Reply](d)[0]
		Expect(reply.Job.State).To(Equal("cancelled"))
		Expect(reply.Job.MayHaveRun).To(BeTrue())
		stops := taken[StopTask](d)
		Expect(stops).To(HaveLen(4))
		for _, s := range stops {
			d.do(StopAnswered{
				Shard: "bne-1", Epoch: 1, Worker: "w1", Task: s.Stop.Task, Token: s.Stop.Token,
				Stopped: runner.StopResult{Ran: true},
			})
		}
		d.durable()
		d.wait(time.Minute)
		Expect(taken[StartTask](d)).To(BeEmpty())
	})

	It("isn't asked for when it is cancelled before its start is durable", func() {
		d := newDesk("w1")
		d.do(SubmitRequested{Request: 1, Job: testJob("menu", 1)})
		first := taken[AppendRecords](d)
		d.do(CancelRequested{Request: 2, Job: "menu"})
		d.do(RecordsAppended{Shard: "bne-1", Epoch: 1, Batch: first[0].Batch})
		d.durable()
		d.wait(time.Second)
		d.durable()
		Expect(taken[StartTask](d)).To(BeEmpty())
		replies := taken[Reply](d)
		Expect(replies[len(replies)-1].Job.State).To(Equal("cancelled"))
	})
})

var _ = Describe("a key", func() {
	It("is fresh once, and only when it is durable", func() {
		d := newDesk("w1")
		d.do(KeyClaimRequested{Request: 1, Shard: "bne-1", Key: "charge", Owner: "a"})
		d.do(KeyClaimRequested{Request: 2, Shard: "bne-1", Key: "charge", Owner: "b"})
		Expect(taken[Reply](d)).To(BeEmpty())
		d.durable()
		replies := taken[Reply](d)
		Expect(*replies[0].Key).To(Equal(KeyClaim{First: true, Owner: "a"}))
		Expect(*replies[1].Key).To(Equal(KeyClaim{First: false, Owner: "a"}))
	})
})
