// Package runner is the client of the worker interface, through which the
// owner of a shard starts, renews, throttles and stops tasks.
//
// # Fencing
//
// Each call carries the epoch of the shard's ownership. A worker remembers the
// highest epoch it has seen and refuses lower ones with ErrFenced, so a former
// owner has no effect after its successor's first call.
package runner

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// Refusals by a worker, found with errors.Is; verdict NotRun.
var (
	ErrFenced = errors.New("runner: epoch or token is too old")
	ErrFull   = errors.New("runner: worker lacks the resources")
)

// StartRequest asks for one run of a task. Repeating it with the same token is
// idempotent.
type StartRequest struct {
	Task       describer.TaskID    `json:"task"`
	Token      describer.Token     `json:"token"`
	Class      string              `json:"class"`
	Kind       describer.Kind      `json:"kind"`
	Granted    describer.Resources `json:"granted"`        // enforced by throttling
	Lease      time.Duration       `json:"lease"`          // the worker stops the task when it lapses
	Until      time.Time           `json:"until,omitzero"` // by the worker's clock; see Sync.Until
	RunTime    time.Duration       `json:"runtime"`        // declared
	Checkpoint string              `json:"checkpoint,omitempty"`
	Payload    json.RawMessage     `json:"payload,omitempty"`
}

// StopRequest asks for the end of a run. The run may be of a former owner, so Epoch
// is that of the caller's ownership, and it fences.
type StopRequest struct {
	Epoch      int64            `json:"epoch"`
	Task       describer.TaskID `json:"task"`
	Token      describer.Token  `json:"token"`
	Checkpoint bool             `json:"checkpoint"` // save progress first
}

// StopResult is the answer: the run is over, and no run under this or a lower
// token will begin on this worker.
type StopResult struct {
	Started    bool            `json:"ran"`      // it had begun
	Finished   bool            `json:"finished"` // it had completed before the stop
	Checkpoint string          `json:"checkpoint,omitempty"`
	Result     json.RawMessage `json:"result,omitempty"`
}

// ThrottleRequest sets the processor grant of a run. Epoch is that of the caller's
// ownership, and it fences. A worker ignores a call whose Epoch and Sequence
// are not after those of the last one for the run, so that a late message
// can't undo a newer one.
type ThrottleRequest struct {
	Epoch    int64            `json:"epoch"`
	Sequence int64            `json:"sequence"`
	Task     describer.TaskID `json:"task"`
	Token    describer.Token  `json:"token"`
	CPU      int64            `json:"cpu"` // millicores
}

// Run names one run of a task.
type Run struct {
	Task  describer.TaskID `json:"task"`
	Token describer.Token  `json:"token"`
}

// SyncRequest renews leases in bulk and exchanges state: one call a worker and
// interval. It raises the worker's epoch.
//
// Until bounds what a late message can do: a lease that the call grants ends
// no later than Until by the worker's own clock, and a start that arrives
// after it is refused. Zero leaves Lease from the arrival as the only bound.
type SyncRequest struct {
	Shard string        `json:"shard"`
	Epoch int64         `json:"epoch"`
	Lease time.Duration `json:"lease"`
	Until time.Time     `json:"until,omitzero"`
	Renew []Run         `json:"renew,omitempty"` // runs to keep; others keep their remaining lease
	Ack   []Run         `json:"ack,omitempty"`   // finished runs whose end is durable; the worker forgets them
}

// SyncResult is the worker's inventory.
type SyncResult struct {
	Clock    time.Time           `json:"clock,omitzero"` // the worker's, when it answered
	Capacity describer.Resources `json:"capacity"`
	Running  []ActiveRun         `json:"running"`
	Finished []FinishedRun       `json:"finished"` // kept until acknowledged
	Latency  []LatencyReport     `json:"latency"`  // lagging reports
}

// ActiveRun is a run in progress with its lagging usage.
type ActiveRun struct {
	Run
	ThrottleToken describer.Token     `json:"order,omitzero"` // epoch and sequence of the throttle in force
	Granted       describer.Resources `json:"granted"`
	Used          describer.Resources `json:"used"`
	Progress      float64             `json:"progress"` // 0 to 1
}

// FinishedRun is a run that ended by itself or by a lapsed lease.
type FinishedRun struct {
	Run
	OK           bool            `json:"ok"`
	LeaseExpired bool            `json:"lapsed"` // lease ended; Checkpoint holds what was saved
	Result       json.RawMessage `json:"result,omitempty"`
	Reason       string          `json:"reason,omitempty"`
	Checkpoint   string          `json:"checkpoint,omitempty"`
}

// LatencyReport is what a service's requests took on the worker in a past interval.
type LatencyReport struct {
	Service string        `json:"service"`
	From    time.Time     `json:"from"`
	To      time.Time     `json:"to"`
	P99     time.Duration `json:"p99"`
	Count   int64         `json:"count"`
	Load    float64       `json:"load"` // share of slots in use, 0 to 1
}

// Worker is the interface to all workers; address is Host.Control. Failures
// are *classifier.Error values.
type Worker interface {
	Start(ctx context.Context, address string, s StartRequest) error
	Stop(ctx context.Context, address string, s StopRequest) (StopResult, error)
	Throttle(ctx context.Context, address string, t ThrottleRequest) error
	Sync(ctx context.Context, address string, s SyncRequest) (SyncResult, error)
}
