// Package recorder defines the keys and records under which jobs and the
// ownership of shards are kept in the platform's key-value store.
//
// # Model
//
// A job is accepted by one conditional transaction. It creates the job's index
// entry, whose key contains only the job's id, and the job's record below its
// shard. The index entry makes a submission idempotent on every entry host; the
// record is what the shard's owner watches. An owner writes progress and final
// states in transactions that also replace the shard's [Fence]. Each is
// conditional on the fence's revision after the owner's last write, so an
// earlier owner can't write, and a write that is repeated after a lost answer
// takes effect at most once.
//
// A job that is cancelled before its acceptance has taken effect gets a tombstone as
// its index entry. An acceptance that is still on its way then fails. So does one whose
// caller was told that its outcome isn't known; that tombstone doesn't keep a later
// submission from being accepted.
//
//	index/ID              IndexEntry  shard and state of the job, or a tombstone
//	shard/NAME/job/ID     Job       until the job has ended
//	shard/NAME/cancel/ID            cancellation that the owner hasn't processed yet
//	shard/NAME/claim      Claim     last claim, by which a replaced owner notices it
//	shard/NAME/task/TASK  Transfer  task that another shard has transferred to this one
//	progress/NAME/ID      Progress  progress of an unfinished job
//	fence/NAME            Fence     epoch and last write of the owner
//	view/owner/NAME       Owner     current owner; expires with the owner's lease
//	view/load/NAME        Load      load summary, up to a few seconds old
//	view/resigned/NAME    Resignation  how long leases of the last owner may remain valid
//	view/layout/SERVICE   Layout    how the service's workers are divided into shards
//	view/host/NAME        Host      an entry host and its capacity; expires with a lease
package recorder

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/estimator"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// Prefixes of the keys that every daemon watches.
const (
	ViewPrefix   = "view/"
	ownerPrefix  = ViewPrefix + "owner/"
	loadPrefix   = ViewPrefix + "load/"
	layoutPrefix = ViewPrefix + "layout/"
	hostPrefix   = ViewPrefix + "host/"

	resignationPrefix = ViewPrefix + "resigned/"
)

// IndexKey returns the key of a job's index entry.
func IndexKey(id string) string { return "index/" + id }

// ShardPrefix returns the prefix that an owner watches for new jobs, transferred
// tasks, cancellations and claims.
func ShardPrefix(shard string) string { return "shard/" + shard + "/" }

// JobKey returns the key of a job's record.
func JobKey(shard, id string) string { return ShardPrefix(shard) + "job/" + id }

// CancelKey returns the key of a job's cancellation.
func CancelKey(shard, id string) string { return ShardPrefix(shard) + "cancel/" + id }

// ClaimKey returns the key of a shard's last claim. It is below ShardPrefix, so
// that a replaced owner sees the claim before any job that was accepted later.
func ClaimKey(shard string) string { return ShardPrefix(shard) + "claim" }

// ProgressPrefix returns the prefix of a shard's progress records.
func ProgressPrefix(shard string) string { return "progress/" + shard + "/" }

// ProgressKey returns the key of a job's progress record.
func ProgressKey(shard, id string) string { return ProgressPrefix(shard) + id }

// FenceKey returns the key of a shard's fence.
func FenceKey(shard string) string { return "fence/" + shard }

// OwnerKey returns the key of a shard's owner record. The record is attached to
// the owner's lease in the store.
func OwnerKey(shard string) string { return ownerPrefix + shard }

// LoadKey returns the key of a shard's load summary.
func LoadKey(shard string) string { return loadPrefix + shard }

// ResignationKey returns the key of the resignation of a shard's last owner.
func ResignationKey(shard string) string { return resignationPrefix + shard }

// LayoutKey returns the key of a service's layout.
func LayoutKey(service string) string { return layoutPrefix + service }

// HostKey returns the key of an entry host's record. The record is attached to a
// lease of the host in the store.
func HostKey(host string) string { return hostPrefix + host }

// ViewKind is the type of record that a key below ViewPrefix holds.
type ViewKind uint8

// Kinds of keys below ViewPrefix.
const (
	OtherView ViewKind = iota // any other key
	OwnerView
	LoadView
	LayoutView
	HostView
	ResignationView
)

func (k ViewKind) String() string {
	return [...]string{"other", "owner", "load", "layout", "host", "resigned"}[k]
}

