package reducer

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// status asks for a job's state.
func (h *harness) jobStatus(job string) *JobStatus {
	takeEffects[Reply](h)
	h.feed(JobStatusRequested{Request: 99, Job: job})
	replies := takeEffects[Reply](h)
	Expect(replies).To(HaveLen(1))
	Expect(replies[0].Err).To(BeNil())
	return replies[0].Job
}

// fail lets the run end with a failure.
func (h *harness) failRun(s StartTask) {
	h.advance(6 * time.Second)
	for _, c := range takeEffects[SyncWorker](h) {
		answer := WorkerSynced{Shard: c.Sync.Shard, Epoch: c.Sync.Epoch, Worker: c.Worker, SentAt: h.now}
		if c.Worker == s.Worker {
			answer.Synced.Finished = []runner.Finished{{Run: startedRun(s), Reason: "exit 1"}}
		}
		h.feed(answer)
	}
}

var _ = Describe("placement", func() {
	It("takes urgent tasks first, then those close to their deadline, then by share", func() {
		d := newHarness("w1")
		d.feed(StoreChecked{Reachable: true})
		d.Reduce(Tick{Now: d.now})
		d.shards["bne-1"].ownership = releasing // nothing is placed until all are queued
		h := d.shards["bne-1"]
		queue := func(id, team string, change func(*describer.Job)) {
			j := testJob(id, 1)
			j.Team = team
			change(&j)
			h.apply(describer.Record{Kind: describer.JobAccepted, Job: &j, Time: d.now})
		}
		queue("plain-1", "council", func(*describer.Job) {})
		queue("plain-2", "council", func(*describer.Job) {})
		queue("other", "tourism", func(*describer.Job) {})
		queue("soon", "council", func(j *describer.Job) { j.Deadline = d.now.Add(time.Minute) })
		queue("urgent", "council", func(j *describer.Job) { j.Priority = describer.Urgent })
		h.ownership = owning
		d.feed(Tick{Now: d.now.Add(time.Second)})
		var order []string
		for _, r := range d.answerAppends() {
			order = append(order, r.Task.Job)
		}
		Expect(order).To(Equal([]string{"urgent", "soon", "other", "plain-1"}))
	})

	It("keeps a team within its quota", func() {
		d := newHarness("w1")
		c := testConfiguration()
		c.Revision = 2
		c.Teams[0].Quota = describer.Resources{CPU: 2000}
		d.feed(ConfigurationReceived{Configuration: c})
		d.feed(SubmitRequested{Request: 1, Job: testJob("menu", 4)})
		d.answerAppends()
		Expect(d.answerStarts()).To(HaveLen(2))
		Expect(d.jobStatus("menu").Reason).To(Equal("team quota exhausted"))
	})

	It("sets a task aside that no worker can hold, and says why", func() {
		d := newHarness("w1")
		job := testJob("huge", 1)
		job.Declared.CPU = 1_000_000
		d.feed(SubmitRequested{Request: 1, Job: job})
		d.answerAppends()
		status := d.jobStatus("huge")
		Expect(status.State).To(Equal("failed"))
		Expect(status.Reason).To(Equal("larger than the capacity of every worker in its shard"))
	})

	It("makes room for an urgent task by throttling", func() {
		d := newHarness("w1")
		d.feed(SubmitRequested{Request: 1, Job: testJob("menu", 4)})
		d.answerAppends()
		starts := d.answerStarts()
		var running []runner.Running
		for _, s := range starts {
			running = append(running, runner.Running{Run: startedRun(s), Granted: s.Start.Granted})
		}
		d.advance(6 * time.Second)
		d.answerSyncs(runner.Synced{Running: running})
		urgent := testJob("urgent", 1)
		urgent.Priority = describer.Urgent
		d.feed(SubmitRequested{Request: 2, Job: urgent})
		d.answerAppends()
		throttles := takeEffects[ThrottleTask](d)
		Expect(throttles).NotTo(BeEmpty())
		Expect(takeEffects[StartTask](d)).To(BeEmpty(), "the grants in force are still the old ones")
		for i := range running {
			running[i].Granted.CPU = 100
		}
		d.advance(6 * time.Second)
		d.answerSyncs(runner.Synced{Running: running})
		Expect(d.answerAppends()).To(BeEmpty(), "a low grant may be older than a growth on its way")
		for i := range running {
			for _, t := range throttles {
				if t.Throttle.Task == running[i].Task {
					running[i].Granted.CPU = t.Throttle.CPU
					running[i].Order = describer.Token{Epoch: t.Throttle.Epoch, Sequence: t.Throttle.Sequence}
				}
			}
		}
		d.advance(6 * time.Second)
		d.answerSyncs(runner.Synced{Running: running})
		d.answerAppends()
		Expect(d.answerStarts()[0].Start.Task.Job).To(Equal("urgent"))
	})

	It("books a growing grant before the worker hears of it", func() {
		d := newHarness("w1")
		d.feed(SubmitRequested{Request: 1, Job: testJob("menu", 1)})
		d.answerAppends()
		s := d.answerStarts()[0]
		busy := runner.Synced{Running: []runner.Running{{Run: startedRun(s), Granted: s.Start.Granted, Used: s.Start.Granted}}}
		d.advance(20 * time.Second)
		d.answerSyncs(busy)
		Expect(takeEffects[ThrottleTask](d)).To(BeEmpty())
		records := d.answerAppends()
		Expect(recordKinds(records)).To(Equal([]describer.RecordKind{describer.TaskResized}))
		throttles := takeEffects[ThrottleTask](d)
		Expect(throttles).To(HaveLen(1))
		Expect(throttles[0].Throttle.CPU).To(Equal(records[0].Granted.CPU))
	})

	It("waits while the store is away, and goes on renewing", func() {
		d := newHarness("w1")
		d.feed(SubmitRequested{Request: 1, Job: testJob("menu", 6)})
		d.answerAppends()
		run := startedRun(d.answerStarts()[0])
		d.feed(StoreChecked{Reachable: false})
		d.feed(Tick{Now: d.now.Add(6 * time.Second)})
		Expect(takeEffects[SyncWorker](d)[0].Sync.Renew).To(ContainElement(run))
		d.feed(WorkerSynced{Shard: "bne-1", Epoch: 1, Worker: "w1", SentAt: d.now})
		Expect(takeEffects[StartTask](d)).To(BeEmpty())
		Expect(recordKinds(takeEffects[AppendRecords](d)[0].Records)).NotTo(ContainElement(describer.TaskStarted))
	})
})

