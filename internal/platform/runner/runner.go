// Package runner is the client of the API of workers (machines that run tasks),
// through which the owner of a shard starts, throttles and stops tasks and renews
// their leases.
//
// # Fencing
//
// Each call carries the epoch of the shard's ownership. A worker remembers the
// highest epoch that it has seen and refuses lower ones with ErrFenced, so a former
// owner has no effect after the first call of its successor.
package runner

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// Errors by which a worker refuses a call, to be tested with errors.Is. They come with
// the verdict NotRun.
var (
	// ErrFenced is returned when the worker has seen a greater epoch or token.
	ErrFenced = errors.New("runner: epoch or token is too old")
	// ErrFull is returned when the worker lacks the resources for a start.
	ErrFull = errors.New("runner: worker lacks the resources")
)

// StartRequest asks a worker to start one run of a task. It is idempotent: a
// repetition with the same token does not start the task again.
type StartRequest struct {
	Task       describer.TaskID    `json:"task"`
	Token      describer.Token     `json:"token"` // fencing token of the run
	Class      string              `json:"class"`
	Kind       describer.Kind      `json:"kind"`
	Granted    describer.Resources `json:"granted"`              // limit that the worker enforces by throttling
	Lease      time.Duration       `json:"lease"`                // duration of the lease from the arrival; the worker stops the task when it expires
	Until      time.Time           `json:"until,omitzero"`       // latest end of the lease by the worker's clock; see SyncRequest
	RunTime    time.Duration       `json:"runtime"`              // run time that the job declares
	Checkpoint string              `json:"checkpoint,omitempty"` // checkpoint to resume from
	Payload    json.RawMessage     `json:"payload,omitempty"`
}

// StopRequest asks a worker to end a run. The run may have been started by a former
// owner of the shard, so Epoch is that of the caller's ownership. The worker uses it
// for fencing, like the epochs of other calls.
type StopRequest struct {
	Epoch      int64            `json:"epoch"`
	Task       describer.TaskID `json:"task"`
	Token      describer.Token  `json:"token"`
	Checkpoint bool             `json:"checkpoint"` // whether to save a checkpoint first
}

// StopResult is the answer to a StopRequest. It promises that the run has ended, and
// that no run of the task under this token or a lower one will start on the worker.
type StopResult struct {
	Started    bool            `json:"ran"`      // whether the run had started
	Finished   bool            `json:"finished"` // whether it had completed before the stop
	Checkpoint string          `json:"checkpoint,omitempty"`
	Result     json.RawMessage `json:"result,omitempty"`
}

// ThrottleRequest sets the CPU that is granted to a run. Epoch is that of the caller's
// ownership, and the worker uses it for fencing. A worker ignores a call unless its
// Epoch and Sequence are later than those of the last call for the run, so that a
// delayed message cannot undo a newer one.
type ThrottleRequest struct {
	Epoch    int64            `json:"epoch"`
	Sequence int64            `json:"sequence"`
	Task     describer.TaskID `json:"task"`
	Token    describer.Token  `json:"token"`
	CPU      int64            `json:"cpu"` // millicores
}

// Run identifies one run of a task.
type Run struct {
	Task  describer.TaskID `json:"task"`
	Token describer.Token  `json:"token"`
}

// SyncRequest renews the leases of runs in bulk and exchanges state. The owner of a
// shard sends one to each worker in each interval. It raises the epoch that the worker
// has seen.
//
// Until limits the effect of a delayed message: a lease that the call grants ends no
// later than Until by the worker's own clock. A StartRequest that arrives after its
// Until is refused. If Until is zero, a lease ends Lease after the arrival.
type SyncRequest struct {
	Shard string        `json:"shard"`
	Epoch int64         `json:"epoch"`
	Lease time.Duration `json:"lease"`
	Until time.Time     `json:"until,omitzero"`
	Renew []Run         `json:"renew,omitempty"` // runs whose leases are renewed; the leases of others run on
	Ack   []Run         `json:"ack,omitempty"`   // finished runs whose results are stored durably; the worker forgets them
}

// SyncResult is the worker's inventory.
type SyncResult struct {
	Clock    time.Time           `json:"clock,omitzero"` // the worker's time when it answered
	Capacity describer.Resources `json:"capacity"`
	Running  []ActiveRun         `json:"running"`
	Finished []FinishedRun       `json:"finished"` // kept until they are acknowledged
	Latency  []LatencyReport     `json:"latency"`  // reports of past intervals
}

// ActiveRun is a run in progress. Its usage lags.
type ActiveRun struct {
	Run
	ThrottleToken describer.Token     `json:"order,omitzero"` // Epoch and Sequence of the ThrottleRequest in force
	Granted       describer.Resources `json:"granted"`
	Used          describer.Resources `json:"used"`
	Progress      float64             `json:"progress"` // completed share of the work, 0 to 1
}

// FinishedRun is a run that ended by itself or because its lease expired.
type FinishedRun struct {
	Run
	OK           bool            `json:"ok"`     // whether the task succeeded
	LeaseExpired bool            `json:"lapsed"` // whether the worker stopped the run at the end of its lease, after saving Checkpoint
	Result       json.RawMessage `json:"result,omitempty"`
	Reason       string          `json:"reason,omitempty"` // why the run failed
	Checkpoint   string          `json:"checkpoint,omitempty"`
}

// LatencyReport is the latency of the requests of one service on the worker in a past
// interval.
type LatencyReport struct {
	Service string        `json:"service"`
	From    time.Time     `json:"from"`
	To      time.Time     `json:"to"`
	P99     time.Duration `json:"p99"`   // 99th percentile of the latency
	Count   int64         `json:"count"` // number of requests
	Load    float64       `json:"load"`  // average share of the slots in use, 0 to 1
}

// Worker is the API of all workers. The address of a worker is its Host.Control, ip:port.
// Errors are *classifier.Error values.
type Worker interface {
	// Start starts a run. It returns ErrFull if the worker lacks the resources.
	Start(ctx context.Context, address string, r StartRequest) error
	// Stop ends a run, also one that never started, and fences its token.
	Stop(ctx context.Context, address string, r StopRequest) (StopResult, error)
	// Throttle changes the CPU that is granted to a run.
	Throttle(ctx context.Context, address string, r ThrottleRequest) error
	// Sync renews leases, acknowledges finished runs and returns the inventory.
	Sync(ctx context.Context, address string, r SyncRequest) (SyncResult, error)
}
