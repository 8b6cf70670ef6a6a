package dispatcher

import (
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

const workerCPU = 4000 // millicores

// fakeWorker follows the worker protocol but starts every run that is ordered,
// also beyond its capacity.
type fakeWorker struct {
	sim         *simulation
	id          string
	incarnation int64
	token       int64
	registered  bool
	crashed     bool
	draining    bool
	stalled     bool // its runs make no progress
	startedAt   time.Time
	leaseEnd    time.Time // when its runs are killed
	runs        map[specifier.TaskID]*fakeRun
	lastRun     map[specifier.TaskID]int64 // highest number of a stopped or ended run
	pendingEnds []specifier.End
	lastEnd     int64
}

type fakeRun struct {
	number    int64
	stopping  bool
	step      *specifier.Step
	startedAt time.Time
}

func (m *fakeWorker) isUp() bool { return !m.crashed }

// restart begins a new incarnation without state.
func (m *fakeWorker) restart() {
	m.incarnation++
	m.crashed, m.token, m.lastEnd, m.pendingEnds = false, 0, 0, nil
	m.startedAt = m.sim.now
	m.runs = make(map[specifier.TaskID]*fakeRun)
	m.lastRun = make(map[specifier.TaskID]int64)
}

// crash ends all runs without reporting their ends.
func (m *fakeWorker) crash() {
	m.crashed = true
	m.runs = make(map[specifier.TaskID]*fakeRun)
}

func (m *fakeWorker) registration() specifier.Worker {
	return specifier.Worker{
		ID: m.id, Incarnation: m.incarnation, Service: "desk", Domain: "bne", Address: m.id, Draining: m.draining,
		Capacity: describer.Resources{CPU: workerCPU, Memory: 10000},
	}
}

// clock is the worker's monotonic clock, which runs 2 % slow.
func (m *fakeWorker) clock() time.Duration {
	return time.Duration(float64(m.sim.now.Sub(m.startedAt)) * 0.98)
}

// isFenced reports whether a token is lower than the highest so far, which it
// updates.
func (m *fakeWorker) isFenced(token int64) bool {
	if token < m.token {
		return true
	}
	m.token = token
	return false
}

// extendLease prolongs the lease of all runs; it never shortens it.
func (m *fakeWorker) extendLease(leaseEnd time.Duration) {
	expiry := m.sim.now.Add(time.Duration(float64(min(leaseEnd-m.clock(), 10*time.Second)) / 0.98))
	if leaseEnd == 0 || !expiry.After(m.leaseEnd) {
		return
	}
	m.leaseEnd = expiry
	incarnation := m.incarnation
	m.sim.schedule(expiry.Sub(m.sim.now), func() {
		if m.incarnation == incarnation && !m.sim.now.Before(m.leaseEnd) {
			for _, id := range sortedFakeRuns(m.runs) {
				m.endRun(id, specifier.OutcomeLeaseExpired)
			}
		}
	})
}

func (m *fakeWorker) start(token int64, e StartRun) Fault {
	s := m.sim
	if m.isFenced(token) {
		return Fenced
	}
	if e.LeaseEnd <= m.clock() {
		return LeaseExpired
	}
	m.extendLease(e.LeaseEnd)
	if r := m.runs[e.Task]; r != nil {
		if r.number == e.Run {
			return NoFault
		}
		return StaleRun
	}
	if e.Run <= m.lastRun[e.Task] {
		return StaleRun
	}
	step := &s.store[e.Task.Job].job.Steps[e.Task.Step]
	s.logf("%s starts %s run %d", m.id, e.Task, e.Run)
	s.checkStart(m, e, step)
	r := &fakeRun{number: e.Run, step: step, startedAt: s.now}
	m.runs[e.Task] = r
	if step.LongRunning {
		return NoFault
	}
	s.schedule(step.Estimate, func() { m.finishRun(e.Task, r) })
	return NoFault
}

// finishRun ends a run after its run time.
func (m *fakeWorker) finishRun(id specifier.TaskID, r *fakeRun) {
	if m.crashed || m.runs[id] != r || r.stopping {
		return
	}
	if m.stalled {
		m.sim.schedule(time.Second, func() { m.finishRun(id, r) })
		return
	}
	outcome := specifier.OutcomeDone
	if m.sim.random.Float64() < m.sim.failureRate {
		outcome = specifier.OutcomeFailed
	}
	m.endRun(id, outcome)
}

// endRun ends a run and lists the end until it is acknowledged.
func (m *fakeWorker) endRun(id specifier.TaskID, outcome specifier.Outcome) {
	r := m.runs[id]
	delete(m.runs, id)
	m.lastRun[id] = max(m.lastRun[id], r.number)
	m.lastEnd++
	m.sim.logf("%s ends %s run %d: %s", m.id, id, r.number, outcome)
	m.pendingEnds = append(m.pendingEnds, specifier.End{Number: m.lastEnd, Task: id, Run: r.number, Outcome: outcome})
	if outcome == specifier.OutcomeDone {
		m.sim.invariants.completed[id] = true
	}
}

// stop ends a run after a random time, and refuses later starts of that run.
func (m *fakeWorker) stop(token int64, id specifier.TaskID, number int64) Fault {
	if m.isFenced(token) {
		return Fenced
	}
	r := m.runs[id]
	m.lastRun[id] = max(m.lastRun[id], number)
	if r == nil || r.number > number || r.stopping {
		return NoFault
	}
	r.stopping = true
	incarnation := m.incarnation
	m.sim.schedule(time.Duration(m.sim.random.IntN(int(simStopTime))), func() {
		if m.incarnation == incarnation && m.runs[id] == r {
			m.endRun(id, specifier.OutcomeStopped)
		}
	})
	return NoFault
}

func (m *fakeWorker) poll(token int64, e PollWorker) (specifier.Inventory, Fault) {
	if m.isFenced(token) {
		return specifier.Inventory{}, Fenced
	}
	m.extendLease(e.LeaseEnd)
	for len(m.pendingEnds) > 0 && m.pendingEnds[0].Number <= e.Acknowledged {
		m.sim.recordAckedEnd(m.pendingEnds[0])
		m.pendingEnds = m.pendingEnds[1:]
	}
	inventory := specifier.Inventory{Incarnation: m.incarnation, Clock: m.clock(), Ended: append([]specifier.End(nil), m.pendingEnds...)}
	for _, id := range sortedFakeRuns(m.runs) {
		inventory.Active = append(inventory.Active, specifier.Run{Task: id, Number: m.runs[id].number, ProgressPercent: m.progress(m.runs[id])})
	}
	return inventory, NoFault
}

// progress returns a run's progress in percent; it is constant on a stalled
// worker.
func (m *fakeWorker) progress(r *fakeRun) int {
	switch {
	case m.stalled:
		return 50
	case r.step.LongRunning:
		return 100
	}
	return int(100 * m.sim.now.Sub(r.startedAt) / (r.step.Estimate + 1))
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
func (s *simulation) checkStart(m *fakeWorker, e StartRun, step *specifier.Step) {
	if s.invariants.acked[e.Task] {
		s.fail("%s starts on %s after its end was acknowledged", e.Task, m.id)
	}
	if !step.LongRunning && s.invariants.ackedFailures[e.Task] >= simAttempts {
		s.fail("%s starts on %s after %d acknowledged failures", e.Task, m.id, s.invariants.ackedFailures[e.Task])
	}
	if cancelledAt := s.store[e.Task.Job].cancelHeardAt; !cancelledAt.IsZero() && s.now.Sub(cancelledAt) > 13*time.Second {
		s.fail("%s starts on %s %s after its owner received the cancellation", e.Task, m.id, s.now.Sub(cancelledAt))
	}
	for _, other := range s.workers {
		if r := other.runs[e.Task]; other != m && r != nil {
			s.fail("%s run %d starts on %s while run %d is on %s", e.Task, e.Run, m.id, r.number, other.id)
		}
	}
	for _, earlier := range step.After {
		for i := range s.store[e.Task.Job].job.Steps[earlier].Count {
			id := specifier.TaskID{Job: e.Task.Job, Occurrence: e.Task.Occurrence, Step: earlier, Index: i}
			if !s.invariants.completed[id] {
				s.fail("%s starts before %s, which it depends on, has completed", e.Task, id)
			}
		}
	}
	used := step.Needs.CPU
	beside := 0
	for id, r := range m.runs {
		used += r.step.Needs.CPU
		if id.Job == e.Task.Job && id.Step == e.Task.Step && id.Occurrence == e.Task.Occurrence {
			beside++
		}
	}
	if used > workerCPU {
		s.fail("%s exceeds the capacity of %s: %d of %d millicores", e.Task, m.id, used, workerCPU)
	}
	if step.MaxPerWorker > 0 && beside >= step.MaxPerWorker {
		s.fail("%s is task %d of its step on %s, more than allowed", e.Task, beside+1, m.id)
	}
}
