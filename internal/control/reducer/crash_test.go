package reducer

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
)

// TestBatchTaskCrashesWorkerAfterWorker has a task whose workers lose it with each start,
// as they do when they crash.
func TestBatchTaskCrashesWorkerAfterWorker(t *testing.T) {
	gomega.RegisterTestingT(t)
	h := newHarness("w1", "w2")
	h.feed(SubmitRequested{Request: 1, Job: testJob("menu", 1)})
	h.answerAppends()
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
	h := newHarness("w1", "w2")
	h.feed(SubmitRequested{Request: 1, Job: testJob("menu", 1)})
	records := h.answerAppends()
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
	h := newHarness("w1")
	h.feed(SubmitRequested{Request: 1, Job: testJob("menu", 2)})
	h.answerAppends()
	h.loseRuns(4)
	h.advance(time.Second)
	h.answerAppends()
	g.Expect(h.answerStarts()).To(gomega.HaveLen(1))
	h.answerAppends()
	h.advance(time.Second)
	h.answerAppends()
	g.Expect(h.answerStarts()).To(gomega.BeEmpty())
}
