// Package recorder says how jobs and the ownership of shards are kept in the
// platform's store.
//
// # Model
//
// A job is accepted by one conditional write that creates its index entry,
// under its id alone, and its record below its shard. The index entry makes a
// submission idempotent through every entry host; the record is what the
// shard's owner watches. An owner writes progress and final states with
// [Change] values, several in one [storer.Transaction] that also replaces the
// shard's [Fence]. Each such write expects the revision of the fence that the
// last one left behind, so a former owner cannot write, and of two writes with
// a lost answer at most one takes effect.
//
//	JobIndex(id)          Entry     which shard has the job, its state
//	shard/NAME/job/ID     Job       while the job has not ended
//	shard/NAME/cancel/ID            a cancellation that the owner has yet to act on
//	shard/NAME/claim      Claim     the last claim, where an owner that was replaced sees it
//	progress/NAME/ID      Progress  what has completed so far
//	fence/NAME            Fence     epoch and last write of the owner
//	view/owner/NAME       Owner     leased: who owns the shard now
//	view/load/NAME        Load      the owner's summary, seconds old
//	view/layout/SERVICE   Layout    into which shards the service's workers are divided
package recorder

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// Prefixes of keys that are watched.
const (
	ViewPrefix   = "view/"
	ownerPrefix  = ViewPrefix + "owner/"
	loadPrefix   = ViewPrefix + "load/"
	layoutPrefix = ViewPrefix + "layout/"
)

// IndexKey is the key of a job's index entry.
func IndexKey(id string) string { return "index/" + id }

// ShardPrefix is what an owner watches for new jobs and cancellations.
func ShardPrefix(shard string) string { return "shard/" + shard + "/" }

// JobKey is the key of a job's record.
func JobKey(shard, id string) string { return ShardPrefix(shard) + "job/" + id }

// CancelKey is the key of a cancellation.
func CancelKey(shard, id string) string { return ShardPrefix(shard) + "cancel/" + id }

// ClaimKey is the key of a shard's last claim. It is below ShardPrefix, so that
// an owner that was replaced reads of it before any job that came after.
func ClaimKey(shard string) string { return ShardPrefix(shard) + "claim" }

// ProgressPrefix is the prefix of the shard's progress records.
func ProgressPrefix(shard string) string { return "progress/" + shard + "/" }

// ProgressKey is the key of a job's progress record.
func ProgressKey(shard, id string) string { return ProgressPrefix(shard) + id }

// FenceKey is the key of a shard's fence.
func FenceKey(shard string) string { return "fence/" + shard }

// OwnerKey is the key of the leased record of a shard's owner.
func OwnerKey(shard string) string { return ownerPrefix + shard }

// LoadKey is the key of a shard's load summary.
func LoadKey(shard string) string { return loadPrefix + shard }

// LayoutKey is the key of a service's layout.
func LayoutKey(service string) string { return layoutPrefix + service }

// ViewKind is what a key below ViewPrefix holds.
type ViewKind uint8

// Kinds of keys below ViewPrefix.
const (
	OtherView ViewKind = iota
	OwnerView
	LoadView
	LayoutView
)

func (k ViewKind) String() string {
	return [...]string{"other", "owner", "load", "layout"}[k]
}

// ParseViewKey splits a key below ViewPrefix into its kind and the name of its
// shard, or of its service.
func ParseViewKey(key string) (ViewKind, string) {
	for _, kind := range [...]struct {
		prefix string
		kind   ViewKind
	}{{ownerPrefix, OwnerView}, {loadPrefix, LoadView}, {layoutPrefix, LayoutView}} {
		if name, ok := strings.CutPrefix(key, kind.prefix); ok {
			return kind.kind, name
		}
	}
	return OtherView, ""
}

// ParseShardKey splits a key below ShardPrefix into the job and whether the key
// is a cancellation.
func ParseShardKey(shard, key string) (id string, isCancel, ok bool) {
	rest, ok := strings.CutPrefix(key, ShardPrefix(shard))
	if !ok {
		return "", false, false
	}
	if id, ok := strings.CutPrefix(rest, "job/"); ok {
		return id, false, true
	}
	id, ok = strings.CutPrefix(rest, "cancel/")
	return id, true, ok
}

