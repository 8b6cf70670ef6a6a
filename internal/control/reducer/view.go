package reducer

import (
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// book is what a shard's ledger says, with the indexes that decisions need.
// It changes by apply alone, in replay as in operation.
type ledgerView struct {
	jobs           map[string]*job
	keys           map[string]claimedKey
	quarantined    map[string]string // worker to the reason
	restored       map[string]string // worker to the drain that it has its work back from
	drainedPending map[string]int    // worker to its drained tasks that are pending
	lastSeq        uint64            // of the last accepted job
	finished       int               // finished tasks since this daemon owns the shard
	evictions      int64
}

// key is a claimed idempotency key.
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

func (b *ledgerView) task(id describer.TaskID) *task {
	j := b.jobs[id.Job]
	if j == nil || id.Index < 0 || id.Index >= len(j.tasks) {
		return nil
	}
	return &j.tasks[id.Index]
}

// apply takes in one durable transition; replay and operation share it. A
// record that doesn't follow from the book's state changes nothing.
func (sh *shard) apply(r describer.Record) {
	switch r.Kind {
	case describer.JobAccepted:
		sh.applyJobAccepted(r)
	case describer.JobCancelled:
		sh.applyJobCancelled(r)
	case describer.WorkerSetAside:
		sh.quarantine(r.Worker, r.Reason)
	case describer.WorkerTrusted:
		delete(sh.view.quarantined, r.Worker)
		sh.updateClosed(sh.ensureWorker(r.Worker))
	case describer.DrainRestored:
		sh.view.restored[r.Worker] = r.Key
	case describer.ShardReleased:
		sh.releaseRecord = r
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

// applyCancel ends what is pending. A started task stays so until its run is
// known to be over.
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

func (sh *shard) applyTaskRecord(t *task, r describer.Record) {
	if r.Kind == describer.TaskStarted {
		if t.state == describer.Pending {
			sh.transition(t, r.Time, func() { t.applyStart(r) })
		}
		return
	}
	if r.Kind == describer.TaskSetAside {
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

// move changes a task and keeps all indexes in step.
func (sh *shard) transition(t *task, at time.Time, change func()) {
	sh.removeFromIndexes(t)
	change()
	sh.addToIndexes(t)
	if t.job.isOver() {
		t.job.endedAt = at
	}
}

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

func (sh *shard) countDrained(t *task, by int) {
	if t.drainedOff == "" {
		return
	}
	sh.view.drainedPending[t.drainedOff] += by
	if sh.view.drainedPending[t.drainedOff] == 0 {
		delete(sh.view.drainedPending, t.drainedOff)
	}
}
