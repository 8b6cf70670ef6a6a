package reducer

import (
	"encoding/json"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// Reasons of releases that have an effect of their own. They are stored in ledgers.
const (
	reasonNotStarted = "not begun" // the run never started, so the task has not run
	reasonEvicted    = "evicted"   // stopped for a service or an urgent task; counts as an eviction
)

// job is an accepted job with its tasks.
type job struct {
	*describer.Job
	seq       uint64 // sequence number of the acceptance within the shard
	tasks     []task
	counts    [describer.Failed + 1]int // number of tasks by state
	cancelled bool
	endedAt   time.Time
	lastBatch int64 // batch of the latest record that shows in the job's status
}

// isOver reports whether no task is pending or started.
func (j *job) isOver() bool {
	return j.counts[describer.Pending] == 0 && j.counts[describer.Started] == 0
}

// mayHaveRun reports whether any task has run or may have.
func (j *job) mayHaveRun() bool {
	for i := range j.tasks {
		if j.tasks[i].mayHaveRun || j.tasks[i].state == describer.Started {
			return true
		}
	}
	return false
}

// startPhase is what the owner knows about the start of a task's current run.
type startPhase uint8

const (
	startRecorded   startPhase = iota // recorded; the worker has not been called yet
	startSent                         // StartTask was emitted and has no outcome yet
	startUnanswered                   // StartTask failed; the run may have started
	startConfirmed                    // the worker confirmed that the run started
	startAdopted                      // recorded by a former owner; not confirmed yet
)

// task is the state of one task. The fields before startPhase are part of snapshots; the
// others are only in memory.
type task struct {
	job         *job
	worker      string
	token       describer.Token
	granted     describer.Resources
	checkpoint  string
	drainedFrom string
	reason      string
	result      json.RawMessage
	failedOn    []string
	index       int32
	attempts    int32
	evictions   int32

	startedAt      time.Time // when the latest run was started
	losses         int32     // runs that were lost with their worker
	isolatedLosses int32     // those of them that no other run may have caused
	state          describer.TaskState
	mayHaveRun     bool

	startPhase     startPhase
	queued         bool
	slot           int32        // index in worker.runs
	confirmedSync  uint64       // value of worker.syncs when the start was confirmed or got no answer
	listedAt       time.Time    // time of the latest inventory that listed the run
	seenSync       uint64       // value of worker.syncs at the latest inventory that listed the run
	lastBatch      int64        // batch of the latest record about the task
	stop           *stopRequest // decision to stop the run; nil if there is none
	shrinkTo       int64        // millicores of a smaller grant that no inventory shows yet; 0 if there is none
	shrinkSequence int64        // sequence number of the first throttle to shrinkTo
	pendingReason  string       // why the task is not placed; empty if unknown
}

func (t *task) id() describer.TaskID {
	return describer.TaskID{Job: t.job.ID, Index: int(t.index)}
}

// applyStart begins a run.
func (t *task) applyStart(r describer.Record) {
	t.state = describer.Started
	t.worker = r.Worker
	t.token = r.Token
	t.granted = r.Granted
	t.startPhase = startAdopted
	t.startedAt, t.listedAt = r.Time, time.Time{}
}

// applyRelease ends a run without a result. The task is pending until it can resume.
func (t *task) applyRelease(r describer.Record) {
	t.mayHaveRun = t.mayHaveRun || r.Reason != reasonNotStarted
	if r.Checkpoint != "" {
		t.checkpoint = r.Checkpoint
	}
	if r.DrainedFrom != "" {
		t.drainedFrom = r.DrainedFrom
	}
	if r.DrainedFrom != "" || r.Reason == reasonEvicted {
		t.evictions++
	}
	t.applyLoss(r.Loss)
	t.reason = r.Reason
	t.endRun(describer.Pending)
}

// applyFailure ends a run that failed. The task is pending until it is tried again.
func (t *task) applyFailure(r describer.Record) {
	t.mayHaveRun = true
	t.attempts++
	t.failedOn = appendUnique(t.failedOn, t.worker)
	t.reason = r.Reason
	t.endRun(describer.Pending)
}

// applyFinish stores the result of the task.
func (t *task) applyFinish(r describer.Record) {
	t.mayHaveRun = true
	t.result = r.Result
	t.reason = ""
	t.drainedFrom = ""
	t.failedOn = nil
	t.endRun(describer.Done)
}

// endRun clears the run and sets the task's new state. A task of a cancelled job becomes
// cancelled whatever the state.
func (t *task) endRun(state describer.TaskState) {
	if t.job.cancelled {
		state = describer.Cancelled
	}
	t.state = state
	t.worker = ""
	t.granted = describer.Resources{}
	t.stop = nil
	t.shrinkTo = 0
}
