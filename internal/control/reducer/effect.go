package reducer

import (
	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// Effect is an action that the caller of Reduce must execute. Unless stated otherwise
// the reducer repeats calls to workers that were not answered.
type Effect interface{ effect() }

// ClaimShard requests ownership of a shard. The outcome is ShardClaimed or ClaimFailed.
type ClaimShard struct{ Shard string }

// ReleaseShard gives up ownership of a shard after all its pending appends are done. The
// outcome is ShardLost.
type ReleaseShard struct {
	Shard string
	Epoch int64
}

// AppendRecords appends records to the shard's ledger, in the order of Batch. The outcome
// is RecordsAppended or ShardLost; while the store is unreachable the append stays
// pending.
type AppendRecords struct {
	Shard   string
	Epoch   int64
	Batch   int64 // number of this append since the claim, from 1
	Records []describer.Record
}

// SaveSnapshot replaces the part of the ledger up to and including Batch with a snapshot.
// It has no outcome.
type SaveSnapshot struct {
	Shard string
	Epoch int64
	Batch int64
	Data  []byte // encoded snapshot; opaque to the caller
}

// StartTask calls a worker to start a run. The outcome is StartAnswered. Calls with the
// same token are idempotent.
type StartTask struct {
	Shard   string
	Epoch   int64
	Worker  string
	Address string
	Start   runner.StartRequest
}

// StopTask calls a worker to stop a run. The outcome is StopAnswered. The call is
// idempotent.
type StopTask struct {
	Shard   string
	Epoch   int64
	Worker  string
	Address string
	Stop    runner.StopRequest
}

// ThrottleTask calls a worker to change the CPU grant of a run. It has no outcome;
// the worker's next inventory shows the grant that applies.
type ThrottleTask struct {
	Worker   string
	Address  string
	Throttle runner.ThrottleRequest
}

// SyncWorker calls a worker to renew the leases of its runs and to report its inventory.
// The outcome is WorkerSynced or WorkerSyncFailed.
type SyncWorker struct {
	Worker  string
	Address string
	Sync    runner.SyncRequest
}

// Reply answers the event with the same Request. Exactly one of the pointers is set.
type Reply struct {
	Request RequestID
	Job     *JobStatus
	Key     *KeyClaim
	Plan    *describer.Plan
	Status  *Status
	Err     *classifier.Error
}

// PublishRoutingTable replaces the routing table that the daemon routes requests by.
type PublishRoutingTable struct{ Table *describer.RoutingTable }

// ProposeDrainUpdate asks to change a drain in the configuration. Without Worker, the
// drain's time is over and it changes from draining to restoring. With Worker, the
// restore of that worker is complete; the drain is removed when all of its workers are
// restored. The outcome is DrainUpdateAnswered.
type ProposeDrainUpdate struct {
	Drain  string // id of the drain
	Worker string // name of the restored worker, or empty
}

func (ClaimShard) effect()          {}
func (ReleaseShard) effect()        {}
func (AppendRecords) effect()       {}
func (SaveSnapshot) effect()        {}
func (StartTask) effect()           {}
func (StopTask) effect()            {}
func (ThrottleTask) effect()        {}
func (SyncWorker) effect()          {}
func (Reply) effect()               {}
func (PublishRoutingTable) effect() {}
func (ProposeDrainUpdate) effect()  {}

// Status reports on a daemon and the shards that it owns.
type Status struct {
	Daemon         string         `json:"daemon"`
	Revision       int64          `json:"revision"` // revision of the configuration; 0 if there is none
	Ready          bool           `json:"ready"`    // whether the daemon may serve requests
	StoreReachable bool           `json:"store"`    // whether the last store call was answered
	Shards         []ShardStatus  `json:"shards"`
	Workers        []WorkerStatus `json:"workers,omitempty"`

	Evacuations []describer.Evacuation `json:"evacuations,omitempty"` // those in force
}

// ShardStatus summarizes one owned shard. Pending and Started count its tasks in these
// states.
type ShardStatus struct {
	Shard     string `json:"shard"`
	Epoch     int64  `json:"epoch"`
	Phase     string `json:"phase"` // owned, recovering (runs of some worker are not confirmed yet) or releasing
	Workers   int    `json:"workers"`
	Pending   int    `json:"pending"`
	Started   int    `json:"started"`
	Done      int    `json:"done"`    // tasks finished since the snapshot that this daemon loaded when it claimed the shard
	Evictions int64  `json:"evicted"` // runs evicted or drained since that snapshot
}

// WorkerStatus describes one worker of an owned shard.
type WorkerStatus struct {
	Worker           string              `json:"worker"`
	Capacity         describer.Resources `json:"capacity"`
	Granted          describer.Resources `json:"granted"`
	Tasks            int                 `json:"tasks"`           // started tasks
	ClosedReason     string              `json:"aside,omitempty"` // why no tasks are placed on the worker; empty if they are
	Drain            string              `json:"drain,omitempty"` // id and state of its drain
	RestoreBlockedBy string              `json:"held,omitempty"`  // what delays its restore
	Interference     []string            `json:"why,omitempty"`   // explained interference estimates of its services
}
