package dispatcher

import (
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
)

// commit emits a commit of changed jobs and the worker list. At most one commit
// is in progress at a time.
func (s *Shard) commit() {
	isClean := len(s.dirtyJobs) == 0 && len(s.staleTransfers) == 0 && len(s.staleCancels) == 0
	if s.committing || isClean && !s.hasUnrecorded || s.now.Sub(s.lastCommit) < commitInterval {
		return
	}
	s.batch++
	commit := Commit{Batch: s.batch}
	s.addChanges(&commit)
	s.committing = true
	s.lastCommit = s.now
	s.updateWorkerList()
	commit.Workers = s.batchWorkers
	commit.Settled = s.knowsInheritedRuns()
	s.settled = commit.Settled
	s.emit(commit)
}

// addChanges fills a commit with changed jobs and stale records.
func (s *Shard) addChanges(c *Commit) {
	c.StaleTransfers, s.staleTransfers = takeUpTo(s.staleTransfers, maxStaleEntries)
	c.StaleCancels, s.staleCancels = takeUpTo(s.staleCancels, maxStaleEntries-len(c.StaleTransfers))
	left := maxCommitEntries - len(c.StaleTransfers) - len(c.StaleCancels)
	s.batchJobs = s.batchJobs[:0]
	var unfinished []*job
	n := 0
	for _, j := range s.dirtyJobs {
		if left -= j.commitEntries(); left < 0 {
			break
		}
		n++
		change, complete := s.newChange(j)
		c.Changes = append(c.Changes, change)
		s.batchJobs = append(s.batchJobs, j)
		if !complete {
			unfinished = append(unfinished, j)
		}
	}
	s.dirtyJobs = slices.Delete(s.dirtyJobs, 0, n)
	for _, j := range unfinished {
		s.markDirty(j)
	}
}

// takeUpTo divides a list after at most n elements.
func takeUpTo[T any](list []T, n int) (taken, rest []T) {
	n = min(n, len(list))
	return list[:n:n], list[n:]
}

// commitEntries returns the maximum number of entries for the job in a transaction.
func (j *job) commitEntries() int {
	if j.final != "" && (len(j.otherShards) > 0 || len(j.transferRecords()) > 0) {
		return jobEntries + maxCleanupEntries
	}
	return jobEntries + len(j.handovers)
}

// newChange returns the change of a job for a commit. complete is false if the job
// has ended and needs another one.
func (s *Shard) newChange(j *job) (change Change, complete bool) {
	j.dirty = false
	change = Change{ID: j.spec.ID, Queue: j.spec.Queue, State: j.state(), Part: s.isPart(j), OtherShards: j.otherShards}
	entry := indexed{change.State, len(j.otherShards)}
	change.SameIndex = j.indexed == entry
	j.indexed = entry
	if j.final == "" {
		j.sent = j.version
		change.Handovers, j.handovers = j.handovers, nil
		change.Progress = j.progress()
		return change, true
	}
	j.handovers = nil
	if complete = j.takeCleanup(&change); complete {
		j.sent = j.version
		change.State, change.SameIndex = j.final, false
	} else {
		change.Progress = j.progress()
	}
	return change, complete
}

// batchCommitted handles the confirmation of a commit: jobs with a final state
// are removed, and the ends that caused the changes may be acknowledged.
func (s *Shard) batchCommitted(batch int64) {
	if batch != s.batch || !s.committing {
		return
	}
	s.committing = false
	s.confirmedAt = s.now
	s.balancing.committed(s.now.Sub(s.lastCommit))
	for _, j := range s.batchJobs {
		j.durable = j.sent
		s.placementDue = s.placementDue || j.otherShards != nil || s.isPart(j)
		if j.final != "" && !j.dirty {
			delete(s.jobs, j.spec.ID)
			s.ended[j.spec.ID] = endedJob{s.now, s.isPart(j)}
		}
	}
	for _, id := range s.batchWorkers {
		if w := s.workers[id]; w != nil && !w.recorded {
			w.recorded = true
			s.placementDue = true
		}
	}
	for _, w := range s.workers {
		w.acknowledge(s.knowsInheritedRuns())
	}
	s.orderPrepared()
}

// updateWorkerList sets the worker list of the next commit. Runs are started
// only on workers in the durable list, so that a new owner knows all workers
// that may have runs.
func (s *Shard) updateWorkerList() {
	s.batchWorkers = s.workersToRecord()
	s.hasUnrecorded = false
	for _, w := range s.sortedWorkers {
		if _, ok := slices.BinarySearch(s.batchWorkers, w.reg.ID); !ok {
			w.recorded = false
		}
	}
}

// workersToRecord returns the sorted ids of the workers that may have runs. A
// new owner has to hear from them, or wait until their leases have expired,
// before it starts tasks of inherited jobs.
func (s *Shard) workersToRecord() []string {
	used := make([]string, 0, len(s.sortedWorkers))
	for _, w := range s.sortedWorkers {
		_, inherited := s.inheritedExpiry[w.reg.ID]
		if inherited || w.mayHaveRuns() {
			used = append(used, w.reg.ID)
		}
	}
	for id := range s.inheritedExpiry {
		if s.workers[id] == nil {
			used = append(used, id)
		}
	}
	slices.Sort(used)
	return used
}

// mayHaveRuns reports whether the worker has runs or may get some.
func (w *worker) mayHaveRuns() bool {
	isUnresponsive := w.failedPolls > 0 || w.replaced || !w.unregisteredAt.IsZero()
	return len(w.runs) > 0 || len(w.pendingEnds) > 0 || !isUnresponsive
}

// WorkerLeases returns the workers that may have runs when the ownership ends
// at now, and how long the leases on each may remain valid.
func (s *Shard) WorkerLeases(now time.Time) []recorder.WorkerLease {
	used := s.workersToRecord()
	leases := make([]recorder.WorkerLease, 0, len(used))
	for _, id := range used {
		remaining := s.inheritedExpiry[id].Sub(now)
		if w := s.workers[id]; w != nil {
			remaining = max(remaining, w.leaseExpiry.Sub(now))
		}
		leases = append(leases, recorder.WorkerLease{Worker: id, Remaining: max(remaining, 0)})
	}
	return leases
}
