package reducer

import (
	"fmt"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// Bounds on failures.
const (
	maxWorkers     = 3               // distinct workers that a task may fail on
	maxAttempts    = 8               // failures of a task on fewer workers
	quarantineJobs = 3               // distinct jobs that failed on a worker, none succeeding
	minRetryDelay  = time.Second     // before a failed task starts again, doubled each time
	maxRetryDelay  = 2 * time.Minute // upper bound of the same
	probeInterval  = 5 * time.Minute // before a worker that was set aside gets one task
)

// evidence against a worker since its last success.
type failureStreak struct {
	jobs    []string // distinct jobs that failed on it
	classes []string // their distinct classes
}

// failed records a failed attempt and weighs whether the task or the worker
// is to blame.
func (sh *shard) recordFailure(t *task, w *worker, reason string) {
	sh.appendRecord(describer.Record{
		Kind:   describer.TaskFailed,
		Task:   t.id(),
		Token:  t.token,
		Worker: w.name,
		Reason: reason,
	})
	t.job.lastBatch = sh.journal.nextBatch()
	sh.quarantineIfSuspect(w, t, reason)
	if t.state != describer.Pending {
		return
	}
	if sh.isOutOfAttempts(t) {
		sh.failPermanently(t, fmt.Sprintf("failed %d times on %d workers: %s", t.attempts, len(t.failedOn), reason))
		return
	}
	sh.dequeue(t)
	wait := min(minRetryDelay<<min(t.attempts-1, 10), maxRetryDelay)
	sh.addTimer(wait, timer{kind: timerRetry, task: t})
}

// accuse sets a worker aside that failed several jobs of several classes, or
// many of one, without a success.
func (sh *shard) quarantineIfSuspect(w *worker, t *task, reason string) {
	w.failureStreak.jobs = appendUnique(w.failureStreak.jobs, t.job.ID)
	w.failureStreak.classes = appendUnique(w.failureStreak.classes, t.job.Class)
	enough := len(w.failureStreak.jobs) >= quarantineJobs && len(w.failureStreak.classes) >= 2 ||
		len(w.failureStreak.jobs) >= 2*quarantineJobs
	if !enough || sh.view.quarantined[w.name] != "" {
		return
	}
	sh.appendRecord(describer.Record{
		Kind:   describer.WorkerSetAside,
		Worker: w.name,
		Reason: fmt.Sprintf("failed %d jobs in a row, the last with: %s", len(w.failureStreak.jobs), reason),
	})
}

// trust forgets the evidence against a worker that completed something.
func (sh *shard) clearFailures(w *worker) {
	w.failureStreak = failureStreak{}
	if sh.view.quarantined[w.name] != "" {
		sh.appendRecord(describer.Record{Kind: describer.WorkerTrusted, Worker: w.name})
	}
}

// aside closes a worker. It gets one task at each interval until one succeeds.
func (sh *shard) quarantine(name, reason string) {
	known := sh.view.quarantined[name] != ""
	w := sh.ensureWorker(name)
	sh.view.quarantined[name] = reason
	if !known {
		sh.addTimer(probeInterval, timer{kind: timerProbe, worker: w})
	}
	sh.updateClosed(w)
}

func (sh *shard) allowProbe(w *worker) {
	if sh.workers[w.name] != w || sh.view.quarantined[w.name] == "" {
		return
	}
	w.probeAllowed = len(w.runs) == 0
	sh.updateClosed(w)
	sh.addTimer(probeInterval, timer{kind: timerProbe, worker: w})
}

// isHopeless reports whether enough different workers failed the task. Those
// that fail everything don't count.
func (sh *shard) isOutOfAttempts(t *task) bool {
	if t.attempts >= maxAttempts {
		return true
	}
	healthy := 0
	for _, name := range t.failedOn {
		if sh.view.quarantined[name] == "" {
			healthy++
		}
	}
	return healthy >= maxWorkers
}

func (sh *shard) requeue(t *task) {
	if t.state == describer.Pending && !t.queued {
		sh.enqueue(t)
	}
}

// maySetAside ends a task that no worker of the shard could ever hold.
func (sh *shard) failIfUnplaceable(t *task, want describer.Resources) {
	if len(sh.sortedWorkers) == 0 {
		return
	}
	for _, w := range sh.sortedWorkers {
		if !w.synced || want.Fits(w.account.Host.Capacity) {
			return
		}
	}
	sh.failPermanently(t, "larger than every worker of its shard")
}

func (sh *shard) failPermanently(t *task, reason string) {
	sh.appendRecord(describer.Record{Kind: describer.TaskSetAside, Task: t.id(), Reason: reason})
	t.pendingReason = ""
	t.job.lastBatch = sh.journal.nextBatch()
}

func appendUnique(list []string, one string) []string {
	if slices.Contains(list, one) {
		return list
	}
	return append(list, one)
}
