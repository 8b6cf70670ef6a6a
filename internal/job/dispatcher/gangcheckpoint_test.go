package dispatcher

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// gangWithCheckpoints returns a job with a gang of three tasks that checkpoint their progress.
func gangWithCheckpoints() specifier.Job {
	return oneStep(3, func(st *specifier.Step) { st.Gang, st.Checkpoint = true, true })
}

// TestGangStartsFromOneCheckpoint ends a run of a gang by the failure of one member, of which the
// owner knows an older checkpoint than of the others. It guards against members that start from
// different checkpoints, wait for each other, end alone, and start so again for ever.
func TestGangStartsFromOneCheckpoint(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(specifier.Queue{Name: "menus", Slack: 2, Attempts: 3}, "w1", "w2", "w3")
	h.feed(JobArrived{Job: gangWithCheckpoints()})
	starts := takeEffects[StartRun](h)
	g.Expect(starts).To(HaveLen(3))
	inventory := func() specifier.Inventory {
		return specifier.Inventory{Incarnation: 1, Clock: time.Minute + h.now.Sub(epoch)}
	}
	for _, start := range starts {
		h.confirm(start)
		listed := inventory()
		listed.Active = []specifier.Run{{Task: start.Task, Number: start.Run, Checkpoint: "at-2", ProgressPercent: 20}}
		h.feed(PollAnswered{Worker: start.Worker.ID, Sent: h.now, Inventory: listed})
	}
	h.advance(time.Second)
	for i, start := range starts {
		end := specifier.End{Number: 1, Task: start.Task, Run: start.Run, Outcome: specifier.OutcomeGangBroken, Checkpoint: "at-3"}
		if i == 1 {
			end.Outcome = specifier.OutcomeFailed
		}
		listed := inventory()
		listed.Ended = []specifier.End{end}
		h.feed(PollAnswered{Worker: start.Worker.ID, Sent: h.now, Inventory: listed})
	}
	for range 20 {
		h.advance(100 * time.Millisecond)
		for _, id := range []string{"w1", "w2", "w3"} {
			h.feed(PollAnswered{Worker: id, Sent: h.now, Inventory: inventory()})
		}
	}
	again := takeEffects[StartRun](h)
	g.Expect(again).To(HaveLen(3))
	g.Expect(again).To(HaveEach(HaveField("Checkpoint", "at-3")))
}

// TestGangOfEarlierOwnerStartsFromOneCheckpoint has durable progress in which the members have
// different checkpoints, or none.
func TestGangOfEarlierOwnerStartsFromOneCheckpoint(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(specifier.Queue{Name: "menus", Slack: 2, Attempts: 3}, "w1", "w2", "w3")
	h.feed(JobLoaded{Job: gangWithCheckpoints(), Started: true, Progress: recorder.Progress{Tasks: []recorder.TaskProgress{
		{Index: 1, Checkpoint: "at-2"}, {Index: 2, Checkpoint: "at-3"},
	}}})
	starts := takeEffects[StartRun](h)
	g.Expect(starts).To(HaveLen(3))
	g.Expect(starts).To(HaveEach(HaveField("Checkpoint", starts[0].Checkpoint)))
	g.Expect(starts[0].Checkpoint).NotTo(BeEmpty())
}
