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
func newSuccessor(records []describer.Record, workers ...string) *harness {
	h := &harness{State: New(testOptions(), Policies{Placement: placer.FirstFit{}})}
	h.feed(Tick{Now: start.Add(time.Hour)})
	h.feed(HostsReceived{Hosts: testHosts(workers...)})
	h.feed(ConfigurationReceived{Configuration: testConfiguration()})
	h.feed(ShardClaimed{Shard: "bne-1", Epoch: 2, Records: records})
	return h
}

var _ = Describe("a successor", func() {
	It("keeps a started task until an inventory under its epoch lacks it", func() {
		d := newHarness("w1")
		d.feed(SubmitRequested{Request: 1, Job: testJob("menu", 1)})
		records := d.answerAppends()

		s := newSuccessor(records, "w1")
		s.advance(time.Second)
		Expect(takeEffects[StartTask](s)).To(BeEmpty())
		s.answerSyncs(runner.Synced{})
		Expect(recordKinds(s.answerAppends())).To(Equal([]describer.RecordKind{describer.TaskReleased, describer.TaskStarted}))
		Expect(takeEffects[StartTask](s)).To(HaveLen(1))
	})

	It("adopts a run that its worker still has", func() {
		d := newHarness("w1")
		d.feed(SubmitRequested{Request: 1, Job: testJob("menu", 1)})
		records := d.answerAppends()
		run := startedRun(d.answerStarts()[0])

		s := newSuccessor(records, "w1")
		s.answerSyncs(runner.Synced{Running: []runner.Running{{Run: run}}})
		Expect(takeEffects[SyncWorker](s)[0].Sync.Renew).To(Equal([]runner.Run{run}))
		s.advance(time.Second)
		Expect(takeEffects[AppendRecords](s)).To(BeEmpty())
	})

	It("restarts a task of a worker that it can't reach once its predecessor can't have renewed", func() {
		d := newHarness("w1")
		d.feed(SubmitRequested{Request: 1, Job: testJob("menu", 1)})
		records := d.answerAppends()

		s := newSuccessor(records, "w1", "w2")
		for _, c := range takeEffects[SyncWorker](s) {
			if c.Worker == "w2" {
				s.feed(WorkerSynced{Shard: "bne-1", Epoch: 2, Worker: "w2", SentAt: s.now})
			} else {
				s.feed(WorkerSyncFailed{Shard: "bne-1", Epoch: 2, Worker: "w1"})
			}
		}
		fail := func() {
			s.advance(time.Second)
			for _, c := range takeEffects[SyncWorker](s) {
				if c.Worker == "w1" {
					s.feed(WorkerSyncFailed{Shard: "bne-1", Epoch: 2, Worker: c.Worker})
				} else {
					s.feed(WorkerSynced{Shard: "bne-1", Epoch: 2, Worker: c.Worker, SentAt: s.now})
				}
			}
		}
		for range 93 {
			fail()
		}
		Expect(takeEffects[AppendRecords](s)).To(BeEmpty())
		for range 7 {
			fail()
		}
		Expect(s.answerAppends()[0].Kind).To(Equal(describer.TaskReleased))
	})
})

var _ = Describe("a hand-over", func() {
	It("tells the successor how long the leases last at a worker that it can't reach", func() {
		d := newHarness("w1")
		d.feed(SubmitRequested{Request: 1, Job: testJob("menu", 1)})
		records := d.answerAppends()
		d.feed(StopRequested{})
		last := d.answerAppends()
		Expect(recordKinds(last)).To(Equal([]describer.RecordKind{describer.ShardReleased}))
		Expect(takeEffects[ReleaseShard](d)).To(HaveLen(1))

		s := newSuccessor(append(records, last...), "w1")
		for range 30 + 5 + 3 { // lease, margin, and the interval between looks
			s.advance(time.Second)
			for range takeEffects[SyncWorker](s) {
				s.feed(WorkerSyncFailed{Shard: "bne-1", Epoch: 2, Worker: "w1"})
			}
		}
		Expect(recordKinds(s.answerAppends())).To(ContainElement(describer.TaskReleased))
	})

	It("is not taken as one of an owner before the last", func() {
		d := newHarness("w1")
		d.feed(StopRequested{})
		last := d.answerAppends()
		s := &harness{State: New(testOptions(), Policies{Placement: placer.FirstFit{}})}
		s.feed(Tick{Now: start})
		s.feed(ConfigurationReceived{Configuration: testConfiguration()})
		s.feed(ShardClaimed{Shard: "bne-1", Epoch: 3, Records: last})
		Expect(s.sortedShards[0].formerLeasesEnd()).To(Equal(start.Add(time.Minute + 30*time.Second)))
	})
})

