package reducer

import (
	"fmt"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// Limits on failed runs.
const (
	// A task is abandoned after it failed on maxFailedWorkers distinct
	// workers, or maxAttempts times on fewer workers.
	maxFailedWorkers = 3
	maxAttempts      = 8

	// A worker is quarantined when quarantineJobs distinct jobs of at least two
	// classes, or twice as many of any classes, failed on it without a success.
	quarantineJobs = 3

	// The delay before a failed task starts again doubles with each failure.
	minRetryDelay = time.Second
	maxRetryDelay = 2 * time.Minute

	// A quarantined worker gets one task per probeInterval.
	probeInterval = 5 * time.Minute
)

// failureStreak lists what failed on a worker since its last success.
type failureStreak struct {
	jobs    []string // ids of the jobs, without repetition
	classes []string // classes of these jobs, without repetition
}

// recordFailure records a failed run. Depending on earlier failures it quarantines
// the worker, abandons the task or schedules a retry.
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
		sh.abandon(t, fmt.Sprintf("failed %d times on %d workers: %s", t.attempts, len(t.failedOn), reason))
		return
	}
	sh.dequeue(t)
	wait := min(minRetryDelay<<min(t.attempts-1, 10), maxRetryDelay)
	sh.addTimer(wait, timer{kind: timerRetry, task: t})
}

// quarantineIfSuspect adds a failure to the worker's streak and quarantines the worker
// if the streak suggests that it is at fault rather than the jobs.
func (sh *shard) quarantineIfSuspect(w *worker, t *task, reason string) {
	w.failureStreak.jobs = appendUnique(w.failureStreak.jobs, t.job.ID)
	w.failureStreak.classes = appendUnique(w.failureStreak.classes, t.job.Class)
	enough := len(w.failureStreak.jobs) >= quarantineJobs && len(w.failureStreak.classes) >= 2 ||
		len(w.failureStreak.jobs) >= 2*quarantineJobs
	if !enough || sh.view.quarantined[w.name] != "" {
		return
	}
	sh.appendRecord(describer.Record{
		Kind:   describer.WorkerQuarantined,
		Worker: w.name,
		Reason: fmt.Sprintf("failed %d jobs in a row, the last with: %s", len(w.failureStreak.jobs), reason),
	})
}

// clearFailures ends the failure streak and the quarantine of a worker on which a task
// succeeded.
func (sh *shard) clearFailures(w *worker) {
	w.failureStreak = failureStreak{}
	if sh.view.quarantined[w.name] != "" {
		sh.appendRecord(describer.Record{Kind: describer.WorkerReinstated, Worker: w.name})
	}
}

// quarantine closes a worker to new tasks, except for one probe task per interval,
// until one succeeds.
func (sh *shard) quarantine(name, reason string) {
	known := sh.view.quarantined[name] != ""
	w := sh.ensureWorker(name)
	sh.view.quarantined[name] = reason
	if !known {
		sh.addTimer(probeInterval, timer{kind: timerProbe, worker: w})
	}
	sh.updateClosed(w)
}

// allowProbe lets one task be placed on a quarantined worker that has no runs, and
// schedules the next probe.
func (sh *shard) allowProbe(w *worker) {
	if sh.workers[w.name] != w || sh.view.quarantined[w.name] == "" {
		return
	}
	w.probeAllowed = len(w.runs) == 0
	sh.updateClosed(w)
	sh.addTimer(probeInterval, timer{kind: timerProbe, worker: w})
}

// isOutOfAttempts reports whether the task has failed too often to be tried again.
// Failures on quarantined workers don't count as failures on distinct workers.
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
	return healthy >= maxFailedWorkers
}

// requeue makes a failed task eligible for placement again when its delay is over.
func (sh *shard) requeue(t *task) {
	if t.state == describer.Pending && !t.queued {
		sh.enqueue(t)
	}
}

// abandonIfUnplaceable abandons the task if it is larger than the capacity of every
// worker of the shard. It waits until the capacity of all workers is known.
func (sh *shard) abandonIfUnplaceable(t *task, want describer.Resources) {
	if len(sh.sortedWorkers) == 0 {
		return
	}
	for _, w := range sh.sortedWorkers {
		if !w.synced || want.Fits(w.account.Host.Capacity) {
			return
		}
	}
	sh.abandon(t, "larger than every worker of its shard")
}

// abandon records that the pending task has failed and will not be tried again.
func (sh *shard) abandon(t *task, reason string) {
	sh.appendRecord(describer.Record{Kind: describer.TaskAbandoned, Task: t.id(), Reason: reason})
	t.pendingReason = ""
	t.job.lastBatch = sh.journal.nextBatch()
}

// appendUnique appends s to the list unless the list contains it.
func appendUnique(list []string, s string) []string {
	if slices.Contains(list, s) {
		return list
	}
	return append(list, s)
}
