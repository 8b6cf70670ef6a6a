package dispatcher

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// TestTransferInvariants does the same as TestInvariants with a service of several
// shards, which transfer long-running tasks to each other.
func TestTransferInvariants(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := drawServiceSimulation(t, 3)
		s.drawEvacuations(t, domainsOfShards)
		s.drawSteps(t, s.randomServiceStep)
		s.stopFaults()
		s.awaitFinite()
		s.checkLongRunning()
		for _, id := range sortedKeys(s.store) {
			s.cancel(id)
		}
		s.advance(5 * time.Second)
		s.checkNothingRuns()
		s.checkRecords(endedRetention)
		s.advance(endedRetention + 5*time.Second)
		s.checkRecords(0)
	})
}

// drawServiceSimulation returns a simulation of a service of two or three shards with up to
// maxWorkers workers each.
func drawServiceSimulation(t *rapid.T, maxWorkers int) *simulation {
	workers := rapid.SliceOfN(rapid.IntRange(1, maxWorkers), 2, 3).Draw(t, "workers")
	return newServiceSimulation(t, rapid.Uint64().Draw(t, "seed"), workers...)
}

// drawSteps simulates 1 s, and then 5 to 40 steps with up to 3 s after each of them. The
// steps are numbered from 0.
func (s *simulation) drawSteps(t *rapid.T, step func(t *rapid.T, i int)) {
	s.advance(time.Second)
	for i := range rapid.IntRange(5, 40).Draw(t, "steps") {
		step(t, i)
		s.advance(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pass")) * time.Millisecond)
	}
}

// randomServiceStep submits a job to a shard, cancels one, or causes a fault.
func (s *simulation) randomServiceStep(t *rapid.T, i int) {
	sh := s.shards[rapid.IntRange(0, len(s.shards)-1).Draw(t, "shard")]
	length := time.Duration(rapid.IntRange(200, 14000).Draw(t, "length")) * time.Millisecond
	w := sh.workers[rapid.IntRange(0, len(sh.workers)-1).Draw(t, "worker")]
	switch what := rapid.IntRange(-6, lastFault+6).Draw(t, "what"); {
	case what < 4:
		sh.submit(drawJob(t, fmt.Sprintf("%016x", i), 7))
	case what < firstFault:
		s.cancel(fmt.Sprintf("%016x", rapid.IntRange(0, i).Draw(t, "cancelled")))
	case what <= lastFault:
		sh.causeFault(t, what, w, length)
	case what == lastFault+1:
		s.wrongRoomRate = 0.5
		s.schedule(length, func() { s.wrongRoomRate = 0 })
	case what == lastFault+2:
		s.logf("%s lists its records again", sh.name)
		sh.listAgain(length)
	case what > lastFault+4:
		s.randomEvacuation(t, w, length)
	case what == lastFault+3:
		s.logf("%s drains for %s", w.id, length)
		w.draining = true
		s.schedule(length, func() { w.draining = false })
	default:
		sh.commitFault = commitFault(rapid.IntRange(1, int(commitFaults)-1).Draw(t, "fault"))
		sh.faultLength, sh.needsSharing = length, rapid.IntRange(0, 3).Draw(t, "any commit") > 0
	}
}

// listAgain delivers the records of the shard as they are now once more, as after an
// interrupted watch.
func (sh *simShard) listAgain(limit time.Duration) {
	for _, event := range sh.records() {
		switch e := event.(type) {
		case JobLoaded:
			sh.deliver(JobArrived{Job: e.Job}, limit)
		case TaskArrived:
			sh.deliver(TaskArrived{Task: e.Task, Transfer: e.Transfer}, limit)
		case JobCancelled:
			sh.deliver(e, limit)
		}
	}
}

// awaitFinite waits until the leases of earlier owners have expired and no finite
// task has run for as long, because these take room by turns.
func (s *simulation) awaitFinite() {
	const calm = 15*time.Second + simOutageLimit + simLease
	end := s.now.Add(calm)
	waits := make(map[specifier.TaskID]int)
	for second := range 300 {
		if time.Duration(second)*time.Second > withDrift(simOutageLimit+simLease) {
			s.checkWaits(waits)
		}
		if s.runsFinite() {
			end = s.now.Add(calm)
		}
		if !s.now.Before(end) {
			return
		}
		s.advance(time.Second)
	}
	s.fail("finite tasks still run")
}

// maxRoomWait is how long a long-running task may wait in calm while a worker has room for
// it twice over: 6 s after its last run, and 3 s more.
const maxRoomWait = 9 // seconds

// checkWaits counts in waits for how many seconds in a row each long-running task has
// waited beside room, and checks that it isn't too long.
func (s *simulation) checkWaits(waits map[specifier.TaskID]int) {
	waiting := s.waitingBesideRoom()
	for id := range waits {
		if waiting[id] == nil {
			delete(waits, id)
		}
	}
	for id, w := range waiting {
		if waits[id]++; waits[id] > maxRoomWait {
			s.printHistory(id.Job)
			s.fail("%s has not run for %d s, but %s has %d millicores free", id, waits[id], w.id, w.free().CPU)
		}
	}
}

// runsFinite reports whether a worker has a run of a finite task.
func (s *simulation) runsFinite() bool {
	for _, w := range s.workers {
		for _, r := range w.runs {
			if !r.step.LongRunning {
				return true
			}
		}
	}
	return false
}

// checkLongRunning checks that every long-running task runs for which a worker of
// any shard has room twice over.
func (s *simulation) checkLongRunning() {
	for id, w := range s.waitingBesideRoom() {
		s.printHistory(id.Job)
		s.fail("%s doesn't run, but %s has %d millicores free", id, w.id, w.free().CPU)
	}
}

// waitingBesideRoom returns the long-running tasks that could run and don't, and for each
// a worker that has room for it twice over.
func (s *simulation) waitingBesideRoom() map[specifier.TaskID]*fakeWorker {
	waiting := make(map[specifier.TaskID]*fakeWorker)
	for _, id := range sortedKeys(s.store) {
		r := s.store[id]
		if r.state.IsFinal() || r.cancelled {
			continue
		}
		for number := range r.job.Steps {
			if r.job.Steps[number].LongRunning && s.isReady(r, number) {
				s.addWaiting(waiting, r, number)
			}
		}
	}
	return waiting
}

// isReady reports whether all steps before a step have completed.
func (s *simulation) isReady(r *storedJob, number int) bool {
	for _, earlier := range r.job.Steps[number].After {
		for i := range r.job.Steps[earlier].Count {
			if !s.invariants.completed[specifier.TaskID{Job: r.job.ID, Step: earlier, Index: i}] {
				return false
			}
		}
	}
	return true
}

// addWaiting adds the tasks of a step that don't run although a worker has room for them
// twice over.
func (s *simulation) addWaiting(waiting map[specifier.TaskID]*fakeWorker, r *storedJob, number int) {
	step := &r.job.Steps[number]
	for i := range step.Count {
		id := specifier.TaskID{Job: r.job.ID, Step: number, Index: i}
		if slices.ContainsFunc(s.workers, func(w *fakeWorker) bool { return w.runs[id] != nil }) {
			continue
		}
		for _, w := range s.workers {
			if w.free().CPU >= 2*step.Needs.CPU && w.isSpread(id, step) {
				waiting[id] = w
			}
		}
	}
}

// printHistory prints what the history says about a job and what the shards know of
// it.
func (s *simulation) printHistory(job string) {
	for _, line := range s.history {
		if strings.Contains(line, job) || strings.Contains(line, "claim") {
			fmt.Println(line)
		}
	}
	for _, sh := range s.shards {
		j := sh.owner.shard.jobs[job]
		if j == nil {
			continue
		}
		for _, st := range j.steps {
			for _, t := range st.tasks {
				fmt.Printf("%s: %s elsewhere %t, hop %d, has run %t, proof %s, movable %t, spread %d\n",
					sh.name, t.id(), t.elsewhere, t.hop, t.worker != nil, t.proof, j.isMovable(), st.spec.MaxPerWorker)
			}
		}
	}
}

// isSpread reports whether another task of the step may run on the worker.
func (w *fakeWorker) isSpread(id specifier.TaskID, step *specifier.Step) bool {
	beside := 0
	for other := range w.runs {
		if other.Job == id.Job && other.Step == id.Step {
			beside++
		}
	}
	return step.MaxPerWorker == 0 || beside < step.MaxPerWorker
}

// checkNothingRuns checks that all jobs and runs have ended.
func (s *simulation) checkNothingRuns() {
	for _, w := range s.workers {
		for _, id := range sortedFakeRuns(w.runs) {
			s.fail("%s still runs on %s", id, w.id)
		}
	}
	s.checkEnded()
}

// checkRecords checks that the store has no records of jobs any more, except
// cancellations that are younger than retention.
func (s *simulation) checkRecords(retention time.Duration) {
	for _, sh := range s.shards {
		for _, id := range sortedKeys(sh.progress) {
			s.fail("%s still has progress of job %s", sh.name, id)
		}
		for _, id := range sh.arrivals() {
			s.fail("%s still has a transfer record of %s", sh.name, id)
		}
		for _, id := range sortedKeys(sh.cancels) {
			if age := s.now.Sub(sh.cancels[id]); age >= retention {
				s.fail("%s still has a cancellation of job %s after %s", sh.name, id, age)
			}
		}
	}
}
