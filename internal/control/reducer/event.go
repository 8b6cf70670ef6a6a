package reducer

import (
	"encoding/json"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// Event is anything that changes the control state.
type Event interface{ event() }

// Tick lets time pass. Every event carries the time by the Now of the latest
// Tick before it.
type Tick struct{ Now time.Time }

// ConfigurationReceived delivers a configuration; a revision that is not greater than
// the one in force is ignored.
type ConfigurationReceived struct{ Configuration describer.Configuration }

// HostsReceived delivers the host list.
type HostsReceived struct{ Hosts []describer.Host }

// PeersChanged delivers the entry hosts of all failure domains that membership believes to be alive,
// this one included.
type PeersChanged struct{ Alive []Peer }

// Peer is an entry host as membership sees it.
type Peer struct {
	Name    string
	Domain  string
	Region  string
	Address string   // for peers, ip:port
	Shards  []string // that it says it owns
	Leaving bool
}

// StoreChecked says whether the last store call had an answer. It comes after
// each renewal of the shards' leases, not only on a change. When a call
// shows that a shard's lease is over, ShardLost comes first.
type StoreChecked struct{ Reachable bool }

// ShardClaimed says that this daemon owns a shard from now on. Snapshot and
// Records are the ledger's content; Snapshot may be nil.
type ShardClaimed struct {
	Shard    string
	Epoch    int64
	Snapshot []byte
	Records  []describer.Record
}

// ClaimFailed says that a claim did not succeed; the reducer tries again.
type ClaimFailed struct {
	Shard string
	Owner string // present owner's name, if known
}

// ShardLost says that a shard is owned no longer: fenced, lapsed or released.
type ShardLost struct {
	Shard string
	Epoch int64
}

// RecordsAppended says that the records of Append with this Batch are durable.
type RecordsAppended struct {
	Shard string
	Epoch int64
	Batch int64
}

// SubmitRequested asks to accept a job in Shard, or in its home shard when Shard is empty.
type SubmitRequested struct {
	Request RequestID
	Job     describer.Job
}

// CancelRequested asks to cancel a job.
type CancelRequested struct {
	Request RequestID
	Job     string
}

// JobStatusRequested asks for the state of a job.
type JobStatusRequested struct {
	Request RequestID
	Job     string
}

// KeyClaimRequested asks to record that a non-idempotent request is about to be sent.
type KeyClaimRequested struct {
	Request RequestID
	Shard   string
	Key     string
	Owner   string // entry host that will send it, with a nonce
}

// PlanRequested asks for the steps of an intent on the shards owned here.
type PlanRequested struct {
	Request RequestID
	Intent  describer.Intent
}

// StatusRequested asks for a report on the shards owned here.
type StatusRequested struct {
	Request RequestID
	Worker  string // explain this worker; empty means all, in short
}

// WorkerSynced is a worker's answer to SyncWorker.
type WorkerSynced struct {
	Shard  string
	Epoch  int64
	Worker string
	SentAt time.Time // when the call began; leases run from here
	Synced runner.SyncResult
}

// WorkerSyncFailed says that a SyncWorker had no answer.
type WorkerSyncFailed struct {
	Shard  string
	Epoch  int64
	Worker string
	Fenced bool
}

// StartAnswered is the outcome of StartTask. Err is empty on success.
type StartAnswered struct {
	Shard   string
	Epoch   int64
	Worker  string
	Task    describer.TaskID
	Token   describer.Token
	Verdict classifier.Verdict
	Err     string
}

// StopAnswered is the outcome of StopTask. With Err the run may still be on.
type StopAnswered struct {
	Shard   string
	Epoch   int64
	Worker  string
	Task    describer.TaskID
	Token   describer.Token
	Stopped runner.StopResult
	Err     string
}

// DrainUpdateAnswered is the outcome of a Propose effect; the new configuration follows
// as Configured.
type DrainUpdateAnswered struct {
	Drain  string
	Worker string
	OK     bool
}

// StopRequested begins a planned stop: no claims, shards are released.
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

// RequestID ties a Reply to the event that asked for it; 0 wants no reply.
type RequestID uint64

// JobStatus is the Reply to Submitted, Cancelled and Inquired.
type JobStatus struct {
	Job        string            `json:"job"`
	Shard      string            `json:"shard"`
	State      string            `json:"state"` // accepted, running, done, cancelled, failed
	Pending    int               `json:"pending"`
	Started    int               `json:"started"`
	Done       int               `json:"done"`
	Failed     int               `json:"failed"`
	MayHaveRun bool              `json:"ran"` // some task may have run
	Reason     string            `json:"reason,omitempty"`
	Results    []json.RawMessage `json:"results,omitempty"` // by task index, once done
}

// KeyClaim is the Reply to KeyRequested.
type KeyClaim struct {
	First bool   `json:"fresh"` // false: claimed before, by Owner
	Owner string `json:"owner"`
}
