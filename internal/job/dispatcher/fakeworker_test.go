package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

const workerCPU = 4000 // millicores

// shrinkNotice is how long the users let a worker run over a room that has shrunk: the
// time in touch of 4 s and a heartbeat.
const shrinkNotice = 5100 * time.Millisecond

// fakeWorker follows the worker protocol, but also starts runs beyond its
// capacity. checkStart fails the test if one is ordered.
type fakeWorker struct {
	sim           *simulation
	id            string
	address       string // its id if empty
	incarnation   int64
	token         int64
	registered    bool
	crashed       bool
	gone          bool // another worker has its address, so that it stays down
	draining      bool
	stalled       bool          // its runs make no progress
	domain        string        // failure domain; "bne" if empty
	cold          time.Duration // registered time for which it remains slow
	rooms         []roomChange
	startedAt     time.Time
	leaseEnd      time.Time // when its runs are killed
	runs          map[specifier.TaskID]*fakeRun
	lastRun       map[specifier.TaskID]int64 // highest number of a stopped or ended run
	pendingEnds   []specifier.End
	lastEnd       int64
	leaseExpiries int                // how often its lease has expired
	waitingPolls  []func()           // answer the polls that wait for an end
	endStates     map[int64]endState // of pendingEnds, by number
}

// roomChange is a change of a worker's CPU capacity.
type roomChange struct {
	at  time.Time
	cpu int64 // millicores
}

// setRoom changes the worker's CPU capacity.
func (w *fakeWorker) setRoom(cpu int64) {
	w.sim.logf("%s has %d millicores", w.id, cpu)
	w.rooms = append(w.rooms, roomChange{w.sim.now, cpu})
}

// cpu returns the worker's CPU capacity, in millicores.
func (w *fakeWorker) cpu() int64 {
	if len(w.rooms) == 0 {
		return workerCPU
	}
	return w.rooms[len(w.rooms)-1].cpu
}

// countedCPU returns the CPU capacity that a start now must not exceed: the largest of the
// last shrinkNotice.
func (w *fakeWorker) countedCPU() int64 {
	most := w.cpu()
	until := w.sim.now
	for _, change := range slices.Backward(w.rooms) {
		if w.sim.now.Sub(until) > shrinkNotice {
			return most
		}
		most = max(most, change.cpu)
		until = change.at
	}
	if w.sim.now.Sub(until) <= shrinkNotice {
		most = max(most, workerCPU)
	}
	return most
}

type fakeRun struct {
	number    int64
	stopping  bool
	step      *specifier.Step
	startedAt time.Time
	length    time.Duration // run time
}

func (w *fakeWorker) isUp() bool { return !w.crashed }

// restart begins a new incarnation without state. It fails the test if another worker is up
// at the address, since no platform runs two processes at one address.
func (w *fakeWorker) restart() {
	if w.gone {
		return
	}
	for _, other := range w.sim.workers {
		if other != w && other.isUp() && other.registration().Address == w.registration().Address {
			w.sim.fail("%s restarts at the address of %s, which is up", w.id, other.id)
		}
	}
	w.incarnation++
	w.crashed, w.token, w.lastEnd, w.pendingEnds = false, 0, 0, nil
	w.endStates = make(map[int64]endState)
	w.startedAt, w.leaseEnd = w.sim.now, time.Time{}
	w.waitingPolls = nil
	w.runs = make(map[specifier.TaskID]*fakeRun)
	w.lastRun = make(map[specifier.TaskID]int64)
}

// depart drains the worker for a while. Then it leaves, and comes back in a new incarnation as
// long after that.
func (w *fakeWorker) depart(drain time.Duration) {
	w.sim.logf("%s drains for %s and leaves", w.id, drain)
	w.draining = true
	w.sim.schedule(drain, func() {
		w.registered = false
		w.crash()
	})
	w.sim.schedule(2*drain, func() {
		w.draining, w.registered = false, true
		w.restart()
	})
}

// crash ends all runs without reporting their ends.
func (w *fakeWorker) crash() {
	w.crashed = true
	w.runs = make(map[specifier.TaskID]*fakeRun)
}

func (w *fakeWorker) registration() specifier.Worker {
	return specifier.Worker{
		ID: w.id, Incarnation: w.incarnation, Service: "desk", Domain: cmp.Or(w.domain, "bne"), Address: cmp.Or(w.address, w.id), Draining: w.draining, ColdRemaining: w.cold,
		Capacity: describer.Resources{CPU: w.cpu(), Memory: 10000},
	}
}

// clock is the worker's monotonic clock, which runs 2 % slow.
func (w *fakeWorker) clock() time.Duration {
	return time.Duration(float64(w.sim.now.Sub(w.startedAt)) * 0.98)
}

// isFenced reports whether a token is lower than the highest so far, which it
// updates.
func (w *fakeWorker) isFenced(token int64) bool {
	if token < w.token {
		return true
	}
	w.token = token
	return false
}

