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
func (d *desk) status(job string) *JobStatus {
	taken[Reply](d)
	d.do(JobStatusRequested{Request: 99, Job: job})
	replies := taken[Reply](d)
	Expect(replies).To(HaveLen(1))
	Expect(replies[0].Err).To(BeNil())
	return replies[0].Job
}

// fail lets the run end with a failure.
func (d *desk) fail(s StartTask) {
	d.wait(6 * time.Second)
	for _, c := range taken[SyncWorker](d) {
		answer := WorkerSynced{Shard: c.Sync.Shard, Epoch: c.Sync.Epoch, Worker: c.Worker, SentAt: d.now}
		if c.Worker == s.Worker {
			answer.Synced.Finished = []runner.FinishedRun{{Run: runOf(s), Reason: "exit 1"}}
		}
		d.do(answer)
	}
}

var _ = Describe("placement", func() {
	It("takes urgent tasks first, then those close to their deadline, then by share", func() {
		d := newDesk("w1")
		d.do(StoreChecked{Reachable: true})
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
		d.do(Tick{Now: d.now.Add(time.Second)})
		var order []string
		for _, r := range d.durable() {
			order = append(order, r.Task.Job)
		}
		Expect(order).To(Equal([]string{"urgent", "soon", "other", "plain-1"}))
	})

	It("keeps a team within its quota", func() {
		d := newDesk("w1")
		c := testConfiguration()
		c.Revision = 2
		c.Teams[0].Quota = describer.Resources{CPU: 2000}
		d.do(ConfigurationReceived{Configuration: c})
		d.do(SubmitRequested{Request: 1, Job: testJob("menu", 4)})
		d.durable()
		Expect(d.started()).To(HaveLen(2))
		Expect(d.status("menu").Reason).To(Equal("the team's quota is used up"))
	})

	It("sets a task aside that no worker can hold, and says why", func() {
		d := newDesk("w1")
		job := testJob("huge", 1)
		job.Declared.CPU = 1_000_000
		d.do(SubmitRequested{Request: 1, Job: job})
		d.durable()
		status := d.status("huge")
		Expect(status.State).To(Equal("failed"))
		Expect(status.Reason).To(Equal("larger than every worker of its shard"))
	})

	It("makes room for an urgent task by throttling", func() {
		d := newDesk("w1")
		d.do(SubmitRequested{Request: 1, Job: testJob("menu", 4)})
		d.durable()
		starts := d.started()
		var running []runner.ActiveRun
		for _, s := range starts {
			running = append(running, runner.ActiveRun{Run: runOf(s), Granted: s.Start.Granted})
		}
		d.wait(6 * time.Second)
		d.inventory(runner.SyncResult{Running: running})
		urgent := testJob("urgent", 1)
		urgent.Priority = describer.Urgent
		d.do(SubmitRequested{Request: 2, Job: urgent})
		d.durable()
		throttles := taken[ThrottleTask](d)
		Expect(throttles).NotTo(BeEmpty())
		Expect(taken[StartTask](d)).To(BeEmpty(), "the grants in force are still the old ones")
		for i := range running {
			running[i].Granted.CPU = 100
		}
		d.wait(6 * time.Second)
		d.inventory(runner.SyncResult{Running: running})
		Expect(d.durable()).To(BeEmpty(), "a low grant may be older than a growth on its way")
		for i := range running {
			for _, t := range throttles {
				if t.Throttle.Task == running[i].Task {
					running[i].Granted.CPU = t.Throttle.CPU
					running[i].Order = describer.Token{Epoch: t.Throttle.Epoch, Sequence: t.Throttle.Sequence}
				}
			}
		}
		d.wait(6 * time.Second)
		d.inventory(runner.SyncResult{Running: running})
		d.durable()
		Expect(d.started()[0].Start.Task.Job).To(Equal("urgent"))
	})

	It("books a growing grant before the worker hears of it", func() {
		d := newDesk("w1")
		d.do(SubmitRequested{Request: 1, Job: testJob("menu", 1)})
		d.durable()
		s := d.started()[0]
		busy := runner.SyncResult{Running: []runner.ActiveRun{{Run: runOf(s), Granted: s.Start.Granted, Used: s.Start.Granted}}}
		d.wait(20 * time.Second)
		d.inventory(busy)
		Expect(taken[ThrottleTask](d)).To(BeEmpty())
		records := d.durable()
		Expect(kinds(records)).To(Equal([]describer.RecordKind{describer.TaskResized}))
		throttles := taken[ThrottleTask](d)
		Expect(throttles).To(HaveLen(1))
		Expect(throttles[0].Throttle.CPU).To(Equal(records[0].Granted.CPU))
	})

	It("waits while the store is away, and goes on renewing", func() {
		d := newDesk("w1")
		d.do(SubmitRequested{Request: 1, Job: testJob("menu", 6)})
		d.durable()
		run := runOf(d.started()[0])
		d.do(StoreChecked{Reachable: false})
		d.do(Tick{Now: d.now.Add(6 * time.Second)})
		Expect(taken[SyncWorker](d)[0].Sync.Renew).To(ContainElement(run))
		d.do(WorkerSynced{Shard: "bne-1", Epoch: 1, Worker: "w1", SentAt: d.now})
		Expect(taken[StartTask](d)).To(BeEmpty())
		Expect(kinds(taken[AppendRecords](d)[0].Records)).NotTo(ContainElement(describer.TaskStarted))
	})
})

