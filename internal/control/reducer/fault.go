package reducer

import (
	"fmt"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// Bounds on failures.
const (
	maxWorkers    = 3               // distinct workers that a task may fail on
	maxAttempts   = 8               // failures of a task on fewer workers
	suspectJobs   = 3               // distinct jobs that failed on a worker, none succeeding
	retryLeast    = time.Second     // before a failed task starts again, doubled each time
	retryMost     = 2 * time.Minute // upper bound of the same
	probeInterval = 5 * time.Minute // before a worker that was set aside gets one task
)

// evidence against a worker since its last success.
type evidence struct {
	jobs    []string // distinct jobs that failed on it
	classes []string // their distinct classes
}

// failed records a failed attempt and weighs whether the task or the worker
// is to blame.
func (h *shard) failed(t *task, w *worker, reason string) {
	h.append(describer.Record{
		Kind:   describer.TaskFailed,
		Task:   t.id(),
		Token:  t.token,
		Worker: w.name,
		Reason: reason,
	})
	t.job.batch = h.journal.next()
	h.accuse(w, t, reason)
	if t.state != describer.Pending {
		return
	}
	if h.isHopeless(t) {
		h.setAside(t, fmt.Sprintf("failed %d times on %d workers: %s", t.attempts, len(t.failedOn), reason))
		return
	}
	h.unqueue(t)
	wait := min(retryLeast<<min(t.attempts-1, 10), retryMost)
	h.after(wait, timer{kind: timerRetry, task: t})
}

// accuse sets a worker aside that failed several jobs of several classes, or
// many of one, without a success.
func (h *shard) accuse(w *worker, t *task, reason string) {
	w.evidence.jobs = addText(w.evidence.jobs, t.job.ID)
	w.evidence.classes = addText(w.evidence.classes, t.job.Class)
	enough := len(w.evidence.jobs) >= suspectJobs && len(w.evidence.classes) >= 2 ||
		len(w.evidence.jobs) >= 2*suspectJobs
	if !enough || h.book.asides[w.name] != "" {
		return
	}
	h.append(describer.Record{
		Kind:   describer.WorkerQuarantined,
		Worker: w.name,
		Reason: fmt.Sprintf("failed %d jobs in a row, the last with: %s", len(w.evidence.jobs), reason),
	})
}

// trust forgets the evidence against a worker that completed something.
func (h *shard) trust(w *worker) {
	w.evidence = evidence{}
	if h.book.asides[w.name] != "" {
		h.append(describer.Record{Kind: describer.WorkerReinstated, Worker: w.name})
	}
}

// aside closes a worker. It gets one task at each interval until one succeeds.
func (h *shard) aside(name, reason string) {
	known := h.book.asides[name] != ""
	w := h.worker(name)
	h.book.asides[name] = reason
	if !known {
		h.after(probeInterval, timer{kind: timerProbe, worker: w})
	}
	h.refresh(w)
}

func (h *shard) probe(w *worker) {
	if h.workers[w.name] != w || h.book.asides[w.name] == "" {
		return
	}
	w.probing = len(w.runs) == 0
	h.refresh(w)
	h.after(probeInterval, timer{kind: timerProbe, worker: w})
}

// isHopeless reports whether enough different workers failed the task. Those
// that fail everything don't count.
func (h *shard) isHopeless(t *task) bool {
	if t.attempts >= maxAttempts {
		return true
	}
	sound := 0
	for _, name := range t.failedOn {
		if h.book.asides[name] == "" {
			sound++
		}
	}
	return sound >= maxWorkers
}

func (h *shard) retry(t *task) {
	if t.state == describer.Pending && !t.queued {
		h.queue(t)
	}
}

// maySetAside ends a task that no worker of the shard could ever hold.
func (h *shard) maySetAside(t *task, want describer.Resources) {
	if len(h.order) == 0 {
		return
	}
	for _, w := range h.order {
		if !w.heard || want.Fits(w.account.Host.Capacity) {
			return
		}
	}
	h.setAside(t, "larger than every worker of its shard")
}

func (h *shard) setAside(t *task, reason string) {
	h.append(describer.Record{Kind: describer.TaskAbandoned, Task: t.id(), Reason: reason})
	t.policy = ""
	t.job.batch = h.journal.next()
}

func addText(list []string, one string) []string {
	if slices.Contains(list, one) {
		return list
	}
	return append(list, one)
}
