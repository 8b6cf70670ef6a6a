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

// Agent implements the worker interface without its transport: it runs tasks under
// leases, refuses calls with an old epoch or token, and reports usage and latency.
// It is safe for concurrent use.
type Agent struct {
	options Options
	audit   *auditor.Auditor

	mu          sync.Mutex
	epoch       int64                                // highest epoch seen
	tokens      map[describer.TaskID]describer.Token // highest token seen of each task
	runs        map[describer.TaskID]*run            // runs in progress
	stopResults map[runner.Run]runner.StopResult     // answers to a stop of each ended run
	finished    map[runner.Run]runner.FinishedRun    // ends that haven't been acknowledged
	timer       *time.Timer                          // fires when the next run ends
	paused      bool
	dead        bool // set by Kill
	failing     bool // runs that start fail at once
	latency     latencyMeter
}

// Payload is the part of a task's payload that the stand-in reads.
type Payload struct {
	Work string `json:"work"`           // run time at full speed, as duration text; the declared run time if empty
	CPU  int64  `json:"cpu,omitempty"`  // grant needed for full speed, in millicores; that of the first grant if 0
	Fail bool   `json:"fail,omitempty"` // the run fails at its end
}

// Result is the result of a completed task.
type Result struct {
	Task   string `json:"task"`
	Worker string `json:"worker"`
}

// NewAgent returns an Agent without runs that reports to audit.
func NewAgent(o Options, audit *auditor.Auditor) *Agent {
	a := &Agent{
		options:     o,
		audit:       audit,
		tokens:      make(map[describer.TaskID]describer.Token),
		runs:        make(map[describer.TaskID]*run),
		stopResults: make(map[runner.Run]runner.StopResult),
		finished:    make(map[runner.Run]runner.FinishedRun),
		latency:     latencyMeter{delay: o.ReportDelay, slots: o.Host.Slots},
	}
	a.timer = time.AfterFunc(time.Hour, a.onTimer)
	return a
}

// Start starts a run and reports whether it did. Repeating a start is no error, but
// starts nothing. A new token ends the task's run under an older one, even if the
// start itself is then refused as late, malformed or beyond the capacity.
func (a *Agent) Start(s runner.StartRequest) (bool, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.advanceRuns()
	if err := a.checkEpoch(s.Token.Epoch); err != nil {
		return false, err
	}
	id := runner.Run{Task: s.Task, Token: s.Token}
	highest := a.tokens[s.Task]
	result, known := a.stopResults[id]
	switch {
	case s.Token == highest && (!known || result.Started):
		return false, nil // repeats a start that was accepted before
	case s.Token.Less(highest), known:
		return false, newFencedError("token is too old for " + s.Task.String())
	}
	if r := a.runs[s.Task]; r != nil {
		a.endRun(r, now, auditor.Stopped, r.checkpoint())
	}
	if !s.Until.IsZero() && now.After(s.Until) {
		return false, newFencedError("the start is too late for " + s.Task.String())
	}
	r, err := newRun(s, now)
	if err != nil {
		return false, listener.NewRefusal(http.StatusBadRequest, "malformed", err.Error())
	}
	if a.options.EnforceCapacity && !s.Granted.Fits(a.options.Host.Capacity.Sub(a.totalGranted())) {
		return false, listener.NewRefusal(http.StatusConflict, "full", "no room for "+s.Task.String())
	}
	a.tokens[s.Task] = s.Token
	if a.failing {
		r.work = 0
		r.payload.Fail = true
	}
	a.runs[s.Task] = r
	a.audit.RunStarted(s.Task, a.options.Host.Name, now, r.leaseEnd)
	a.auditCapacity()
	a.resetTimer()
	return true, nil
}

