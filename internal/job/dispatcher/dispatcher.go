// Package dispatcher schedules the jobs of one shard on the shard's workers.
// It is a deterministic state machine: it takes events and returns effects.
//
// # Model
//
// A shard is a set of workers of one service together with the jobs that run
// on them; exactly one daemon owns it at a time. The owner feeds events to a
// [Shard] and executes the [Effect] values that it returns. Nothing here does
// I/O, reads a clock or starts a goroutine.
//
// A job has steps and a step has tasks; a run is one execution of a task on a
// worker. Package specifier defines them.
//
//	s := dispatcher.New(options, now)
//	for event := range events {
//		execute(s.Reduce(time.Now(), event))
//	}
//
// # Durable state
//
// Accepted jobs, cancellations, completed tasks, failed runs, checkpoints and
// which shard has a transferred task are in the store. Starts are not: an owner
// learns from the workers' inventories what runs. Run numbers of a task increase
// across owners because each contains the epoch of the ownership. The end of a run
// is acknowledged to its worker only after the change that it caused is durable;
// until then the worker keeps listing it, also to a new owner.
//
// # When a run has ended
//
// A run has ended when its worker lists its end, when an inventory requested
// after the start was confirmed doesn't contain it, when the incarnation of the
// worker that has listed it is over, or when every lease that may have been
// granted on the worker has expired. If a start gets no answer, the same run is
// stopped, after which the worker refuses to start it. A new owner starts a task
// of an inherited job only after each worker that may run it has answered or its
// leases have expired, or once it has seen a run of it that was active when no
// earlier owner could start another one.
package dispatcher

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/estimator"
	"dotterelcart.dev/dotterelcart/internal/control/learner"
	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// Intervals and limits of the dispatcher.
const (
	pendingPollDelay = 60 * time.Millisecond  // delay between polls while ends aren't durable yet
	pollRetryDelay   = 250 * time.Millisecond // delay before a failed poll is repeated
	commitInterval   = 40 * time.Millisecond  // minimum time between commits
	publishInterval  = 700 * time.Millisecond // minimum time between load summaries
	paceInterval     = 500 * time.Millisecond // minimum time between pace changes on a worker
	maxCommitEntries = 28                     // entries of a transaction for changes of jobs
	jobEntries       = 4                      // entries for one job, without transfers
	runsPerEpoch     = 1000                   // run numbers available to one ownership for each task
	maxClockDrift    = 0.03                   // fraction by which a worker's clock may run slow
	expiryMargin     = 200 * time.Millisecond // added to the computed expiry of a lease
)

// Options configure a Shard.
type Options struct {
	Name    string
	Service string
	Domain  string // failure domain of the workers; empty if they are in several
	Divided bool   // the service has several shards, see also WorkersListed

	Epoch    int64               // number of earlier ownerships
	Previous recorder.WorkerList // what the previous owner recorded last
	Claimed  recorder.WorkerList // what the claim recorded

	// EarlierKnown is set if the previous owner has recorded what it knew of earlier ones, and
	// OwnerEnded if it also gives no leases any more.
	EarlierKnown, OwnerEnded bool

	// RecordTTL is how long before the claim the store has confirmed the previous owner last, at least.
	// It is the lifetime of an owner record without renewals, and 0 if the record hadn't expired.
	RecordTTL time.Duration

	Released     bool                   // the previous owner released the shard
	WorkerLeases []recorder.WorkerLease // replaces Previous if Released is set

	Lease       time.Duration     // granted to all runs on a worker with each poll
	MaxLease    time.Duration     // longest lease that workers accept; 0 is as Lease
	OutageLimit time.Duration     // how long an owner keeps working without the store
	PollWait    time.Duration     // how long a poll waits at the worker for a run to end
	RunTimes    estimator.Records // learned by earlier owners and for other shards
	ClockError  time.Duration     // maximum error of the wall clock; due times are delayed by it

	// RoomNotice is how long starts may exceed a capacity after a registration shows that it
	// has shrunk; 0 is no limit.
	RoomNotice time.Duration

	// Reservations makes tasks that fit nowhere reserve room by the expected ends of runs. If it
	// isn't set, the room of the emptiest workers is kept for those that have waited long.
	Reservations bool

	// MaxCancellationAge is how far the reading of cancellations may be behind the store's last
	// confirmation while runs are started; 0 is no limit.
	MaxCancellationAge time.Duration

	// MaxEvacuationAge is how long runs are started after the evacuated domains were read; 0 is
	// no limit.
	MaxEvacuationAge time.Duration
}

