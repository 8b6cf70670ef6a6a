package reducer

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/placer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
)

// successor replays the records in a new State under the next epoch.
func successor(records []describer.Record, workers ...string) *desk {
	d := &desk{State: New(testOptions(), Policies{Placement: placer.FirstFit{}})}
	d.do(Tick{Now: start.Add(time.Hour)})
	d.do(HostsReceived{Hosts: testHosts(workers...)})
	d.do(ConfigurationReceived{Configuration: testConfiguration()})
	d.do(ShardClaimed{Shard: "bne-1", Epoch: 2, Records: records})
	return d
}

var _ = Describe("a successor", func() {
	It("keeps a started task until an inventory under its epoch lacks it", func() {
		d := newDesk("w1")
		d.do(SubmitRequested{Request: 1, Job: testJob("menu", 1)})
		records := d.durable()

		s := successor(records, "w1")
		s.wait(time.Second)
		Expect(taken[StartTask](s)).To(BeEmpty())
		s.inventory(runner.SyncResult{})
		Expect(kinds(s.durable())).To(Equal([]describer.RecordKind{describer.TaskReleased, describer.TaskStarted}))
		Expect(taken[StartTask](s)).To(HaveLen(1))
	})

	It("adopts a run that its worker still has", func() {
		d := newDesk("w1")
		d.do(SubmitRequested{Request: 1, Job: testJob("menu", 1)})
		records := d.durable()
		run := runOf(d.started()[0])

		s := successor(records, "w1")
		s.inventory(runner.SyncResult{Running: []runner.ActiveRun{{Run: run}}})
		Expect(taken[SyncWorker](s)[0].Sync.Renew).To(Equal([]runner.Run{run}))
		s.wait(time.Second)
		Expect(taken[AppendRecords](s)).To(BeEmpty())
	})

	It("restarts a task of a worker that it can't reach once its predecessor can't have renewed", func() {
		d := newDesk("w1")
		d.do(SubmitRequested{Request: 1, Job: testJob("menu", 1)})
		records := d.durable()

		s := successor(records, "w1", "w2")
		for _, c := range taken[SyncWorker](s) {
			if c.Worker == "w2" {
				s.do(WorkerSynced{Shard: "bne-1", Epoch: 2, Worker: "w2", SentAt: s.now})
			} else {
				s.do(WorkerSyncFailed{Shard: "bne-1", Epoch: 2, Worker: "w1"})
			}
		}
		fail := func() {
			s.wait(time.Second)
			for _, c := range taken[SyncWorker](s) {
				if c.Worker == "w1" {
					s.do(WorkerSyncFailed{Shard: "bne-1", Epoch: 2, Worker: c.Worker})
				} else {
					s.do(WorkerSynced{Shard: "bne-1", Epoch: 2, Worker: c.Worker, SentAt: s.now})
				}
			}
		}
		for range 93 {
			fail()
		}
		Expect(taken[AppendRecords](s)).To(BeEmpty())
		for range 7 {
			fail()
		}
		Expect(s.durable()[0].Kind).To(Equal(describer.TaskReleased))
	})
})

var _ = Describe("a hand-over", func() {
	It("tells the successor how long the leases last at a worker that it can't reach", func() {
		d := newDesk("w1")
		d.do(SubmitRequested{Request: 1, Job: testJob("menu", 1)})
		records := d.durable()
		d.do(StopRequested{})
		last := d.durable()
		Expect(kinds(last)).To(Equal([]describer.RecordKind{describer.ShardReleased}))
		Expect(taken[ReleaseShard](d)).To(HaveLen(1))

		s := successor(append(records, last...), "w1")
		for range 30 + 5 + 3 { // lease, margin, and the interval between looks
			s.wait(time.Second)
			for range taken[SyncWorker](s) {
				s.do(WorkerSyncFailed{Shard: "bne-1", Epoch: 2, Worker: "w1"})
			}
		}
		Expect(kinds(s.durable())).To(ContainElement(describer.TaskReleased))
	})

	It("is not taken as one of an owner before the last", func() {
		d := newDesk("w1")
		d.do(StopRequested{})
		last := d.durable()
		s := &desk{State: New(testOptions(), Policies{Placement: placer.FirstFit{}})}
		s.do(Tick{Now: start})
		s.do(ConfigurationReceived{Configuration: testConfiguration()})
		s.do(ShardClaimed{Shard: "bne-1", Epoch: 3, Records: last})
		Expect(s.sortedShards[0].formerLeasesEnd()).To(Equal(start.Add(time.Minute + 30*time.Second)))
	})
})

