package describer

import (
	"encoding/json"
	"fmt"
	"time"
)

// Priority orders jobs of one team.
type Priority uint8

// Priorities, in rising order.
const (
	Normal Priority = iota
	Urgent          // must be started or refused within placer.UrgentStartLimit
)

// String returns the name of the priority.
func (p Priority) String() string {
	switch p {
	case Normal:
		return "normal"
	case Urgent:
		return "urgent"
	}
	return fmt.Sprintf("priority(%d)", uint8(p))
}

// Kind is the kind of a job's tasks.
type Kind uint8

// Kinds of task.
const (
	Batch           Kind = iota // finite: each task ends by itself
	LatencyCritical             // long-running: each task runs until the job is cancelled
)

// String returns the name of the kind.
func (k Kind) String() string {
	switch k {
	case Batch:
		return "batch"
	case LatencyCritical:
		return "latency-critical"
	}
	return fmt.Sprintf("kind(%d)", uint8(k))
}

// Job is a number of equal tasks that are submitted together. The caller chooses
// ID, which makes the submission idempotent.
type Job struct {
	ID       string          `json:"id"`
	Team     string          `json:"team"`
	Class    string          `json:"class"` // interference class of the tasks
	Kind     Kind            `json:"kind,omitempty"`
	Priority Priority        `json:"priority,omitempty"`
	Tasks    int             `json:"tasks"`    // number of tasks, at least 1
	Declared Resources       `json:"declared"` // resources that each task needs, as declared
	RunTime  time.Duration   `json:"runtime"`  // run time of each task, as declared
	Deadline time.Time       `json:"deadline,omitzero"`
	Payload  json.RawMessage `json:"payload,omitempty"`
	Accepted time.Time       `json:"accepted,omitzero"`
}

// TaskID identifies one task of a job.
type TaskID struct {
	Job   string `json:"job"`
	Index int    `json:"index"`
}

// String returns the job's ID and the index, as in "wave-7/3".
func (t TaskID) String() string { return fmt.Sprintf("%s/%d", t.Job, t.Index) }

// Token is the fencing token of one run of a task. A worker refuses a token that
// is lower than the highest that it has seen for the task, and a token whose
// epoch is lower than the highest that it has seen for the shard.
type Token struct {
	Epoch    int64 `json:"epoch"`    // epoch of the shard's ownership
	Sequence int64 `json:"sequence"` // number within the epoch
}

// Less reports whether t was issued before o.
func (t Token) Less(o Token) bool {
	return t.Epoch < o.Epoch || t.Epoch == o.Epoch && t.Sequence < o.Sequence
}

// TaskState is the state of a task in its shard's ledger.
type TaskState uint8

// Task states. Done, Cancelled and Failed are final.
const (
	Pending   TaskState = iota // not started yet, or evicted and waiting to resume
	Started                    // may be running on Task.Worker under Task.Token
	Done                       // completed, with a durable result
	Cancelled                  // cancelled; Task.MayHaveRun tells whether it may have run
	Failed                     // abandoned, for the reason in Task.Reason
)

// String returns the name of the state.
func (s TaskState) String() string {
	switch s {
	case Pending:
		return "pending"
	case Started:
		return "started"
	case Done:
		return "done"
	case Cancelled:
		return "cancelled"
	case Failed:
		return "failed"
	}
	return fmt.Sprintf("state(%d)", uint8(s))
}

// IsFinal reports whether no further transition is possible.
func (s TaskState) IsFinal() bool { return s == Done || s == Cancelled || s == Failed }

// Task is the durable state of one task.
type Task struct {
	ID          TaskID          `json:"id"`
	State       TaskState       `json:"state"`
	Worker      string          `json:"worker,omitempty"`     // worker that may run it, while Started
	Token       Token           `json:"token,omitzero"`       // token of the latest run
	Granted     Resources       `json:"granted,omitzero"`     // resources held by the run, while Started
	Checkpoint  string          `json:"checkpoint,omitempty"` // latest checkpoint, from which a new run resumes
	Attempts    int             `json:"attempts,omitempty"`   // number of runs that failed
	Evictions   int             `json:"evictions,omitempty"`
	Losses      int             `json:"losses,omitempty"`  // runs that were lost with their worker
	LostAlone   int             `json:"alone,omitempty"`   // those of them that no other run may have caused
	StartedAt   time.Time       `json:"since,omitzero"`    // when the latest run was started
	DrainedFrom string          `json:"drained,omitempty"` // drained worker that it ran on and returns to
	MayHaveRun  bool            `json:"ran,omitempty"`     // whether a run may have begun
	Result      json.RawMessage `json:"result,omitempty"`
	Reason      string          `json:"reason,omitempty"` // why it failed
}