// Shard is the scheduling state of one owned shard. It is not safe for
// concurrent use.
type Shard struct {
	options   Options
	now       time.Time // time of the last Reduce, never goes back
	claimedAt time.Time // when the ownership began
	catalog   *specifier.Catalog
	effects   []Effect // of the current Reduce

	jobs            map[string]*job
	ended           map[string]endedJob        // jobs whose end is durable, by id
	movedAt         map[string]time.Time       // jobs that were moved to other shards, by id
	earlyCancels    map[string]time.Time       // cancellations that came before their jobs, by job id
	waitingSteps    []*step                    // steps with waiting tasks, unordered
	suspects        map[specifier.TaskID]*task // tasks with losses
	orphans         map[specifier.TaskID]int   // number of runs that aren't those of tasks, see orphan.go
	forgotten       map[runKey]forgottenRun    // lately forgotten runs
	crashes         []workerCrash              // lately, in the order in which they were noticed
	preparing       []*run                     // runs that aren't ordered before they are durable
	workers         map[string]*worker
	sortedWorkers   []*worker        // the values of workers, sorted by id
	listOutdated    bool             // the durable worker list should be replaced soon
	interference    *learner.Learner // learns how fillers slow down serving tasks, by image
	estimates       estimateCache
	runTimes        runTimes
	congestion      congestion // of this owner
	duplication     duplication
	balancing       balance
	speedBaselines  map[string]*speedBaseline // by queue
	avoidRefusedAt  time.Time                 // when it was last logged that a worker isn't avoided
	lastFiniteStart time.Time                 // last start of a finite task that reserves CPU

	inheritedExpiry    map[string]time.Time // when the last leases of earlier owners expire, by worker id
	earlierExpiry      map[string]time.Time // when those of owners before the previous one do, as far as it recorded them
	fenced             map[string]fence     // inherited workers that have answered, by id, see fence.go
	partlyListed       map[string]bool      // inherited workers that have answered, but haven't listed all ends, by id
	inheritedAnnounced bool                 // AnnounceInherited was emitted
	earlierEnded       bool                 // earlier owners renew no leases any more, and it is known which may be valid
	earlierOrdersEnd   time.Time            // earlier owners order no starts after it, see earlierowner.go
	settled            bool                 // a commit has said that no earlier leases are valid
	workersListed      bool                 // WorkersListed has been received
	ownership          ownership
	quorum             quorum
	listedAt           time.Time // the registrations are those of this time or later
	roomVaries         bool      // a worker's capacity has changed while it ran
	resigned           bool
	cancellations      cancellations
	evacuation         evacuation

	batch        int64               // number of the last commit
	committing   bool                // a commit is in progress
	batchJobs    []*job              // jobs in the last commit
	batchList    recorder.WorkerList // in the last commit
	durableList  recorder.WorkerList // in the last confirmed commit
	lastCommit   time.Time
	lastPublish  time.Time
	readRevision int64             // see recorder.Load.ReadRevision
	lastReport   time.Time         // when waiting tasks were last reported
	reported     [WaitReasons]bool // the last report had tasks that wait for the reason
	dirtyJobs    []*job            // jobs with changes that aren't committed yet

	returning      []*task            // tasks of parts that are to return to the home of their job
	staleTransfers []specifier.TaskID // transfer records to delete, of jobs that have ended
	staleCancels   []string           // cancellations to delete, of unknown jobs, by job id

	reservations reservations // for tasks that fit nowhere
	advising     advising

	fillersWait  bool // fillers were waiting in the last placement
	placementDue bool // waiting work or free room has changed since the last placement
}

