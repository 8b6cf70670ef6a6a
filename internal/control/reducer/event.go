package reducer

import (
	"encoding/json"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// Event is an input of the state machine: a change outside, a request of a caller
// or the outcome of an effect.
type Event interface{ event() }

// Tick sets the current time. All events up to the next Tick are handled at this
// time, except for what [State.Observe] says.
type Tick struct{ Now time.Time }

// ConfigurationReceived delivers a configuration. It is ignored unless its revision
// is greater than the current one.
type ConfigurationReceived struct{ Configuration describer.Configuration }

// HostsReceived delivers the complete list of hosts.
type HostsReceived struct{ Hosts []describer.Host }

// PeersChanged delivers the entry hosts of all failure domains that membership
// believes to be alive, including this one.
type PeersChanged struct{ Alive []Peer }

// Peer is an entry host (a host that runs a daemon) as membership reports it.
type Peer struct {
	Name    string
	Domain  string
	Region  string
	Address string   // ip:port on which it serves other daemons
	Shards  []string // ids of the shards that it reports as its own
	Leaving bool     // whether it has begun a planned stop
}

// StoreChecked reports whether the store answered the last call. It follows each
// renewal of the shard leases, even if nothing changed. If the call shows that
// the lease of a shard has ended, ShardLost comes before it.
type StoreChecked struct{ Reachable bool }

// ShardClaimed reports that this daemon now owns a shard under the given epoch, and
// delivers the shard's ledger.
type ShardClaimed struct {
	Shard    string
	Epoch    int64
	Snapshot []byte             // Data of the latest SaveSnapshot; nil if there is none
	Records  []describer.Record // records appended after the snapshot, in order
}

// ClaimFailed reports that a ClaimShard did not succeed. The reducer retries it.
type ClaimFailed struct {
	Shard string
	Owner string // name of the current owner; empty if unknown
}

// ShardLost reports that this daemon no longer owns a shard: another daemon claimed
// it, its lease expired, or it was released.
type ShardLost struct {
	Shard string
	Epoch int64
}

// RecordsAppended reports that all records of the AppendRecords with this Batch, and
// of earlier ones, are durable.
type RecordsAppended struct {
	Shard string
	Epoch int64
	Batch int64
}

// SubmitRequested asks to accept a job in its home shard (see [HomeShard]). The Reply
// is a JobStatus.
type SubmitRequested struct {
	Request RequestID
	Job     describer.Job
}

// CancelRequested asks to cancel a job. The Reply is a JobStatus.
type CancelRequested struct {
	Request RequestID
	Job     string
}

// JobStatusRequested asks for the state of a job. The Reply is a JobStatus.
type JobStatusRequested struct {
	Request RequestID
	Job     string
}

// KeyClaimRequested asks to claim an idempotency key before a non-idempotent request
// is sent. The Reply is a KeyClaim.
type KeyClaimRequested struct {
	Request RequestID
	Shard   string
	Key     string
	Owner   string // entry host that will send the request, with a nonce
}

// PlanRequested asks which steps an intent would take on the shards owned here. The
// Reply is a Plan.
type PlanRequested struct {
	Request RequestID
	Intent  describer.Intent
}

// StatusRequested asks for a report on the shards owned here. The Reply is a Status.
type StatusRequested struct {
	Request RequestID
	Worker  string // reports only this worker, with explanations; empty reports all without
}

// WorkerSynced delivers a worker's answer to SyncWorker: the inventory of its runs.
type WorkerSynced struct {
	Shard  string
	Epoch  int64
	Worker string
	SentAt time.Time // start of the call; the worker read its clock after it
	Synced runner.SyncResult
}

// WorkerSyncFailed reports that a SyncWorker failed or was not answered.
type WorkerSyncFailed struct {
	Shard  string
	Epoch  int64
	Worker string
	Fenced bool // the worker refused the call because it knows a greater epoch
}

// StartAnswered reports the outcome of StartTask. Err is empty on success; otherwise
// Verdict says whether the run may have started.
type StartAnswered struct {
	Shard   string
	Epoch   int64
	Worker  string
	Task    describer.TaskID
	Token   describer.Token
	Verdict classifier.Verdict
	Err     string
}

// StopAnswered reports the outcome of StopTask. If Err is not empty, the run may still
// be running and Stopped is not set.
type StopAnswered struct {
	Shard   string
	Epoch   int64
	Worker  string
	Task    describer.TaskID
	Token   describer.Token
	Stopped runner.StopResult
	Err     string
}

// DrainUpdateAnswered reports the outcome of ProposeDrainUpdate. The new configuration
// follows as ConfigurationReceived.
type DrainUpdateAnswered struct {
	Drain  string
	Worker string
	OK     bool
}

// StopRequested begins a planned stop: the daemon claims no more shards and releases
// those that it owns.
type StopRequested struct{}

func (Tick) event()                  {}
func (ConfigurationReceived) event() {}
func (HostsReceived) event()         {}
func (PeersChanged) event()          {}
func (StoreChecked) event()          {}
func (ShardClaimed) event()          {}
func (ClaimFailed) event()           {}
func (ShardLost) event()             {}
func (RecordsAppended) event()       {}
func (SubmitRequested) event()       {}
func (CancelRequested) event()       {}
func (JobStatusRequested) event()    {}
func (KeyClaimRequested) event()     {}
func (PlanRequested) event()         {}
func (StatusRequested) event()       {}
func (WorkerSynced) event()          {}
func (WorkerSyncFailed) event()      {}
func (StartAnswered) event()         {}
func (StopAnswered) event()          {}
func (DrainUpdateAnswered) event()   {}
func (StopRequested) event()         {}

// RequestID links a Reply to the event that requested it. There is no reply to 0.
type RequestID uint64

// JobStatus is the Reply to SubmitRequested, CancelRequested and JobStatusRequested.
// Pending, Started, Done and Failed count the job's tasks in each state.
type JobStatus struct {
	Job        string            `json:"job"`
	Shard      string            `json:"shard"`
	State      string            `json:"state"` // one of accepted, running, done, cancelled, failed
	Pending    int               `json:"pending"`
	Started    int               `json:"started"`
	Done       int               `json:"done"`
	Failed     int               `json:"failed"`
	MayHaveRun bool              `json:"ran"`               // whether any task has run or may have
	Reason     string            `json:"reason,omitempty"`  // first reason why a task is pending, failed or cancelled
	Results    []json.RawMessage `json:"results,omitempty"` // results by task index; set when State is done
}

// KeyClaim is the Reply to KeyClaimRequested.
type KeyClaim struct {
	First bool   `json:"fresh"` // whether the request is the first claim of the key
	Owner string `json:"owner"` // owner given by the first claim
}
