// Package dispatcher runs the jobs of one shard on the shard's workers, as a
// pure function.
//
// # Model
//
// The owner of a shard feeds a [Shard] one [Event] at a time and carries out
// the [Effect] values that each returns. Nothing here does I/O, reads a clock
// or starts a goroutine.
//
//	s := dispatcher.New(options, now)
//	for event := range events {
//		carryOut(s.Reduce(time.Now(), event))
//	}
//
// # What is durable
//
// Accepted jobs, cancellations, ends of tasks and checkpoints are in the
// store. Starts are not: what runs is learnt from the workers. A run's number
// rises over owners, because its high part is the ownership's epoch. An end is
// acknowledged to its worker only when the change it caused is durable, so a
// successor hears of it again.
//
// # When a run is over
//
// A run counts as over when its worker lists its end, when an inventory asked
// for after the start was confirmed lacks it, when the worker has been born
// again, or when every lease that can have been given on the worker has
// lapsed. A start without an answer is settled by a stop of the same run,
// after which the worker refuses it. A successor starts nothing of an
// inherited job before each worker that may have a run of it has answered or
// has lapsed.
package dispatcher

import (
	"maps"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/learner"
	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// Times and sizes of the dispatcher.
const (
	renewInterval   = time.Second            // longest time between renewals of a worker's leases
	endPause        = 60 * time.Millisecond  // between inventories while ends wait to become durable
	failedPause     = 250 * time.Millisecond // before an unanswered inventory is asked for again
	commitInterval  = 40 * time.Millisecond
	publishInterval = 700 * time.Millisecond
	paceInterval    = 500 * time.Millisecond
	commitChanges   = 7    // jobs of one commit; each takes up to four entries of a transaction
	runsOfEpoch     = 1000 // run numbers of one ownership, for one task
	clockDrift      = 0.03 // bound on how much slower a worker's steady clock may run
	lapseMargin     = 200 * time.Millisecond
)

// Options are what a Shard needs to know.
type Options struct {
	Name    string
	Service string
	Domain  string // failure domain of its workers

	Epoch   int64    // number of ownerships before this one
	Workers []string // that may have runs of an earlier ownership

	Released     bool                   // the predecessor has stopped as planned
	WorkerLeases []recorder.WorkerLease // after such a stop: Workers, with the time that their leases have left

	Lease       time.Duration // granted to everything that runs on a worker with each renewal
	OutageLimit time.Duration // how long an owner that can't reach the store goes on
	PollWait    time.Duration // how long a renewal waits at the worker for an end
	ClockError  time.Duration // by which the time of day may be off, ahead of a due time
}

// Shard is the state of one owned shard. Only one goroutine may use it.
type Shard struct {
	options Options
	now     time.Time
	claimed time.Time
	catalog *specifier.Catalog
	effects []Effect

	jobs    map[string]*job
	ended   map[string]time.Time // jobs that ended durably: when
	early   map[string]time.Time // cancellations of jobs that have not arrived: when
	steps   []*step              // with waiting tasks, in no order
	workers map[string]*worker
	roster  []*worker        // the same, sorted by id
	unnamed bool             // a worker that answers is not named yet
	harm    *learner.Learner // how fillers disturb serving tasks, by image
	beliefs beliefs
	ending  time.Time // when a task last started that reserves room and does not last

	inherited map[string]time.Time // workers that may have runs of an earlier ownership: when these have lapsed
	listed    bool                 // the registered workers are known
	contact   time.Time            // when the store last confirmed the ownership
	resigned  bool

	batch     int64
	pending   bool     // a commit is on its way
	sent      []*job   // of the last commit
	naming    []string // workers that the last commit names
	committed time.Time
	published time.Time
	dirty     []*job
	changed   bool // work or room has changed since the last placement
}

// New returns the state of a shard that was claimed at now.
func New(o Options, now time.Time) *Shard {
	s := &Shard{
		options:   o,
		now:       now,
		claimed:   now,
		catalog:   &specifier.Catalog{},
		jobs:      make(map[string]*job),
		ended:     make(map[string]time.Time),
		early:     make(map[string]time.Time),
		workers:   make(map[string]*worker),
		harm:      newHarm(),
		inherited: make(map[string]time.Time),
		contact:   now,
	}
	if o.Released {
		for _, left := range o.WorkerLeases {
			s.inherited[left.Worker] = now.Add(left.Remaining)
		}
		return s
	}
	// A predecessor that can't reach the store goes on renewing for OutageLimit.
	lapsed := now.Add(stretch(o.OutageLimit+o.Lease) + lapseMargin)
	for _, id := range o.Workers {
		s.inherited[id] = lapsed
	}
	return s
}

// stretch is the longest time that d on a worker's clock takes.
func stretch(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*clockDrift)
}

