package reducer

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
)

// fakeWorker simulates a worker with leases and fencing, and checks that its callers keep
// to the rules.
type fakeWorker struct {
	sim         *simulation
	name        string
	clockOffset time.Duration // difference between its clock and the simulation's
	capacity    describer.Resources
	down        bool
	unlisted    bool  // whether the host list lacks it
	failsRuns   bool  // whether all its runs fail
	epoch       int64 // greatest epoch seen; calls of lower epochs are refused
	fences      map[describer.TaskID]describer.Token
	runs        map[describer.TaskID]*fakeRun
	outcomes    map[runner.Run]runner.StopResult
	finished    map[runner.Run]runner.FinishedRun
}

type fakeRun struct {
	runner.StartRequest
	startedAt    time.Time
	leaseEnd     time.Time
	length       time.Duration
	lastThrottle describer.Token
}

// used returns a random measured use: all of the granted processors or a quarter of them.
func (r *fakeRun) used(m *fakeWorker) describer.Resources {
	if m.sim.chance(0.5) {
		return r.Granted
	}
	return describer.Resources{CPU: r.Granted.CPU / 4, Memory: r.Granted.Memory}
}

func newFakeWorker(sim *simulation, name string, offset time.Duration) *fakeWorker {
	m := &fakeWorker{sim: sim, name: name, clockOffset: offset, capacity: describer.Resources{CPU: 4000, Memory: 8192}}
	m.reset()
	return m
}

// reset forgets everything, as a worker does that restarts without its disk.
func (m *fakeWorker) reset() {
	for run, f := range m.finished {
		if f.OK && m.sim.store.completed[run.Task] == run {
			delete(m.sim.store.completed, run.Task)
		}
	}
	m.epoch = 0
	m.fences = make(map[describer.TaskID]describer.Token)
	m.runs = make(map[describer.TaskID]*fakeRun)
	m.outcomes = make(map[runner.Run]runner.StopResult)
	m.finished = make(map[runner.Run]runner.FinishedRun)
}

// clock returns the time by the worker's own clock.
func (m *fakeWorker) clock() time.Time { return m.sim.now.Add(m.clockOffset) }

// leaseEnd returns the end of a lease granted now, by the worker's clock.
func (m *fakeWorker) leaseEnd(lease time.Duration, until time.Time) time.Time {
	end := m.clock().Add(lease)
	if !until.IsZero() && until.Before(end) {
		return until
	}
	return end
}

// endDueRuns ends the runs that have finished or whose lease has expired by now.
func (m *fakeWorker) endDueRuns() {
	for _, id := range sortedTasks(m.runs) {
		r := m.runs[id]
		run := runner.Run{Task: id, Token: r.Token}
		done := r.startedAt.Add(r.length)
		f := runner.FinishedRun{Run: run, LeaseExpired: true, Checkpoint: fmt.Sprint(r.Token)}
		switch {
		case !done.After(m.clock()) && !done.After(r.leaseEnd):
			f = runner.FinishedRun{Run: run, OK: !m.failsRuns, Reason: "bad worker", Result: json.RawMessage(`1`)}
			m.outcomes[run] = runner.StopResult{Started: true, Finished: f.OK, Result: f.Result}
			if f.OK {
				m.sim.store.recordCompletion(run)
			}
		case r.leaseEnd.After(m.clock()):
			continue
		default:
			m.outcomes[run] = runner.StopResult{Started: true, Checkpoint: f.Checkpoint}
		}
		m.finished[run] = f
		delete(m.runs, id)
	}
}