var _ = Describe("failures", func() {
	It("set a task aside after three workers", func() {
		d := newHarness("w1", "w2", "w3", "w4")
		d.feed(SubmitRequested{Request: 1, Job: testJob("broken", 1)})
		used := map[string]bool{}
		for range 3 {
			d.answerAppends()
			s := d.answerStarts()
			Expect(s).To(HaveLen(1))
			used[s[0].Worker] = true
			d.failRun(s[0])
			d.answerAppends()
			d.advance(10 * time.Second)
		}
		Expect(used).To(HaveLen(3))
		status := d.jobStatus("broken")
		Expect(status.State).To(Equal("failed"))
		Expect(status.Reason).To(Equal("failed 3 times on 3 workers: exit 1"))
	})

	It("set a worker aside that fails several jobs, until a probe succeeds", func() {
		d := newHarness("w1")
		for i, id := range []string{"a", "b", "c"} {
			job := testJob(id, 1)
			job.Class = id
			d.feed(SubmitRequested{Request: RequestID(i + 1), Job: job})
			d.answerAppends()
			for _, s := range d.answerStarts() {
				if s.Start.Task.Job == id {
					d.failRun(s)
				}
			}
			d.answerAppends()
		}
		d.answerStarts()
		d.advance(10 * time.Second)
		Expect(takeEffects[StartTask](d)).To(BeEmpty())
		d.feed(StatusRequested{Request: 9})
		replies := takeEffects[Reply](d)
		Expect(replies[len(replies)-1].Status.Workers[0].ClosedReason).To(Equal("failed 3 jobs in a row, the last with: exit 1"))
		for range 62 {
			d.advance(5 * time.Second)
			d.answerSyncs(runner.Synced{})
		}
		d.answerAppends()
		probe := d.answerStarts()
		Expect(probe).To(HaveLen(1))
		d.answerSyncs(runner.Synced{Running: []runner.Running{{Run: startedRun(probe[0])}}})
		d.advance(6 * time.Second)
		d.answerSyncs(runner.Synced{Finished: []runner.Finished{{Run: startedRun(probe[0]), OK: true}}})
		Expect(recordKinds(d.answerAppends())).To(ContainElement(describer.WorkerTrusted))
	})

	It("of a worker to answer don't lose a result that comes before a new start", func() {
		d := newHarness("w1")
		d.feed(SubmitRequested{Request: 1, Job: testJob("menu", 1)})
		d.answerAppends()
		run := startedRun(d.answerStarts()[0])
		var records []describer.Record
		for range 50 {
			d.advance(time.Second)
			for _, c := range takeEffects[SyncWorker](d) {
				d.feed(WorkerSyncFailed{Shard: "bne-1", Epoch: 1, Worker: c.Worker})
			}
			records = append(records, d.answerAppends()...)
		}
		Expect(recordKinds(records)).To(Equal([]describer.RecordKind{describer.TaskReleased}))
		d.advance(6 * time.Second)
		d.answerSyncs(runner.Synced{Finished: []runner.Finished{{Run: run, OK: true}}})
		Expect(recordKinds(d.answerAppends())).To(Equal([]describer.RecordKind{describer.TaskFinished}))
		Expect(d.jobStatus("menu").State).To(Equal("done"))
	})

	It("leave a stale result without effect", func() {
		d := newHarness("w1")
		d.feed(SubmitRequested{Request: 1, Job: testJob("menu", 1)})
		d.answerAppends()
		run := startedRun(d.answerStarts()[0])
		run.Token.Sequence += 7
		h := d.shards["bne-1"]
		h.apply(describer.Record{Kind: describer.TaskFinished, Task: run.Task, Token: run.Token})
		Expect(h.view.task(run.Task).state).To(Equal(describer.Started))
	})
})

