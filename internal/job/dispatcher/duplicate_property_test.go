package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// checkOtherRuns checks that a task has no run on another worker, or at most one if its step
// allows duplicates.
func (s *simulation) checkOtherRuns(w *fakeWorker, e StartRun, step *specifier.Step) {
	others := 0
	for _, other := range s.workers {
		r := other.runs[e.Task]
		if other == w || r == nil {
			continue
		}
		if others++; others > 1 || !step.AllowDuplicates || step.LongRunning {
			s.fail("%s run %d starts on %s while run %d is on %s", e.Task, e.Run, w.id, r.number, other.id)
		}
	}
	s.duplicates += others
}

// drawDuplicableJob draws a job of one or two steps of small tasks, most of which allow
// duplicates.
func drawDuplicableJob(t *rapid.T, id string) specifier.Job {
	job := specifier.Job{ID: id}
	for i := range rapid.IntRange(1, 2).Draw(t, "steps of job") {
		step := specifier.Step{
			Count:           rapid.IntRange(3, 8).Draw(t, "count"),
			Needs:           resources(int64(rapid.IntRange(1, 5).Draw(t, "cpu")) * 100),
			Estimate:        time.Duration(rapid.IntRange(300, 2000).Draw(t, "ms")) * time.Millisecond,
			Checkpoint:      rapid.Bool().Draw(t, "checkpoint"),
			AllowDuplicates: rapid.IntRange(0, 4).Draw(t, "duplicates") > 0,
		}
		if i > 0 {
			step.After = []int{i - 1}
		}
		job.Steps = append(job.Steps, step)
	}
	return job
}

// doubled returns the first task that has two runs and their workers, or no workers.
func (s *simulation) doubled() (specifier.TaskID, []*fakeWorker) {
	for i, w := range s.workers {
		for _, id := range sortedFakeRuns(w.runs) {
			for _, other := range s.workers[i+1:] {
				if other.runs[id] != nil {
					return id, []*fakeWorker{w, other}
				}
			}
		}
	}
	return specifier.TaskID{}, nil
}

// disturbDoubled ends one run of a task that has two, or replaces the owner by one that
// can't reach the worker of the other run when that happens.
func (s *simulation) disturbDoubled(t *rapid.T) {
	id, holders := s.doubled()
	if holders == nil {
		return
	}
	k := rapid.IntRange(0, 1).Draw(t, "run of two")
	ending, other := holders[k], holders[1-k]
	outcome := rapid.SampledFrom([]specifier.Outcome{specifier.OutcomeDone, specifier.OutcomeFailed}).Draw(t, "outcome")
	end := func() {
		if r := ending.runs[id]; r != nil && !r.stopping && ending.isUp() {
			ending.endRun(id, outcome)
		}
	}
	sh := s.shards[0]
	switch rapid.IntRange(0, 3).Draw(t, "disturbance") {
	case 0:
		end()
	case 1:
		s.logf("the owner is replaced by one that can't reach %s", other.id)
		sh.owner.alive = false
		sh.claim()
		o := sh.owner
		o.unreachable[other] = true
		s.schedule(5*time.Second, func() { delete(o.unreachable, other) })
		s.schedule(time.Second, end)
	case 2:
		s.logf("the owner can't reach %s", other.id)
		o := sh.owner
		o.unreachable[other] = true
		s.schedule(4*time.Second, func() { delete(o.unreachable, other) })
		end()
	}
}

// TestDuplicateInvariants interleaves the faults of TestInvariants with steps that allow
// duplicates and runs that take seven times as long. It guards against a third run of a
// task, starts after an acknowledged end or the last attempt, and jobs that never end.
func TestDuplicateInvariants(t *testing.T) {
	t.Parallel()
	duplicates := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 6).Draw(t, "workers"))
		s.slowRunRate = 0.2
		isLossy := rapid.Bool().Draw(t, "lossy")
		s.advance(time.Second)
		for i := range rapid.IntRange(20, 50).Draw(t, "steps") {
			if isLossy {
				s.lostAnswerRate, s.lateCallRate = 0.1, 0.1
			}
			if rapid.IntRange(0, 2).Draw(t, "submits") > 0 {
				s.submit(drawDuplicableJob(t, fmt.Sprintf("%016x", i+1000)))
			} else {
				s.randomStep(t, i)
			}
			s.advance(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pass")) * time.Millisecond)
			s.disturbDoubled(t)
		}
		s.endFaults()
		s.advance(4 * time.Minute)
		s.checkEnded()
		duplicates += s.duplicates
	})
	if duplicates == 0 {
		t.Error("no duplicate was started")
	}
	t.Logf("%d duplicates", duplicates)
}