// Reduce takes in events and returns what is to be done, in order. Work is
// placed once for all of them.
func (s *Shard) Reduce(now time.Time, events ...Event) []Effect {
	s.effects = nil
	if now.After(s.now) {
		s.now = now
	}
	for _, event := range events {
		if s.resigned {
			return s.effects
		}
		s.take(event)
	}
	if s.resigned {
		return s.effects
	}
	if s.changed {
		s.changed = false
		s.place()
	}
	s.commit()
	return s.effects
}

func (s *Shard) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *Shard) take(event Event) {
	switch e := event.(type) {
	case Tick:
		s.tick()
	case CatalogUpdated:
		s.configure(e.Catalog)
	case WorkersListed:
		s.listWorkers(e.Workers)
	case JobLoaded:
		s.load(e)
	case JobArrived:
		s.arrive(e.Job)
	case JobCancelled:
		s.cancel(e.ID)
	case PollAnswered:
		s.held(e)
	case PollFailed:
		s.holdFailed(e)
	case StartAnswered:
		s.startAnswered(e)
	case StopAnswered:
		s.stopAnswered(e)
	case AdviceAnswered:
		s.advised(e)
	case PaceAnswered:
		s.paceAnswered(e)
	case JobMoved:
		s.moved(e)
	case Committed:
		s.committedBatch(e.Batch)
	case OwnershipChecked:
		s.contact = s.now
		if !e.Confirmed {
			s.contact = s.now.Add(-s.options.OutageLimit)
		}
	}
}

// openTime is how long after its claim a shard lets its predecessor's summary
// stand while no worker has answered.
const openTime = 1500 * time.Millisecond

// isOpen reports whether the shard knows enough of its workers for a summary.
func (s *Shard) isOpen() bool {
	if s.now.Sub(s.claimed) >= openTime {
		return true
	}
	answered := 0
	for _, w := range s.workers {
		if w.synced {
			answered++
		}
	}
	return s.listed && answered*2 > len(s.workers)
}

// configure takes in a catalog. Jobs of a queue that is gone go on with what
// they were accepted under.
func (s *Shard) configure(c *specifier.Catalog) {
	s.catalog = c
	for _, j := range s.jobs {
		if q, ok := c.Queue(j.spec.Queue); ok {
			j.queue = q
		}
	}
	s.changed = true
}

// mayAct reports whether the shard may still renew and start: an owner that
// the store has not confirmed for OutageLimit stops, as a successor counts on.
func (s *Shard) mayAct() bool { return s.now.Sub(s.contact) < s.options.OutageLimit }

func (s *Shard) tick() {
	s.expireInherited()
	s.wake()
	for _, w := range slices.Clone(s.roster) {
		s.reviewWorker(w)
	}
	if s.now.Sub(s.published) >= publishInterval && s.isOpen() {
		s.published = s.now
		load := s.summarize()
		s.emit(Publish{Load: load})
		s.moveExcess(&load)
		s.forgetEnded()
	}
	s.changed = true
}

// endedTime is how long the record of an ended job may still be on its way to
// the owner, through a watch that lags or a list that was read before the end.
const endedTime = 2 * time.Minute

func (s *Shard) forgetEnded() {
	isOld := func(_ string, at time.Time) bool { return s.now.Sub(at) > endedTime }
	maps.DeleteFunc(s.ended, isOld)
	maps.DeleteFunc(s.early, isOld)
}

// expireInherited gives up waiting for workers whose leases have lapsed.
func (s *Shard) expireInherited() {
	if !s.isConfirmed() {
		return
	}
	for id, lapsed := range s.inherited {
		if s.now.After(lapsed) {
			s.emit(Log{Message: "inherited leases lapsed", Worker: id})
			delete(s.inherited, id)
			s.changed = true
		}
	}
}

// isSettled reports whether it is known of every inherited run where it is.
func (s *Shard) isSettled() bool { return len(s.inherited) == 0 && s.listed }

// JobCount counts the jobs that have not ended.
func (s *Shard) JobCount() int { return len(s.jobs) }

// JobState is a job's state. It is false for a job that is not here.
func (s *Shard) JobState(id string) (specifier.State, bool) {
	j := s.jobs[id]
	if j == nil {
		return "", false
	}
	return j.shown(), true
}
