package dispatcher

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/isolator"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// worker is one incarnation of a registered worker.
type worker struct {
	reg       specifier.Worker // current registration
	rack      string
	runs      map[specifier.TaskID]*run
	allocated need          // sum of the runs' needs
	fillerCPU int64         // cached by expectedFillerCPU, millicores; unknownCPU if outdated
	perStep   map[*step]int // number of runs, by step

	restartedAt     time.Time     // when its restart became known; zero if the ownership was confirmed since, see fence.go
	unregisteredAt  time.Time     // when it disappeared from the registered workers; zero if it is registered
	reported        bool          // this incarnation has answered a poll
	outdated        bool          // reg is of an earlier incarnation, which may have had another capacity
	recorded        bool          // the durable worker list contains it
	listedAsLeaving bool          // a worker list in which it is leaving is durable, or may be
	polling         bool          // a poll is in progress
	nextPoll        time.Time     // earliest time of the next poll
	failedPolls     int           // failed polls in a row
	pollSent        time.Time     // when the last poll was ordered
	failedPollSent  time.Time     // when the last failed poll was ordered
	silentSince     time.Time     // when the first of the failed polls in a row was ordered
	acceptedAt      time.Time     // when the last answered poll of this incarnation was sent
	startUnanswered bool          // a start got no answer, and no poll has been answered since
	leavesAt        time.Time     // while draining: the announced time, at the earliest
	rival           *worker       // another registered worker at its address; nil if there is none
	replaced        bool          // it has ended, and its rival is registered at its address
	pollWait        time.Duration // how long the worker may delay the answer to the last poll

	polledAt    time.Time     // when the last inventory arrived
	polledClock time.Duration // the worker's monotonic clock in the last inventory
	clockFloor  time.Duration // least value that the clock can have had at polledAt, by all inventories
	leaseExpiry time.Time     // when every lease granted here has expired for certain

	pollLeaseEnd    time.Duration // lease end in the last poll, by the worker's clock; 0 if it renewed none
	grantedLeaseEnd time.Duration // lease end in the last answered poll that renewed the leases, by the worker's clock

	lastEnd      int64        // highest number of a processed end
	pendingEnds  []pendingEnd // processed ends that aren't acknowledged, by number
	ackedEnd     int64        // changes by ends up to this number are durable
	pollAck      int64        // acknowledgement in the last poll; 0 if it had none
	confirmedAck int64        // highest acknowledgement in an answered poll

	failuresInRow   int       // runs that failed in a row
	overtakenInRow  int       // runs in a row whose duplicates were done first
	avoidUntil      time.Time // no runs are started before it, also after a refused start
	health          workerHealth
	crashes         isolator.Crashes // of all incarnations
	servingRuns     map[string]int   // number of runs with a latency target, by image
	latencyRatio    float64          // highest ratio of a tail latency to its target; 0 without serving runs
	unknownRuns     int              // number of runs whose reservations aren't known
	overTargetSince time.Time        // since when latencyRatio is at least 1; zero if it isn't
	pacedAt         time.Time        // when a pace was last ordered
	newFillers      []*run           // fillers beside serving tasks, see unseenGrowth
	endsDelayed     bool             // polls failed before the last answer, so its ends may be old

	evacuated       bool          // its failure domain is evacuated
	coldUntil       time.Time     // until then it is slow, see updateCold
	coldRemaining   time.Duration // registered value from which coldUntil was computed
	coldIncarnation int64         // the incarnation that registered it
	lastStart       time.Time     // when a run was last started there
}

// unknownCPU marks worker.fillerCPU as outdated.
const unknownCPU = -1

// runPhase is the state of a run as the owner knows it.
type runPhase uint8

const (
	starting     runPhase = iota // start ordered, no answer yet
	preparing                    // the start isn't ordered before it is durable
	startUnknown                 // the start failed with an unknown outcome
	active                       // the worker has the run
	stopping                     // stop ordered
)

// run is a run that a worker has or may have.
type run struct {
	task         *task // nil if the shard doesn't have the job
	id           specifier.TaskID
	worker       *worker
	number       int64
	phase        runPhase
	orderedAt    time.Time // time of the last start or stop order
	answeredAt   time.Time // when that order was answered; zero before
	needs        need
	unknown      bool               // needs aren't known
	startsSlowly bool               // a filler that begins at slowStartPace
	isolated     bool               // nothing else on the worker may crash it
	listed       bool               // an inventory has listed it
	incarnation  int64              // of the worker for which the last order was, or which has listed it
	unsettled    *lossCircumstances // set if the worker has restarted since the start was ordered, see restart.go
	isDuplicate  bool               // it was the second run of its task, see duplicate.go
	proven       bool               // it doesn't crash its worker, see proven.go
	readyAt      time.Time          // since when it has been ready
	version      int64              // while preparing: version of the job that has to be durable
	progress     int                // see specifier.Run.ProgressPercent
	metric       float64            // see specifier.Run.Metric
	pace         int                // ordered percentage of full speed, or unknownPace
	pausedAt     time.Time          // when the pace was last set to 0
	startedAt    time.Time
	progressedAt time.Time // when progress last changed
	clock        runClock
}

