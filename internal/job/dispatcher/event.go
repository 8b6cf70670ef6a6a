package dispatcher

import (
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// Event is anything that changes the state of a shard.
type Event interface{ event() }

// Tick lets time pass.
type Tick struct{}

// CatalogUpdated delivers a version of the operators' configuration.
type CatalogUpdated struct{ Catalog *specifier.Catalog }

// WorkersListed delivers the registered workers of the shard.
type WorkersListed struct{ Workers []specifier.Worker }

// JobLoaded delivers a job of an earlier ownership with its progress.
type JobLoaded struct {
	Job      specifier.Job
	Progress recorder.Progress
	Begun    bool // a task has started
}

// JobArrived delivers a newly accepted job. Known jobs are ignored.
type JobArrived struct{ Job specifier.Job }

// JobCancelled delivers an accepted cancellation.
type JobCancelled struct{ ID string }

// PollAnswered is a worker's answer to HoldWorker.
type PollAnswered struct {
	Worker    string
	Sent      time.Time // when the call began
	Inventory specifier.Inventory
}

// Fault is why a call to a worker did not have its effect.
type Fault uint8

// Faults.
const (
	NoFault         Fault = iota
	OutcomeUnknown        // no answer: the order may have been carried out, or may be yet
	Fenced                // a higher token was seen there
	StaleRun              // the run is not higher than one that ended there
	LeaseExpired          // the lease had ended
	NoRoom                // the worker has no room
	InvalidTicket         // the ticket is not valid
	InvalidOrder          // the worker could not read the order
	Unhealthy             // refused by an unhealthy worker; nothing was done
	WorkerRestarted       // another life answers at the address
	NotSent               // nothing reached the worker
)

func (f Fault) String() string {
	return [...]string{
		"none", "unknown", "fenced", "stale", "late", "no-room", "no-ticket", "invalid", "unhealthy", "reborn", "unsent",
	}[f]
}

// PollFailed is the outcome of a HoldWorker without an inventory.
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

// Committed says that a Commit is durable.
type Committed struct{ Batch int64 }

// OwnershipChecked says that the store has confirmed the ownership, or, with OK
// false, that it is in doubt: nothing is ordered until it is confirmed.
type OwnershipChecked struct{ Confirmed bool }

func (Tick) event()             {}
func (CatalogUpdated) event()   {}
func (WorkersListed) event()    {}
func (JobLoaded) event()        {}
func (JobArrived) event()       {}
func (JobCancelled) event()     {}
func (PollAnswered) event()     {}
func (PollFailed) event()       {}
func (StartAnswered) event()    {}
func (StopAnswered) event()     {}
func (PaceAnswered) event()     {}
func (Committed) event()        {}
func (OwnershipChecked) event() {}

// Effect is something to be done outside the state.
type Effect interface{ effect() }

// StartRun asks a worker to start a run. The answer is StartAnswered.
type StartRun struct {
	Worker     specifier.Worker
	Task       specifier.TaskID
	Run        int64
	Payload    string
	Checkpoint string
	Ticket     string        // if the queue needs advice
	LeaseEnd   time.Duration // by the worker's clock: its lease
}

// StopRun asks a worker to stop a run. The answer is StopAnswered.
type StopRun struct {
	Worker specifier.Worker
	Task   specifier.TaskID
	Run    int64
}

// PaceRun asks a worker to let a run work at a share of full speed. The answer
// is PaceAnswered.
type PaceRun struct {
	Worker  specifier.Worker
	Task    specifier.TaskID
	Run     int64
	Percent int
}

// PollWorker renews the lease on everything that runs on a worker, and lists
// it. The answer is Held or HoldFailed.
type PollWorker struct {
	Worker       specifier.Worker
	Acknowledged int64         // ends up to this number are durable
	LeaseEnd     time.Duration // by the worker's clock: the lease; 0 before the first answer
	Wait         time.Duration // for an end
}

// Commit makes changes durable. The answer is Committed.
type Commit struct {
	Batch   int64
	Changes []Change
	Workers []string // that may have runs of this shard
}

// Change is the durable part of one job.
type Change struct {
	ID       string
	Queue    string
	State    specifier.State
	Progress recorder.Progress // unless State is final
}

// Publish replaces the shard's load summary.
type Publish struct{ Load recorder.Load }

// Log is one line about a decision.
type Log struct {
	Message string
	Job     string
	Task    string
	Worker  string
	Reason  string
	Run     int64
	Age     time.Duration // of the input that decided
}

// Resign says that a worker has seen a higher token: the shard has another owner.
type Resign struct{ Worker string }

func (StartRun) effect()   {}
func (StopRun) effect()    {}
func (PaceRun) effect()    {}
func (PollWorker) effect() {}
func (Commit) effect()     {}
func (Publish) effect()    {}
func (Log) effect()        {}
func (Resign) effect()     {}