// IndexEntry is a job's index entry.
type IndexEntry struct {
	Shard string          `json:"shard"`
	Queue string          `json:"queue"`
	State specifier.State `json:"state"`
	Ended time.Time       `json:"ended,omitzero"`
}

// Progress is what of a job has to survive its shard's owner.
type Progress struct {
	Tasks []TaskProgress `json:"tasks"`
}

// TaskProgress is the progress of one task. Tasks that never ended are left out.
type TaskProgress struct {
	Occurrence int     `json:"occurrence,omitempty"`
	Step       int     `json:"step,omitempty"`
	Index      int     `json:"index,omitempty"`
	Done       bool    `json:"done,omitempty"`
	Failed     []int64 `json:"failed,omitempty"`     // runs that failed
	Checkpoint string  `json:"checkpoint,omitempty"` // to resume from
}

// Fence orders the writes of a shard's owners.
type Fence struct {
	Owner   string   `json:"owner"`
	Epoch   int64    `json:"epoch"`             // number of claims before this one
	WriteID string   `json:"write"`             // identifies the write; a random id
	Workers []string `json:"workers,omitempty"` // that may have runs of this shard

	// Released is that the owner has stopped as planned; Leftovers then stand
	// in place of Workers.
	Released     bool          `json:"released,omitempty"`
	WorkerLeases []WorkerLease `json:"leftovers,omitempty"`
}

// WorkerLease is a worker that may have runs of an owner that has stopped as planned.
type WorkerLease struct {
	Worker    string        `json:"worker"`
	Remaining time.Duration `json:"lapse"` // after which all leases there have lapsed, from the stop
}

// Claim identifies an ownership.
type Claim struct {
	Daemon string `json:"daemon"`
	Epoch  int64  `json:"epoch"`
}

// Owner says who owns a shard.
type Owner struct {
	Daemon string `json:"daemon"`
}

// Layout says how the workers of a service are divided into shards. It is
// written once.
type Layout struct {
	Divided bool `json:"divided"` // a shard for each failure domain, otherwise one for all
}

// Load is an owner's summary of its shard for other entry hosts.
type Load struct {
	Service      string              `json:"service"`
	Domain       string              `json:"domain,omitempty"` // empty: of all failure domains
	MadeAt       time.Time           `json:"made"`
	Workers      int                 `json:"workers"`
	Capacity     describer.Resources `json:"capacity"`
	Free         describer.Resources `json:"free"`
	MaxCapacity  describer.Resources `json:"largest"` // most that any worker has of each kind
	FiniteCPU    int64               `json:"turning"` // CPU of counted tasks that will end, millicores
	LastingCPU   int64               `json:"lasting"` // CPU that lasting tasks reserve, or wait for, millicores
	LastingLimit int64               `json:"limit"`   // the most that lasting tasks are to reserve, millicores
	UnusedCPU    int64               `json:"unused"`  // CPU for fillers that is not taken, millicores
	FillerCPU    int64               `json:"fillers"` // CPU that running fillers asked for, millicores
	Queues       []QueueLoad         `json:"queues,omitempty"`
	Backlog      []Backlog           `json:"backlog,omitempty"`
	Labels       []string            `json:"labels,omitempty"`
}

// QueueLoad counts a queue's jobs in a shard.
type QueueLoad struct {
	Queue   string `json:"queue"`
	Pending int    `json:"pending"` // accepted, no task started
}

// Backlog is the work that waits in a shard at one priority.
type Backlog struct {
	Priority   int   `json:"priority"`
	FiniteWork int64 `json:"counted"` // millicore-seconds that need room
	FillerWork int64 `json:"filler"`  // millicore-seconds of fillers
}

// Encode is the stored form of a record.
func Encode(record any) []byte {
	data, err := json.Marshal(record)
	if err != nil {
		panic(err) // records are plain data
	}
	return data
}

// Decode reads the stored form into record.
func Decode(data []byte, record any) error {
	return eris.Wrap(json.Unmarshal(data, record), "recorder: decode")
}