// listWorkers updates the workers from the current registrations.
func (s *Shard) listWorkers(list []specifier.Worker) {
	isFirst := !s.workersListed
	s.workersListed = true
	listed := make(map[string]bool, len(list))
	for _, reg := range list {
		listed[reg.ID] = true
		s.register(reg)
	}
	for id, w := range s.workers {
		if listed[id] {
			continue
		}
		if w.unregisteredAt.IsZero() {
			w.unregisteredAt = s.now
			s.emit(Log{Message: "worker unregistered", Worker: id})
		}
	}
	s.findRivals()
	if isFirst {
		s.reportInherited()
	}
	s.placementDue = true
}

// register adds a worker or updates its registration.
func (s *Shard) register(reg specifier.Worker) {
	w := s.workers[reg.ID]
	if w == nil {
		w = &worker{reg: reg, runs: make(map[specifier.TaskID]*run), perStep: make(map[*step]int), servingRuns: make(map[string]int)}
		w.rack = reg.Rack()
		w.noteDeparture(reg, s.now)
		s.updateEvacuated(w)
		s.updateCold(w)
		s.addWorker(w)
		s.reviewFence(w)
		s.awaitConfirmation(w)
		s.emit(Log{Message: "worker registered", Worker: reg.ID})
		s.poll(w)
		return
	}
	if reg.Incarnation > w.reg.Incarnation {
		s.logRestart(w, reg.Incarnation, "registration")
		w.reg.Address = reg.Address
		s.resetWorker(w, reg.Incarnation)
	}
	if reg.Draining && !w.reg.Draining {
		s.emit(Log{Message: "worker drain started", Worker: reg.ID})
	}
	if reg.Incarnation == w.reg.Incarnation && !w.outdated && reg.Capacity != w.reg.Capacity {
		s.roomVaries = true
		s.emit(Log{Message: "worker capacity changed", Worker: reg.ID, Reason: fmt.Sprintf("CPU from %d to %d millicores, memory from %d to %d MiB", w.reg.Capacity.CPU, reg.Capacity.CPU, w.reg.Capacity.Memory, reg.Capacity.Memory)})
	}
	w.noteDeparture(reg, s.now)
	incarnation := w.reg.Incarnation
	w.reg = reg
	w.reg.Incarnation = max(incarnation, reg.Incarnation)
	w.outdated = reg.Incarnation < incarnation
	w.rack = reg.Rack()
	s.updateEvacuated(w)
	s.updateCold(w)
	w.unregisteredAt = time.Time{}
}

// addWorker adds a worker to the shard.
func (s *Shard) addWorker(w *worker) {
	s.workers[w.reg.ID] = w
	s.listOutdated = true
	at, _ := slices.BinarySearchFunc(s.sortedWorkers, w, compareWorkers)
	s.sortedWorkers = slices.Insert(s.sortedWorkers, at, w)
}

// removeWorker removes a worker that has no runs.
func (s *Shard) removeWorker(w *worker) {
	delete(s.workers, w.reg.ID)
	s.listOutdated = s.listOutdated || w.recorded
	if at, ok := slices.BinarySearchFunc(s.sortedWorkers, w, compareWorkers); ok {
		s.sortedWorkers = slices.Delete(s.sortedWorkers, at, at+1)
	}
}

func compareWorkers(a, b *worker) int { return strings.Compare(a.reg.ID, b.reg.ID) }

