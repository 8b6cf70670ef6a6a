package reducer

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// jobStatus requests a job's status. Earlier replies are dropped.
func (h *harness) jobStatus(job string) *JobStatus {
	takeEffects[Reply](h)
	h.feed(JobStatusRequested{Request: 99, Job: job})
	replies := takeEffects[Reply](h)
	Expect(replies).To(HaveLen(1))
	Expect(replies[0].Err).To(BeNil())
	return replies[0].Job
}

// failRun reports the failure of a run with the worker's next sync.
func (h *harness) failRun(s StartTask) {
	h.advance(6 * time.Second)
	for _, c := range takeEffects[SyncWorker](h) {
		answer := WorkerSynced{Shard: c.Sync.Shard, Epoch: c.Sync.Epoch, Worker: c.Worker, SentAt: h.now}
		if c.Worker == s.Worker {
			answer.Synced.Finished = []runner.FinishedRun{{Run: startedRun(s), Reason: "exit 1"}}
		}
		h.feed(answer)
	}
}

var _ = Describe("placement", func() {
	It("starts urgent tasks first, then those close to their deadline, then by the shares of teams", func() {
		h := newHarness("w1")
		h.feed(StoreChecked{Reachable: true})
		h.Reduce(Tick{Now: h.now})
		h.shards["bne-1"].ownership = releasing // nothing is placed until all jobs are queued
		sh := h.shards["bne-1"]
		queue := func(id, team string, change func(*describer.Job)) {
			j := testJob(id, 1)
			j.Team = team
			change(&j)
			sh.apply(describer.Record{Kind: describer.JobAccepted, Job: &j, Time: h.now})
		}
		queue("plain-1", "council", func(*describer.Job) {})
		queue("plain-2", "council", func(*describer.Job) {})
		queue("other", "tourism", func(*describer.Job) {})
		queue("soon", "council", func(j *describer.Job) { j.Deadline = h.now.Add(time.Minute) })
		queue("urgent", "council", func(j *describer.Job) { j.Priority = describer.Urgent })
		sh.ownership = owning
		h.feed(Tick{Now: h.now.Add(time.Second)})
		var order []string
		for _, r := range h.answerAppends() {
			order = append(order, r.Task.Job)
		}
		Expect(order).To(Equal([]string{"urgent", "soon", "other", "plain-1"}))
	})

	It("keeps a team within its quota", func() {
		h := newHarness("w1")
		c := testConfiguration()
		c.Revision = 2
		c.Teams[0].Quota = describer.Resources{CPU: 2000}
		h.feed(ConfigurationReceived{Configuration: c})
		h.feed(SubmitRequested{Request: 1, Job: testJob("menu", 4)})
		h.answerAppends()
		Expect(h.answerStarts()).To(HaveLen(2))
		Expect(h.jobStatus("menu").Reason).To(Equal("the team's quota is used up"))
	})

	It("abandons a task that is larger than every worker, and says why", func() {
		h := newHarness("w1")
		job := testJob("huge", 1)
		job.Declared.CPU = 1_000_000
		h.feed(SubmitRequested{Request: 1, Job: job})
		h.answerAppends()
		status := h.jobStatus("huge")
		Expect(status.State).To(Equal("failed"))
		Expect(status.Reason).To(Equal("larger than every worker of its shard"))
	})

	It("frees capacity for an urgent task by throttling", func() {
		h := newHarness("w1")
		h.feed(SubmitRequested{Request: 1, Job: testJob("menu", 4)})
		h.answerAppends()
		starts := h.answerStarts()
		var running []runner.ActiveRun
		for _, s := range starts {
			running = append(running, runner.ActiveRun{Run: startedRun(s), Granted: s.Start.Granted})
		}
		h.advance(6 * time.Second)
		h.answerSyncs(runner.SyncResult{Running: running})
		urgent := testJob("urgent", 1)
		urgent.Priority = describer.Urgent
		h.feed(SubmitRequested{Request: 2, Job: urgent})
		h.answerAppends()
		throttles := takeEffects[ThrottleTask](h)
		Expect(throttles).NotTo(BeEmpty())
		Expect(takeEffects[StartTask](h)).To(BeEmpty(), "the workers still have the old grants")
		for i := range running {
			running[i].Granted.CPU = 100
		}
		h.advance(6 * time.Second)
		h.answerSyncs(runner.SyncResult{Running: running})
		Expect(h.answerAppends()).To(BeEmpty(), "a low grant may be older than a growth that is still in flight")
		for i := range running {
			for _, t := range throttles {
				if t.Throttle.Task == running[i].Task {
					running[i].Granted.CPU = t.Throttle.CPU
					running[i].ThrottleToken = describer.Token{Epoch: t.Throttle.Epoch, Sequence: t.Throttle.Sequence}
				}
			}
		}
		h.advance(6 * time.Second)
		h.answerSyncs(runner.SyncResult{Running: running})
		h.answerAppends()
		Expect(h.answerStarts()[0].Start.Task.Job).To(Equal("urgent"))
	})

	It("records a larger grant before it is sent to the worker", func() {
		h := newHarness("w1")
		h.feed(SubmitRequested{Request: 1, Job: testJob("menu", 1)})
		h.answerAppends()
		s := h.answerStarts()[0]
		busy := runner.SyncResult{Running: []runner.ActiveRun{{Run: startedRun(s), Granted: s.Start.Granted, Used: s.Start.Granted}}}
		h.advance(20 * time.Second)
		h.answerSyncs(busy)
		Expect(takeEffects[ThrottleTask](h)).To(BeEmpty())
		records := h.answerAppends()
		Expect(recordKinds(records)).To(Equal([]describer.RecordKind{describer.TaskResized}))
		throttles := takeEffects[ThrottleTask](h)
		Expect(throttles).To(HaveLen(1))
		Expect(throttles[0].Throttle.CPU).To(Equal(records[0].Granted.CPU))
	})

	It("places nothing while the store is unreachable, and keeps renewing leases", func() {
		h := newHarness("w1")
		h.feed(SubmitRequested{Request: 1, Job: testJob("menu", 6)})
		h.answerAppends()
		run := startedRun(h.answerStarts()[0])
		h.feed(StoreChecked{Reachable: false})
		h.feed(Tick{Now: h.now.Add(6 * time.Second)})
		Expect(takeEffects[SyncWorker](h)[0].Sync.Renew).To(ContainElement(run))
		h.feed(WorkerSynced{Shard: "bne-1", Epoch: 1, Worker: "w1", SentAt: h.now})
		Expect(takeEffects[StartTask](h)).To(BeEmpty())
		Expect(recordKinds(takeEffects[AppendRecords](h)[0].Records)).NotTo(ContainElement(describer.TaskStarted))
	})
})

