package reducer

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// Retention of what callers may still ask for.
const (
	jobRetention = time.Hour // of a job after its end
	keyRetention = time.Hour // of an idempotency key after its claim
)

// snapshot is the book in its encoded form.
type snapshot struct {
	Order    uint64            `json:"order"`
	Jobs     []savedJob        `json:"jobs"`
	Keys     []savedKey        `json:"keys,omitempty"`
	Asides   map[string]string `json:"asides,omitempty"`
	Restored map[string]string `json:"restored,omitempty"`
}

type savedJob struct {
	Job       *describer.Job   `json:"job"`
	Order     uint64           `json:"order"`
	Cancelled bool             `json:"cancelled,omitempty"`
	Ended     time.Time        `json:"ended,omitzero"`
	Tasks     []describer.Task `json:"tasks"`
	Failed    [][]string       `json:"failed,omitempty"` // workers, by task
}

type savedKey struct {
	Key   string    `json:"key"`
	Owner string    `json:"owner"`
	Time  time.Time `json:"time"`
}

// maySnapshot saves the book when the ledger has grown by as much as the book
// holds, and nothing is in flight that the snapshot would have to leave out.
func (h *shard) maySnapshot() {
	j := &h.journal
	if j.sinceSnapshot < max(h.state.snapshotLeast, 2*h.size()) || !j.isSent() || j.durable != j.sent || h.phase != owning {
		return
	}
	h.expire()
	data, err := json.Marshal(h.save())
	if err != nil {
		return
	}
	j.sinceSnapshot = 0
	h.state.emit(SaveSnapshot{Shard: h.id, Epoch: h.epoch, Batch: j.durable, Data: data})
}

func (h *shard) size() int {
	n := 0
	for _, w := range h.order {
		n += len(w.runs)
	}
	for _, t := range h.teams {
		n += t.pending.Len()
	}
	return n
}

// expire forgets jobs and keys that are past their retention.
func (h *shard) expire() {
	for id, j := range h.book.jobs {
		if j.isOver() && h.state.now.Sub(j.ended) >= jobRetention {
			delete(h.book.jobs, id)
		}
	}
	for id, k := range h.book.keys {
		if h.state.now.Sub(k.time) >= keyRetention {
			delete(h.book.keys, id)
		}
	}
	for name, id := range h.book.restored {
		if h.state.drains[name].id != id {
			delete(h.book.restored, name)
		}
	}
}

func (h *shard) save() snapshot {
	out := snapshot{Order: h.book.order, Asides: h.book.asides, Restored: h.book.restored}
	for _, j := range h.book.jobs {
		out.Jobs = append(out.Jobs, j.save())
	}
	slices.SortFunc(out.Jobs, func(a, b savedJob) int { return compareText(a.Job.ID, b.Job.ID) })
	for _, id := range sortedKeys(h.book.keys) {
		k := h.book.keys[id]
		out.Keys = append(out.Keys, savedKey{id, k.owner, k.time})
	}
	return out
}

func (j *job) save() savedJob {
	out := savedJob{Job: j.Job, Order: j.order, Cancelled: j.cancelled, Ended: j.ended}
	out.Tasks = make([]describer.Task, len(j.tasks))
	for i := range j.tasks {
		t := &j.tasks[i]
		out.Tasks[i] = t.save()
		if len(t.failedOn) > 0 {
			if out.Failed == nil {
				out.Failed = make([][]string, len(j.tasks))
			}
			out.Failed[i] = t.failedOn
		}
	}
	return out
}

func (t *task) save() describer.Task {
	return describer.Task{
		ID:          t.id(),
		State:       t.state,
		Worker:      t.worker,
		Token:       t.token,
		Granted:     t.granted,
		Checkpoint:  t.checkpoint,
		Attempts:    int(t.attempts),
		Evictions:   int(t.evictions),
		DrainedFrom: t.drainedOff,
		MayHaveRun:  t.ran,
		Result:      t.result,
		Reason:      t.reason,
	}
}

// restore fills an empty book from a snapshot.
func (h *shard) restore(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	var in snapshot
	if err := json.Unmarshal(data, &in); err != nil {
		return fmt.Errorf("reducer: snapshot of %s: %w", h.id, err)
	}
	h.book.order = in.Order
	for i := range in.Jobs {
		h.restoreJob(&in.Jobs[i])
	}
	for _, k := range in.Keys {
		h.book.keys[k.Key] = key{owner: k.Owner, time: k.Time}
	}
	for _, name := range sortedKeys(in.Asides) {
		h.aside(name, in.Asides[name])
	}
	for name, id := range in.Restored {
		h.book.restored[name] = id
	}
	return nil
}

func (h *shard) restoreJob(in *savedJob) {
	j := &job{Job: in.Job, order: in.Order, cancelled: in.Cancelled, ended: in.Ended}
	j.tasks = make([]task, len(in.Tasks))
	h.book.jobs[in.Job.ID] = j
	for i := range in.Tasks {
		t := &j.tasks[i]
		t.restore(j, &in.Tasks[i])
		if i < len(in.Failed) {
			t.failedOn = in.Failed[i]
		}
		h.enter(t)
	}
}

func (t *task) restore(j *job, in *describer.Task) {
	*t = task{
		job:        j,
		worker:     in.Worker,
		token:      in.Token,
		granted:    in.Granted,
		checkpoint: in.Checkpoint,
		drainedOff: in.DrainedFrom,
		reason:     in.Reason,
		result:     in.Result,
		index:      int32(in.ID.Index),
		attempts:   int32(in.Attempts),
		evictions:  int32(in.Evictions),
		state:      in.State,
		ran:        in.MayHaveRun,
		phase:      adopted,
	}
}