// extendLease prolongs the lease of all runs to leaseEnd by the worker's clock,
// but to at most simMaxLease from now. It never shortens the lease.
func (w *fakeWorker) extendLease(leaseEnd time.Duration) {
	expiry := w.sim.now.Add(time.Duration(float64(min(leaseEnd-w.clock(), simMaxLease)) / 0.98))
	if leaseEnd == 0 || !expiry.After(w.leaseEnd) {
		return
	}
	w.leaseEnd = expiry
	incarnation := w.incarnation
	w.sim.schedule(expiry.Sub(w.sim.now), func() {
		if w.incarnation == incarnation && !w.sim.now.Before(w.leaseEnd) {
			w.leaseExpiries++
			for _, id := range sortedFakeRuns(w.runs) {
				w.endRun(id, specifier.OutcomeLeaseExpired)
			}
		}
	})
}

func (w *fakeWorker) start(token int64, e StartRun) Fault {
	s := w.sim
	if w.isFenced(token) {
		return Fenced
	}
	if e.LeaseEnd <= w.clock() {
		return LeaseExpired
	}
	w.extendLease(e.LeaseEnd)
	if r := w.runs[e.Task]; r != nil {
		if r.number == e.Run {
			return NoFault
		}
		return StaleRun
	}
	if e.Run <= w.lastRun[e.Task] {
		return StaleRun
	}
	step := &s.store[e.Task.Job].job.Steps[e.Task.Step]
	s.logf("%s starts %s run %d", w.id, e.Task, e.Run)
	s.checkStart(w, e, step)
	r := &fakeRun{number: e.Run, step: step, startedAt: s.now, length: step.Estimate}
	if s.slowRunRate > 0 && s.random.Float64() < s.slowRunRate {
		r.length *= 7
	}
	w.runs[e.Task] = r
	if d := s.deadly[e.Task]; d != nil {
		d.started(w)
	}
	if step.LongRunning {
		w.failLongRunning(e.Task, r)
		return NoFault
	}
	s.schedule(r.length, func() { w.finishRun(e.Task, r) })
	return NoFault
}

// finishRun ends a run after its run time.
func (w *fakeWorker) finishRun(id specifier.TaskID, r *fakeRun) {
	if w.crashed || w.runs[id] != r || r.stopping {
		return
	}
	if w.stalled {
		w.sim.schedule(time.Second, func() { w.finishRun(id, r) })
		return
	}
	outcome := specifier.OutcomeDone
	if w.sim.random.Float64() < w.sim.failureRate {
		outcome = specifier.OutcomeFailed
	}
	w.endRun(id, outcome)
}

// failLongRunning draws whether a run of a long-running task fails, and when.
func (w *fakeWorker) failLongRunning(id specifier.TaskID, r *fakeRun) {
	s := w.sim
	if s.longRunningFailures == 0 || s.random.Float64() >= s.longRunningFailures {
		return
	}
	after := failureTime
	switch {
	case s.longRunningLife > 0:
		after = s.longRunningLife/4 + time.Duration(s.random.Int64N(int64(s.longRunningLife)))
	case s.random.IntN(5) == 0:
		after = 0
	}
	s.schedule(after, func() {
		if !w.crashed && w.runs[id] == r && !r.stopping {
			w.endRun(id, specifier.OutcomeFailed)
		}
	})
}

// endRun ends a run and lists the end until it is acknowledged.
func (w *fakeWorker) endRun(id specifier.TaskID, outcome specifier.Outcome) {
	r := w.runs[id]
	delete(w.runs, id)
	w.lastRun[id] = max(w.lastRun[id], r.number)
	w.lastEnd++
	w.sim.logf("%s ends %s run %d: %s", w.id, id, r.number, outcome)
	w.endStates[w.lastEnd] = endState{leaseExpiries: w.leaseExpiries}
	w.pendingEnds = append(w.pendingEnds, specifier.End{Number: w.lastEnd, Task: id, Run: r.number, Outcome: outcome})
	switch outcome {
	case specifier.OutcomeDone:
		w.sim.invariants.completed[id] = true
	case specifier.OutcomeFailed:
		w.sim.invariants.failures[id]++
	}
	w.answerWaitingPolls()
}

// stop ends a run after a random time, and refuses later starts of that run.
func (w *fakeWorker) stop(token int64, id specifier.TaskID, number int64) Fault {
	if w.isFenced(token) {
		return Fenced
	}
	r := w.runs[id]
	w.lastRun[id] = max(w.lastRun[id], number)
	if r == nil || r.number > number || r.stopping {
		return NoFault
	}
	r.stopping = true
	incarnation := w.incarnation
	w.sim.schedule(time.Duration(w.sim.random.IntN(int(simStopTime))), func() {
		if w.incarnation == incarnation && w.runs[id] == r {
			w.endRun(id, specifier.OutcomeStopped)
		}
	})
	return NoFault
}

// maxListedEnds is the number of ends that a worker lists at a time.
const maxListedEnds = 3

