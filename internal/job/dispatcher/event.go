package dispatcher

import (
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// Event is an input of a Shard: an answer, a change or the passing of time.
type Event interface{ event() }

// Tick triggers what depends only on time. The owner sends it regularly.
type Tick struct{}

// CatalogUpdated delivers a new version of the configuration.
type CatalogUpdated struct{ Catalog *specifier.Catalog }

// WorkersListed delivers the complete list of the shard's registered workers.
type WorkersListed struct {
	Workers []specifier.Worker
	Divided bool // the service has several shards; once true, it stays so

	ReadAt time.Time // when the request was sent whose response they came with; zero is now
}

// WorkersUnchanged reports that the registrations of the last WorkersListed were current at a
// later time.
type WorkersUnchanged struct {
	ReadAt time.Time // as in WorkersListed
}

// JobLoaded delivers a job that an earlier owner already had, with its durable
// progress.
type JobLoaded struct {
	Job      specifier.Job
	Progress recorder.Progress
	Started  bool // a task of the job has started
}

// JobArrived delivers a newly accepted job. Known jobs are ignored.
type JobArrived struct{ Job specifier.Job }

// JobCancelled delivers an accepted cancellation. It may precede the job.
type JobCancelled struct {
	ID       string
	Received time.Time // when a host received it from the caller; zero if not known
}

// CancellationsRead reports that all cancellations and other records of the shard have been
// delivered that the store had accepted at a time.
type CancellationsRead struct {
	At       time.Time // when the request was sent whose response they came with
	Revision int64     // of the store, up to which the records have been delivered
}

// PollAnswered is the successful outcome of a PollWorker.
type PollAnswered struct {
	Worker    string
	Sent      time.Time // when the poll was sent
	Inventory specifier.Inventory
}

// Fault is the reason why a call to a worker had no confirmed effect.
type Fault uint8

// Faults of calls to workers.
const (
	NoFault         Fault = iota
	OutcomeUnknown        // no answer: the order may have taken effect, or still may
	Fenced                // the worker has seen a higher fencing token
	StaleRun              // a run of the task with this or a higher number has already ended there
	LeaseExpired          // the lease in the order had expired
	NoRoom                // the worker has no free capacity
	InvalidTicket         // the worker rejected the ticket
	InvalidOrder          // the worker couldn't parse the order
	Unhealthy             // an unhealthy worker refused the order
	WorkerRestarted       // another incarnation of the worker answered
	NotSent               // nothing reached the worker
)

// String returns the text of the fault in logs and metrics.
func (f Fault) String() string {
	return [...]string{
		"none", "unknown", "fenced", "stale", "late", "no-room", "no-ticket", "invalid", "unhealthy", "reborn", "unsent",
	}[f]
}

// PollFailed is the outcome of a PollWorker that returned no inventory.
type PollFailed struct {
	Worker      string
	Incarnation int64
	Fault       Fault
}

// StartAnswered is the outcome of a StartRun.
type StartAnswered struct {
	Worker      string
	Incarnation int64
	Task        specifier.TaskID
	Run         int64
	Fault       Fault
}

// StopAnswered is the outcome of a StopRun.
type StopAnswered struct {
	Worker      string
	Incarnation int64
	Task        specifier.TaskID
	Run         int64
	Fault       Fault
}

// PaceAnswered is the outcome of a PaceRun.
type PaceAnswered struct {
	Worker string
	Task   specifier.TaskID
	Run    int64
	Fault  Fault
}

// Committed reports that a Commit is durable.
type Committed struct {
	Batch  int64
	SentAt time.Time // when the write that took effect was sent, or a later read that found it; zero: when the commit was emitted
}

// OwnershipChecked reports whether the store has renewed the lease to which this daemon's
// owner record of the shard is bound. If the ownership isn't confirmed, no runs are started and
// no leases are renewed until the next confirmation.
type OwnershipChecked struct {
	Confirmed bool
	SentAt    time.Time // when the store was asked; zero: just now
}

func (Tick) event()             {}
func (CatalogUpdated) event()   {}
func (WorkersListed) event()    {}
func (WorkersUnchanged) event() {}
func (JobLoaded) event()        {}
func (JobArrived) event()       {}
func (JobCancelled) event()     {}

func (CancellationsRead) event() {}
func (PollAnswered) event()      {}
func (PollFailed) event()        {}
func (StartAnswered) event()     {}
func (StopAnswered) event()      {}
func (PaceAnswered) event()      {}
func (Committed) event()         {}
func (OwnershipChecked) event()  {}

// Effect is an action that the owner of a Shard executes.
type Effect interface{ effect() }

// StartRun orders a worker to start a run. The answer is StartAnswered.
type StartRun struct {
	Worker     specifier.Worker
	Task       specifier.TaskID
	Run        int64
	Payload    string
	Checkpoint string
	Ticket     string        // only if the queue needs placement advice
	LeaseEnd   time.Duration // the worker refuses the start later, by its clock; also a lease for its runs
}

// IsForIncarnation reports whether no other incarnation of the worker than the given one may carry
// out the order, neither in time nor late. One that has restarted would begin a run again that was
// stopped, or has ended, before.
func (StartRun) IsForIncarnation() bool { return true }

// StopRun orders a worker to stop a run. The answer is StopAnswered.
type StopRun struct {
	Worker specifier.Worker
	Task   specifier.TaskID
	Run    int64
}

// PaceRun orders a worker to throttle a run to a percentage of full speed. The
// answer is PaceAnswered.
type PaceRun struct {
	Worker  specifier.Worker
	Task    specifier.TaskID
	Run     int64
	Percent int
}

// PollWorker renews the leases of all runs on a worker and requests its
// inventory. The worker may delay the answer until a run ends. The answer is
// PollAnswered or PollFailed.
type PollWorker struct {
	Worker       specifier.Worker
	Acknowledged int64         // the worker may forget ends up to this number
	LeaseEnd     time.Duration // end of the leases by the worker's clock; 0 to renew none
	Wait         time.Duration // how long the worker may wait for a run to end
}

// IsForIncarnation reports whether no other incarnation of the worker than the given one may carry
// out the order, neither in time nor late. Ends are numbered anew in each one, and its clock begins
// anew.
func (e PollWorker) IsForIncarnation() bool { return e.Acknowledged > 0 || e.LeaseEnd > 0 }

// Commit writes changes to the store. The answer is Committed.
type Commit struct {
	Batch   int64 // number of the commit, returned in Committed
	Changes []Change

	recorder.WorkerList // workers that may have runs of this shard

	StaleTransfers []specifier.TaskID // transfer records to delete
	StaleCancels   []string           // cancellations to delete, by job id
}

// Change is the new durable state of one job.
type Change struct {
	ID       string
	Queue    string
	State    specifier.State
	Progress recorder.Progress // empty if State is final

	Part            bool               // another shard keeps the job's state and index entry
	SameIndex       bool               // State and OtherShards are as in the job's last change
	OtherShards     []string           // shards that have or had tasks of the job
	Handovers       []Handover         // tasks transferred to other shards
	RemoveTransfers []specifier.TaskID // transfer records to delete
	CancelIn        []string           // shards in which the job's tasks are to be cancelled
}

// Publish replaces the shard's load summary in the store.
type Publish struct{ Load recorder.Load }

// ReportWaiting reports the long-running tasks that have waited for long.
type ReportWaiting struct{ Waits []Wait }

// Log is a log line about a decision.
type Log struct {
	Message string
	Job     string
	Task    string
	Worker  string
	Reason  string
	Run     int64
	Age     time.Duration // how old the decision's input is, or how long the decision holds
}

// Resign gives up the ownership: the worker has seen a higher fencing token, so
// another daemon owns the shard.
type Resign struct{ Worker string }

func (StartRun) effect()      {}
func (StopRun) effect()       {}
func (PaceRun) effect()       {}
func (PollWorker) effect()    {}
func (Commit) effect()        {}
func (Publish) effect()       {}
func (ReportWaiting) effect() {}
func (Log) effect()           {}
func (Resign) effect()        {}
