package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// soundJob returns a job with tasks that run for a while and do no harm.
func soundJob(number int) specifier.Job {
	return specifier.Job{ID: fmt.Sprintf("%016x", number), Steps: []specifier.Step{
		{Count: 4, Needs: resources(500), Estimate: 900 * time.Millisecond},
	}}
}

// deadlyJob returns a job whose first task is to be deadly.
func deadlyJob(change func(*specifier.Step)) specifier.Job {
	job := specifier.Job{ID: "deadd00000000000", Steps: []specifier.Step{
		{Count: 3, Needs: resources(500), Estimate: 800 * time.Millisecond},
	}}
	if change != nil {
		change(&job.Steps[0])
	}
	return job
}

var deadlyID = specifier.TaskID{Job: "deadd00000000000"}

// checkSound checks that all jobs but the deadly one have succeeded.
func (s *simulation) checkSound() {
	for _, id := range sortedKeys(s.store) {
		if state := s.store[id].state; id != deadlyID.Job && state != specifier.Succeeded {
			s.fail("job %s is %s, though nothing is wrong with it", id, state)
		}
	}
}

// submitSound submits sound jobs at intervals.
func (s *simulation) submitSound(n int, interval time.Duration) {
	for i := range n {
		s.submit(soundJob(i))
		s.advance(interval)
	}
}

// TestTaskCrashesWorkerAfterWorker has a task that crashes each worker that starts it
// beside sound ones: it is given up, and no sound job is.
func TestTaskCrashesWorkerAfterWorker(t *testing.T) {
	for name, renames := range map[string]bool{"same id": false, "new id": true} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, 1, 4)
			s.advance(time.Second)
			s.addDeadly(&deadlyTask{id: deadlyID, delay: 10 * time.Millisecond, down: 3 * time.Second, renames: renames})
			s.submit(deadlyJob(nil))
			s.submitSound(30, 300*time.Millisecond)
			s.advance(50 * time.Second)
			if state := s.store[deadlyID.Job].state; state != specifier.Failed {
				t.Errorf("the job with the deadly task is %s after %d starts", state, s.deadly[deadlyID].starts)
			}
			s.checkSound()
		})
	}
}

// TestCrashCountSurvivesOwners is the same with an owner that dies after each crash.
func TestCrashCountSurvivesOwners(t *testing.T) {
	for _, wait := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 4 * time.Second, 7 * time.Second} {
		t.Run(wait.String(), func(t *testing.T) {
			s := newSimulation(t, 2, 4)
			s.advance(time.Second)
			d := s.addDeadly(&deadlyTask{id: deadlyID, delay: 10 * time.Millisecond, down: 3 * time.Second, renames: true})
			d.onCrash = func() {
				s.schedule(wait, func() {
					s.logf("owner %d dies", s.shards[0].owner.token)
					s.shards[0].owner.alive = false
					s.schedule(time.Second, s.shards[0].claim)
				})
			}
			s.submit(deadlyJob(nil))
			s.submitSound(30, 300*time.Millisecond)
			s.advance(4 * time.Minute)
			if state := s.store[deadlyID.Job].state; state != specifier.Failed {
				t.Errorf("the job with the deadly task is %s after %d starts", state, d.starts)
			}
			s.checkSound()
		})
	}
}

// TestDeadlyTasks runs deadly tasks beside sound ones through the faults of
// TestInvariants. No deadly task is started too often, and no job fails without cause.
func TestDeadlyTasks(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 6).Draw(t, "workers"))
		s.advance(time.Second)
		for i := range rapid.IntRange(5, 40).Draw(t, "steps") {
			if rapid.IntRange(0, 7).Draw(t, "deadly") == 0 {
				s.submitDeadly(t, 100+i)
			}
			s.randomStep(t, i)
			s.advance(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pass")) * time.Millisecond)
		}
		s.endFaults()
		s.advance(3 * time.Minute)
		s.checkFailed()
	})
}

// submitDeadly submits a job with one deadly task.
func (s *simulation) submitDeadly(t *rapid.T, number int) {
	job := drawJob(t, fmt.Sprintf("%016x", number), 1)
	step := rapid.IntRange(0, len(job.Steps)-1).Draw(t, "deadly step")
	s.addDeadly(&deadlyTask{
		id:      specifier.TaskID{Job: job.ID, Step: step, Index: rapid.IntRange(0, job.Steps[step].Count-1).Draw(t, "deadly task")},
		delay:   time.Duration(rapid.IntRange(1, 400).Draw(t, "deadly after")) * time.Millisecond,
		down:    time.Duration(rapid.IntRange(1000, 12000).Draw(t, "down")) * time.Millisecond,
		renames: rapid.Bool().Draw(t, "renames"),
		returns: rapid.Bool().Draw(t, "same address"),
		invalid: rapid.IntRange(0, 3).Draw(t, "invalid isolations"),
	})
	s.submit(job)
}

// checkFailed checks that each job that failed has a deadly task, or one that has failed
// as often as it may.
func (s *simulation) checkFailed() {
	for _, id := range sortedKeys(s.store) {
		if s.store[id].state == specifier.Failed && !s.hasCause(id) {
			s.fail("job %s has failed without cause", id)
		}
	}
}

func (s *simulation) hasCause(job string) bool {
	for id, d := range s.deadly {
		if id.Job == job && d.crashes >= 2 {
			return true
		}
	}
	for id, n := range s.invariants.failures {
		if id.Job == job && n >= simAttempts {
			return true
		}
	}
	return false
}