var _ = Describe("a planned stop", func() {
	It("starts nothing more and releases the shard after its records are sent", func() {
		d := newHarness("w1")
		d.feed(SubmitRequested{Request: 1, Job: testJob("menu", 1)})
		d.feed(StopRequested{})
		Expect(takeEffects[ReleaseShard](d)).To(HaveLen(1))
		d.feed(SubmitRequested{Request: 2, Job: testJob("late", 1)})
		reply := takeEffects[Reply](d)[0]
		Expect(reply.Err.Code).To(Equal("not-owner"))
		Expect(reply.Err.Verdict).To(Equal(classifier.NotRun))
		d.feed(ShardLost{Shard: "bne-1", Epoch: 1})
		Expect(takeEffects[Reply](d)[0].Err.Verdict).To(Equal(classifier.MayHaveRun))
		d.advance(2 * time.Minute)
		Expect(takeEffects[ClaimShard](d)).To(BeEmpty())
	})
})

var _ = Describe("a snapshot", func() {
	It("holds what the records hold", func() {
		d := newHarness("w1")
		d.feed(SubmitRequested{Request: 1, Job: testJob("menu", 6)})
		d.feed(KeyClaimRequested{Request: 2, Shard: "bne-1", Key: "k", Owner: "o"})
		records := d.answerAppends()
		d.minSnapshotRecords = 0
		h := d.shards["bne-1"]
		h.journal.recordsSinceSnapshot = 1000
		h.maybeSnapshot()
		d.effects = append(d.effects, d.State.effects...)
		saved := takeEffects[SaveSnapshot](d)[0]

		a, b := newSuccessor(records, "w1"), newSuccessor(nil, "w1")
		b.feed(ShardClaimed{Shard: "bne-1", Epoch: 3, Snapshot: saved.Data})
		Expect(b.shards["bne-1"].save()).To(Equal(a.shards["bne-1"].save()))
	})

	It("that can't be read makes the daemon give the shard up", func() {
		s := newSuccessor(nil, "w1")
		s.feed(ShardClaimed{Shard: "bne-1", Epoch: 3, Snapshot: []byte("{")})
		Expect(takeEffects[ReleaseShard](s)).To(ContainElement(ReleaseShard{Shard: "bne-1", Epoch: 3}))
	})
})
