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

// TestInvariants interleaves crashes, pauses, network partitions, store outages,
// evacuations, and lost and late calls. The flags -rapid.seed and -rapid.checks choose other
// and more schedules.
func TestInvariants(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 5).Draw(t, "workers"))
		s.drawEvacuations(t, mixedDomains)
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
// that is long-running. Of ten steps about longRunning are.
func drawJob(t *rapid.T, id string, longRunning int) specifier.Job {
	job := specifier.Job{ID: id}
	for i := range rapid.IntRange(1, 3).Draw(t, "steps of job") {
		step := specifier.Step{
			Count:        rapid.IntRange(1, 5).Draw(t, "count"),
			Needs:        resources(int64(rapid.IntRange(1, 30).Draw(t, "cpu")) * 100),
			Estimate:     time.Duration(rapid.IntRange(50, 3000).Draw(t, "ms")) * time.Millisecond,
			Checkpoint:   rapid.Bool().Draw(t, "checkpoint"),
			MaxPerWorker: rapid.IntRange(0, 2).Draw(t, "spread"),
			LongRunning:  rapid.IntRange(0, 9).Draw(t, "lasting") < longRunning,
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
	sh := s.shards[0]
	length := time.Duration(rapid.IntRange(200, 14000).Draw(t, "length")) * time.Millisecond
	w := sh.workers[rapid.IntRange(0, len(sh.workers)-1).Draw(t, "worker")]
	switch what := rapid.IntRange(0, lastFault+2).Draw(t, "what"); what {
	case 0, 1, 2, 3, 4:
		s.submit(drawJob(t, fmt.Sprintf("%016x", i), 1))
	case 5:
		s.cancel(fmt.Sprintf("%016x", max(i-2, 0)))
	case lastFault + 1, lastFault + 2:
		s.randomEvacuation(t, w, length)
	default:
		sh.causeFault(t, what, w, length)
	}
}

// Range of the faults of causeFault.
const (
	firstFault = 6
	lastFault  = 18
)

// causeFault causes one of the faults from firstFault to lastFault.
func (sh *simShard) causeFault(t *rapid.T, what int, w *fakeWorker, length time.Duration) {
	s, o := sh.sim, sh.owner
	switch what {
	case 6:
		s.logf("owner %d crashes", o.token)
		o.alive = false
		sh.ownerEnded = true
		s.schedule(length/8, sh.claim)
	case 18:
		sh.loseOwner()
		s.schedule(simOwnerTTL+length/16, sh.claimFrom(o))
	case 7:
		s.logf("owner %d pauses for %s", o.token, length)
		o.paused = true
		if length >= simOwnerTTL { // before, its record hasn't expired
			s.schedule(min(length, 3*time.Second), sh.claimFrom(o))
		}
		s.schedule(length, o.resume)
	case 8:
		s.logf("owner %d is cut off from %s for %s", o.token, w.id, length)
		o.unreachable[w] = true
		s.schedule(length, func() { delete(o.unreachable, w) })
	case 9:
		s.logf("owner %d is cut off from the store for %s", o.token, length)
		o.reachesStore = false
		if rapid.Bool().Draw(t, "replaced") {
			s.schedule(3*time.Second, sh.claimFrom(o))
		}
		s.schedule(length, func() { o.reachesStore = true })
	case 10:
		s.logf("%s crashes for %s", w.id, length)
		w.crash()
		s.schedule(length, w.restart)
	case 11:
		s.logf("%s is unregistered for %s", w.id, length)
		w.registered = false
		s.schedule(length, func() { w.registered = true })
	case 12:
		s.lostAnswerRate, s.lateCallRate = 0.2, 0.1
		s.schedule(length, func() { s.lostAnswerRate, s.lateCallRate = 0, 0 })
	case 13:
		s.failureRate = 0.3
		s.schedule(length, func() { s.failureRate = 0 })
	case 15:
		s.logf("%s stalls for %s", w.id, length)
		w.stalled = true
		s.schedule(length, func() { w.stalled = false })
	case 16:
		sh.release()
	case 17:
		w.depart(length)
	case 14:
		s.logf("%s is unregistered and cut off from the owner for %s", w.id, length)
		w.registered = false
		o.unreachable[w] = true
		s.schedule(length, func() { w.registered = true; delete(o.unreachable, w) })
	}
}

// claimFrom returns a function that claims the shard if o still owns it.
func (sh *simShard) claimFrom(o *owner) func() {
	return func() {
		if sh.owner == o {
			sh.claim()
		}
	}
}

// endFaults ends all faults, and all jobs that would never end.
func (s *simulation) endFaults() {
	s.stopFaults()
	s.cancelLongRunning()
}

// stopFaults ends all faults.
func (s *simulation) stopFaults() {
	for _, sh := range s.shards {
		sh.commitFault = noCommitFault
	}
	s.endEvacuations()
	s.advance(15 * time.Second)
	s.endOutage()
	s.lostAnswerRate, s.lateCallRate, s.failureRate, s.wrongRoomRate = 0, 0, 0, 0
	for _, w := range s.workers {
		w.registered, w.stalled = !w.gone, false
		if w.crashed {
			w.restart()
		}
	}
	for _, sh := range s.shards {
		if !sh.owner.alive {
			sh.claim()
		}
		sh.owner.reachesStore, sh.owner.paused, sh.owner.losesWrites = true, false, false
		clear(sh.owner.unreachable)
	}
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

// checkDone checks that all tasks of a job have completed, or one of each gang, which
// completes the others.
func (s *simulation) checkDone(r *storedJob) {
	for number, step := range r.job.Steps {
		for i := range step.Count {
			id := specifier.TaskID{Job: r.job.ID, Step: number, Index: i}
			if !s.hasCompleted(r, id) {
				s.fail("job %s has succeeded, but %s has not completed", r.job.ID, id)
			}
		}
	}
}

// hasCompleted reports whether a task has completed, or another of its gang, which completes
// all of it.
func (s *simulation) hasCompleted(r *storedJob, id specifier.TaskID) bool {
	if !r.job.Steps[id.Step].Gang {
		return s.invariants.completed[id]
	}
	for i := range r.job.Steps[id.Step].Count {
		member := id
		member.Index = i
		if s.invariants.completed[member] {
			return true
		}
	}
	return false
}
