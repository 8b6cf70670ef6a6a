package reducer

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
)

// fakeWorker is a worker that keeps to its contract and audits its callers.
type fakeWorker struct {
	world    *world
	name     string
	offset   time.Duration // of its clock
	capacity describer.Resources
	dead     bool
	unlisted bool // missing in the host list
	bad      bool // fails every run
	epoch    int64
	fences   map[describer.TaskID]describer.Token
	runs     map[describer.TaskID]*fakeRun
	ended    map[runner.Run]runner.StopResult
	finished map[runner.Run]runner.FinishedRun
}

type fakeRun struct {
	runner.StartRequest
	began     time.Time
	lease     time.Time
	length    time.Duration
	throttled describer.Token
}

// used is sometimes all of the grant and sometimes little of it.
func (r *fakeRun) used(m *fakeWorker) describer.Resources {
	if m.world.chance(0.5) {
		return r.Granted
	}
	return describer.Resources{CPU: r.Granted.CPU / 4, Memory: r.Granted.Memory}
}

func newFakeWorker(w *world, name string, offset time.Duration) *fakeWorker {
	m := &fakeWorker{world: w, name: name, offset: offset, capacity: describer.Resources{CPU: 4000, Memory: 8192}}
	m.forget()
	return m
}

func (m *fakeWorker) forget() {
	for run, f := range m.finished {
		if f.OK && m.world.store.completed[run.Task] == run {
			delete(m.world.store.completed, run.Task)
		}
	}
	m.epoch = 0
	m.fences = make(map[describer.TaskID]describer.Token)
	m.runs = make(map[describer.TaskID]*fakeRun)
	m.ended = make(map[runner.Run]runner.StopResult)
	m.finished = make(map[runner.Run]runner.FinishedRun)
}

func (m *fakeWorker) clock() time.Time { return m.world.now.Add(m.offset) }

func (m *fakeWorker) leaseEnd(lease time.Duration, until time.Time) time.Time {
	end := m.clock().Add(lease)
	if !until.IsZero() && until.Before(end) {
		return until
	}
	return end
}

// advance ends what is over by now.
func (m *fakeWorker) advance() {
	for _, id := range sortedTasks(m.runs) {
		r := m.runs[id]
		run := runner.Run{Task: id, Token: r.Token}
		done := r.began.Add(r.length)
		f := runner.FinishedRun{Run: run, Lapsed: true, Checkpoint: fmt.Sprint(r.Token)}
		switch {
		case !done.After(m.clock()) && !done.After(r.lease):
			f = runner.FinishedRun{Run: run, OK: !m.bad, Reason: "bad worker", Result: json.RawMessage(`1`)}
			m.ended[run] = runner.StopResult{Ran: true, Finished: f.OK, Result: f.Result}
			if f.OK {
				m.world.store.complete(run)
			}
		case r.lease.After(m.clock()):
			continue
		default:
			m.ended[run] = runner.StopResult{Ran: true, Checkpoint: f.Checkpoint}
		}
		m.finished[run] = f
		delete(m.runs, id)
	}
}

func (m *fakeWorker) start(s runner.StartRequest) string {
	m.advance()
	run := runner.Run{Task: s.Task, Token: s.Token}
	_, known := m.ended[run]
	switch {
	case s.Token.Epoch < m.epoch, s.Token.Less(m.fences[s.Task]):
		return "fenced"
	case !s.Until.IsZero() && m.clock().After(s.Until):
		return "late"
	case known && !m.ended[run].Ran:
		return "stopped before"
	case s.Token == m.fences[s.Task]:
		return ""
	}
	m.epoch = s.Token.Epoch
	m.fences[s.Task] = s.Token
	m.world.audit(m, s)
	m.runs[s.Task] = &fakeRun{
		StartRequest: s, began: m.clock(), lease: m.leaseEnd(s.Lease, s.Until), length: m.world.length(),
	}
	if sum := m.granted(); !sum.Fits(m.capacity) {
		m.world.t.Fatalf("%s is overfilled: %v", m.name, sum)
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

func (m *fakeWorker) stop(s runner.StopRequest) (runner.StopResult, string) {
	m.advance()
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
		m.ended[run] = runner.StopResult{Ran: true, Checkpoint: fmt.Sprint(s.Token)}
	} else if _, ok := m.ended[run]; !ok {
		m.ended[run] = runner.StopResult{}
	}
	return m.ended[run], ""
}

func (m *fakeWorker) throttle(t runner.ThrottleRequest) {
	m.advance()
	order := describer.Token{Epoch: t.Epoch, Sequence: t.Sequence}
	r := m.runs[t.Task]
	if t.Epoch < m.epoch || r == nil || r.Token != t.Token || order.Less(r.throttled) {
		return
	}
	r.throttled = order
	r.Granted.CPU = t.CPU
	if sum := m.granted(); !sum.Fits(m.capacity) {
		m.world.t.Fatalf("%s is overfilled by a throttle: %v", m.name, sum)
	}
}

func (m *fakeWorker) sync(s runner.SyncRequest) (runner.SyncResult, string) {
	m.advance()
	if s.Epoch < m.epoch {
		return runner.SyncResult{}, "fenced"
	}
	m.epoch = s.Epoch
	for _, run := range s.Ack {
		m.world.store.checkAck(m.finished[run])
		delete(m.finished, run)
	}
	for _, run := range s.Renew {
		if r := m.runs[run.Task]; r != nil && r.Token == run.Token {
			if end := m.leaseEnd(s.Lease, s.Until); end.After(r.lease) {
				r.lease = end
			}
		}
	}
	out := runner.SyncResult{Clock: m.clock(), Capacity: m.capacity}
	for _, id := range sortedTasks(m.runs) {
		r := m.runs[id]
		out.Running = append(out.Running, runner.ActiveRun{
			Run: runner.Run{Task: id, Token: r.Token}, Granted: r.Granted, Used: r.used(m), Order: r.throttled,
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