var _ = Describe("failures", func() {
	It("make a task be abandoned after three workers", func() {
		h := newHarness("w1", "w2", "w3", "w4")
		h.feed(SubmitRequested{Request: 1, Job: testJob("broken", 1)})
		used := map[string]bool{}
		for range 3 {
			h.answerAppends()
			s := h.answerStarts()
			Expect(s).To(HaveLen(1))
			used[s[0].Worker] = true
			h.failRun(s[0])
			h.answerAppends()
			h.advance(10 * time.Second)
		}
		Expect(used).To(HaveLen(3))
		status := h.jobStatus("broken")
		Expect(status.State).To(Equal("failed"))
		Expect(status.Reason).To(Equal("failed 3 times on 3 workers: exit 1"))
	})

	It("quarantine a worker that fails several jobs, until a probe succeeds", func() {
		h := newHarness("w1")
		for i, id := range []string{"a", "b", "c"} {
			job := testJob(id, 1)
			job.Class = id
			h.feed(SubmitRequested{Request: RequestID(i + 1), Job: job})
			h.answerAppends()
			for _, s := range h.answerStarts() {
				if s.Start.Task.Job == id {
					h.failRun(s)
				}
			}
			h.answerAppends()
		}
		h.answerStarts()
		h.advance(10 * time.Second)
		Expect(takeEffects[StartTask](h)).To(BeEmpty())
		h.feed(StatusRequested{Request: 9})
		replies := takeEffects[Reply](h)
		Expect(replies[len(replies)-1].Status.Workers[0].ClosedReason).To(Equal("failed 3 jobs in a row, the last with: exit 1"))
		for range 62 {
			h.advance(5 * time.Second)
			h.answerSyncs(runner.SyncResult{})
		}
		h.answerAppends()
		probe := h.answerStarts()
		Expect(probe).To(HaveLen(1))
		h.answerSyncs(runner.SyncResult{Running: []runner.ActiveRun{{Run: startedRun(probe[0])}}})
		h.advance(6 * time.Second)
		h.answerSyncs(runner.SyncResult{Finished: []runner.FinishedRun{{Run: startedRun(probe[0]), OK: true}}})
		Expect(recordKinds(h.answerAppends())).To(ContainElement(describer.WorkerReinstated))
	})

	It("of a worker to answer don't lose a result that arrives before a new start", func() {
		h := newHarness("w1")
		h.feed(SubmitRequested{Request: 1, Job: testJob("menu", 1)})
		h.answerAppends()
		run := startedRun(h.answerStarts()[0])
		var records []describer.Record
		for range 50 {
			h.advance(time.Second)
			for _, c := range takeEffects[SyncWorker](h) {
				h.feed(WorkerSyncFailed{Shard: "bne-1", Epoch: 1, Worker: c.Worker})
			}
			records = append(records, h.answerAppends()...)
		}
		Expect(recordKinds(records)).To(Equal([]describer.RecordKind{describer.TaskReleased}))
		h.advance(6 * time.Second)
		h.answerSyncs(runner.SyncResult{Finished: []runner.FinishedRun{{Run: run, OK: true}}})
		Expect(recordKinds(h.answerAppends())).To(Equal([]describer.RecordKind{describer.TaskFinished}))
		Expect(h.jobStatus("menu").State).To(Equal("done"))
	})

	It("don't make a stale result count", func() {
		h := newHarness("w1")
		h.feed(SubmitRequested{Request: 1, Job: testJob("menu", 1)})
		h.answerAppends()
		run := startedRun(h.answerStarts()[0])
		run.Token.Sequence += 7
		sh := h.shards["bne-1"]
		sh.apply(describer.Record{Kind: describer.TaskFinished, Task: run.Task, Token: run.Token})
		Expect(sh.view.task(run.Task).state).To(Equal(describer.Started))
	})
})

