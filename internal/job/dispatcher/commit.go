package dispatcher

import (
	"cmp"
	"slices"
)

// commit emits a commit of changed jobs and the worker list. At most one commit
// is in progress at a time.
func (s *Shard) commit() {
	isClean := len(s.dirtyJobs) == 0 && len(s.staleTransfers) == 0 && len(s.staleCancels) == 0
	if s.committing || isClean && !s.listOutdated || s.now.Sub(s.lastCommit) < commitInterval {
		return
	}
	s.batch++
	commit := Commit{Batch: s.batch}
	s.addChanges(&commit)
	s.committing = true
	s.lastCommit = s.now
	s.updateWorkerList()
	commit.WorkerList = s.batchList
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
		change.Progress = j.takeProgress()
		return change, true
	}
	j.handovers = nil
	if complete = j.takeCleanup(&change); complete {
		j.sent = j.version
		change.State, change.SameIndex = j.final, false
	} else {
		change.Progress = j.takeProgress()
	}
	return change, complete
}

// batchCommitted handles the confirmation of a commit: jobs with a final state
// are removed, and the ends that caused the changes may be acknowledged.
func (s *Shard) batchCommitted(e Committed) {
	if e.Batch != s.batch || !s.committing {
		return
	}
	s.committing = false
	s.confirmOwnership(cmp.Or(e.SentAt, s.lastCommit))
	s.balancing.committed(s.now.Sub(s.lastCommit))
	for _, j := range s.batchJobs {
		j.durable = j.sent
		s.placementDue = s.placementDue || j.otherShards != nil || s.isPart(j)
		if j.final != "" && !j.dirty {
			s.emit(Log{Message: "job end durable", Job: j.spec.ID, Reason: string(j.final), Age: s.now.Sub(s.lastCommit)})
			delete(s.jobs, j.spec.ID)
			s.ended[j.spec.ID] = endedJob{s.now, s.isPart(j)}
		}
	}
	s.listCommitted()
	for _, w := range s.sortedWorkers {
		s.acknowledge(w)
	}
	s.orderPrepared()
}
