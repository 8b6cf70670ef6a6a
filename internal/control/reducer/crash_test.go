package reducer

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
)

// newJobHarness returns a harness that has accepted a job of this many tasks, and the records
// that the job was accepted with.
func newJobHarness(tasks int, workers ...string) (*harness, []describer.Record) {
	h := newHarness(workers...)
	h.feed(SubmitRequested{Request: 1, Job: testJob("menu", tasks)})
	return h, h.answerAppends()
}

// TestBatchTaskCrashesWorkerAfterWorker has a task whose workers lose it with each start,
// as they do when they crash.
func TestBatchTaskCrashesWorkerAfterWorker(t *testing.T) {
	gomega.RegisterTestingT(t)
	h, _ := newJobHarness(1, "w1", "w2")
	starts := 0
	for range 40 {
		starts += len(h.answerStarts())
		h.answerAppends()
		h.advance(time.Second)
		h.answerSyncs(runner.SyncResult{})
		h.answerAppends()
		if starts > 5 {
			t.Fatalf("started %d times, though no worker has kept it", starts)
		}
	}
	if starts == 0 {
		t.Fatal("never started")
	}
}

// loseRuns answers starts, and then syncs without any run, until n runs are recorded as
// released. It returns the records.
func (h *harness) loseRuns(n int) []describer.Record {
	var records []describer.Record
	for countReleased(records) < n {
		h.answerStarts()
		h.advance(time.Second)
		h.answerSyncs(runner.SyncResult{})
		records = append(records, h.answerAppends()...)
	}
	return records
}

func countReleased(records []describer.Record) int {
	n := 0
	for _, r := range records {
		if r.Kind == describer.TaskReleased {
			n++
		}
	}
	return n
}

func TestBatchCrashCountSurvivesOwner(t *testing.T) {
	gomega.RegisterTestingT(t)
	h, records := newJobHarness(1, "w1", "w2")
	records = append(records, h.loseRuns(1)...)
	next := newSuccessor(records, "w1", "w2")
	next.answerSyncs(runner.SyncResult{})
	next.answerAppends()
	starts := 0
	for range 30 {
		starts += len(next.answerStarts())
		next.answerAppends()
		next.advance(time.Second)
		next.answerSyncs(runner.SyncResult{})
		next.answerAppends()
	}
	if starts != 1 {
		t.Errorf("started %d times by the second owner, want once", starts)
	}
}

// TestSoundBatchTaskBesideDeadlyOne has two tasks that are lost together twice: from then
// on they run one at a time.
func TestSoundBatchTaskBesideDeadlyOne(t *testing.T) {
	g := gomega.NewWithT(t)
	gomega.RegisterTestingT(t)
	h, _ := newJobHarness(2, "w1")
	h.loseRuns(4)
	h.advance(time.Second)
	h.answerAppends()
	g.Expect(h.answerStarts()).To(gomega.HaveLen(1))
	h.answerAppends()
	h.advance(time.Second)
	h.answerAppends()
	g.Expect(h.answerStarts()).To(gomega.BeEmpty())
}

// crashUntilAbandoned answers starts, and then calls lose until nothing has been started for
// 30 rounds. It returns the number of starts.
func (h *harness) crashUntilAbandoned(lose func()) int {
	starts := 0
	for idle := 0; idle < 30 && starts < 20; idle++ {
		n := len(h.answerStarts())
		if n > 0 {
			idle = 0
		}
		starts += n
		lose()
		h.answerAppends()
	}
	return starts
}

// TestInvalidBatchIsolations guards against a batch task that is started without limit
// because none of its losses counts as isolated: its owner ends after each crash.
func TestInvalidBatchIsolations(t *testing.T) {
	for _, wait := range []time.Duration{time.Second, 3 * time.Minute} {
		t.Run(wait.String(), func(t *testing.T) {
			gomega.RegisterTestingT(t)
			h, records := newJobHarness(1, "w1", "w2")
			starts := 0
			for epoch := int64(2); epoch < 20; epoch++ {
				starts += len(h.answerStarts())
				h = newOwner(h.now.Add(wait), epoch, records, "w1", "w2")
				h.answerSyncs(runner.SyncResult{})
				records = append(records, h.answerAppends()...)
				h.advance(time.Second)
				records = append(records, h.answerAppends()...)
			}
			if starts > 5 {
				t.Errorf("started %d times", starts)
			}
		})
	}
}

// TestBatchTaskCrashesWhileItIsStopped guards against a crash that isn't counted because the
// run was being stopped and the restarted worker, which doesn't know it, answers the stop.
func TestBatchTaskCrashesWhileItIsStopped(t *testing.T) {
	gomega.RegisterTestingT(t)
	h, _ := newJobHarness(1, "w1", "w2")
	starts := h.crashUntilAbandoned(func() {
		sh := h.shards["bne-1"]
		if tk := sh.view.task(describer.TaskID{Job: "menu"}); tk.state == describer.Started && tk.startPhase == startConfirmed {
			sh.stopRun(tk, stopRequest{reason: reasonEvicted})
			h.feed(StopAnswered{Shard: "bne-1", Epoch: 1, Worker: tk.worker, Task: tk.id(), Token: tk.token})
		}
		h.advance(time.Second)
	})
	if starts == 0 || starts > 5 {
		t.Errorf("started %d times", starts)
	}
}

// TestBatchTaskCrashesLeavingWorkers guards against a crash that isn't counted because the
// worker was leaving, although it has answered after it.
func TestBatchTaskCrashesLeavingWorkers(t *testing.T) {
	gomega.RegisterTestingT(t)
	h, _ := newJobHarness(1, "w1", "w2")
	setState := func(state describer.HostState) {
		hosts := testHosts("w1", "w2")
		for i := range hosts {
			hosts[i].State = state
		}
		h.feed(HostsReceived{Hosts: hosts})
	}
	starts := h.crashUntilAbandoned(func() {
		setState(describer.Leaving)
		h.advance(time.Second)
		h.answerSyncs(runner.SyncResult{})
		h.answerAppends()
		setState(describer.Live)
		h.advance(time.Second)
	})
	if starts == 0 || starts > 5 {
		t.Errorf("started %d times", starts)
	}
}

// TestProvenBatchRunsClearLosses guards against abandoning a task that runs for long and
// loses a worker now and then.
func TestProvenBatchRunsClearLosses(t *testing.T) {
	tk := &task{}
	for range 10 {
		tk.applyLoss(describer.LostBeside)
		tk.applyLoss(describer.LostBeside)
		if tk.countLosses().IsExhausted() {
			t.Fatal("abandoned")
		}
		tk.applyLoss(describer.RunProven)
	}
}
