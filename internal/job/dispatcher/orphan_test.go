package dispatcher

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// TestNoStartBesideOrphan guards against a start while another run of the task is being stopped: the
// owner has adopted a run from an old inventory, so that it takes the next one for one too many.
func TestNoStartBesideOrphan(t *testing.T) {
	kinds := map[string]specifier.Step{
		"long-running": {LongRunning: true},
		"finite":       {},
		"filler":       {Filler: true},
		"gang":         {Gang: true},
	}
	for name, step := range kinds {
		for ended, end := range map[string]func(*harness, specifier.Run){
			"end listed":       func(h *harness, r specifier.Run) { h.answerOrphan("w2", 1, nil, &r) },
			"not listed":       func(h *harness, r specifier.Run) { h.answerOrphan("w2", 1, nil, nil) },
			"worker restarted": func(h *harness, r specifier.Run) { h.answerOrphan("w2", 2, nil, nil) },
		} {
			t.Run(name+", "+ended, func(t *testing.T) {
				g := NewWithT(t)
				step.Count, step.Needs, step.Estimate = 1, resources(1000), 20*time.Second
				job := specifier.Job{ID: "5c0e7a21d94b36f8", Queue: departureQueue.Name, Accepted: epoch, Steps: []specifier.Step{step}}
				previous := recorder.WorkerList{Workers: []string{"w1", "w2", "w3"}, Settled: true, Rule: recorder.QuorumRule}
				h := newSuccessor(Options{Previous: previous, EarlierKnown: true}, departureQueue, job, "w1", "w2", "w3")
				adopted := specifier.Run{Task: specifier.TaskID{Job: job.ID}, Number: 4}
				orphan := specifier.Run{Task: adopted.Task, Number: 5}
				h.answerOrphan("w1", 1, &adopted, nil)
				h.answerOrphan("w2", 1, &orphan, nil)
				h.answer("w3", 1)
				stops := takeEffects[StopRun](h)
				g.Expect(stops).To(HaveLen(1))
				g.Expect(stops[0].Run).To(Equal(orphan.Number))

				h.advance(10 * time.Millisecond)
				h.answerOrphan("w1", 1, nil, &adopted)
				h.advance(300 * time.Millisecond)
				g.Expect(takeEffects[StartRun](h)).To(BeEmpty(), "the other run may be active")
				h.feed(StopAnswered{Worker: "w2", Incarnation: 1, Task: orphan.Task, Run: orphan.Number})
				h.advance(100 * time.Millisecond)
				g.Expect(takeEffects[StartRun](h)).To(BeEmpty(), "the other run may be active")
				end(h, orphan)
				h.advance(commitInterval)
				g.Expect(takeEffects[StartRun](h)).To(HaveLen(1))
			})
		}
	}
}

// answerOrphan delivers an inventory of a worker with one run, or the end of one, or neither.
func (h *harness) answerOrphan(worker string, incarnation int64, active, ended *specifier.Run) {
	inventory := specifier.Inventory{Incarnation: incarnation, Clock: time.Minute + h.now.Sub(epoch)}
	if active != nil {
		inventory.Active = []specifier.Run{*active}
	}
	if ended != nil {
		inventory.Ended = []specifier.End{{Number: 1, Task: ended.Task, Run: ended.Number, Outcome: specifier.OutcomeStopped}}
	}
	h.feed(PollAnswered{Worker: worker, Sent: h.now, Inventory: inventory})
}
