// Package auditor counts what the stand-ins see, independently of the system
// under test, so that its invariants can be checked.
//
// # Model
//
// All workers of a deployment share one [Auditor]. A worker reports each run
// of a task as it begins and ends, and each execution of a request. From
// these the auditor finds tasks that ran in two places or completed twice,
// and requests that ran more than once:
//
//	a := auditor.New()
//	a.Began(task, "worker-1")
//	a.Began(task, "worker-2") // counted in a.Report().Duplicated
package auditor

import (
	"fmt"
	"sync"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// maxFaults bounds the kept descriptions of violations.
const maxFaults = 50

// Auditor counts runs and executions.
type Auditor struct {
	mu         sync.Mutex
	tasks      map[describer.TaskID]*history
	executions map[string]int
	report     Report
}

type history struct {
	running    int
	completed  int
	forgotten  int // completions that died with their worker, unacknowledged
	duplicated bool
}

// Report holds the counts so far.
type Report struct {
	Runs       int      `json:"runs"`       // of tasks, begun
	Completed  int      `json:"completed"`  // runs that ended by themselves with success
	Tasks      int      `json:"tasks"`      // with at least one run
	Finished   int      `json:"finished"`   // tasks with a completed run
	Stopped    int      `json:"stopped"`    // runs ended on request
	LeaseExpired     int      `json:"lapsed"`     // runs ended by their lease
	Failed     int      `json:"failed"`     // runs that failed
	Lost       int      `json:"lost"`       // runs that ended with their worker
	Duplicated int      `json:"duplicated"` // tasks in two places at once, or begun again after completion
	CapacityExceeded int      `json:"overfilled"` // grants that went over a worker's capacity
	RepeatedRequests   int      `json:"repeated"`   // non-idempotent requests executed again
	LateRequests       int      `json:"late"`       // requests to a worker long after it began to leave
	Requests   int      `json:"requests"`   // executions of requests
	Violations     []string `json:"faults"`     // the first violations in words
}

// Outcome is how a run ended.
type Outcome uint8

// Endings of runs.
const (
	Completed Outcome = iota
	Stopped
	LeaseExpired
	Failed
	WorkerDied // the worker died
)

// New returns an empty Auditor.
func New() *Auditor {
	return &Auditor{
		tasks:      make(map[describer.TaskID]*history),
		executions: make(map[string]int),
	}
}

// RunStarted reports that a run of the task begins on the worker.
func (a *Auditor) RunStarted(task describer.TaskID, worker string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := a.history(task)
	a.report.Runs++
	h.running++
	if h.running > 1 {
		a.duplicate(h, "%s runs in two places, the later is %s", task, worker)
	}
	if h.completed > h.forgotten {
		a.duplicate(h, "%s begins on %s after it completed", task, worker)
	}
}

// RunEnded reports that a run is over.
func (a *Auditor) RunEnded(task describer.TaskID, worker string, e Outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := a.history(task)
	h.running--
	switch e {
	case Completed:
		a.report.Completed++
		h.completed++
		if h.completed > 1+h.forgotten {
			a.duplicate(h, "%s completes again on %s", task, worker)
		}
	case Stopped:
		a.report.Stopped++
	case LeaseExpired:
		a.report.LeaseExpired++
	case Failed:
		a.report.Failed++
	case WorkerDied:
		a.report.Lost++
	}
}

// CompletionLost reports that a worker died with a completion that nobody had
// acknowledged: the task may run again.
func (a *Auditor) CompletionLost(task describer.TaskID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.history(task).forgotten++
}

// CapacityExceeded reports grants beyond a worker's capacity.
func (a *Auditor) CapacityExceeded(worker string, granted, capacity describer.Resources) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.report.CapacityExceeded++
	a.fault("%s has granted %+v of %+v", worker, granted, capacity)
}

// RequestExecuted reports an execution of the request with this id. Only requests
// that must not be repeated are checked.
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
		a.fault("request %s executes again on %s", id, worker)
	}
}

// LateRequest reports a request to a worker long after it began to leave.
func (a *Auditor) LateRequest(worker string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.report.LateRequests++
	a.fault("%s got a request after it began to leave", worker)
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
	h, ok := a.tasks[task]
	return ok && h.completed > 0
}

// Report returns the counts so far.
func (a *Auditor) Report() Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := a.report
	out.Tasks = len(a.tasks)
	out.Violations = append([]string{}, a.report.Violations...)
	for _, h := range a.tasks {
		if h.completed > 0 {
			out.Finished++
		}
	}
	return out
}

func (a *Auditor) history(task describer.TaskID) *history {
	h := a.tasks[task]
	if h == nil {
		h = &history{}
		a.tasks[task] = h
	}
	return h
}

// duplicate counts each task once.
func (a *Auditor) duplicate(h *history, format string, args ...any) {
	a.fault(format, args...)
	if h.duplicated {
		return
	}
	h.duplicated = true
	a.report.Duplicated++
}

func (a *Auditor) fault(format string, args ...any) {
	if len(a.report.Violations) < maxFaults {
		a.report.Violations = append(a.report.Violations, fmt.Sprintf(format, args...))
	}
}