// ParseViewKey returns the kind of a key below ViewPrefix and the name of its
// shard, service or host.
func ParseViewKey(key string) (ViewKind, string) {
	for _, kind := range [...]struct {
		prefix string
		kind   ViewKind
	}{{ownerPrefix, OwnerView}, {loadPrefix, LoadView}, {layoutPrefix, LayoutView}, {hostPrefix, HostView}, {resignationPrefix, ResignationView}} {
		if name, ok := strings.CutPrefix(key, kind.prefix); ok {
			return kind.kind, name
		}
	}
	return OtherView, ""
}

// TransferKey returns the key of the record of a task that was transferred to the
// shard.
func TransferKey(shard string, task specifier.TaskID) string {
	return ShardPrefix(shard) + "task/" + task.String()
}

// ShardKind is the type of record that a key below ShardPrefix holds.
type ShardKind uint8

// Kinds of keys below ShardPrefix.
const (
	OtherKey ShardKind = iota // any other key
	JobRecord
	CancelRecord
	TransferRecord
)

func (k ShardKind) String() string {
	return [...]string{"other", "job", "cancel", "task"}[k]
}

// ParseShardKey returns the kind of a key below ShardPrefix, and the id of its job
// or task.
func ParseShardKey(shard, key string) (ShardKind, string) {
	rest, ok := strings.CutPrefix(key, ShardPrefix(shard))
	if !ok {
		return OtherKey, ""
	}
	for kind := JobRecord; kind <= TransferRecord; kind++ {
		if id, ok := strings.CutPrefix(rest, kind.String()+"/"); ok {
			return kind, id
		}
	}
	return OtherKey, ""
}

// IndexEntry maps a job's id to its shard and state.
type IndexEntry struct {
	Shard string          `json:"shard"` // empty in a tombstone
	Queue string          `json:"queue"`
	State specifier.State `json:"state"`
	Parts []string        `json:"parts,omitempty"` // other shards that have or had tasks of the job
	Ended time.Time       `json:"ended,omitzero"`
}

// NewTombstone returns the index entry of a job that was never accepted. The state is
// specifier.Cancelled if it must not be accepted any more, and specifier.Failed if only the
// attempts so far must not succeed.
func NewTombstone(state specifier.State, now time.Time) IndexEntry {
	return IndexEntry{State: state, Ended: now}
}

// IsTombstone reports whether the entry is that of a job that was never accepted.
func (e *IndexEntry) IsTombstone() bool { return e.Shard == "" && e.State.IsFinal() }

// IsSettled reports whether the entry is a tombstone that a later submission may replace.
func (e *IndexEntry) IsSettled() bool { return e.IsTombstone() && e.State == specifier.Failed }

// Cancellation is an accepted cancellation of a job.
type Cancellation struct {
	Received time.Time `json:"received,omitzero"` // when a host received it from the caller; zero if it is the owner's own
}

// Progress is the part of a job's state that a new owner needs.
type Progress struct {
	Tasks  []TaskProgress `json:"tasks"`
	Done   Ranges         `json:"done,omitempty"`   // ordinals of further completed tasks, see specifier.Job.TaskAt
	Shards []string       `json:"shards,omitempty"` // shards that got tasks of the job from this one
}

// Ranges is a set of numbers as ascending ranges, each with its first and its last number.
type Ranges [][2]int

// Add adds a number that is higher than all others.
func (r *Ranges) Add(n int) {
	if last := len(*r) - 1; last >= 0 && (*r)[last][1] == n-1 {
		(*r)[last][1] = n
		return
	}
	*r = append(*r, [2]int{n, n})
}

// Clip returns the numbers of the set from 0 on and below limit, and whether these are all.
func (r Ranges) Clip(limit int) (clipped Ranges, isWhole bool) {
	isWhole = true
	for _, part := range r {
		first, last := max(part[0], 0), min(part[1], limit-1)
		isWhole = isWhole && first == part[0] && last == part[1]
		if first <= last {
			clipped = append(clipped, [2]int{first, last})
		}
	}
	return clipped, isWhole
}

// All calls yield for each number of the set, in order, until it returns false.
func (r Ranges) All(yield func(int) bool) {
	for _, part := range r {
		for n := part[0]; n <= part[1]; n++ {
			if !yield(n) {
				return
			}
		}
	}
}