// New returns the state of a shard that was claimed at now.
func New(o Options, now time.Time) *Shard {
	s := &Shard{
		options:         o,
		now:             now,
		claimedAt:       now,
		catalog:         &specifier.Catalog{},
		jobs:            make(map[string]*job),
		ended:           make(map[string]endedJob),
		movedAt:         make(map[string]time.Time),
		earlyCancels:    make(map[string]time.Time),
		suspects:        make(map[specifier.TaskID]*task),
		workers:         make(map[string]*worker),
		interference:    newInterferenceLearner(),
		runTimes:        newRunTimes(o.RunTimes),
		inheritedExpiry: make(map[string]time.Time),
		earlierExpiry:   make(map[string]time.Time),
		fenced:          make(map[string]fence),
		partlyListed:    make(map[string]bool),
		earlierEnded:    o.OwnerEnded || o.Released,
		quorum:          quorum{durable: o.Claimed.QuorumVoters()},
		ownership:       ownership{confirmedAt: now, answeredAt: now},
	}
	s.inheritLeases()
	s.initEarlierOrders()
	return s
}

// withDrift returns the longest time in which a worker's clock can advance by d.
func withDrift(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*maxClockDrift)
}

// Reduce applies events to the state and returns the effects to execute, in
// order. Waiting tasks are placed once after all events.
func (s *Shard) Reduce(now time.Time, events ...Event) []Effect {
	s.effects = nil
	if now.After(s.now) {
		s.now = now
	}
	for _, event := range events {
		if s.resigned {
			return s.effects
		}
		s.handle(event)
	}
	if s.resigned {
		return s.effects
	}
	s.returnTasks()
	if s.placementDue {
		s.placementDue = false
		s.placeSteps()
	}
	s.commit()
	return s.effects
}

func (s *Shard) emit(e Effect) { s.effects = append(s.effects, e) }

// handle applies one event to the state.
func (s *Shard) handle(event Event) {
	switch e := event.(type) {
	case Tick:
		s.tick()
	case CatalogUpdated:
		s.applyCatalog(e.Catalog)
	case WorkersListed:
		s.options.Divided = s.options.Divided || e.Divided
		s.listWorkers(e.Workers)
		s.listedAt = cmp.Or(e.ReadAt, s.now)
	case WorkersUnchanged:
		s.listedAt = cmp.Or(e.ReadAt, s.now)
	case JobLoaded:
		s.loadJob(e)
	case JobArrived:
		s.addJob(e.Job)
	case JobCancelled:
		s.logCancellation(e)
		s.cancelJob(e.ID)
	case CancellationsRead:
		s.cancellations.readAt = e.At
		s.readRevision = max(s.readRevision, e.Revision)
	case PollAnswered:
		s.pollAnswered(e)
	case PollFailed:
		s.pollFailed(e)
	case StartAnswered:
		s.startAnswered(e)
	case StopAnswered:
		s.stopAnswered(e)
	case AdviceDelayed:
		s.adviceDelayed(e)
	case AdviceAnswered:
		s.adviceAnswered(e)
	case PaceAnswered:
		s.paceAnswered(e)
	case JobMoved:
		s.jobMoved(e)
	case ShardFound:
		s.shardFound(e)
	case TaskArrived:
		s.taskArrived(e)
	case BalancePlanned:
		s.balancePlanned(e)
	case EarlierOwnerResigned:
		s.applyResignation(e)
	case EarlierOwnerEnded:
		s.applyOwnerEnd(e)
	case Committed:
		s.batchCommitted(e)
	case EvacuationsListed:
		s.applyEvacuations(e)
	case EvacuationsOutdated:
		s.evacuation.set.Invalidate(s.now)
	case OwnershipChecked:
		s.ownershipChecked(e)
	}
}

