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
	Urgent          // must start within the urgent start bound
)

func (p Priority) String() string {
	switch p {
	case Normal:
		return "normal"
	case Urgent:
		return "urgent"
	}
	return fmt.Sprintf("priority(%d)", uint8(p))
}

// Kind tells batch tasks, which end, from latency-critical ones, which do not.
type Kind uint8

// Kinds of task.
const (
	Batch Kind = iota
	LatencyCritical
)

func (k Kind) String() string {
	switch k {
	case Batch:
		return "batch"
	case LatencyCritical:
		return "latency-critical"
	}
	return fmt.Sprintf("kind(%d)", uint8(k))
}

// Job is a unit of submission. ID is chosen by the caller and makes the
// submission idempotent.
type Job struct {
	ID       string          `json:"id"`
	Team     string          `json:"team"`
	Class    string          `json:"class"` // interference class of its tasks
	Kind     Kind            `json:"kind,omitempty"`
	Priority Priority        `json:"priority,omitempty"`
	Tasks    int             `json:"tasks"`    // number of tasks, at least 1
	Declared Resources       `json:"declared"` // for each task
	RunTime  time.Duration   `json:"runtime"`  // declared, for each task
	Deadline time.Time       `json:"deadline,omitzero"`
	Payload  json.RawMessage `json:"payload,omitempty"`
	Accepted time.Time       `json:"accepted,omitzero"`
}

// TaskID names one task of a job.
type TaskID struct {
	Job   string `json:"job"`
	Index int    `json:"index"`
}

func (t TaskID) String() string { return fmt.Sprintf("%s/%d", t.Job, t.Index) }

// Token fences runs of one task: a worker refuses a token that is lower than
// one it has seen for the task, and any token of an epoch lower than the
// highest it has seen for the shard.
type Token struct {
	Epoch    int64 `json:"epoch"`    // of the shard's ownership
	Sequence int64 `json:"sequence"` // within the epoch
}

// Less reports whether t was issued before o.
func (t Token) Less(o Token) bool {
	return t.Epoch < o.Epoch || t.Epoch == o.Epoch && t.Sequence < o.Sequence
}

// TaskState is the state of a task in its ledger.
type TaskState uint8

// Task states. Done, Cancelled and Failed are final.
const (
	Pending   TaskState = iota // not started, or evicted and waiting to resume
	Started                    // may be running on Task.Worker under Task.Token
	Done                       // completed, result durable
	Cancelled                  // cancelled; Task.Ran says whether it had run
	Failed                     // set aside for good, Task.Reason says why
)

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
	Worker      string          `json:"worker,omitempty"` // while Started
	Token       Token           `json:"token,omitzero"`   // of the latest run
	Granted     Resources       `json:"granted,omitzero"` // while Started
	Checkpoint  string          `json:"checkpoint,omitempty"`
	Attempts    int             `json:"attempts,omitempty"` // runs that ended in failure
	Evictions   int             `json:"evictions,omitempty"`
	DrainedFrom string          `json:"drained,omitempty"` // worker it was drained from and is owed back to
	MayHaveRun  bool            `json:"ran,omitempty"`     // some run may have begun
	Result      json.RawMessage `json:"result,omitempty"`
	Reason      string          `json:"reason,omitempty"`
}