// TaskProgress is the progress of one task. Tasks without any are left out.
type TaskProgress struct {
	Occurrence int     `json:"occurrence,omitempty"`
	Step       int     `json:"step,omitempty"`
	Index      int     `json:"index,omitempty"`
	Done       bool    `json:"done,omitempty"`
	Failed     []int64 `json:"failed,omitempty"`     // numbers of the failed runs
	Checkpoint string  `json:"checkpoint,omitempty"` // checkpoint to resume from
	Hop        int     `json:"hop,omitempty"`        // how often the task was transferred, as far as this shard knows
	Away       bool    `json:"away,omitempty"`       // another shard has the task
	Losses     []Loss  `json:"losses,omitempty"`     // runs that were lost with their worker
	Proven     bool    `json:"proven,omitempty"`     // a run of it hasn't crashed its worker for long
	RunBound   int64   `json:"bound,omitempty"`      // no run has a higher number; 0 if the owner's epoch tells
}

// Loss is a run of a task that was lost with its worker. The task may have crashed it.
type Loss struct {
	Run         int64  `json:"run"`
	Worker      string `json:"worker"`
	Incarnation int64  `json:"born,omitempty"`     // of the worker
	Isolated    bool   `json:"isolated,omitempty"` // no other run there may have crashed the worker
	Open        bool   `json:"open,omitempty"`     // the run may still be active

	// Correlated is set if so many other workers crashed meanwhile that it says little about
	// the task.
	Correlated bool `json:"correlated,omitempty"`
}

// Transfer is a task that another shard has transferred to this one. The record
// stays until the job has ended.
type Transfer struct {
	Job  specifier.Job `json:"job"`
	Home string        `json:"home"` // shard that keeps the job's state
	Hop  int           `json:"hop"`  // how often the task was transferred, with this time

	LastRun    int64         `json:"run"`                  // the task has had no run with a higher number
	Waited     time.Duration `json:"waited"`               // how long it has waited for a run, nanoseconds
	Tried      []string      `json:"tried"`                // shards in which it has waited meanwhile
	Checkpoint string        `json:"checkpoint,omitempty"` // checkpoint to resume from
	Failed     []int64       `json:"failed,omitempty"`     // numbers of the failed runs
	Losses     []Loss        `json:"losses,omitempty"`     // runs that were lost with their worker
	Proven     bool          `json:"proven,omitempty"`     // see TaskProgress
	Done       bool          `json:"done,omitempty"`       // it has completed
}

// Resignation is written by an owner that lost its shard, after its last order, or by its successor
// when it knows that no earlier owner renews leases any more. It says how long leases may remain valid
// from then on.
type Resignation struct {
	Epoch     int64         `json:"epoch"`            // of the owner that resigned
	Remaining time.Duration `json:"lapse"`            // of the leases on workers that aren't in Silent, nanoseconds
	Silent    []WorkerLease `json:"silent,omitempty"` // workers that didn't answer the owner

	// BySuccessor is set if the successor has written it. Silent are the workers that didn't answer that
	// one, and on which it has granted no leases.
	BySuccessor bool `json:"successor,omitempty"`
}

// Claim identifies one ownership of a shard.
type Claim struct {
	Daemon string `json:"daemon"`
	Epoch  int64  `json:"epoch"`
}

// Owner is the current owner of a shard.
type Owner struct {
	Daemon string `json:"daemon"`
}

// Layout tells how the workers of a service are divided into shards. Racks are
// added to it; a rack never changes its shard.
type Layout struct {
	Shards []ShardLayout `json:"shards"`
}

// ShardLayout is one shard of a service.
type ShardLayout struct {
	Name    string   `json:"name"`
	Domain  string   `json:"domain,omitempty"` // failure domain; empty if its workers are in several
	Region  string   `json:"region,omitempty"` // empty if its workers are in several
	Racks   []string `json:"racks"`            // see specifier.Worker.Group
	Workers int      `json:"workers"`          // number of workers when the layout was last changed
}

// Host is an entry host and its capacity.
type Host struct {
	Domain string `json:"domain"` // failure domain
	Region string `json:"region,omitempty"`
	CPU    int64  `json:"cpu,omitempty"`  // millicores; 0 if not known
	Link   int64  `json:"link,omitempty"` // bandwidth of its link, kbit/s; 0 if not known
	Format int    `json:"format"`         // version of the records that its daemon understands

	// Process is the store's revision when the daemon's process started; 0 if not known. A higher
	// one than that of a Fence shows that the process which owned the shard has ended.
	Process int64 `json:"process,omitempty"`
}

// Format is the version of the records here. Version 0 has no transfers: its
// daemons would run a task again that another shard has. Version 1 has no transfers of
// finite tasks: its daemons would run one again that has completed elsewhere.
const Format = LoadEpochs

