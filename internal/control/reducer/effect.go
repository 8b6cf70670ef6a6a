package reducer

import (
	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// Effect is something to be done outside the control state.
type Effect interface{ effect() }

// ClaimShard asks for ownership of a shard. The answer is ShardClaimed or ClaimFailed.
type ClaimShard struct{ Shard string }

// ReleaseShard gives a shard up once its pending appends are done. The answer is ShardLost.
type ReleaseShard struct {
	Shard string
	Epoch int64
}

// AppendRecords makes records durable, in order with other appends of the shard. The
// answer is Appended or ShardLost; while the store is away it stays pending.
type AppendRecords struct {
	Shard   string
	Epoch   int64
	Batch   int64
	Records []describer.Record
}

// SaveSnapshot replaces the ledger up to and including Batch by Data.
type SaveSnapshot struct {
	Shard string
	Epoch int64
	Batch int64
	Data  []byte
}

// StartTask asks a worker to start a run. The answer is StartAnswered.
type StartTask struct {
	Shard   string
	Epoch   int64
	Worker  string
	Address string
	Start   runner.StartRequest
}

// StopTask asks a worker to end a run. The answer is StopAnswered.
type StopTask struct {
	Shard   string
	Epoch   int64
	Worker  string
	Address string
	Stop    runner.StopRequest
}

// ThrottleTask changes a run's processor grant. There is no answer; the next
// inventory shows the grant in force.
type ThrottleTask struct {
	Worker   string
	Address  string
	Throttle runner.ThrottleRequest
}

// SyncWorker renews leases and fetches the inventory. The answer is
// WorkerSynced or WorkerFailed.
type SyncWorker struct {
	Worker  string
	Address string
	Sync    runner.SyncRequest
}

// Reply answers a request. Exactly one of the pointers is set.
type Reply struct {
	Request RequestID
	Job     *JobStatus
	Key     *KeyClaim
	Plan    *describer.Plan
	Status  *Status
	Err     *classifier.Error
}

// PublishRoutingTable replaces the traffic side's routing table.
type PublishRoutingTable struct{ Table *describer.RoutingTable }

// ProposeDrainUpdate changes the configuration: the worker has its work back from the
// drain, which is removed when all of its workers have, or (Worker empty) the
// drain's time is over and its restore begins. The answer is Proposed.
type ProposeDrainUpdate struct {
	Drain  string
	Worker string
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

// Status reports on the shards that a daemon owns.
type Status struct {
	Daemon         string         `json:"daemon"`
	Revision       int64          `json:"revision"`
	Ready          bool           `json:"ready"`
	StoreReachable bool           `json:"store"` // reached by the last call
	Shards         []ShardStatus  `json:"shards"`
	Workers        []WorkerStatus `json:"workers,omitempty"`
}

// ShardStatus is one owned shard in short.
type ShardStatus struct {
	Shard     string `json:"shard"`
	Epoch     int64  `json:"epoch"`
	Phase     string `json:"phase"`
	Workers   int    `json:"workers"`
	Pending   int    `json:"pending"`
	Started   int    `json:"started"`
	Done      int    `json:"done"`
	Evictions int64  `json:"evicted"`
}

// WorkerStatus is one worker of an owned shard.
type WorkerStatus struct {
	Worker       string              `json:"worker"`
	Capacity     describer.Resources `json:"capacity"`
	Granted      describer.Resources `json:"granted"`
	Tasks        int                 `json:"tasks"`
	ClosedReason string              `json:"aside,omitempty"` // why no task is placed here
	Drain        string              `json:"drain,omitempty"` // id and state of its drain
	RestoreHold  string              `json:"held,omitempty"`  // what still holds its restore back
	Interference []string            `json:"why,omitempty"`   // interference estimates
}
