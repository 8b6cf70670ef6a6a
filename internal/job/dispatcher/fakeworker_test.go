package dispatcher

import (
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

const workerCPU = 4000

// fakeWorker is a worker that keeps its part of the protocol and starts
// whatever it is told to, also beyond its capacity.
type fakeWorker struct {
	world      *world
	id         string
	born       int64
	token      int64
	registered bool
	dead       bool
	draining   bool
	hung       bool // its runs stand still
	since      time.Time
	lease      time.Time // when everything is killed
	runs       map[specifier.TaskID]*fakeRun
	highest    map[specifier.TaskID]int64 // run stopped or ended
	ends       []specifier.End
	last       int64
}

type fakeRun struct {
	number   int64
	stopping bool
	step     *specifier.Step
	begun    time.Time
}

func (m *fakeWorker) isUp() bool { return !m.dead }

// bear begins a new life that knows nothing of before.
func (m *fakeWorker) bear() {
	m.born++
	m.dead, m.token, m.last, m.ends = false, 0, 0, nil
	m.since = m.world.now
	m.runs = make(map[specifier.TaskID]*fakeRun)
	m.highest = make(map[specifier.TaskID]int64)
}

func (m *fakeWorker) die() {
	m.dead = true
	m.runs = make(map[specifier.TaskID]*fakeRun)
}

func (m *fakeWorker) registration() specifier.Worker {
	return specifier.Worker{
		ID: m.id, Incarnation: m.born, Service: "desk", Domain: "bne", Address: m.id, Draining: m.draining,
		Capacity: describer.Resources{CPU: workerCPU, Memory: 10000},
	}
}

// clock runs two percent slow.
func (m *fakeWorker) clock() time.Duration {
	return time.Duration(float64(m.world.now.Sub(m.since)) * 0.98)
}

func (m *fakeWorker) fenced(token int64) bool {
	if token < m.token {
		return true
	}
	m.token = token
	return false
}

// extend takes in a lease; it never gets shorter.
func (m *fakeWorker) extend(until time.Duration) {
	at := m.world.now.Add(time.Duration(float64(min(until-m.clock(), 10*time.Second)) / 0.98))
	if until == 0 || !at.After(m.lease) {
		return
	}
	m.lease = at
	born := m.born
	m.world.after(at.Sub(m.world.now), func() {
		if m.born == born && !m.world.now.Before(m.lease) {
			for _, id := range sortedFake(m.runs) {
				m.end(id, specifier.OutcomeLeaseExpired)
			}
		}
	})
}

func (m *fakeWorker) start(token int64, e StartRun) Fault {
	w := m.world
	if m.fenced(token) {
		return Fenced
	}
	if e.LeaseEnd <= m.clock() {
		return LeaseExpired
	}
	m.extend(e.LeaseEnd)
	if r := m.runs[e.Task]; r != nil {
		if r.number == e.Run {
			return NoFault
		}
		return StaleRun
	}
	if e.Run <= m.highest[e.Task] {
		return StaleRun
	}
	step := &w.store[e.Task.Job].job.Steps[e.Task.Step]
	w.note("%s starts %s run %d", m.id, e.Task, e.Run)
	w.checkStart(m, e, step)
	r := &fakeRun{number: e.Run, step: step, begun: w.now}
	m.runs[e.Task] = r
	if step.Lasting {
		return NoFault
	}
	w.after(step.Estimate, func() { m.work(e.Task, r) })
	return NoFault
}

// work ends a run that has done its work.
func (m *fakeWorker) work(id specifier.TaskID, r *fakeRun) {
	if m.dead || m.runs[id] != r || r.stopping {
		return
	}
	if m.hung {
		m.world.after(time.Second, func() { m.work(id, r) })
		return
	}
	outcome := specifier.OutcomeDone
	if m.world.random.Float64() < m.world.faulty {
		outcome = specifier.OutcomeFailed
	}
	m.end(id, outcome)
}

func (m *fakeWorker) end(id specifier.TaskID, outcome specifier.Outcome) {
	r := m.runs[id]
	delete(m.runs, id)
	m.highest[id] = max(m.highest[id], r.number)
	m.last++
	m.world.note("%s ends %s run %d: %s", m.id, id, r.number, outcome)
	m.ends = append(m.ends, specifier.End{Number: m.last, Task: id, Run: r.number, Outcome: outcome})
	if outcome == specifier.OutcomeDone {
		m.world.rules.done[id] = true
	}
}

func (m *fakeWorker) stop(token int64, id specifier.TaskID, number int64) Fault {
	if m.fenced(token) {
		return Fenced
	}
	r := m.runs[id]
	m.highest[id] = max(m.highest[id], number)
	if r == nil || r.number > number || r.stopping {
		return NoFault
	}
	r.stopping = true
	born := m.born
	m.world.after(time.Duration(m.world.random.IntN(int(worldStop))), func() {
		if m.born == born && m.runs[id] == r {
			m.end(id, specifier.OutcomeStopped)
		}
	})
	return NoFault
}

func (m *fakeWorker) hold(token int64, e PollWorker) (specifier.Inventory, Fault) {
	if m.fenced(token) {
		return specifier.Inventory{}, Fenced
	}
	m.extend(e.LeaseEnd)
	for len(m.ends) > 0 && m.ends[0].Number <= e.Acknowledged {
		m.world.noteEnd(m.ends[0])
		m.ends = m.ends[1:]
	}
	inventory := specifier.Inventory{Incarnation: m.born, Clock: m.clock(), Ended: append([]specifier.End(nil), m.ends...)}
	for _, id := range sortedFake(m.runs) {
		inventory.Active = append(inventory.Active, specifier.Run{Task: id, Number: m.runs[id].number, ProgressPercent: m.percent(m.runs[id])})
	}
	return inventory, NoFault
}

// percent is how much of a run's work is done; it stands still on a hung worker.
func (m *fakeWorker) percent(r *fakeRun) int {
	switch {
	case m.hung:
		return 50
	case r.step.Lasting:
		return 100
	}
	return int(100 * m.world.now.Sub(r.begun) / (r.step.Estimate + 1))
}

func sortedFake(runs map[specifier.TaskID]*fakeRun) []specifier.TaskID {
	ids := make([]specifier.TaskID, 0, len(runs))
	for id := range runs {
		ids = append(ids, id)
	}
	sortTasks(ids)
	return ids
}

// noteEnd takes in that an end was acknowledged.
func (w *world) noteEnd(end specifier.End) {
	switch end.Outcome {
	case specifier.OutcomeDone:
		w.rules.noted[end.Task] = true
	case specifier.OutcomeFailed:
		w.rules.failed[end.Task]++
	}
}

// checkStart holds a start against the rules.
func (w *world) checkStart(m *fakeWorker, e StartRun, step *specifier.Step) {
	if w.rules.noted[e.Task] {
		w.fail("%s starts on %s after its end was acknowledged", e.Task, m.id)
	}
	if !step.Lasting && w.rules.failed[e.Task] >= worldAttempts {
		w.fail("%s starts on %s after %d acknowledged failures", e.Task, m.id, w.rules.failed[e.Task])
	}
	if told := w.store[e.Task.Job].told; !told.IsZero() && w.now.Sub(told) > 13*time.Second {
		w.fail("%s starts on %s %s after its owner heard of the cancellation", e.Task, m.id, w.now.Sub(told))
	}
	for _, other := range w.workers {
		if r := other.runs[e.Task]; other != m && r != nil {
			w.fail("%s run %d starts on %s while run %d is on %s", e.Task, e.Run, m.id, r.number, other.id)
		}
	}
	for _, earlier := range step.After {
		for i := range w.store[e.Task.Job].job.Steps[earlier].Count {
			id := specifier.TaskID{Job: e.Task.Job, Occurrence: e.Task.Occurrence, Step: earlier, Index: i}
			if !w.rules.done[id] {
				w.fail("%s starts before %s has completed", e.Task, id)
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
		w.fail("%s overfills %s: %d of %d", e.Task, m.id, used, workerCPU)
	}
	if step.MaxPerWorker > 0 && beside >= step.MaxPerWorker {
		w.fail("%s is number %d of its step on %s", e.Task, beside+1, m.id)
	}
}