var _ = Describe("a drain", func() {
	It("moves work off with a checkpoint and ends in a restore", func() {
		d := newHarness("w1", "w2")
		d.feed(SubmitRequested{Request: 1, Job: testJob("menu", 1)})
		d.answerAppends()
		Expect(d.answerStarts()[0].Worker).To(Equal("w1"))

		c := testConfiguration()
		c.Revision = 2
		c.Drains = []describer.Drain{{
			ID: "d1", Workers: []string{"w1"}, State: describer.Draining, Until: d.now.Add(time.Minute),
		}}
		d.feed(ConfigurationReceived{Configuration: c})
		d.advance(2 * time.Second)
		tables := takeEffects[PublishRoutingTable](d)
		Expect(tables[len(tables)-1].Table.Services["menu-desk"][0].Closed).To(BeTrue())
		stop := takeEffects[StopTask](d)[0]
		Expect(stop.Stop.Checkpoint).To(BeTrue())
		d.feed(StopAnswered{
			Shard: "bne-1", Epoch: 1, Worker: "w1", Task: stop.Stop.Task, Token: stop.Stop.Token,
			Stopped: runner.Stopped{Ran: true, Checkpoint: "half"},
		})
		records := d.answerAppends()
		Expect(records[0].DrainedOff).To(Equal("w1"))
		again := d.answerStarts()
		Expect(again[0].Worker).To(Equal("w2"))
		Expect(again[0].Start.Checkpoint).To(Equal("half"))

		d.advance(time.Minute)
		d.answerSyncs(runner.Synced{Running: []runner.Running{{Run: startedRun(again[0])}}})
		proposals := takeEffects[ProposeDrainUpdate](d)
		Expect(proposals[0]).To(Equal(ProposeDrainUpdate{Drain: "d1"}))
		Expect(len(proposals)).To(BeNumerically("<=", 2))

		c.Revision = 3
		c.Drains = []describer.Drain{{ID: "d1", Workers: []string{"w1"}, State: describer.Restoring}}
		d.feed(ConfigurationReceived{Configuration: c})
		for range 60 {
			d.advance(5 * time.Second)
			d.answerSyncs(runner.Synced{Running: []runner.Running{{Run: startedRun(again[0])}}})
		}
		Expect(takeEffects[ProposeDrainUpdate](d)).To(BeEmpty(), "its end isn't durable")
		Expect(recordKinds(d.answerAppends())).To(ContainElement(describer.DrainRestored))
		d.advance(12 * time.Second)
		Expect(len(takeEffects[ProposeDrainUpdate](d))).To(BeNumerically(">", 1), "it is repeated until the configuration shows it")
		c.Revision = 4
		c.Drains = nil
		d.feed(ConfigurationReceived{Configuration: c})
		d.advance(12 * time.Second)
		Expect(takeEffects[ProposeDrainUpdate](d)).To(BeEmpty())
	})
})

var _ = Describe("a restore under way", func() {
	It("is seen while a drain of its workers is restoring", func() {
		d := newHarness("w1")
		c := testConfiguration()
		c.Revision = 2
		c.Drains = []describer.Drain{{ID: "d1", Workers: []string{"w1"}, State: describer.Restoring}}
		d.feed(ConfigurationReceived{Configuration: c})
		Expect(d.shards["bne-1"].hasRestoringWorker()).To(BeTrue())
		c.Revision, c.Drains = 3, nil
		d.feed(ConfigurationReceived{Configuration: c})
		Expect(d.shards["bne-1"].hasRestoringWorker()).To(BeFalse())
	})
})
