package dispatcher

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

func sortTasks(ids []specifier.TaskID) { slices.SortFunc(ids, compareTasks) }

// TestInvariants interleaves crashes, pauses, network partitions, store outages
// and lost and late calls. The flags -rapid.seed and -rapid.checks choose other
// and more schedules.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 5).Draw(t, "workers"))
		s.advance(time.Second)
		for i := range rapid.IntRange(5, 40).Draw(t, "steps") {
			s.randomStep(t, i)
			s.advance(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pass")) * time.Millisecond)
		}
		s.endFaults()
		s.advance(3 * time.Minute)
		s.checkEnded()
	})
}

// drawJob draws a job of up to three steps, each after the previous one unless
// that is long-running.
func drawJob(t *rapid.T, id string) specifier.Job {
	job := specifier.Job{ID: id}
	for i := range rapid.IntRange(1, 3).Draw(t, "steps of job") {
		step := specifier.Step{
			Count:        rapid.IntRange(1, 5).Draw(t, "count"),
			Needs:        resources(int64(rapid.IntRange(1, 30).Draw(t, "cpu")) * 100),
			Estimate:     time.Duration(rapid.IntRange(50, 3000).Draw(t, "ms")) * time.Millisecond,
			Checkpoint:   rapid.Bool().Draw(t, "checkpoint"),
			MaxPerWorker: rapid.IntRange(0, 2).Draw(t, "spread"),
			LongRunning:  rapid.IntRange(0, 9).Draw(t, "lasting") == 0,
		}
		if i > 0 && !job.Steps[i-1].LongRunning {
			step.After = []int{i - 1}
		}
		job.Steps = append(job.Steps, step)
	}
	return job
}

// randomStep submits a job, or with a lower probability causes a fault.
func (s *simulation) randomStep(t *rapid.T, i int) {
	length := time.Duration(rapid.IntRange(200, 14000).Draw(t, "length")) * time.Millisecond
	m := s.workers[rapid.IntRange(0, len(s.workers)-1).Draw(t, "worker")]
	o := s.owner
	switch rapid.IntRange(0, 16).Draw(t, "what") {
	case 0, 1, 2, 3, 4:
		s.submit(drawJob(t, fmt.Sprintf("%016x", i)))
	case 5:
		s.cancel(fmt.Sprintf("%016x", max(i-2, 0)))
	case 6:
		s.logf("owner %d crashes", o.token)
		o.alive = false
		s.schedule(length/8, s.claim)
	case 7:
		s.logf("owner %d pauses for %s", o.token, length)
		o.paused = true
		s.schedule(min(length, 3*time.Second), s.claimFrom(o))
		s.schedule(length, o.resume)
	case 8:
		s.logf("owner %d is cut off from %s for %s", o.token, m.id, length)
		o.unreachable[m] = true
		s.schedule(length, func() { delete(o.unreachable, m) })
	case 9:
		s.logf("owner %d is cut off from the store for %s", o.token, length)
		o.reachesStore = false
		if rapid.Bool().Draw(t, "replaced") {
			s.schedule(3*time.Second, s.claimFrom(o))
		}
		s.schedule(length, func() { o.reachesStore = true })
	case 10:
		s.logf("%s crashes for %s", m.id, length)
		m.crash()
		s.schedule(length, m.restart)
	case 11:
		s.logf("%s is unregistered for %s", m.id, length)
		m.registered = false
		s.schedule(length, func() { m.registered = true })
	case 12:
		s.lostAnswerRate, s.lateCallRate = 0.2, 0.1
		s.schedule(length, func() { s.lostAnswerRate, s.lateCallRate = 0, 0 })
	case 13:
		s.failureRate = 0.3
		s.schedule(length, func() { s.failureRate = 0 })
	case 15:
		s.logf("%s stalls for %s", m.id, length)
		m.stalled = true
		s.schedule(length, func() { m.stalled = false })
	case 16:
		s.release()
	case 14:
		s.logf("%s is unregistered and cut off from the owner for %s", m.id, length)
		m.registered = false
		o.unreachable[m] = true
		s.schedule(length, func() { m.registered = true; delete(o.unreachable, m) })
	}
}

// claimFrom returns a function that claims the shard if o still owns it.
func (s *simulation) claimFrom(o *owner) func() {
	return func() {
		if s.owner == o {
			s.claim()
		}
	}
}

// endFaults ends all faults.
func (s *simulation) endFaults() {
	s.advance(15 * time.Second)
	s.lostAnswerRate, s.lateCallRate, s.failureRate = 0, 0, 0
	for _, m := range s.workers {
		m.registered, m.stalled = true, false
		if m.crashed {
			m.restart()
		}
	}
	if !s.owner.alive {
		s.claim()
	}
	s.owner.reachesStore, s.owner.paused = true, false
	clear(s.owner.unreachable)
	s.cancelLongRunning()
}

// cancelLongRunning cancels the jobs with long-running tasks, which would never
// end, so that there is room for all others.
func (s *simulation) cancelLongRunning() {
	for _, id := range sortedKeys(s.store) {
		if slices.ContainsFunc(s.store[id].job.Steps, func(s specifier.Step) bool { return s.LongRunning }) {
			s.cancel(id)
		}
	}
}

// checkEnded checks that every job has a final state, and that the tasks of
// succeeded jobs have completed.
func (s *simulation) checkEnded() {
	for _, id := range sortedKeys(s.store) {
		r := s.store[id]
		switch {
		case r.cancelled && !r.state.IsFinal():
			s.fail("job %s is %s after its cancellation", id, r.state)
		case r.cancelled:
		case !r.state.IsFinal():
			s.fail("job %s is still %s", id, r.state)
		case r.state == specifier.Succeeded:
			s.checkDone(r)
		}
	}
}

// checkDone checks that all tasks of a job have completed.
func (s *simulation) checkDone(r *storedJob) {
	for number, step := range r.job.Steps {
		for i := range step.Count {
			id := specifier.TaskID{Job: r.job.ID, Step: number, Index: i}
			if !s.invariants.completed[id] {
				s.fail("job %s has succeeded, but %s has not completed", r.job.ID, id)
			}
		}
	}
}
