package reducer

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/platform/runner"
)

// TestStatusReplyHasOnlyDurableEnds guards against a caller who is told that a job is done while the
// store doesn't have the end of its last task: the request waits for the end of another one, and is
// answered when that is durable. The next owner shows the job as running again.
func TestStatusReplyHasOnlyDurableEnds(t *testing.T) {
	gomega.RegisterTestingT(t)
	h, _ := newJobHarness(2, "w1")
	starts := h.answerStarts()
	gomega.Expect(starts).To(gomega.HaveLen(2))
	h.answerAppends()
	takeEffects[Reply](h)

	var ended runner.SyncResult
	var appends []AppendRecords
	for i, start := range starts {
		ended.Finished = append(ended.Finished, runner.FinishedRun{Run: startedRun(start), OK: true, Result: json.RawMessage(`"ok"`)})
		h.advance(6 * time.Second)
		h.answerSyncs(runner.SyncResult{Finished: ended.Finished, Running: activeRuns(starts[i+1:])})
		h.advance(250 * time.Millisecond)
		appends = append(appends, takeEffects[AppendRecords](h)...)
		gomega.Expect(appends).To(gomega.HaveLen(i + 1))
		if i == 0 {
			h.feed(JobStatusRequested{Request: 2, Job: "menu"})
		}
	}
	gomega.Expect(takeEffects[Reply](h)).To(gomega.BeEmpty(), "no end is durable")

	h.feed(RecordsAppended{Shard: appends[0].Shard, Epoch: appends[0].Epoch, Batch: appends[0].Batch})
	replies := takeEffects[Reply](h)
	gomega.Expect(replies).To(gomega.HaveLen(1))
	gomega.Expect(replies[0].Job.State).To(gomega.Equal("running"), "the end of the second task isn't durable")
	gomega.Expect(replies[0].Job.Done).To(gomega.Equal(1))

	h.feed(RecordsAppended{Shard: appends[1].Shard, Epoch: appends[1].Epoch, Batch: appends[1].Batch})
	gomega.Expect(h.jobStatus("menu").State).To(gomega.Equal("done"))
}

// activeRuns returns the runs of starts as a worker lists them.
func activeRuns(starts []StartTask) []runner.ActiveRun {
	var out []runner.ActiveRun
	for _, start := range starts {
		out = append(out, runner.ActiveRun{Run: startedRun(start)})
	}
	return out
}