var _ = Describe("a drain", func() {
	It("moves work off with a checkpoint and ends in a restore", func() {
		d := newDesk("w1", "w2")
		d.do(SubmitRequested{Request: 1, Job: testJob("menu", 1)})
		d.durable()
		Expect(d.started()[0].Worker).To(Equal("w1"))

		c := testConfiguration()
		c.Revision = 2
		c.Drains = []describer.Drain{{
			ID: "d1", Workers: []string{"w1"}, State: describer.Draining, Until: d.now.Add(time.Minute),
		}}
		d.do(ConfigurationReceived{Configuration: c})
		d.wait(2 * time.Second)
		tables := taken[PublishRoutingTable](d)
		Expect(tables[len(tables)-1].Table.Services["menu-desk"][0].Closed).To(BeTrue())
		stop := taken[StopTask](d)[0]
		Expect(stop.Stop.Checkpoint).To(BeTrue())
		d.do(StopAnswered{
			Shard: "bne-1", Epoch: 1, Worker: "w1", Task: stop.Stop.Task, Token: stop.Stop.Token,
			Stopped: runner.StopResult{Ran: true, Checkpoint: "half"},
		})
		records := d.durable()
		Expect(records[0].DrainedFrom).To(Equal("w1"))
		again := d.started()
		Expect(again[0].Worker).To(Equal("w2"))
		Expect(again[0].Start.Checkpoint).To(Equal("half"))

		d.wait(time.Minute)
		d.inventory(runner.SyncResult{Running: []runner.ActiveRun{{Run: runOf(again[0])}}})
		proposals := taken[ProposeDrainUpdate](d)
		Expect(proposals[0]).To(Equal(ProposeDrainUpdate{Drain: "d1"}))
		Expect(len(proposals)).To(BeNumerically("<=", 2))

		c.Revision = 3
		c.Drains = []describer.Drain{{ID: "d1", Workers: []string{"w1"}, State: describer.Restoring}}
		d.do(ConfigurationReceived{Configuration: c})
		for range 60 {
			d.wait(5 * time.Second)
			d.inventory(runner.SyncResult{Running: []runner.ActiveRun{{Run: runOf(again[0])}}})
		}
		Expect(taken[ProposeDrainUpdate](d)).To(BeEmpty(), "its end isn't durable")
		Expect(kinds(d.durable())).To(ContainElement(describer.DrainRestored))
		d.wait(12 * time.Second)
		Expect(len(taken[ProposeDrainUpdate](d))).To(BeNumerically(">", 1), "it is repeated until the configuration shows it")
		c.Revision = 4
		c.Drains = nil
		d.do(ConfigurationReceived{Configuration: c})
		d.wait(12 * time.Second)
		Expect(taken[ProposeDrainUpdate](d)).To(BeEmpty())
	})
})

var _ = Describe("a restore under way", func() {
	It("is seen while a drain of its workers is restoring", func() {
		d := newDesk("w1")
		c := testConfiguration()
		c.Revision = 2
		c.Drains = []describer.Drain{{ID: "d1", Workers: []string{"w1"}, State: describer.Restoring}}
		d.do(ConfigurationReceived{Configuration: c})
		Expect(d.shards["bne-1"].hasRestoringWorker()).To(BeTrue())
		c.Revision, c.Drains = 3, nil
		d.do(ConfigurationReceived{Configuration: c})
		Expect(d.shards["bne-1"].hasRestoringWorker()).To(BeFalse())
	})
})
