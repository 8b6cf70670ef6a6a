// Package auditor records what the stand-in workers do, independently of the
// system under test, and finds violations of its guarantees.
//
// # Model
//
// All workers of a deployment share one [Auditor]. A worker reports when each
// run of a task starts and ends, and each request that it executes. From these
// reports the auditor finds tasks that ran on two workers at once or started
// again after completion, requests that must not be repeated but were, requests
// that reached a leaving worker late, and workers whose grants exceeded their
// capacity:
//
// Reports may come late, because a stand-in's timers fire late on a busy machine.
// So the auditor compares times rather than the order of reports: a run permits
// others from the end of its lease on, which its worker states in advance.
//
//	a := auditor.New()
//	a.RunStarted(task, "worker-1", now, now.Add(lease))
//	a.RunStarted(task, "worker-2", now, now.Add(lease)) // counted in a.Report().Duplicated
package auditor

import (
	"fmt"
	"sync"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// maxViolations is the number of violations whose descriptions are kept; later
// ones are only counted.
const maxViolations = 50

// Auditor counts runs of tasks and executions of requests, and keeps the
// violations found. It is safe for concurrent use.
type Auditor struct {
	mu         sync.Mutex
	tasks      map[describer.TaskID]*taskRecord
	executions map[string]int // executions by request id
	truncated  map[string]int // responses that a worker broke off and that weren't taken yet, by request id
	report     Report
}

// taskRecord is what the auditor knows about one task.
type taskRecord struct {
	running         map[string]time.Time // end of the lease of each run whose end isn't reported, by worker
	completed       int                  // runs that completed
	lostCompletions int                  // completions lost with their worker before they were acknowledged
	duplicated      bool
}

// Report holds the counts since the auditor was created.
type Report struct {
	Runs             int      `json:"runs"`       // runs of tasks that started
	Completed        int      `json:"completed"`  // runs that completed with success
	Tasks            int      `json:"tasks"`      // tasks with at least one run
	Finished         int      `json:"finished"`   // tasks with at least one completed run
	Stopped          int      `json:"stopped"`    // runs stopped on request
	LeaseExpired     int      `json:"lapsed"`     // runs stopped because their lease expired
	Failed           int      `json:"failed"`     // runs that failed
	WorkerDied       int      `json:"lost"`       // runs in progress when their worker died
	Duplicated       int      `json:"duplicated"` // tasks that ran on two workers at once, or again after completion
	CapacityExceeded int      `json:"overfilled"` // grants that exceeded a worker's capacity
	RepeatedRequests int      `json:"repeated"`   // repeated executions of requests that aren't idempotent
	LateRequests     int      `json:"late"`       // requests that reached a worker long after it began to leave
	Requests         int      `json:"requests"`   // executions of requests
	Violations       []string `json:"faults"`     // descriptions of the first violations
}

// Outcome says how a run ended.
type Outcome uint8

// Outcomes of runs.
const (
	Completed    Outcome = iota // the task completed with success
	Stopped                     // the run was stopped on request
	LeaseExpired                // the worker stopped the run because its lease expired
	Failed                      // the task failed
	WorkerDied                  // the worker died while the run was in progress
)

// New returns an Auditor without any records.
func New() *Auditor {
	return &Auditor{
		tasks:      make(map[describer.TaskID]*taskRecord),
		executions: make(map[string]int),
		truncated:  make(map[string]int),
	}
}

// RunStarted records that a run of the task started on the worker at a time, under a
// lease. It is a violation while another run is under its lease.
func (a *Auditor) RunStarted(task describer.TaskID, worker string, at, leaseEnd time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.record(task)
	a.report.Runs++
	for _, end := range r.running {
		if end.After(at) {
			a.addDuplicate(r, "%s runs in two places, the later is %s", task, worker)
		}
	}
	r.running[worker] = leaseEnd
	if r.completed > r.lostCompletions {
		a.addDuplicate(r, "%s begins on %s after it completed", task, worker)
	}
}

// RunRenewed records that the lease of the task's run on the worker was renewed at a
// time. It is a violation if the lease had expired.
func (a *Auditor) RunRenewed(task describer.TaskID, worker string, at, leaseEnd time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.record(task)
	if !r.running[worker].After(at) {
		a.addDuplicate(r, "%s is renewed on %s after its lease expired", task, worker)
	}
	r.running[worker] = leaseEnd
}

// RunEnded records how and when a run of the task ended on the worker, which may be
// before the report. A completion after the end of the run's lease is a violation, and
// so is one while another run is under its lease, also if that has started since.
func (a *Auditor) RunEnded(task describer.TaskID, worker string, at time.Time, o Outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.record(task)
	leaseEnd := r.running[worker]
	delete(r.running, worker)
	switch o {
	case Completed:
		a.report.Completed++
		r.completed++
		if at.After(leaseEnd) {
			a.addDuplicate(r, "%s completes on %s after its lease expired", task, worker)
		}
		for other, end := range r.running {
			if end.After(at) {
				a.addDuplicate(r, "%s completes on %s and has another run on %s", task, worker, other)
			}
		}
		if r.completed > 1+r.lostCompletions {
			a.addDuplicate(r, "%s completes again on %s", task, worker)
		}
	case Stopped:
		a.report.Stopped++
	case LeaseExpired:
		a.report.LeaseExpired++
	case Failed:
		a.report.Failed++
	case WorkerDied:
		a.report.WorkerDied++
	}
}

// CompletionLost records that a worker died with a completion that had not been
// acknowledged. The task may then run once more.
func (a *Auditor) CompletionLost(task describer.TaskID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.record(task).lostCompletions++
}

// CapacityExceeded records that a worker's grants exceed its capacity.
func (a *Auditor) CapacityExceeded(worker string, granted, capacity describer.Resources) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.report.CapacityExceeded++
	a.addViolation("%s has granted %+v of %+v", worker, granted, capacity)
}

