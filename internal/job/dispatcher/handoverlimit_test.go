package dispatcher

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/control/isolator"
	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// TestManyExhaustedTasksOfAPartReturn guards against commits that stop for ever, and acknowledgements
// with them: the tasks of a part that a crash has exhausted return to the home of their job all at
// once, and their records don't fit into one commit.
func TestManyExhaustedTasksOfAPartReturn(t *testing.T) {
	const tasks = maxCommitEntries
	g := NewWithT(t)
	job := oneStep(tasks, func(s *specifier.Step) { s.Needs = resources(100) })
	h := newHarness(departureQueue, "w1")
	var lost []recorder.Loss
	for l := (isolator.Losses{}); !l.IsExhausted(); l.Total++ {
		lost = append(lost, recorder.Loss{Run: int64(l.Total + 1), Worker: "gone"})
	}
	for i := range tasks {
		h.feed(TaskArrived{
			Task:     specifier.TaskID{Job: job.ID, Index: i},
			Transfer: recorder.Transfer{Job: job, Home: "other", Hop: 1, LastRun: 100, Losses: lost},
		})
	}
	returned := make(map[specifier.TaskID]bool)
	for range 20 {
		h.advance(time.Second)
		for _, commit := range takeEffects[Commit](h) {
			entries := 0
			for _, change := range commit.Changes {
				entries += jobEntries + len(change.Handovers)
				for _, handover := range change.Handovers {
					returned[handover.Task] = true
				}
			}
			g.Expect(entries).To(BeNumerically("<=", maxCommitEntries))
		}
	}
	g.Expect(returned).To(HaveLen(tasks))
}