// resetWorker starts over with a new incarnation of a worker: the runs of the
// old one have ended, but for those that the new one may have, see restart.go.
func (s *Shard) resetWorker(w *worker, incarnation int64) {
	hasCrashed := !s.hasLeftAsAnnounced(w)
	s.recordCrash(w)
	s.loseRuns(w, LossRestart)
	w.reg.Incarnation = incarnation
	s.reviewFence(w)
	s.awaitConfirmation(w)
	w.leavesAt, w.replaced = time.Time{}, false
	if !w.polledAt.IsZero() || w.leaseExpiry.IsZero() {
		// Without an inventory, no lease has been granted since the last restart.
		w.leaseExpiry = s.earlierOrderExpiry()
	}
	w.reported, w.acceptedAt, w.polledAt, w.polledClock = false, time.Time{}, time.Time{}, 0
	w.clockFloor, w.pollLeaseEnd, w.grantedLeaseEnd = 0, 0, 0
	w.lastEnd, w.ackedEnd, w.pollAck, w.confirmedAck, w.pendingEnds = 0, 0, 0, 0, nil
	w.failuresInRow, w.avoidUntil, w.latencyRatio = 0, time.Time{}, 0
	w.startUnanswered = false
	w.health = workerHealth{}
	if hasCrashed {
		s.noteCrash(w)
	}
	w.nextPoll = s.now
	s.poll(w)
}

// removeRun forgets a run that has ended and requeues its task.
func (s *Shard) removeRun(r *run) {
	w := r.worker
	if w.runs[r.id] != r {
		return
	}
	delete(w.runs, r.id)
	w.allocated = w.allocated.sub(r.needs)
	w.fillerCPU = unknownCPU
	s.placementDue = true
	if r.unknown {
		w.unknownRuns--
	}
	if r.task == nil {
		s.removeOrphan(r)
		return
	}
	s.dropOpenLoss(r.task, r.number)
	s.saveCheckpoint(r.task)
	decrement(w.perStep, r.task.step)
	r.task.step.job.lastEnd = s.now
	if r.isServing() {
		decrement(w.servingRuns, r.task.step.spec.Image)
	}
	s.detach(r)
}

// decrement lowers a count by one and deletes it at zero.
func decrement[K comparable](counts map[K]int, key K) {
	counts[key]--
	if counts[key] <= 0 {
		delete(counts, key)
	}
}

// addRun adds a run and its reservations.
func (w *worker) addRun(r *run) {
	w.runs[r.id] = r
	w.allocated = w.allocated.add(r.needs)
	w.fillerCPU = unknownCPU
	if r.unknown {
		w.unknownRuns++
	}
	if r.task != nil {
		w.perStep[r.task.step]++
		if r.isServing() {
			w.servingRuns[r.task.step.spec.Image]++
		}
		r.attach()
	}
}

// reviewWorker does what is due for a worker: it polls it, repeats stops, and
// gives up its runs, or the worker itself, when the leases have expired.
func (s *Shard) reviewWorker(w *worker) {
	s.retryStops(w)
	_, inherited := s.inheritedExpiry[w.reg.ID]
	hasRuns := len(w.runs) > 0 || s.partlyListed[w.reg.ID]
	isNeeded := hasRuns || len(w.pendingEnds) > 0
	if !w.unregisteredAt.IsZero() && !w.polling && !inherited && (!isNeeded || s.haveLeasesExpired(w)) {
		s.loseRuns(w, s.lossCause(w))
		s.removeWorker(w)
		s.emit(Log{Message: "worker removed", Worker: w.reg.ID, Reason: w.describePendingEnds()})
		return
	}
	if w.failedPolls > 0 && hasRuns && s.haveLeasesExpired(w) && s.isSilent(w) {
		s.emit(Log{Message: "worker leases expired", Worker: w.reg.ID, Age: s.now.Sub(s.ownership.renewedAt)})
		s.loseRuns(w, s.lossCause(w))
	}
	s.stopDraining(w)
	s.reviewListing(w)
	s.poll(w)
}

// haveLeasesExpired reports whether every lease on the worker has certainly
// expired. Unless no other daemon can own the shard the answer is false:
// another owner may reach the worker and renew them.
func (s *Shard) haveLeasesExpired(w *worker) bool {
	return s.isExclusive() && !w.leaseExpiry.IsZero() && s.now.After(w.leaseExpiry)
}

// poll requests a worker's inventory and renews its leases, if a poll is due.
func (s *Shard) poll(w *worker) {
	if w.polling || w.replaced || s.now.Before(w.nextPoll) || !s.mayPoll() {
		return
	}
	order := PollWorker{Worker: w.reg}
	if w.ackedEnd > w.confirmedAck {
		// Repeated to the next incarnation, it would acknowledge other ends.
		order.Acknowledged = w.ackedEnd
	}
	if s.mayAct() && s.mayRenewLeases(w) {
		order.LeaseEnd = s.newLeaseEnd(w)
	}
	if w.reported && len(w.pendingEnds) == 0 && w.failedPolls == 0 {
		order.Wait = s.pollWait()
		if s.isListedAsInherited(w) {
			order.Wait = min(order.Wait, pendingPollDelay) // the next poll may renew the leases
		}
		if len(w.servingRuns) > 0 && (w.allocated.filler > 0 || s.fillersWait) {
			order.Wait = min(order.Wait, paceInterval) // to notice soon what fillers do to the serving tasks
		}
	}
	order.Wait = s.limitActivityWait(w, order.Wait)
	w.polling, w.pollSent, w.pollWait = true, s.now, order.Wait
	w.pollLeaseEnd, w.pollAck = order.LeaseEnd, order.Acknowledged
	s.emit(order)
}

