package reducer

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/placer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
)

// newSuccessor returns a State that claims the shard with these records under the next
// epoch.
func newSuccessor(records []describer.Record, workers ...string) *harness {
	return newOwner(startTime.Add(time.Hour), 2, records, workers...)
}

// newOwner returns a State that claims the shard with these records at a time.
func newOwner(now time.Time, epoch int64, records []describer.Record, workers ...string) *harness {
	h := &harness{State: New(testOptions(), Policies{Placement: placer.FirstFit{}})}
	h.feed(Tick{Now: now})
	h.feed(HostsReceived{Hosts: testHosts(workers...)})
	h.feed(ConfigurationReceived{Configuration: testConfiguration()})
	h.feed(ShardClaimed{Shard: "bne-1", Epoch: epoch, Records: records})
	return h
}

var _ = Describe("a new owner", func() {
	It("keeps a started task until an inventory under its epoch doesn't list it", func() {
		h := newHarness("w1")
		h.feed(SubmitRequested{Request: 1, Job: testJob("menu", 1)})
		records := h.answerAppends()

		s := newSuccessor(records, "w1")
		s.advance(time.Second)
		Expect(takeEffects[StartTask](s)).To(BeEmpty())
		s.answerSyncs(runner.SyncResult{})
		Expect(recordKinds(s.answerAppends())).To(Equal([]describer.RecordKind{describer.TaskReleased, describer.TaskStarted}))
		Expect(takeEffects[StartTask](s)).To(HaveLen(1))
	})

	It("adopts a run that its worker still has", func() {
		h := newHarness("w1")
		h.feed(SubmitRequested{Request: 1, Job: testJob("menu", 1)})
		records := h.answerAppends()
		run := startedRun(h.answerStarts()[0])

		s := newSuccessor(records, "w1")
		s.answerSyncs(runner.SyncResult{Running: []runner.ActiveRun{{Run: run}}})
		Expect(takeEffects[SyncWorker](s)[0].Sync.Renew).To(Equal([]runner.Run{run}))
		s.advance(time.Second)
		Expect(takeEffects[AppendRecords](s)).To(BeEmpty())
	})

	It("restarts a task of an unreachable worker once the former owner's renewals must have ended", func() {
		h := newHarness("w1")
		h.feed(SubmitRequested{Request: 1, Job: testJob("menu", 1)})
		records := h.answerAppends()

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
	It("tells the new owner how long the leases on an unreachable worker last", func() {
		h := newHarness("w1")
		h.feed(SubmitRequested{Request: 1, Job: testJob("menu", 1)})
		records := h.answerAppends()
		h.feed(StopRequested{})
		last := h.answerAppends()
		Expect(recordKinds(last)).To(Equal([]describer.RecordKind{describer.ShardReleased}))
		Expect(takeEffects[ReleaseShard](h)).To(HaveLen(1))

		s := newSuccessor(append(records, last...), "w1")
		for range 30 + 5 + 3 { // lease, margin and the interval between syncs, in seconds
			s.advance(time.Second)
			for range takeEffects[SyncWorker](s) {
				s.feed(WorkerSyncFailed{Shard: "bne-1", Epoch: 2, Worker: "w1"})
			}
		}
		Expect(recordKinds(s.answerAppends())).To(ContainElement(describer.TaskReleased))
	})

	It("is ignored if the former owner did not record it", func() {
		h := newHarness("w1")
		h.feed(StopRequested{})
		last := h.answerAppends()
		s := &harness{State: New(testOptions(), Policies{Placement: placer.FirstFit{}})}
		s.feed(Tick{Now: startTime})
		s.feed(ConfigurationReceived{Configuration: testConfiguration()})
		s.feed(ShardClaimed{Shard: "bne-1", Epoch: 3, Records: last})
		Expect(s.sortedShards[0].formerLeasesEnd()).To(Equal(startTime.Add(time.Minute + 30*time.Second)))
	})
})

var _ = Describe("a drain", func() {
	It("stops runs with a checkpoint and ends in a restore", func() {
		h := newHarness("w1", "w2")
		h.feed(SubmitRequested{Request: 1, Job: testJob("menu", 1)})
		h.answerAppends()
		Expect(h.answerStarts()[0].Worker).To(Equal("w1"))

		c := testConfiguration()
		c.Revision = 2
		c.Drains = []describer.Drain{{
			ID: "d1", Workers: []string{"w1"}, State: describer.Draining, Until: h.now.Add(time.Minute),
		}}
		h.feed(ConfigurationReceived{Configuration: c})
		h.advance(2 * time.Second)
		tables := takeEffects[PublishRoutingTable](h)
		Expect(tables[len(tables)-1].Table.Services["menu-desk"][0].Closed).To(BeTrue())
		stop := takeEffects[StopTask](h)[0]
		Expect(stop.Stop.Checkpoint).To(BeTrue())
		h.feed(StopAnswered{
			Shard: "bne-1", Epoch: 1, Worker: "w1", Task: stop.Stop.Task, Token: stop.Stop.Token,
			Stopped: runner.StopResult{Started: true, Checkpoint: "half"},
		})
		records := h.answerAppends()
		Expect(records[0].DrainedFrom).To(Equal("w1"))
		again := h.answerStarts()
		Expect(again[0].Worker).To(Equal("w2"))
		Expect(again[0].Start.Checkpoint).To(Equal("half"))

		h.advance(time.Minute)
		h.answerSyncs(runner.SyncResult{Running: []runner.ActiveRun{{Run: startedRun(again[0])}}})
		proposals := takeEffects[ProposeDrainUpdate](h)
		Expect(proposals[0]).To(Equal(ProposeDrainUpdate{Drain: "d1"}))
		Expect(len(proposals)).To(BeNumerically("<=", 2))

		c.Revision = 3
		c.Drains = []describer.Drain{{ID: "d1", Workers: []string{"w1"}, State: describer.Restoring}}
		h.feed(ConfigurationReceived{Configuration: c})
		for range 60 {
			h.advance(5 * time.Second)
			h.answerSyncs(runner.SyncResult{Running: []runner.ActiveRun{{Run: startedRun(again[0])}}})
		}
		Expect(takeEffects[ProposeDrainUpdate](h)).To(BeEmpty(), "the end of the restore isn't durable")
		Expect(recordKinds(h.answerAppends())).To(ContainElement(describer.DrainRestored))
		h.advance(12 * time.Second)
		Expect(len(takeEffects[ProposeDrainUpdate](h))).To(BeNumerically(">", 1), "the proposal is repeated until the configuration shows it")
		c.Revision = 4
		c.Drains = nil
		h.feed(ConfigurationReceived{Configuration: c})
		h.advance(12 * time.Second)
		Expect(takeEffects[ProposeDrainUpdate](h)).To(BeEmpty())
	})
})

var _ = Describe("a restore in progress", func() {
	It("is detected while a drain of one of the shard's workers is restoring", func() {
		h := newHarness("w1")
		c := testConfiguration()
		c.Revision = 2
		c.Drains = []describer.Drain{{ID: "d1", Workers: []string{"w1"}, State: describer.Restoring}}
		h.feed(ConfigurationReceived{Configuration: c})
		Expect(h.shards["bne-1"].hasRestoringWorker()).To(BeTrue())
		c.Revision, c.Drains = 3, nil
		h.feed(ConfigurationReceived{Configuration: c})
		Expect(h.shards["bne-1"].hasRestoringWorker()).To(BeFalse())
	})
})
