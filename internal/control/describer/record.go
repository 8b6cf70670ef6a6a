package describer

import (
	"encoding/json"
	"time"
)

// RecordKind is the kind of a state transition.
type RecordKind string

// Kinds of record. The comments list the fields of Record that each kind uses.
const (
	JobAccepted       RecordKind = "job"      // Job
	JobCancelled      RecordKind = "cancel"   // JobID
	TaskStarted       RecordKind = "start"    // Task, Worker, Token, Granted; durable before the worker is called
	TaskResized       RecordKind = "resize"   // Task, Token, Granted
	TaskReleased      RecordKind = "release"  // Task, Token, Checkpoint, Reason, DrainedFrom, Loss; the run has ended for certain, the task waits to resume
	TaskFinished      RecordKind = "finish"   // Task, Token, Result
	TaskFailed        RecordKind = "fail"     // Task, Token, Reason; a run failed
	TaskAbandoned     RecordKind = "aside"    // Task, Reason; the task is abandoned and fails for good
	WorkerQuarantined RecordKind = "suspect"  // Worker, Reason; nothing is placed on the worker
	WorkerReinstated  RecordKind = "trust"    // Worker; ends a quarantine
	DrainRestored     RecordKind = "restored" // Worker, Key (id of the drain)
	ShardReleased     RecordKind = "handover" // Token.Epoch, LeaseWait; last record of an owner that releases the shard
	KeyClaimed        RecordKind = "key"      // Key, Owner; durable before a non-idempotent request is sent
)

// Record is one durable state transition in a shard's ledger. Fields that its
// kind does not use are zero.
type Record struct {
	Kind        RecordKind      `json:"kind"`
	Time        time.Time       `json:"time"`
	Job         *Job            `json:"job,omitempty"`
	JobID       string          `json:"jobid,omitempty"`
	Task        TaskID          `json:"task,omitzero"`
	Token       Token           `json:"token,omitzero"`
	Worker      string          `json:"worker,omitempty"`
	Granted     Resources       `json:"granted,omitzero"`
	Checkpoint  string          `json:"checkpoint,omitempty"`
	DrainedFrom string          `json:"drained,omitempty"`
	Result      json.RawMessage `json:"result,omitempty"`
	Reason      string          `json:"reason,omitempty"`
	Key         string          `json:"key,omitempty"`
	Owner       string          `json:"owner,omitempty"`
	LeaseWait   time.Duration   `json:"wait,omitempty"` // time until every task lease has expired
	Loss        Loss            `json:"loss,omitempty"` // whether the run was lost with its worker
}

// Loss says whether a run was lost with its worker, which may have crashed under it.
type Loss string

// Losses.
const (
	NoLoss     Loss = ""
	LostBeside Loss = "beside" // beside other runs that may have crashed the worker
	LostAlone  Loss = "alone"  // no other run there may have
	RunProven  Loss = "proven" // the run was proven: it had gone on for so long that it doesn't crash workers
)
