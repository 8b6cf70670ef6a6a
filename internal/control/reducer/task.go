package reducer

import (
	"encoding/json"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// Reasons of releases that count differently.
const (
	reasonNotBegun = "not begun" // the run never began
	reasonEvicted  = "evicted"   // for services or for urgent work
)

// job is an accepted job with its tasks.
type job struct {
	*describer.Job
	order     uint64 // of acceptance
	tasks     []task
	counts    [describer.Failed + 1]int
	cancelled bool
	ended     time.Time
	batch     int64 // of the latest record that a caller may hear of
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
type phase uint8

const (
	decided   phase = iota // recorded, the worker was not asked
	asked                  // StartTask without an answer yet
	uncertain              // the answer was lost
	confirmed              // the worker said that it runs
	adopted                // recorded by a former owner
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

	phase      phase
	queued     bool
	slot       int32     // in worker.runs
	call       uint64    // worker.calls when the start was confirmed
	seen       uint64    // worker.calls of the latest inventory that named it
	batch      int64     // of the latest record
	stop       *stopping // a stop is wanted
	shrinkTo   int64     // processors of a throttle that no inventory shows yet; 0 is none
	shrinkFrom int64     // sequence of the first such throttle
	policy     string    // why it isn't placed
}

func (t *task) id() describer.TaskID {
	return describer.TaskID{Job: t.job.ID, Index: int(t.index)}
}

func (t *task) start(r describer.Record) {
	t.state = describer.Started
	t.worker = r.Worker
	t.token = r.Token
	t.granted = r.Granted
	t.phase = adopted
}

// release ends a run without a result. The task waits to resume.
func (t *task) release(r describer.Record) {
	t.ran = t.ran || r.Reason != reasonNotBegun
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
	t.end(describer.Pending)
}

func (t *task) fail(r describer.Record) {
	t.ran = true
	t.attempts++
	t.failedOn = addText(t.failedOn, t.worker)
	t.reason = r.Reason
	t.end(describer.Pending)
}

func (t *task) finish(r describer.Record) {
	t.ran = true
	t.result = r.Result
	t.reason = ""
	t.drainedOff = ""
	t.failedOn = nil
	t.end(describer.Done)
}

// end leaves the run behind. A task of a cancelled job never starts again.
func (t *task) end(state describer.TaskState) {
	if t.job.cancelled {
		state = describer.Cancelled
	}
	t.state = state
	t.worker = ""
	t.granted = describer.Resources{}
	t.stop = nil
	t.shrinkTo = 0
}
