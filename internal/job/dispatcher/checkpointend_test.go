package dispatcher

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// TestEndIsAcknowledgedOnceItsCheckpointIsDurable guards against a task that begins anew although it
// has saved a checkpoint. The owner knows the checkpoint of an end from an earlier inventory, which
// makes nothing durable, and once the end is acknowledged nobody else does.
func TestEndIsAcknowledgedOnceItsCheckpointIsDurable(t *testing.T) {
	for name, test := range map[string]struct {
		outcome specifier.Outcome
		change  func(*specifier.Step)
	}{
		"lease expired":            {specifier.OutcomeLeaseExpired, func(s *specifier.Step) { s.Checkpoint = true }},
		"long-running, has failed": {specifier.OutcomeFailed, func(s *specifier.Step) { s.Checkpoint, s.LongRunning = true, true }},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(departureQueue, "w1")
			h.feed(JobArrived{Job: oneStep(1, test.change)})
			start := takeEffects[StartRun](h)[0]
			h.confirm(start)
			h.advance(time.Second)
			h.answer("w1", 1, specifier.Run{Task: start.Task, Number: start.Run, Checkpoint: "c1"})
			h.advance(time.Second)
			takeEffects[Commit](h)
			h.acknowledged()

			h.listEnds("w1", nil, specifier.End{Task: start.Task, Run: start.Run, Outcome: test.outcome, Checkpoint: "c1"})
			h.pass()
			g.Expect(h.acknowledged()).To(BeZero(), "the checkpoint isn't durable")
			g.Expect(takeEffects[Commit](h)).To(ContainElement(HaveField("Changes", ContainElement(
				HaveField("Progress.Tasks", ConsistOf(recorder.TaskProgress{Checkpoint: "c1"})),
			))))
		})
	}
}
