package dispatcher

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/control/isolator"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// flapping is a disruption: workers go down and up by turns, and no task is the cause.
type flapping struct {
	down, up    time.Duration
	length      time.Duration // of each turn
	quiet       time.Duration // after each turn
	renames     bool          // a worker comes back under another id at its address
	ownerLeaves time.Duration // time of each turn at which the owner dies; 0 for never
	run         time.Duration // run time of the tasks
}

// TestFlappingWorkers guards against failing the jobs of tasks that do no harm because some
// workers crash again and again, a tenth of them at a time and others in each turn.
func TestFlappingWorkers(t *testing.T) {
	t.Parallel()
	fast := flapping{down: 700 * time.Millisecond, up: 700 * time.Millisecond, length: 6500 * time.Millisecond, quiet: 6 * time.Second, run: 2200 * time.Millisecond}
	renamed, takenOver, slow, long := fast, fast, fast, fast
	renamed.renames = true
	takenOver.ownerLeaves = 3 * time.Second
	slow.up, slow.length, slow.run = 7*time.Second, 30*time.Second, 8*time.Second
	long.length, long.quiet = 25*time.Second, 0
	for name, f := range map[string]flapping{
		"0.7 s up": fast, "other id": renamed, "take-over": takenOver, "7 s up": slow, "without pause": long,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				s := newSimulation(t, seed, 20)
				s.flap(f)
				failed := 0
				for _, r := range s.store {
					if r.state == specifier.Failed {
						failed++
					}
				}
				if failed > 0 {
					t.Errorf("seed %d: %d of %d jobs have failed", seed, failed, len(s.store))
					continue
				}
				s.checkSound()
			}
		})
	}
}

// flap submits jobs at about 85 % of the capacity while workers flap in four turns.
func (s *simulation) flap(f flapping) {
	turn := f.length + f.quiet
	end := s.now.Add(8*time.Second + 4*turn)
	for i := range 4 {
		s.schedule(8*time.Second+time.Duration(i)*turn, func() {
			for _, w := range s.workers[2*i : 2*i+2] {
				s.flapWorker(w, f, s.now.Add(f.length))
			}
			if f.ownerLeaves > 0 {
				s.schedule(f.ownerLeaves, func() { s.shards[0].owner.alive = false })
				s.schedule(f.ownerLeaves+time.Second, s.shards[0].claim)
			}
		})
	}
	step := specifier.Step{Count: 8, Needs: resources(480), Estimate: f.run}
	second := step
	second.After = []int{0}
	for i := 0; s.now.Before(end); i++ {
		s.submit(specifier.Job{ID: fmt.Sprintf("%016x", i), Steps: []specifier.Step{step, second}})
		s.advance(f.run * 13 / 110)
	}
	s.advance(60 * time.Second)
}

// flapWorker crashes a worker and brings it back until the end of the turn.
func (s *simulation) flapWorker(w *fakeWorker, f flapping, end time.Time) {
	if !s.now.Before(end) {
		return
	}
	s.logf("%s crashes on its own", w.id)
	w.crash()
	s.schedule(f.down, func() {
		before := len(s.workers)
		w.comeBack(f.renames, true)
		if len(s.workers) > before {
			w = s.workers[before]
		}
		s.schedule(f.up, func() { s.flapWorker(w, f, end) })
	})
}

// restartAll lists workers in new incarnations, which answer at once.
func (h *harness) restartAll(incarnations map[string]int64) {
	h.list(incarnations)
	for _, id := range sortedKeys(incarnations) {
		h.answer(id, incarnations[id])
	}
	h.advance(100 * time.Millisecond)
}

// TestIsolatedTaskAvoidsCrashedWorker guards against starting a task in isolation on the
// only empty worker although that has just crashed, and against a wait without end for another.
func TestIsolatedTaskAvoidsCrashedWorker(t *testing.T) {
	for name, ends := range map[string]bool{"another becomes empty": true, "no other becomes empty": false} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(lossQueue, "w1", "w2")
			running := h.occupyWorker()
			other := map[string]string{"w1": "w2", "w2": "w1"}[running.Worker.ID]
			incarnations := map[string]int64{running.Worker.ID: 1, other: 2}
			h.list(incarnations)
			h.answer(other, 2)
			h.loadSuspect(oneStep(1, nil), twoLosses())
			h.advance(time.Second)
			g.Expect(takeEffects[StartRun](h)).To(BeEmpty(), "the empty worker has just crashed")
			if ends {
				h.feed(PollAnswered{Worker: running.Worker.ID, Sent: h.now, Inventory: specifier.Inventory{
					Incarnation: 1, Clock: 2 * time.Minute, Ended: []specifier.End{{Number: 1, Task: running.Task, Run: running.Run, Outcome: specifier.OutcomeDone}},
				}})
				h.advance(100 * time.Millisecond)
				g.Expect(takeEffects[StartRun](h)).To(ConsistOf(HaveField("Worker.ID", running.Worker.ID)))
				return
			}
			h.advance(isolator.MaxOtherWorkerWait)
			g.Expect(takeEffects[StartRun](h)).To(ConsistOf(HaveField("Worker.ID", other)))
		})
	}
}

