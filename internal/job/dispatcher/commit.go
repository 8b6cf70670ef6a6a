package dispatcher

import (
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
)

// commit emits a commit of changed jobs and the worker list. At most one commit
// is in progress at a time.
func (s *Shard) commit() {
	if s.committing || len(s.dirtyJobs) == 0 && !s.hasUnrecorded || s.now.Sub(s.lastCommit) < commitInterval {
		return
	}
	n := min(len(s.dirtyJobs), maxCommitJobs)
	changes := make([]Change, 0, n)
	s.batchJobs = s.batchJobs[:0]
	for _, j := range s.dirtyJobs[:n] {
		j.dirty = false
		j.sent = j.version
		change := Change{ID: j.spec.ID, Queue: j.spec.Queue, State: j.state()}
		if j.final != "" {
			change.State = j.final
		} else {
			change.Progress = j.progress()
		}
		changes = append(changes, change)
		s.batchJobs = append(s.batchJobs, j)
	}
	s.dirtyJobs = slices.Delete(s.dirtyJobs, 0, n)
	s.batch++
	s.committing = true
	s.lastCommit = s.now
	s.updateWorkerList()
	s.emit(Commit{Batch: s.batch, Changes: changes, Workers: s.batchWorkers})
}

// batchCommitted handles the confirmation of a commit: jobs with a final state
// are removed, and the ends that caused the changes may be acknowledged.
func (s *Shard) batchCommitted(batch int64) {
	if batch != s.batch || !s.committing {
		return
	}
	s.committing = false
	s.confirmedAt = s.now
	for _, j := range s.batchJobs {
		j.durable = j.sent
		if j.final != "" && !j.dirty {
			delete(s.jobs, j.spec.ID)
			s.endedAt[j.spec.ID] = s.now
		}
	}
	for _, id := range s.batchWorkers {
		if w := s.workers[id]; w != nil && !w.recorded {
			w.recorded = true
			s.placementDue = true
		}
	}
	for _, w := range s.workers {
		w.acknowledge()
	}
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
	isUnresponsive := w.failedPolls > 0 || !w.unregisteredAt.IsZero()
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
