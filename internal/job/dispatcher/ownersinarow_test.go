package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// TestOwnersLostInARowDelayNoTasks guards against waits for leases that add up: the owner is lost
// for good together with workers, and its successor as well while it still waits for them.
func TestOwnersLostInARowDelayNoTasks(t *testing.T) {
	t.Parallel()
	for _, life := range []time.Duration{500 * time.Millisecond, time.Second, 2500 * time.Millisecond, 5 * time.Second} {
		t.Run(life.String(), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				checkOwnersInARow(t, seed, life)
			}
		})
	}
}

// checkOwnersInARow loses a quarter of the workers and two owners, the second some time after its
// claim, and then checks the bound of the users.
func checkOwnersInARow(t *testing.T, seed uint64, life time.Duration) {
	s := newSimulation(t, seed, 24)
	sh := s.shards[0]
	s.advance(time.Second)
	w := newLongRunningWatch(s, 10, 6)
	s.advance(8 * time.Second)
	for i, worker := range s.workers {
		if i%4 == 0 {
			worker.crash()
			s.schedule(3*time.Second, func() { worker.registered = false })
		}
	}
	sh.loseOwner()
	s.schedule(simOwnerTTL, func() {
		sh.claim()
		s.schedule(life, sh.loseOwner)
		s.schedule(life+simOwnerTTL, sh.claim)
	})
	calm := s.now.Add(simOwnerTTL + life)
	for s.now.Before(calm.Add(20 * time.Second)) {
		s.advance(100 * time.Millisecond)
		if gap, id := w.longestGap(); gap > gapLimit && s.now.Sub(calm) > calmTime {
			t.Errorf("seed %d: %s has no run for %v, %v after the last fault; the owner reports %+v", seed, id, gap, s.now.Sub(calm), s.waits)
			return
		}
	}
}

// loseOwner ends the owner's process for good.
func (sh *simShard) loseOwner() {
	sh.sim.logf("owner %d is lost", sh.owner.token)
	sh.owner.alive = false
}

// longRunningWatch records when long-running tasks ran last.
type longRunningWatch struct {
	sim     *simulation
	tasks   []specifier.TaskID
	lastRun map[specifier.TaskID]time.Time
}

// newLongRunningWatch submits jobs with long-running tasks.
func newLongRunningWatch(s *simulation, jobs, tasks int) *longRunningWatch {
	w := &longRunningWatch{sim: s, lastRun: make(map[specifier.TaskID]time.Time)}
	for i := range jobs {
		job := specifier.Job{ID: fmt.Sprintf("aaaaaaaaaaaaaa%02d", i), Steps: []specifier.Step{
			{Count: tasks, Needs: resources(300), Estimate: 300 * time.Millisecond, LongRunning: true},
		}}
		s.submit(job)
		for k := range tasks {
			w.tasks = append(w.tasks, specifier.TaskID{Job: job.ID, Index: k})
		}
	}
	return w
}

// longestGap returns how long the task without a run that has waited longest has waited.
func (w *longRunningWatch) longestGap() (longest time.Duration, task specifier.TaskID) {
	for _, id := range w.tasks {
		if w.sim.isRunning(id) || w.lastRun[id].IsZero() {
			w.lastRun[id] = w.sim.now
		}
		if gap := w.sim.now.Sub(w.lastRun[id]); gap > longest {
			longest, task = gap, id
		}
	}
	return longest, task
}