var _ = Describe("a planned stop", func() {
	It("starts nothing more and releases the shard after all records are sent", func() {
		h := newHarness("w1")
		h.feed(SubmitRequested{Request: 1, Job: testJob("menu", 1)})
		h.feed(StopRequested{})
		Expect(takeEffects[ReleaseShard](h)).To(HaveLen(1))
		h.feed(SubmitRequested{Request: 2, Job: testJob("late", 1)})
		reply := takeEffects[Reply](h)[0]
		Expect(reply.Err.Code).To(Equal("not-owner"))
		Expect(reply.Err.Verdict).To(Equal(classifier.NotRun))
		h.feed(ShardLost{Shard: "bne-1", Epoch: 1})
		Expect(takeEffects[Reply](h)[0].Err.Verdict).To(Equal(classifier.MayHaveRun))
		h.advance(2 * time.Minute)
		Expect(takeEffects[ClaimShard](h)).To(BeEmpty())
	})
})

var _ = Describe("a snapshot", func() {
	It("restores the same state as the records", func() {
		h := newHarness("w1")
		h.feed(SubmitRequested{Request: 1, Job: testJob("menu", 6)})
		h.feed(KeyClaimRequested{Request: 2, Shard: "bne-1", Key: "k", Owner: "o"})
		records := h.answerAppends()
		h.minSnapshotRecords = 0
		sh := h.shards["bne-1"]
		sh.journal.recordsSinceSnapshot = 1000
		sh.maybeSnapshot()
		h.effects = append(h.effects, h.State.effects...)
		saved := takeEffects[SaveSnapshot](h)[0]

		a, b := newSuccessor(records, "w1"), newSuccessor(nil, "w1")
		b.feed(ShardClaimed{Shard: "bne-1", Epoch: 3, Snapshot: saved.Data})
		Expect(b.shards["bne-1"].save()).To(Equal(a.shards["bne-1"].save()))
	})

	It("that can't be decoded makes the daemon release the shard", func() {
		s := newSuccessor(nil, "w1")
		s.feed(ShardClaimed{Shard: "bne-1", Epoch: 3, Snapshot: []byte("{")})
		Expect(takeEffects[ReleaseShard](s)).To(ContainElement(ReleaseShard{Shard: "bne-1", Epoch: 3}))
	})
})