// TestRepeatedCrashesBackOff guards against starts on a worker that crashes again and again,
// and against a small shard that is left without workers.
func TestRepeatedCrashesBackOff(t *testing.T) {
	for n, avoided := range map[int]bool{2: false, 3: true} {
		t.Run(fmt.Sprintf("%d workers", n), func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(lossQueue, []string{"w1", "w2", "w3"}[:n]...)
			incarnations := map[string]int64{}
			for id := range h.workers {
				incarnations[id] = 1
			}
			for range 2 {
				incarnations["w1"]++
				h.restartAll(incarnations)
			}
			g.Expect(!h.workers["w1"].isUsable(h.now)).To(Equal(avoided))
			g.Expect(h.workers["w2"].isUsable(h.now)).To(BeTrue())
			h.advance(6 * time.Second)
			h.restartAll(incarnations)
			g.Expect(h.workers["w1"].isUsable(h.now)).To(BeTrue(), "the worker hasn't crashed since")
		})
	}
}

// TestReplacementInheritsCrashes guards against a worker that crashes again and again and
// escapes the backoff because it comes back under other ids.
func TestReplacementInheritsCrashes(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(lossQueue)
	list := []specifier.Worker{
		{ID: "w1", Incarnation: 1, Address: "10.0.0.1:80"}, {ID: "w2", Incarnation: 1, Address: "10.0.0.2:80"}, {ID: "w3", Incarnation: 1, Address: "10.0.0.3:80"},
	}
	for i := range int64(3) {
		list[0].ID, list[0].Incarnation = fmt.Sprintf("w1-%d", i), i+1
		h.feed(WorkersListed{Workers: list})
		for _, w := range list {
			h.answer(w.ID, w.Incarnation)
		}
		h.advance(100 * time.Millisecond)
	}
	g.Expect(h.workers["w1-2"].isUsable(h.now)).To(BeFalse())
	g.Expect(h.workers["w2"].isUsable(h.now)).To(BeTrue())
}

// TestSuspectAvoidsWorkerOfItsLosses guards against starting a task in isolation where it was
// lost before. Such losses count as one, so that only the limit of all losses would apply.
func TestSuspectAvoidsWorkerOfItsLosses(t *testing.T) {
	for lostOn, other := range map[string]string{"w1": "w2", "w2": "w1"} {
		g := NewWithT(t)
		h := newHarness(lossQueue, "w1", "w2")
		earlier := twoLosses()
		earlier[1].Worker, earlier[1].Incarnation = lostOn, 0 // an earlier incarnation
		h.loadSuspect(oneStep(1, nil), earlier)
		h.advance(100 * time.Millisecond)
		g.Expect(takeEffects[StartRun](h)).To(ConsistOf(HaveField("Worker.ID", other)))
	}
}

// TestCrashedWorkerIsNotEmptied guards against keeping a worker closed until it is empty that
// has just crashed, while the task is to be started on another.
func TestCrashedWorkerIsNotEmptied(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(lossQueue, "w1", "w2")
	h.restartAll(map[string]int64{"w1": 2, "w2": 1})
	h.feed(JobArrived{Job: soundJob(1)})
	used := map[string]bool{}
	for _, start := range takeEffects[StartRun](h) {
		h.confirm(start)
		used[start.Worker.ID] = true
	}
	g.Expect(used).To(HaveLen(2), "both workers have runs")
	h.loadSuspect(oneStep(1, nil), twoLosses())
	h.advance(time.Second)
	later := soundJob(2)
	later.Accepted = h.now
	h.feed(JobArrived{Job: later})
	g.Expect(takeEffects[StartRun](h)).To(And(Not(BeEmpty()), HaveEach(HaveField("Worker.ID", "w1"))), "w2 is kept for the task")
}
