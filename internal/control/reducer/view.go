package reducer

import (
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// ledgerView is the in-memory state that results from applying the records of a
// shard's ledger. Only [shard.apply] changes it, both when a ledger is replayed
// and when a new record is appended.
type ledgerView struct {
	jobs           map[string]*job       // accepted jobs by id
	keys           map[string]claimedKey // claimed idempotency keys
	quarantined    map[string]string     // reason of the quarantine by worker name
	restored       map[string]string     // id of the latest drain whose restore ended, by worker name
	drainedPending map[string]int        // pending tasks that were drained from a worker, by worker name
	lastSeq        uint64                // acceptance sequence number of the latest job
	finished       int                   // tasks finished since this daemon claimed the shard
	evictions      int64                 // runs evicted or drained since this daemon claimed the shard
}

// claimedKey records who claimed an idempotency key, and when.
type claimedKey struct {
	owner string
	time  time.Time
}

func newLedgerView() *ledgerView {
	return &ledgerView{
		jobs:           make(map[string]*job),
		keys:           make(map[string]claimedKey),
		quarantined:    make(map[string]string),
		restored:       make(map[string]string),
		drainedPending: make(map[string]int),
	}
}

// task returns the task with the given id, or nil if it does not exist.
func (v *ledgerView) task(id describer.TaskID) *task {
	j := v.jobs[id.Job]
	if j == nil || id.Index < 0 || id.Index >= len(j.tasks) {
		return nil
	}
	return &j.tasks[id.Index]
}

// apply updates the view with one ledger record, either replayed from the ledger
// or just decided. A record that is not valid in the current state is ignored.
func (sh *shard) apply(r describer.Record) {
	switch r.Kind {
	case describer.JobAccepted:
		sh.applyJobAccepted(r)
	case describer.JobCancelled:
		sh.applyJobCancelled(r)
	case describer.WorkerQuarantined:
		sh.quarantine(r.Worker, r.Reason)
	case describer.WorkerReinstated:
		delete(sh.view.quarantined, r.Worker)
		sh.updateClosed(sh.ensureWorker(r.Worker))
	case describer.DrainRestored:
		sh.view.restored[r.Worker] = r.Key
	case describer.ShardReleased:
		sh.formerRelease = r
	case describer.KeyClaimed:
		if _, ok := sh.view.keys[r.Key]; !ok {
			sh.view.keys[r.Key] = claimedKey{owner: r.Owner, time: r.Time}
		}
	default:
		if t := sh.view.task(r.Task); t != nil {
			sh.applyTaskRecord(t, r)
		}
	}
}

// applyJobAccepted adds the job and queues its tasks.
func (sh *shard) applyJobAccepted(r describer.Record) {
	if r.Job == nil || sh.view.jobs[r.Job.ID] != nil {
		return
	}
	sh.view.lastSeq++
	j := &job{Job: r.Job, seq: sh.view.lastSeq}
	j.tasks = make([]task, r.Job.Tasks)
	sh.view.jobs[r.Job.ID] = j
	for i := range j.tasks {
		j.tasks[i].job = j
		j.tasks[i].index = int32(i)
		sh.addToIndexes(&j.tasks[i])
	}
}

// applyJobCancelled cancels the job's pending tasks. A started task remains
// started until its run is known to be over.
func (sh *shard) applyJobCancelled(r describer.Record) {
	j := sh.view.jobs[r.JobID]
	if j == nil || j.cancelled || j.isOver() {
		return
	}
	j.cancelled = true
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state == describer.Pending {
			sh.transition(t, r.Time, func() { t.state = describer.Cancelled })
		}
	}
}

// applyTaskRecord updates one task. A record of a run that is not the task's latest
// one is ignored. A finish is accepted for a pending task as well: its worker may
// report it after the lease expired.
func (sh *shard) applyTaskRecord(t *task, r describer.Record) {
	if r.Kind == describer.TaskStarted {
		if t.state == describer.Pending {
			sh.transition(t, r.Time, func() { t.applyStart(r) })
		}
		return
	}
	if r.Kind == describer.TaskAbandoned {
		if t.state == describer.Pending {
			sh.transition(t, r.Time, func() { t.state, t.reason = describer.Failed, r.Reason })
		}
		return
	}
	if t.token != r.Token {
		return
	}
	if t.state == describer.Pending && r.Kind == describer.TaskFinished {
		sh.transition(t, r.Time, func() { t.applyFinish(r) })
		sh.view.finished++
		return
	}
	if t.state != describer.Started {
		return
	}
	switch r.Kind {
	case describer.TaskResized:
		sh.applyResize(t, r.Granted)
	case describer.TaskReleased:
		before := t.evictions
		sh.transition(t, r.Time, func() { t.applyRelease(r) })
		sh.view.evictions += int64(t.evictions - before)
	case describer.TaskFailed:
		sh.transition(t, r.Time, func() { t.applyFailure(r) })
	case describer.TaskFinished:
		sh.transition(t, r.Time, func() { t.applyFinish(r) })
		sh.view.finished++
	}
}

// transition calls change on a task, and keeps all counts, queues and accounts
// consistent with the task's old and new state.
func (sh *shard) transition(t *task, at time.Time, change func()) {
	sh.removeFromIndexes(t)
	change()
	sh.addToIndexes(t)
	if t.job.isOver() {
		t.job.endedAt = at
	}
}

// removeFromIndexes removes the task from the structures of its current state.
func (sh *shard) removeFromIndexes(t *task) {
	t.job.counts[t.state]--
	switch t.state {
	case describer.Pending:
		sh.dequeue(t)
		sh.countDrained(t, -1)
	case describer.Started:
		sh.removeRun(t)
	}
}

// addToIndexes adds the task to the structures of its current state.
func (sh *shard) addToIndexes(t *task) {
	t.job.counts[t.state]++
	switch t.state {
	case describer.Pending:
		sh.enqueue(t)
		sh.countDrained(t, +1)
	case describer.Started:
		sh.addRun(t)
	}
}

// countDrained adds delta to the number of pending tasks that were drained from the
// same worker as t.
func (sh *shard) countDrained(t *task, delta int) {
	if t.drainedFrom == "" {
		return
	}
	sh.view.drainedPending[t.drainedFrom] += delta
	if sh.view.drainedPending[t.drainedFrom] == 0 {
		delete(sh.view.drainedPending, t.drainedFrom)
	}
}
