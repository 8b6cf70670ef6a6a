package dispatcher

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// TestAcknowledgementsOfACommitAreInOrder guards against effects that differ between two replays of
// the same events: a commit acknowledges ends of several workers.
func TestAcknowledgementsOfACommitAreInOrder(t *testing.T) {
	g := NewWithT(t)
	var ids []string
	for i := range 12 {
		ids = append(ids, fmt.Sprintf("w%02d", i))
	}
	h := newHarness(departureQueue, ids...)
	h.feed(JobArrived{Job: oneStep(len(ids), func(s *specifier.Step) { s.MaxPerWorker = 1 })})
	starts := takeEffects[StartRun](h)
	g.Expect(starts).To(HaveLen(len(ids)))
	for _, start := range starts {
		h.confirm(start)
	}
	h.advance(time.Second)
	for _, start := range starts {
		h.listEnds(start.Worker.ID, nil, specifier.End{Task: start.Task, Run: start.Run, Outcome: specifier.OutcomeDone})
	}
	takeEffects[Log](h)
	h.advance(time.Second)
	h.advance(time.Second)
	var acknowledged []string
	for _, line := range takeEffects[Log](h) {
		if line.Message == "ends acknowledged" {
			acknowledged = append(acknowledged, line.Worker)
		}
	}
	g.Expect(acknowledged).To(HaveLen(len(ids)))
	g.Expect(slices.IsSorted(acknowledged)).To(BeTrue(), "%v", acknowledged)
}