func (w *fakeWorker) poll(token int64, e PollWorker) (specifier.Inventory, Fault) {
	if w.isFenced(token) {
		return specifier.Inventory{}, Fenced
	}
	w.extendLease(e.LeaseEnd)
	for len(w.pendingEnds) > 0 && w.pendingEnds[0].Number <= e.Acknowledged {
		w.acknowledge(w.pendingEnds[0])
		w.pendingEnds = w.pendingEnds[1:]
	}
	return w.inventory(), NoFault
}

// inventory returns what the worker runs and the ends that it lists.
func (w *fakeWorker) inventory() specifier.Inventory {
	ended := w.pendingEnds[:min(len(w.pendingEnds), maxListedEnds)]
	inventory := specifier.Inventory{
		Incarnation: w.incarnation, Clock: w.clock(), Ended: slices.Clone(ended), MoreEnds: len(ended) == maxListedEnds,
	}
	for _, id := range sortedFakeRuns(w.runs) {
		inventory.Active = append(inventory.Active, specifier.Run{Task: id, Number: w.runs[id].number, ProgressPercent: w.progress(w.runs[id])})
	}
	return inventory
}

// progress returns a run's progress in percent; it is constant on a stalled
// worker.
func (w *fakeWorker) progress(r *fakeRun) int {
	switch {
	case w.stalled:
		return 50
	case r.step.LongRunning:
		return 100
	}
	return int(100 * w.sim.now.Sub(r.startedAt) / (r.length + 1))
}

func sortedFakeRuns(runs map[specifier.TaskID]*fakeRun) []specifier.TaskID {
	ids := make([]specifier.TaskID, 0, len(runs))
	for id := range runs {
		ids = append(ids, id)
	}
	sortTasks(ids)
	return ids
}

// recordAckedEnd records an end that was acknowledged.
func (s *simulation) recordAckedEnd(end specifier.End) {
	switch end.Outcome {
	case specifier.OutcomeDone:
		s.invariants.acked[end.Task] = true
	case specifier.OutcomeFailed:
		s.invariants.ackedFailures[end.Task]++
	}
}

// checkStart checks the invariants when a run starts.
func (s *simulation) checkStart(w *fakeWorker, e StartRun, step *specifier.Step) {
	if s.invariants.acked[e.Task] {
		s.fail("%s starts on %s after its end was acknowledged", e.Task, w.id)
	}
	if !step.LongRunning && s.invariants.ackedFailures[e.Task] >= simAttempts {
		s.fail("%s starts on %s after %d acknowledged failures", e.Task, w.id, s.invariants.ackedFailures[e.Task])
	}
	s.checkCancelled(w, e.Task)
	s.checkOtherRuns(w, e, step)
	for _, earlier := range step.After {
		r := s.store[e.Task.Job]
		for i := range r.job.Steps[earlier].Count {
			id := specifier.TaskID{Job: e.Task.Job, Occurrence: e.Task.Occurrence, Step: earlier, Index: i}
			if !s.hasCompleted(r, id) {
				s.fail("%s starts before %s, which it depends on, has completed", e.Task, id)
			}
		}
	}
	s.checkRoom(w, e.Task, step)
	s.checkNumber(e)
	s.noteStart(w, e, step)
}

// checkRoom checks that a worker has room for another run of a step.
func (s *simulation) checkRoom(w *fakeWorker, task specifier.TaskID, step *specifier.Step) {
	used := needOf(step).reserved.CPU
	beside := 0
	for id, r := range w.runs {
		used += needOf(r.step).reserved.CPU
		if id.Job == task.Job && id.Step == task.Step && id.Occurrence == task.Occurrence {
			beside++
		}
	}
	limit := w.countedCPU()
	if s.lateCall {
		limit = workerCPU // the limit by time doesn't apply
	}
	if used > limit {
		s.fail("%s exceeds the capacity of %s: %d of %d millicores", task, w.id, used, limit)
	}
	if step.MaxPerWorker > 0 && beside >= step.MaxPerWorker {
		s.fail("%s is task %d of its step on %s, more than allowed", task, beside+1, w.id)
	}
}

// checkCancelled checks that the owners of all shards that have the job haven't
// received its cancellation long ago. A late call is executed less than 12 s after
// its owner gave the order.
func (s *simulation) checkCancelled(w *fakeWorker, task specifier.TaskID) {
	r := s.store[task.Job]
	last := r.cancelHeardAt
	if last.IsZero() && len(s.shards) > 1 {
		last = r.finalAt
	}
	if last.IsZero() {
		return
	}
	for _, sh := range s.shards {
		if sh.hasPart(task.Job) && sh.owner.heard[task.Job].IsZero() {
			return
		}
	}
	if r.partHeardAt.After(last) {
		last = r.partHeardAt
	}
	if s.now.Sub(last) > 13*time.Second {
		s.fail("%s starts on %s %s after its owner received the cancellation", task, w.id, s.now.Sub(last))
	}
}

// checkNumber checks that the run numbers of a task rise over shards and owners.
func (s *simulation) checkNumber(e StartRun) {
	if last := s.invariants.lastRun[e.Task]; e.Run <= last {
		s.fail("%s starts run %d after run %d", e.Task, e.Run, last)
	}
	s.invariants.lastRun[e.Task] = e.Run
}