var _ = Describe("failures", func() {
	It("set a task aside after three workers", func() {
		d := newDesk("w1", "w2", "w3", "w4")
		d.do(SubmitRequested{Request: 1, Job: testJob("broken", 1)})
		used := map[string]bool{}
		for range 3 {
			d.durable()
			s := d.started()
			Expect(s).To(HaveLen(1))
			used[s[0].Worker] = true
			d.fail(s[0])
			d.durable()
			d.wait(10 * time.Second)
		}
		Expect(used).To(HaveLen(3))
		status := d.status("broken")
		Expect(status.State).To(Equal("failed"))
		Expect(status.Reason).To(Equal("failed 3 times on 3 workers: exit 1"))
	})

	It("set a worker aside that fails several jobs, until a probe succeeds", func() {
		d := newDesk("w1")
		for i, id := range []string{"a", "b", "c"} {
			job := testJob(id, 1)
			job.Class = id
			d.do(SubmitRequested{Request: RequestID(i + 1), Job: job})
			d.durable()
			for _, s := range d.started() {
				if s.Start.Task.Job == id {
					d.fail(s)
				}
			}
			d.durable()
		}
		d.started()
		d.wait(10 * time.Second)
		Expect(taken[StartTask](d)).To(BeEmpty())
		d.do(StatusRequested{Request: 9})
		replies := taken[Reply](d)
		Expect(replies[len(replies)-1].Status.Workers[0].ClosedReason).To(Equal("failed 3 jobs in a row, the last with: exit 1"))
		for range 62 {
			d.wait(5 * time.Second)
			d.inventory(runner.SyncResult{})
		}
		d.durable()
		probe := d.started()
		Expect(probe).To(HaveLen(1))
		d.inventory(runner.SyncResult{Running: []runner.ActiveRun{{Run: runOf(probe[0])}}})
		d.wait(6 * time.Second)
		d.inventory(runner.SyncResult{Finished: []runner.FinishedRun{{Run: runOf(probe[0]), OK: true}}})
		Expect(kinds(d.durable())).To(ContainElement(describer.WorkerReinstated))
	})

	It("of a worker to answer don't lose a result that comes before a new start", func() {
		d := newDesk("w1")
		d.do(SubmitRequested{Request: 1, Job: testJob("menu", 1)})
		d.durable()
		run := runOf(d.started()[0])
		var records []describer.Record
		for range 50 {
			d.wait(time.Second)
			for _, c := range taken[SyncWorker](d) {
				d.do(WorkerSyncFailed{Shard: "bne-1", Epoch: 1, Worker: c.Worker})
			}
			records = append(records, d.durable()...)
		}
		Expect(kinds(records)).To(Equal([]describer.RecordKind{describer.TaskReleased}))
		d.wait(6 * time.Second)
		d.inventory(runner.SyncResult{Finished: []runner.FinishedRun{{Run: run, OK: true}}})
		Expect(kinds(d.durable())).To(Equal([]describer.RecordKind{describer.TaskFinished}))
		Expect(d.status("menu").State).To(Equal("done"))
	})

	It("leave a stale result without effect", func() {
		d := newDesk("w1")
		d.do(SubmitRequested{Request: 1, Job: testJob("menu", 1)})
		d.durable()
		run := runOf(d.started()[0])
		run.Token.Sequence += 7
		h := d.shards["bne-1"]
		h.apply(describer.Record{Kind: describer.TaskFinished, Task: run.Task, Token: run.Token})
		Expect(h.view.task(run.Task).state).To(Equal(describer.Started))
	})
})

var _ = Describe("a planned stop", func() {
	It("starts nothing more and releases the shard after its records are sent", func() {
		d := newDesk("w1")
		d.do(SubmitRequested{Request: 1, Job: testJob("menu", 1)})
		d.do(StopRequested{})
		Expect(taken[ReleaseShard](d)).To(HaveLen(1))
		d.do(SubmitRequested{Request: 2, Job: testJob("late", 1)})
		reply := taken[Reply](d)[0]
		Expect(reply.Err.Code).To(Equal("not-owner"))
		Expect(reply.Err.Verdict).To(Equal(classifier.NotRun))
		d.do(ShardLost{Shard: "bne-1", Epoch: 1})
		Expect(taken[Reply](d)[0].Err.Verdict).To(Equal(classifier.MayHaveRun))
		d.wait(2 * time.Minute)
		Expect(taken[ClaimShard](d)).To(BeEmpty())
	})
})

var _ = Describe("a snapshot", func() {
	It("holds what the records hold", func() {
		d := newDesk("w1")
		d.do(SubmitRequested{Request: 1, Job: testJob("menu", 6)})
		d.do(KeyClaimRequested{Request: 2, Shard: "bne-1", Key: "k", Owner: "o"})
		records := d.durable()
		d.minSnapshotRecords = 0
		h := d.shards["bne-1"]
		h.journal.recordsSinceSnapshot = 1000
		h.maybeSnapshot()
		d.effects = append(d.effects, d.State.effects...)
		saved := taken[SaveSnapshot](d)[0]

		a, b := successor(records, "w1"), successor(nil, "w1")
		b.do(ShardClaimed{Shard: "bne-1", Epoch: 3, Snapshot: saved.Data})
		Expect(b.shards["bne-1"].save()).To(Equal(a.shards["bne-1"].save()))
	})

	It("that can't be read makes the daemon give the shard up", func() {
		s := successor(nil, "w1")
		s.do(ShardClaimed{Shard: "bne-1", Epoch: 3, Snapshot: []byte("{")})
		Expect(taken[ReleaseShard](s)).To(ContainElement(ReleaseShard{Shard: "bne-1", Epoch: 3}))
	})
})