// StartLease is how long a worker may carry out a start after the decision, if a poll has
// granted it a lease. It is longer than an owner waits for the answer to a start, after which
// it stops the run.
const StartLease = 2 * time.Second

// minGrantedLease is the rest of the lease granted by a poll that a worker needs for
// starts with StartLease. With less, a run would lapse if the next poll was lost.
const minGrantedLease = time.Second

// startLeaseEnd returns the lease end for a start that is ordered now, by the worker's
// clock. All runs on a worker have the latest lease that it got, so a start needn't grant
// more if a poll has.
func (s *Shard) startLeaseEnd(w *worker) time.Duration {
	clock := w.clockFloor + s.now.Sub(w.polledAt)
	if w.grantedLeaseEnd-clock < minGrantedLease {
		return s.newLeaseEnd(w)
	}
	return s.grantLease(w, clock+min(StartLease, s.options.Lease))
}

// newLeaseEnd returns the end of a full lease granted now, by the worker's clock.
// It updates leaseExpiry.
func (s *Shard) newLeaseEnd(w *worker) time.Duration {
	if w.polledAt.IsZero() {
		return 0
	}
	return s.grantLease(w, w.polledClock+s.now.Sub(w.polledAt)+s.leaseLength())
}

// grantLease updates leaseExpiry for a lease end by the worker's clock, and returns it.
func (s *Shard) grantLease(w *worker, leaseEnd time.Duration) time.Duration {
	expiry := w.polledAt.Add(withDrift(leaseEnd-w.polledClock) + expiryMargin)
	if expiry.After(w.leaseExpiry) {
		w.leaseExpiry = expiry
	}
	return leaseEnd
}

// pollFailed schedules the next poll of a worker that returned no inventory.
func (s *Shard) pollFailed(e PollFailed) {
	w := s.workers[e.Worker]
	if w == nil {
		return
	}
	w.polling = false
	w.failedPolls++
	w.failedPollSent = w.pollSent
	if w.failedPolls == 1 {
		w.silentSince = w.pollSent
		s.recordCrash(w)
	}
	w.nextPoll = s.now.Add(pollRetryDelay)
	switch e.Fault {
	case Fenced:
		s.resign(w)
	case WorkerRestarted:
		// The incarnation follows with the next registration.
		w.reported = false
		if e.Incarnation == w.reg.Incarnation {
			s.endReplaced(w)
		}
	}
	if w.failedPolls == 1 {
		s.emit(Log{Message: "worker poll failed", Worker: e.Worker, Reason: e.Fault.String()})
	}
}

// resign ends the ownership after a worker has seen a higher fencing token.
func (s *Shard) resign(w *worker) {
	s.resigned = true
	s.emit(Resign{Worker: w.reg.ID})
}

// isUsable reports whether runs may be started on the worker. After a start without an answer it
// has to answer a poll before: each start on a worker that has crashed extends the lease that has to
// expire until its runs are started elsewhere.
func (w *worker) isUsable(now time.Time) bool {
	isKnown := w.reported && !w.outdated && w.failedPolls == 0 && w.unknownRuns == 0 && !w.startUnanswered
	isListed := w.recorded && !w.listedAsLeaving && w.restartedAt.IsZero()
	return isKnown && isListed && !w.isDeparting() && !w.isDoubtful() && !w.evacuated && !now.Before(w.avoidUntil)
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func sortedTasks(m map[specifier.TaskID]*run) []specifier.TaskID {
	return slices.SortedFunc(maps.Keys(m), compareTasks)
}

// compareTasks orders task ids by job, occurrence, step and index.
func compareTasks(a, b specifier.TaskID) int {
	switch {
	case a.Job != b.Job:
		if a.Job < b.Job {
			return -1
		}
		return 1
	case a.Occurrence != b.Occurrence:
		return a.Occurrence - b.Occurrence
	case a.Step != b.Step:
		return a.Step - b.Step
	}
	return a.Index - b.Index
}