// Stop ends a run and refuses later starts of the task with its token or an older
// one.
func (a *Agent) Stop(s runner.StopRequest) (runner.StopResult, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.advanceRuns()
	if err := a.checkEpoch(max(s.Epoch, s.Token.Epoch)); err != nil {
		return runner.StopResult{}, err
	}
	if a.tokens[s.Task].Less(s.Token) {
		a.tokens[s.Task] = s.Token
	}
	id := runner.Run{Task: s.Task, Token: s.Token}
	if r := a.runs[s.Task]; r != nil && !s.Token.Less(r.start.Token) {
		checkpoint := ""
		if s.Checkpoint {
			checkpoint = r.checkpoint()
		}
		a.stopResults[id] = a.endRun(r, now, auditor.Stopped, checkpoint)
	}
	if _, ok := a.stopResults[id]; !ok {
		a.stopResults[id] = runner.StopResult{}
	}
	a.resetTimer()
	return a.stopResults[id], nil
}

// Throttle sets the CPU grant of a run, unless a newer call has set it.
func (a *Agent) Throttle(t runner.ThrottleRequest) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advanceRuns()
	if err := a.checkEpoch(max(t.Epoch, t.Token.Epoch)); err != nil {
		return err
	}
	r := a.runs[t.Task]
	if r == nil || r.start.Token != t.Token {
		return listener.NewRefusal(http.StatusNotFound, "unknown", "no such run")
	}
	token := describer.Token{Epoch: t.Epoch, Sequence: t.Sequence}
	if token.Less(r.throttleToken) {
		return newFencedError("a newer grant is in force")
	}
	r.throttleToken = token
	r.start.Granted.CPU = t.CPU
	a.auditCapacity()
	a.resetTimer()
	return nil
}

// Sync renews leases, forgets the ends that the caller acknowledges and returns the
// inventory.
func (a *Agent) Sync(s runner.SyncRequest) (runner.SyncResult, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.advanceRuns()
	if err := a.checkEpoch(s.Epoch); err != nil {
		return runner.SyncResult{}, err
	}
	for _, id := range s.Ack {
		delete(a.finished, id)
	}
	for _, id := range s.Renew {
		if r := a.runs[id.Task]; r != nil && r.start.Token == id.Token {
			r.leaseEnd = later(r.leaseEnd, newLeaseEnd(now, s.Lease, s.Until))
			a.audit.RunRenewed(r.start.Task, a.options.Host.Name, now, r.leaseEnd)
		}
	}
	a.resetTimer()
	return a.inventory(now), nil
}

// inventory returns the state that a sync reports. The caller holds the lock.
func (a *Agent) inventory(now time.Time) runner.SyncResult {
	out := runner.SyncResult{Clock: now, Capacity: a.options.Host.Capacity, Latency: a.latency.takeReports(now)}
	for _, r := range a.runs {
		out.Running = append(out.Running, r.activeRun(now, a.options.ReportDelay))
	}
	for _, f := range a.finished {
		out.Finished = append(out.Finished, f)
	}
	return out
}

// Grants returns the sum of all grants and, for each class of tasks, the share of
// the worker's CPU that is granted to it, 0 to 1.
func (a *Agent) Grants() (describer.Resources, map[string]float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	shares := make(map[string]float64)
	for _, r := range a.runs {
		shares[r.start.Class] += float64(r.start.Granted.CPU) / float64(max(1, a.options.Host.Capacity.CPU))
	}
	return a.totalGranted(), shares
}

// Running returns the number of runs in progress.
func (a *Agent) Running() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.runs)
}

// SetPaused freezes all runs, or resumes them. Leases also expire during a pause.
func (a *Agent) SetPaused(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advanceRuns()
	if a.paused && !on {
		for _, r := range a.runs {
			r.updatedAt = time.Now()
		}
	}
	a.paused = on
	a.advanceRuns()
	a.resetTimer()
}

// SetFailing sets whether runs that start from now on fail at once.
func (a *Agent) SetFailing(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.failing = on
}

// Kill ends all runs because their worker died. The Agent must not be used
// afterwards.
func (a *Agent) Kill() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advanceRuns()
	a.dead = true
	a.timer.Stop()
	for task, r := range a.runs {
		delete(a.runs, task)
		a.audit.RunEnded(r.start.Task, a.options.Host.Name, time.Now(), auditor.WorkerDied)
	}
	for _, f := range a.finished {
		if f.OK {
			a.audit.CompletionLost(f.Task)
		}
	}
	a.finished = nil
}

