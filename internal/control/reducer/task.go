package reducer

import (
	"encoding/json"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// Reasons of releases that count differently.
const (
	reasonNotStarted = "not begun" // the run never began
	reasonEvicted    = "evicted"   // for services or for urgent work
)

// job is an accepted job with its tasks.
type job struct {
	*describer.Job
	seq       uint64 // of acceptance
	tasks     []task
	counts    [describer.Failed + 1]int
	cancelled bool
	endedAt   time.Time
	lastBatch int64 // of the latest record that a caller may hear of
}

func (j *job) isOver() bool {
	return j.counts[describer.Pending] == 0 && j.counts[describer.Started] == 0
}

// mayHaveRun reports whether any task may have begun.
func (j *job) mayHaveRun() bool {
	for i := range j.tasks {
		if j.tasks[i].ran || j.tasks[i].state == describer.Started {
			return true
		}
	}
	return false
}

// phase is what the owner knows about the start of a task's run.
type startPhase uint8

const (
	startRecorded   startPhase = iota // recorded, the worker was not asked
	startSent                         // StartTask without an answer yet
	startUnanswered                   // the answer was lost
	startConfirmed                    // the worker said that it runs
	startAdopted                      // recorded by a former owner
)

// task is the state of one task. The fields above the line are durable.
type task struct {
	job        *job
	worker     string
	token      describer.Token
	granted    describer.Resources
	checkpoint string
	drainedOff string
	reason     string
	result     json.RawMessage
	failedOn   []string
	index      int32
	attempts   int32
	evictions  int32
	state      describer.TaskState
	ran        bool

	startPhase     startPhase
	queued         bool
	slot           int32        // in worker.runs
	confirmedAt    uint64       // worker.calls when the start was confirmed
	seenAt         uint64       // worker.calls of the latest inventory that named it
	lastBatch      int64        // of the latest record
	stop           *stopRequest // a stop is wanted
	shrinkTo       int64        // processors of a throttle that no inventory shows yet; 0 is none
	shrinkSequence int64        // sequence of the first such throttle
	pendingReason  string       // why it isn't placed
}

func (t *task) id() describer.TaskID {
	return describer.TaskID{Job: t.job.ID, Index: int(t.index)}
}

func (t *task) applyStart(r describer.Record) {
	t.state = describer.Started
	t.worker = r.Worker
	t.token = r.Token
	t.granted = r.Granted
	t.startPhase = startAdopted
}

// release ends a run without a result. The task waits to resume.
func (t *task) applyRelease(r describer.Record) {
	t.ran = t.ran || r.Reason != reasonNotStarted
	if r.Checkpoint != "" {
		t.checkpoint = r.Checkpoint
	}
	if r.DrainedFrom != "" {
		t.drainedOff = r.DrainedFrom
	}
	if r.DrainedFrom != "" || r.Reason == reasonEvicted {
		t.evictions++
	}
	t.reason = r.Reason
	t.endRun(describer.Pending)
}

func (t *task) applyFailure(r describer.Record) {
	t.ran = true
	t.attempts++
	t.failedOn = appendUnique(t.failedOn, t.worker)
	t.reason = r.Reason
	t.endRun(describer.Pending)
}

func (t *task) applyFinish(r describer.Record) {
	t.ran = true
	t.result = r.Result
	t.reason = ""
	t.drainedOff = ""
	t.failedOn = nil
	t.endRun(describer.Done)
}

// end leaves the run behind. A task of a cancelled job never starts again.
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
