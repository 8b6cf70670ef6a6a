package reducer

import (
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// book is what a shard's ledger says, with the indexes that decisions need.
// It changes by apply alone, in replay as in operation.
type book struct {
	jobs     map[string]*job
	keys     map[string]key
	asides   map[string]string // worker to the reason
	restored map[string]string // worker to the drain that it has its work back from
	owed     map[string]int    // worker to its drained tasks that are pending
	order    uint64            // of the last accepted job
	done     int               // finished tasks since this daemon owns the shard
	evicted  int64
}

// key is a claimed idempotency key.
type key struct {
	owner string
	time  time.Time
}

func newBook() *book {
	return &book{
		jobs:     make(map[string]*job),
		keys:     make(map[string]key),
		asides:   make(map[string]string),
		restored: make(map[string]string),
		owed:     make(map[string]int),
	}
}

func (b *book) task(id describer.TaskID) *task {
	j := b.jobs[id.Job]
	if j == nil || id.Index < 0 || id.Index >= len(j.tasks) {
		return nil
	}
	return &j.tasks[id.Index]
}

// apply takes in one durable transition; replay and operation share it. A
// record that doesn't follow from the book's state changes nothing.
func (h *shard) apply(r describer.Record) {
	switch r.Kind {
	case describer.JobAccepted:
		h.applyJob(r)
	case describer.JobCancelled:
		h.applyCancel(r)
	case describer.WorkerQuarantined:
		h.aside(r.Worker, r.Reason)
	case describer.WorkerReinstated:
		delete(h.book.asides, r.Worker)
		h.refresh(h.worker(r.Worker))
	case describer.DrainRestored:
		h.book.restored[r.Worker] = r.Key
	case describer.ShardReleased:
		h.released = r
	case describer.KeyClaimed:
		if _, ok := h.book.keys[r.Key]; !ok {
			h.book.keys[r.Key] = key{owner: r.Owner, time: r.Time}
		}
	default:
		if t := h.book.task(r.Task); t != nil {
			h.applyTask(t, r)
		}
	}
}

func (h *shard) applyJob(r describer.Record) {
	if r.Job == nil || h.book.jobs[r.Job.ID] != nil {
		return
	}
	h.book.order++
	j := &job{Job: r.Job, order: h.book.order}
	j.tasks = make([]task, r.Job.Tasks)
	h.book.jobs[r.Job.ID] = j
	for i := range j.tasks {
		j.tasks[i].job = j
		j.tasks[i].index = int32(i)
		h.enter(&j.tasks[i])
	}
}

// applyCancel ends what is pending. A started task stays so until its run is
// known to be over.
func (h *shard) applyCancel(r describer.Record) {
	j := h.book.jobs[r.JobID]
	if j == nil || j.cancelled || j.isOver() {
		return
	}
	j.cancelled = true
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state == describer.Pending {
			h.move(t, r.Time, func() { t.state = describer.Cancelled })
		}
	}
}

func (h *shard) applyTask(t *task, r describer.Record) {
	if r.Kind == describer.TaskStarted {
		if t.state == describer.Pending {
			h.move(t, r.Time, func() { t.start(r) })
		}
		return
	}
	if r.Kind == describer.TaskAbandoned {
		if t.state == describer.Pending {
			h.move(t, r.Time, func() { t.state, t.reason = describer.Failed, r.Reason })
		}
		return
	}
	if t.token != r.Token {
		return
	}
	if t.state == describer.Pending && r.Kind == describer.TaskFinished {
		h.move(t, r.Time, func() { t.finish(r) })
		h.book.done++
		return
	}
	if t.state != describer.Started {
		return
	}
	switch r.Kind {
	case describer.TaskResized:
		h.applyResize(t, r.Granted)
	case describer.TaskReleased:
		before := t.evictions
		h.move(t, r.Time, func() { t.release(r) })
		h.book.evicted += int64(t.evictions - before)
	case describer.TaskFailed:
		h.move(t, r.Time, func() { t.fail(r) })
	case describer.TaskFinished:
		h.move(t, r.Time, func() { t.finish(r) })
		h.book.done++
	}
}

// move changes a task and keeps all indexes in step.
func (h *shard) move(t *task, at time.Time, change func()) {
	h.leave(t)
	change()
	h.enter(t)
	if t.job.isOver() {
		t.job.ended = at
	}
}

func (h *shard) leave(t *task) {
	t.job.counts[t.state]--
	switch t.state {
	case describer.Pending:
		h.unqueue(t)
		h.owe(t, -1)
	case describer.Started:
		h.unhold(t)
	}
}

func (h *shard) enter(t *task) {
	t.job.counts[t.state]++
	switch t.state {
	case describer.Pending:
		h.queue(t)
		h.owe(t, +1)
	case describer.Started:
		h.hold(t)
	}
}

func (h *shard) owe(t *task, by int) {
	if t.drainedOff == "" {
		return
	}
	h.book.owed[t.drainedOff] += by
	if h.book.owed[t.drainedOff] == 0 {
		delete(h.book.owed, t.drainedOff)
	}
}