// onTimer ends the runs that are over.
func (a *Agent) onTimer() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advanceRuns()
	a.resetTimer()
}

// advanceRuns updates the progress of all runs, and ends those that have completed or
// whose lease has expired. It returns the time up to which it did so: a lease that was
// valid then may have expired by a later reading of the clock. The caller holds the lock.
func (a *Agent) advanceRuns() time.Time {
	now := time.Now()
	if a.dead {
		return now
	}
	for _, r := range a.runs {
		if a.paused {
			if !r.leaseEnd.After(now) {
				a.expireRun(r)
			}
			continue
		}
		completion := r.completionTime()
		switch {
		case !completion.After(now) && !completion.After(r.leaseEnd):
			a.completeRun(r)
		case !r.leaseEnd.After(now):
			r.advance(r.leaseEnd)
			a.expireRun(r)
		default:
			r.advance(now)
		}
	}
	return now
}

// completeRun ends a run that has done all its work, with success or a failure as its
// payload says.
func (a *Agent) completeRun(r *run) {
	f := runner.FinishedRun{Run: r.id(), OK: !r.payload.Fail}
	at := r.completionTime()
	if !f.OK {
		f.Reason = "task failed"
		a.endRun(r, at, auditor.Failed, "")
		a.finished[f.Run] = f
		return
	}
	f.Result, _ = json.Marshal(Result{Task: r.start.Task.String(), Worker: a.options.Host.Name})
	a.endRun(r, at, auditor.Completed, "")
	a.stopResults[f.Run] = runner.StopResult{Started: true, Finished: true, Result: f.Result}
	a.finished[f.Run] = f
}

// expireRun ends a run whose lease has expired. Its checkpoint is kept for the
// owner.
func (a *Agent) expireRun(r *run) {
	f := runner.FinishedRun{Run: r.id(), LeaseExpired: true, Reason: "lease lapsed", Checkpoint: r.checkpoint()}
	a.endRun(r, r.leaseEnd, auditor.LeaseExpired, f.Checkpoint)
	a.finished[f.Run] = f
}

// endRun removes a run that ended at a time, and keeps the result for stops of it that
// come later.
func (a *Agent) endRun(r *run, at time.Time, o auditor.Outcome, checkpoint string) runner.StopResult {
	delete(a.runs, r.start.Task)
	a.audit.RunEnded(r.start.Task, a.options.Host.Name, at, o)
	out := runner.StopResult{Started: true, Checkpoint: checkpoint}
	a.stopResults[r.id()] = out
	return out
}

// resetTimer sets the timer to when the next run completes or its lease expires. The
// caller holds the lock.
func (a *Agent) resetTimer() {
	if a.dead {
		return
	}
	next := time.Now().Add(time.Hour)
	for _, r := range a.runs {
		if r.leaseEnd.Before(next) {
			next = r.leaseEnd
		}
		if completion := r.completionTime(); !a.paused && completion.Before(next) {
			next = completion
		}
	}
	a.timer.Reset(time.Until(next))
}

// checkEpoch refuses an epoch below the highest one seen, and remembers a higher one. A
// dead worker doesn't respond; a call may have waited for the end of a pause until then.
func (a *Agent) checkEpoch(epoch int64) error {
	if a.dead {
		return listener.ErrDropResponse
	}
	if epoch < a.epoch {
		return newFencedError("epoch is too old")
	}
	a.epoch = epoch
	return nil
}

// totalGranted returns the sum of the grants of all runs.
func (a *Agent) totalGranted() describer.Resources {
	var sum describer.Resources
	for _, r := range a.runs {
		sum = sum.Add(r.start.Granted)
	}
	return sum
}

// auditCapacity reports grants that exceed the worker's capacity to the auditor.
func (a *Agent) auditCapacity() {
	if sum := a.totalGranted(); !sum.Fits(a.options.Host.Capacity) {
		a.audit.CapacityExceeded(a.options.Host.Name, sum, a.options.Host.Capacity)
	}
}

// newFencedError returns the refusal of a call with an old epoch or token.
func newFencedError(message string) error {
	return listener.NewRefusal(http.StatusConflict, "fenced", message)
}