// start starts a run and returns an empty string, or why it is refused.
func (m *fakeWorker) start(s runner.StartRequest) string {
	m.endDueRuns()
	run := runner.Run{Task: s.Task, Token: s.Token}
	_, known := m.outcomes[run]
	switch {
	case s.Token.Epoch < m.epoch, s.Token.Less(m.fences[s.Task]):
		return "fenced"
	case !s.Until.IsZero() && m.clock().After(s.Until):
		return "late"
	case known && !m.outcomes[run].Started:
		return "stopped before"
	case s.Token == m.fences[s.Task]:
		return ""
	}
	m.epoch = s.Token.Epoch
	m.fences[s.Task] = s.Token
	m.sim.checkStart(m, s)
	m.runs[s.Task] = &fakeRun{
		StartRequest: s, startedAt: m.clock(), leaseEnd: m.leaseEnd(s.Lease, s.Until), length: m.sim.runLength(),
	}
	if sum := m.granted(); !sum.Fits(m.capacity) {
		m.sim.t.Fatalf("%s: grants exceed the capacity: %v", m.name, sum)
	}
	return ""
}

func (m *fakeWorker) granted() describer.Resources {
	var sum describer.Resources
	for _, r := range m.runs {
		sum = sum.Add(r.Granted)
	}
	return sum
}

// stop stops a run, or prevents its start if the start arrives later. The second result
// says why the call is refused.
func (m *fakeWorker) stop(s runner.StopRequest) (runner.StopResult, string) {
	m.endDueRuns()
	if s.Epoch < m.epoch {
		return runner.StopResult{}, "fenced"
	}
	m.epoch = s.Epoch
	if m.fences[s.Task].Less(s.Token) {
		m.fences[s.Task] = s.Token
	}
	run := runner.Run{Task: s.Task, Token: s.Token}
	if r := m.runs[s.Task]; r != nil && r.Token == s.Token {
		delete(m.runs, s.Task)
		m.outcomes[run] = runner.StopResult{Started: true, Checkpoint: fmt.Sprint(s.Token)}
	} else if _, ok := m.outcomes[run]; !ok {
		m.outcomes[run] = runner.StopResult{}
	}
	return m.outcomes[run], ""
}

// throttle changes the processor grant of a run, unless a later throttle was applied.
func (m *fakeWorker) throttle(t runner.ThrottleRequest) {
	m.endDueRuns()
	order := describer.Token{Epoch: t.Epoch, Sequence: t.Sequence}
	r := m.runs[t.Task]
	if t.Epoch < m.epoch || r == nil || r.Token != t.Token || order.Less(r.lastThrottle) {
		return
	}
	r.lastThrottle = order
	r.Granted.CPU = t.CPU
	if sum := m.granted(); !sum.Fits(m.capacity) {
		m.sim.t.Fatalf("%s: grants exceed the capacity after a throttle: %v", m.name, sum)
	}
}

// sync renews leases, forgets acknowledged runs and returns the inventory. The second
// result says why the call is refused.
func (m *fakeWorker) sync(s runner.SyncRequest) (runner.SyncResult, string) {
	m.endDueRuns()
	if s.Epoch < m.epoch {
		return runner.SyncResult{}, "fenced"
	}
	m.epoch = s.Epoch
	for _, run := range s.Ack {
		m.sim.store.checkAck(m.finished[run])
		delete(m.finished, run)
	}
	for _, run := range s.Renew {
		if r := m.runs[run.Task]; r != nil && r.Token == run.Token {
			if end := m.leaseEnd(s.Lease, s.Until); end.After(r.leaseEnd) {
				r.leaseEnd = end
			}
		}
	}
	out := runner.SyncResult{Clock: m.clock(), Capacity: m.capacity}
	for _, id := range sortedTasks(m.runs) {
		r := m.runs[id]
		out.Running = append(out.Running, runner.ActiveRun{
			Run: runner.Run{Task: id, Token: r.Token}, Granted: r.Granted, Used: r.used(m), ThrottleToken: r.lastThrottle,
		})
	}
	for _, f := range m.finished {
		out.Finished = append(out.Finished, f)
	}
	slices.SortFunc(out.Finished, func(a, b runner.FinishedRun) int { return compareStrings(a.Task.String(), b.Task.String()) })
	return out, ""
}

func sortedTasks[V any](m map[describer.TaskID]V) []describer.TaskID {
	var out []describer.TaskID
	for id := range m {
		out = append(out, id)
	}
	slices.SortFunc(out, func(a, b describer.TaskID) int { return compareStrings(a.String(), b.String()) })
	return out
}
