package describer

import (
	"encoding/json"
	"time"
)

// RecordKind is a durable transition.
type RecordKind string

// Kinds of ledger record and the fields of Record that each one uses.
const (
	JobAccepted       RecordKind = "job"      // Job
	JobCancelled      RecordKind = "cancel"   // JobID
	TaskStarted       RecordKind = "start"    // Task, Worker, Token, Granted; written before the worker is asked
	TaskResized       RecordKind = "resize"   // Task, Token, Granted
	TaskReleased      RecordKind = "release"  // Task, Token, Checkpoint, Reason, DrainedOff: known to be over, waits to resume
	TaskFinished      RecordKind = "finish"   // Task, Token, Result
	TaskFailed        RecordKind = "fail"     // Task, Token, Reason: one attempt failed
	TaskAbandoned     RecordKind = "aside"    // Task, Reason: final
	WorkerQuarantined RecordKind = "suspect"  // Worker, Reason
	WorkerReinstated  RecordKind = "trust"    // Worker
	DrainRestored     RecordKind = "restored" // Worker, Key (drain id)
	ShardReleased     RecordKind = "handover" // Token.Epoch, Wait: the last record of an owner that gave the shard up
	KeyClaimed        RecordKind = "key"      // Key, Owner: a non-idempotent request is about to be sent
)

// Record is one durable transition of a shard.
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
	LeaseWait   time.Duration   `json:"wait,omitempty"` // until every task lease has lapsed
}