// Versions of the records that brought something which earlier daemons must not meet, or don't write.
const (
	LongRunningTransfers = 1
	FiniteTransfers      = 2
	LoadEpochs           = 3 // load summaries contain their owner's epoch
)

// Load is an owner's summary of its shard. All hosts use it to decide on
// submissions.
type Load struct {
	Epoch            int64               `json:"epoch,omitempty"` // of the owner; 0 also in summaries of an earlier version, see LoadEpochs
	ReadRevision     int64               `json:"read,omitempty"`  // store revision up to which the owner had read the shard's records; 0 in those of an earlier version
	Service          string              `json:"service"`
	Domain           string              `json:"domain,omitempty"` // failure domain of the shard; empty for all
	MadeAt           time.Time           `json:"made"`             // when the owner made the summary
	Workers          int                 `json:"workers"`          // number of usable workers
	Capacity         describer.Resources `json:"capacity"`         // total of the usable workers
	Free             describer.Resources `json:"free"`             // part of Capacity that isn't reserved
	MaxCapacity      describer.Resources `json:"largest"`          // maximum capacity of a worker, for each resource, also in evacuated domains
	MaxUsable        describer.Resources `json:"usable,omitzero"`  // the same of usable workers; zero if it doesn't differ
	MaxFree          describer.Resources `json:"room"`             // part of Free on the worker with the most free CPU
	FiniteCPU        int64               `json:"turning"`          // CPU reserved by running finite tasks, millicores
	LongRunningCPU   int64               `json:"lasting"`          // CPU that long-running tasks reserve or wait for, millicores
	LongRunningLimit int64               `json:"limit"`            // CPU that long-running tasks may reserve, millicores
	UnusedCPU        int64               `json:"unused"`           // idle CPU that fillers may use, millicores
	FillerCPU        int64               `json:"fillers"`          // CPU that running fillers use at their pace, millicores
	Queues           []QueueLoad         `json:"queues,omitempty"` // in order of their names
	Backlog          []Backlog           `json:"backlog,omitempty"`
	Fillers          []FillerLoad        `json:"images,omitempty"`   // images with unfinished fillers
	Labels           []string            `json:"labels,omitempty"`   // labels of the usable workers
	AdviceBacklog    time.Duration       `json:"advising,omitempty"` // duration of the first requests for placement advice of the waiting steps
	RunTimes         estimator.Records   `json:"runtimes,omitempty"` // what the owner has learned about run times
}

// AddPending adds to the number of a queue's pending jobs.
func (l *Load) AddPending(queue string, jobs int) {
	at, found := slices.BinarySearchFunc(l.Queues, queue, func(q QueueLoad, name string) int { return strings.Compare(q.Queue, name) })
	if !found {
		l.Queues = slices.Insert(l.Queues, at, QueueLoad{Queue: queue})
	}
	l.Queues[at].Pending += jobs
}

// LargestUsable returns the maximum capacity of a usable worker, for each resource.
func (l *Load) LargestUsable() describer.Resources {
	if l.MaxUsable.IsZero() {
		return l.MaxCapacity
	}
	return l.MaxUsable
}

// FillerLoad is the load by the fillers of one image and priority in a shard.
type FillerLoad struct {
	Image    string `json:"image"`
	Priority int    `json:"priority"`
	Work     int64  `json:"work"` // unfinished work, millicore-seconds
	CPU      int64  `json:"cpu"`  // CPU that fillers of the image could use if they were alone, millicores
}

// QueueLoad is the number of a queue's pending jobs in a shard.
type QueueLoad struct {
	Queue   string `json:"queue"`
	Pending int    `json:"pending"` // accepted jobs of which no task has started
}

// Backlog is the estimated work of the waiting tasks of one priority.
type Backlog struct {
	Priority     int   `json:"priority"`
	ReservedWork int64 `json:"counted"` // finite tasks that reserve CPU, millicore-seconds
	FillerWork   int64 `json:"filler"`  // fillers, millicore-seconds

	// The part of each of steps that are ready, which would start if there were room.
	ReadyReservedWork int64 `json:"readyCounted,omitempty"`
	ReadyFillerWork   int64 `json:"readyFiller,omitempty"`
}

// Encode returns the stored form of a record, which is JSON. It panics if the
// record can't be encoded.
func Encode(record any) []byte {
	data, err := json.Marshal(record)
	if err != nil {
		panic(err) // all records are plain data
	}
	return data
}

// Decode decodes the stored form into record, which is a pointer.
func Decode(data []byte, record any) error {
	return eris.Wrap(json.Unmarshal(data, record), "recorder: decode")
}