// RequestExecuted records that the worker executed the request with this id. A
// second execution is a violation unless it is idempotent. Requests without an id
// are only counted.
func (a *Auditor) RequestExecuted(id, worker string, idempotent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.report.Requests++
	if id == "" {
		return
	}
	a.executions[id]++
	if a.executions[id] > 1 && !idempotent {
		a.report.RepeatedRequests++
		a.addViolation("request %s executes again on %s", id, worker)
	}
}

// LateRequest records a request that reached the worker long after it began to
// leave.
func (a *Auditor) LateRequest(worker string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.report.LateRequests++
	a.addViolation("%s got a request after it began to leave", worker)
}

// ResponseTruncated records that a worker has sent a part of the response to the
// request with this id, and that the rest is lost.
func (a *Auditor) ResponseTruncated(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.truncated[id]++
}

// TakeTruncation reports whether a worker broke off a response to the request with this
// id. Each such response explains one broken attempt of a caller, so it is taken once.
func (a *Auditor) TakeTruncation(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.truncated[id] == 0 {
		return false
	}
	a.truncated[id]--
	return true
}

// Executions returns how often the request with this id was executed.
func (a *Auditor) Executions(id string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.executions[id]
}

// Finished reports whether a run of the task completed.
func (a *Auditor) Finished(task describer.TaskID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.tasks[task]
	return ok && r.completed > 0
}

// Report returns the counts so far. The caller owns the returned slice.
func (a *Auditor) Report() Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := a.report
	out.Tasks = len(a.tasks)
	out.Violations = append([]string{}, a.report.Violations...)
	for _, r := range a.tasks {
		if r.completed > 0 {
			out.Finished++
		}
	}
	return out
}

// record returns the task's record, which it creates if needed.
func (a *Auditor) record(task describer.TaskID) *taskRecord {
	r := a.tasks[task]
	if r == nil {
		r = &taskRecord{running: make(map[string]time.Time)}
		a.tasks[task] = r
	}
	return r
}

// addDuplicate records a violation; each task is counted once as duplicated.
func (a *Auditor) addDuplicate(r *taskRecord, format string, args ...any) {
	a.addViolation(format, args...)
	if r.duplicated {
		return
	}
	r.duplicated = true
	a.report.Duplicated++
}

// addViolation keeps the description while there are fewer than maxViolations.
func (a *Auditor) addViolation(format string, args ...any) {
	if len(a.report.Violations) < maxViolations {
		a.report.Violations = append(a.report.Violations, fmt.Sprintf(format, args...))
	}
}