// summaryDelay is how long after the claim the previous owner's load summary
// stays in place while most workers haven't answered.
const summaryDelay = 1500 * time.Millisecond

// canSummarize reports whether enough workers have answered for a load summary.
func (s *Shard) canSummarize() bool {
	if s.now.Sub(s.claimedAt) >= summaryDelay {
		return true
	}
	answered := 0
	for _, w := range s.workers {
		if w.reported {
			answered++
		}
	}
	return s.workersListed && answered*2 > len(s.workers)
}

// applyCatalog applies a configuration. Jobs of a queue that was removed
// keep the configuration that they had.
func (s *Shard) applyCatalog(c *specifier.Catalog) {
	s.catalog = c
	for _, j := range s.jobs {
		if q, ok := c.Queue(j.spec.Queue); ok {
			j.queue = q
		}
	}
	s.placementDue = true
}

// orderTime is how long a start may take from the decision to the worker.
const orderTime = 500 * time.Millisecond

// mayStartRuns reports whether the shard may start runs. It must have read the cancellations
// that the store may have accepted lately. Where the workers' capacity changes while they
// run, it must know the registrations of lately, and where evacuations are expected, the
// evacuated domains.
func (s *Shard) mayStartRuns() bool {
	isCurrent := s.options.RoomNotice == 0 || s.now.Sub(s.listedAt) < s.options.RoomNotice-orderTime
	return s.mayAct() && s.workersListed && (isCurrent || !s.roomVaries) && s.areEvacuationsKnown() && s.areCancellationsKnown()
}

// tick does what is due: polls, expiries, opening steps and the load summary.
func (s *Shard) tick() {
	s.congestion.ticked(s.now)
	s.expireInherited()
	s.reviewInherited()
	s.openDueSteps()
	s.reviewSuspects()
	s.listOutdated = s.listOutdated || !s.settled && s.knowsInheritedRuns()
	for _, w := range slices.Clone(s.sortedWorkers) {
		s.reviewWorker(w)
	}
	s.reviewEvacuation()
	s.reviewCancellations()
	if s.now.Sub(s.lastPublish) >= publishInterval && s.canSummarize() {
		s.lastPublish = s.now
		s.reviewExpectations()
		load := s.summarize()
		s.logRunTimes(load.RunTimes)
		s.emit(Publish{Load: load})
		s.moveExcess(&load)
		s.requestTransfers()
		s.requestBalance(&load)
		s.forgetEnded()
		s.expireForgotten()
	}
	s.reportWaiting()
	s.orderPrepared()
	s.placementDue = true
}

// endedJob is a job whose end is durable.
type endedJob struct {
	at      time.Time
	wasPart bool // see Shard.isPart
}

// endedRetention is how long the ids of ended jobs are remembered. A delayed
// watch, or a list read before the end, may still deliver their records.
const endedRetention = 2 * time.Minute

// forgetEnded forgets old ids of ended jobs and of early cancellations.
func (s *Shard) forgetEnded() {
	isOld := func(_ string, at time.Time) bool { return s.now.Sub(at) > endedRetention }
	maps.DeleteFunc(s.ended, func(id string, e endedJob) bool { return isOld(id, e.at) })
	maps.DeleteFunc(s.movedAt, isOld)
	maps.DeleteFunc(s.earlyCancels, func(id string, at time.Time) bool {
		if !isOld(id, at) {
			return false
		}
		s.staleCancels = append(s.staleCancels, id)
		return true
	})
}

// JobCount returns the number of jobs whose end isn't durable.
func (s *Shard) JobCount() int { return len(s.jobs) }

// JobState returns a job's state, or false if the shard doesn't have the job.
func (s *Shard) JobState(id string) (specifier.State, bool) {
	j := s.jobs[id]
	if j == nil {
		return "", false
	}
	return j.state(), true
}
