package hoster

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
	"dotterelcart.dev/dotterelcart/internal/standin/auditor"
	"dotterelcart.dev/dotterelcart/internal/standin/listener"
)

// Agent is the worker interface without its transport: runs, leases, grants
// and fences. Its methods may be called from any goroutine.
type Agent struct {
	options Options
	audit   *auditor.Auditor

	mu       sync.Mutex
	epoch    int64                                // highest seen
	fences   map[describer.TaskID]describer.Token // highest seen
	runs     map[describer.TaskID]*run
	ended    map[runner.Run]runner.StopResult
	finished map[runner.Run]runner.FinishedRun
	timer    *time.Timer // fires at the next end of a run
	paused   bool
	dead     bool
	failing  bool
	meter    meter
}

// Payload is what the stand-in reads in a task's payload.
type Payload struct {
	Work string `json:"work"`           // duration text; the declared run time if empty
	CPU  int64  `json:"cpu,omitempty"`  // millicores at full speed; those of the first grant if 0
	Fail bool   `json:"fail,omitempty"` // fails at its end
}

// Result is the result of a completed task.
type Result struct {
	Task   string `json:"task"`
	Worker string `json:"worker"`
}

// NewAgent returns an idle Agent.
func NewAgent(o Options, a *auditor.Auditor) *Agent {
	m := &Agent{
		options:  o,
		audit:    a,
		fences:   make(map[describer.TaskID]describer.Token),
		runs:     make(map[describer.TaskID]*run),
		ended:    make(map[runner.Run]runner.StopResult),
		finished: make(map[runner.Run]runner.FinishedRun),
		meter:    meter{lag: o.Lag, slots: o.Host.Slots},
	}
	m.timer = time.AfterFunc(time.Hour, m.wake)
	return m
}

// Start begins a run. It reports whether one began, which a repetition does
// not do.
func (m *Agent) Start(s runner.StartRequest) (bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance()
	if err := m.fence(s.Token.Epoch); err != nil {
		return false, err
	}
	id := runner.Run{Task: s.Task, Token: s.Token}
	seen := m.fences[s.Task]
	over, known := m.ended[id]
	switch {
	case s.Token == seen && (!known || over.Started):
		return false, nil // a repetition
	case s.Token.Less(seen), known:
		return false, fenced("token is too old for " + s.Task.String())
	}
	if r := m.runs[s.Task]; r != nil {
		m.end(r, auditor.Stopped, r.checkpoint())
	}
	now := time.Now()
	if !s.Until.IsZero() && now.After(s.Until) {
		return false, fenced("the start is too late for " + s.Task.String())
	}
	r, err := newRun(s, now)
	if err != nil {
		return false, listener.Refuse(http.StatusBadRequest, "malformed", err.Error())
	}
	if m.options.Enforce && !s.Granted.Fits(m.options.Host.Capacity.Sub(m.granted())) {
		return false, listener.Refuse(http.StatusConflict, "full", "no room for "+s.Task.String())
	}
	m.fences[s.Task] = s.Token
	if m.failing {
		r.work = 0
		r.payload.Fail = true
	}
	m.runs[s.Task] = r
	m.audit.Began(s.Task, m.options.Host.Name)
	m.checkCapacity()
	m.schedule()
	return true, nil
}

// Stop ends a run and fences its token.
func (m *Agent) Stop(s runner.StopRequest) (runner.StopResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance()
	if err := m.fence(max(s.Epoch, s.Token.Epoch)); err != nil {
		return runner.StopResult{}, err
	}
	if m.fences[s.Task].Less(s.Token) {
		m.fences[s.Task] = s.Token
	}
	id := runner.Run{Task: s.Task, Token: s.Token}
	if r := m.runs[s.Task]; r != nil && !s.Token.Less(r.start.Token) {
		checkpoint := ""
		if s.Checkpoint {
			checkpoint = r.checkpoint()
		}
		m.ended[id] = m.end(r, auditor.Stopped, checkpoint)
	}
	if _, ok := m.ended[id]; !ok {
		m.ended[id] = runner.StopResult{}
	}
	m.schedule()
	return m.ended[id], nil
}

// Throttle sets a run's processor grant.
func (m *Agent) Throttle(t runner.ThrottleRequest) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance()
	if err := m.fence(max(t.Epoch, t.Token.Epoch)); err != nil {
		return err
	}
	r := m.runs[t.Task]
	if r == nil || r.start.Token != t.Token {
		return listener.Refuse(http.StatusNotFound, "unknown", "no such run")
	}
	order := describer.Token{Epoch: t.Epoch, Sequence: t.Sequence}
	if order.Less(r.throttled) {
		return fenced("a newer grant is in force")
	}
	r.throttled = order
	r.start.Granted.CPU = t.CPU
	m.checkCapacity()
	m.schedule()
	return nil
}

