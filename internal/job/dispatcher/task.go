package dispatcher

import (
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// task is one task of a step.
type task struct {
	step            *step
	index           int
	done            bool
	wasProven       bool            // a run of it has proven itself, see proven.go
	worker          *worker         // worker that has or may have a run of it; nil without one
	duplicate       *run            // second run of it, on another worker; nil without one
	lastRun         int64           // highest known number of its runs
	runOffset       int64           // its runs in other shards have no higher numbers
	runBound        int64           // neither have those of earlier owners here, nor its next runs without a commit, see runnumber.go; 0 if the epoch tells
	boundVersion    int64           // version of the job that makes runBound durable
	elsewhere       bool            // another shard has the task
	hop             int             // how often it was transferred, as far as known here
	hasRecord       bool            // this shard has a transfer record of it
	triedShards     []string        // shards in which it has waited since its last run, while it is transferred
	transferAfter   time.Time       // it isn't transferred before this time
	arrivalVersion  int64           // version of the job that has to be durable before it starts
	failed          []int64         // numbers of the failed runs
	losses          []recorder.Loss // runs that were lost with their worker, see loss.go
	completedHere   bool            // in a part: it has completed, and the home may not know
	returns         bool            // in a part: it is to return to the home
	checkpoint      string
	checkpointAt    time.Time  // when a worker first listed the checkpoint to this owner
	sentCheckpoint  string     // in the last commit that contains the job
	lastFailedOn    string     // id of the worker of the last failed or stalled run
	notBefore       time.Time  // no start before this time
	waitingSince    time.Time  // when it began to wait for a run
	lostSince       time.Time  // since when its last run may have been over; zero unless it was lost with its worker
	proof           startProof // why no earlier owner starts it, see earlierowner.go
	runKnown        bool       // this owner has known a run of it, and no other one could exist then
	failuresUnknown bool       // a run of an earlier owner has failed, and others of which it isn't known may have
	emptying        *worker    // kept closed until it is empty for the task; nil for none, see isolation.go
	emptyingSince   time.Time  // when that worker was chosen
	adopted         bool       // has a run of an earlier owner, of which others may have failed
}

func (t *task) id() specifier.TaskID {
	return specifier.TaskID{Job: t.step.job.spec.ID, Occurrence: t.step.occurrence, Step: t.step.number, Index: t.index}
}

// hasFailedTooOften reports whether the task has no attempts left.
func (t *task) hasFailedTooOften() bool {
	attempts := t.step.job.queue.Attempts
	return attempts > 0 && len(t.failed) >= attempts
}

// markDone marks a task as completed.
func (s *Shard) markDone(t *task) {
	st := t.step
	if t.done {
		return
	}
	t.done = true
	st.completed++
	if t.worker == nil {
		st.waiting--
	}
	if st.completed == len(st.tasks) {
		st.job.remainingSteps--
	}
}

// requeue makes a task wait for a new run after its run has ended.
func (s *Shard) requeue(t *task) {
	if t.worker == nil {
		return
	}
	t.worker = nil
	if t.done {
		return
	}
	t.waitingSince, t.lostSince = s.now, time.Time{}
	t.step.waiting++
	s.enqueue(t.step)
	s.placementDue = true
}

// completeTask marks a task as completed and opens the steps that depend on it,
// or ends the job. That a step becomes ready now doesn't say that no earlier owner has
// started its tasks: one may have known of ends that weren't durable and are lost.
func (s *Shard) completeTask(t *task) {
	j := t.step.job
	s.markDone(t)
	s.markDirty(j)
	if j.remainingSteps == 0 {
		s.endJob(j, specifier.Succeeded, "all tasks completed")
		return
	}
	s.openReadySteps(j)
	s.placementDue = true
}

// failTask counts a failed run of a task and ends the job after too many.
// Failed runs of long-running tasks aren't counted.
func (s *Shard) failTask(t *task, w *worker, run int64) {
	if t.done || t.completedHere || slices.Contains(t.failed, run) {
		return // another run was done
	}
	if t.adopted && !t.step.spec.LongRunning && !s.knowsInheritedRuns() {
		// Workers that haven't answered yet may report more failures.
		t.failuresUnknown = true
	}
	j := t.step.job
	t.lastFailedOn = w.reg.ID
	if t.step.spec.LongRunning {
		return
	}
	t.failed = append(t.failed, run)
	s.markDirty(j)
	switch {
	case !t.hasFailedTooOften():
	case s.isPart(j):
		s.returnTask(t)
	default:
		s.endJob(j, specifier.Failed, "task failed too often")
	}
}