// Sync renews leases, forgets acknowledged ends and returns the inventory.
func (m *Agent) Sync(s runner.SyncRequest) (runner.SyncResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance()
	if err := m.fence(s.Epoch); err != nil {
		return runner.SyncResult{}, err
	}
	for _, id := range s.Ack {
		delete(m.finished, id)
	}
	now := time.Now()
	for _, id := range s.Renew {
		if r := m.runs[id.Task]; r != nil && r.start.Token == id.Token {
			r.ends = later(r.ends, leaseEnd(now, s.Lease, s.Until))
		}
	}
	m.schedule()
	return m.inventory(now), nil
}

func (m *Agent) inventory(now time.Time) runner.SyncResult {
	out := runner.SyncResult{Clock: now, Capacity: m.options.Host.Capacity, Latency: m.meter.take(now)}
	for _, r := range m.runs {
		out.Running = append(out.Running, r.report(now, m.options.Lag))
	}
	for _, f := range m.finished {
		out.Finished = append(out.Finished, f)
	}
	return out
}

// Grants returns the sum of the grants and the processor share of each class,
// 0 to 1.
func (m *Agent) Grants() (describer.Resources, map[string]float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	shares := make(map[string]float64)
	for _, r := range m.runs {
		shares[r.start.Class] += float64(r.start.Granted.CPU) / float64(max(1, m.options.Host.Capacity.CPU))
	}
	return m.granted(), shares
}

// Running returns the number of runs in progress.
func (m *Agent) Running() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.runs)
}

// Pause freezes all runs, or lets them go on. A lease that ended meanwhile
// has lapsed.
func (m *Agent) Pause(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance()
	if m.paused && !on {
		for _, r := range m.runs {
			r.since = time.Now()
		}
	}
	m.paused = on
	m.advance()
	m.schedule()
}

// Fail lets every later run fail at once, or ends that.
func (m *Agent) Fail(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failing = on
}

// Kill ends all runs with their worker. The Agent is of no use afterwards.
func (m *Agent) Kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance()
	m.dead = true
	m.timer.Stop()
	for task, r := range m.runs {
		delete(m.runs, task)
		m.audit.Ended(r.start.Task, m.options.Host.Name, auditor.Lost)
	}
	for _, f := range m.finished {
		if f.OK {
			m.audit.Forgot(f.Task)
		}
	}
	m.finished = nil
}

func (m *Agent) wake() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance()
	m.schedule()
}

// advance brings all runs to the present and ends those that are over.
func (m *Agent) advance() {
	if m.dead {
		return
	}
	now := time.Now()
	for _, r := range m.runs {
		if m.paused {
			if !r.ends.After(now) {
				m.lapse(r)
			}
			continue
		}
		done := r.completion()
		switch {
		case !done.After(now) && !done.After(r.ends):
			m.complete(r)
		case !r.ends.After(now):
			r.progress(r.ends)
			m.lapse(r)
		default:
			r.progress(now)
		}
	}
}

func (m *Agent) complete(r *run) {
	f := runner.FinishedRun{Run: r.id(), OK: !r.payload.Fail}
	if !f.OK {
		f.Reason = "task failed"
		m.end(r, auditor.Failed, "")
		m.finished[f.Run] = f
		return
	}
	f.Result, _ = json.Marshal(Result{Task: r.start.Task.String(), Worker: m.options.Host.Name})
	m.end(r, auditor.Completed, "")
	m.ended[f.Run] = runner.StopResult{Started: true, Finished: true, Result: f.Result}
	m.finished[f.Run] = f
}

func (m *Agent) lapse(r *run) {
	f := runner.FinishedRun{Run: r.id(), LeaseExpired: true, Reason: "lease lapsed", Checkpoint: r.checkpoint()}
	m.end(r, auditor.Lapsed, f.Checkpoint)
	m.finished[f.Run] = f
}

// end takes a run out and remembers the answer for repeated stops.
func (m *Agent) end(r *run, e auditor.Ending, checkpoint string) runner.StopResult {
	delete(m.runs, r.start.Task)
	m.audit.Ended(r.start.Task, m.options.Host.Name, e)
	out := runner.StopResult{Started: true, Checkpoint: checkpoint}
	m.ended[r.id()] = out
	return out
}

// schedule sets the timer to the next end of a run.
func (m *Agent) schedule() {
	if m.dead {
		return
	}
	next := time.Now().Add(time.Hour)
	for _, r := range m.runs {
		if r.ends.Before(next) {
			next = r.ends
		}
		if done := r.completion(); !m.paused && done.Before(next) {
			next = done
		}
	}
	m.timer.Reset(time.Until(next))
}

func (m *Agent) fence(epoch int64) error {
	if epoch < m.epoch {
		return fenced("epoch is too old")
	}
	m.epoch = epoch
	return nil
}

func (m *Agent) granted() describer.Resources {
	var sum describer.Resources
	for _, r := range m.runs {
		sum = sum.Add(r.start.Granted)
	}
	return sum
}

func (m *Agent) checkCapacity() {
	if sum := m.granted(); !sum.Fits(m.options.Host.Capacity) {
		m.audit.Overfilled(m.options.Host.Name, sum, m.options.Host.Capacity)
	}
}

func fenced(message string) error {
	return listener.Refuse(http.StatusConflict, "fenced", message)
}
