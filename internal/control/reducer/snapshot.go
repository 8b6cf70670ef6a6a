package reducer

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

const (
	jobRetention = time.Hour // how long a job is kept after its end
	keyRetention = time.Hour // how long an idempotency key is kept after its claim
)

// snapshot is the encoded form of a ledgerView. Its JSON is stored, so the names in the
// tags must not change.
type snapshot struct {
	LastSeq     uint64            `json:"order"`
	Jobs        []savedJob        `json:"jobs"`
	Keys        []savedKey        `json:"keys,omitempty"`
	Quarantined map[string]string `json:"asides,omitempty"`
	Restored    map[string]string `json:"restored,omitempty"`
}

// savedJob is the encoded form of a job and its tasks.
type savedJob struct {
	Job       *describer.Job   `json:"job"`
	Seq       uint64           `json:"order"`
	Cancelled bool             `json:"cancelled,omitempty"`
	Ended     time.Time        `json:"ended,omitzero"`
	Tasks     []describer.Task `json:"tasks"`
	FailedOn  [][]string       `json:"failed,omitempty"` // workers that each task failed on, by task index
}

// savedKey is the encoded form of a claimed idempotency key.
type savedKey struct {
	Key   string    `json:"key"`
	Owner string    `json:"owner"`
	Time  time.Time `json:"time"`
}

// maybeSnapshot emits a snapshot when the ledger has grown by twice as many records as
// there are live tasks, and at least by minSnapshotRecords. It waits until all records
// are durable, because a snapshot must not hold what the ledger may lack.
func (sh *shard) maybeSnapshot() {
	j := &sh.journal
	if j.recordsSinceSnapshot < max(sh.state.minSnapshotRecords, 2*sh.countLiveTasks()) || !j.allSent() || j.lastDurable != j.lastSent || sh.ownership != owning {
		return
	}
	sh.expire()
	data, err := json.Marshal(sh.save())
	if err != nil {
		return
	}
	j.recordsSinceSnapshot = 0
	sh.state.emit(SaveSnapshot{Shard: sh.id, Epoch: sh.epoch, Batch: j.lastDurable, Data: data})
}

// countLiveTasks returns the number of started and queued tasks.
func (sh *shard) countLiveTasks() int {
	n := 0
	for _, w := range sh.sortedWorkers {
		n += len(w.runs)
	}
	for _, t := range sh.teams {
		n += t.pending.Len()
	}
	return n
}

// expire removes jobs and keys that are past their retention, and restores whose drain
// is over.
func (sh *shard) expire() {
	for id, j := range sh.view.jobs {
		if j.isOver() && sh.state.now.Sub(j.endedAt) >= jobRetention {
			delete(sh.view.jobs, id)
		}
	}
	for id, k := range sh.view.keys {
		if sh.state.now.Sub(k.time) >= keyRetention {
			delete(sh.view.keys, id)
		}
	}
	for name, id := range sh.view.restored {
		if sh.state.drains[name].id != id {
			delete(sh.view.restored, name)
		}
	}
}

// save returns the encoded form of the view.
func (sh *shard) save() snapshot {
	out := snapshot{LastSeq: sh.view.lastSeq, Quarantined: sh.view.quarantined, Restored: sh.view.restored}
	for _, j := range sh.view.jobs {
		out.Jobs = append(out.Jobs, j.save())
	}
	slices.SortFunc(out.Jobs, func(a, b savedJob) int { return compareStrings(a.Job.ID, b.Job.ID) })
	for _, id := range sortedKeys(sh.view.keys) {
		k := sh.view.keys[id]
		out.Keys = append(out.Keys, savedKey{id, k.owner, k.time})
	}
	return out
}

func (j *job) save() savedJob {
	out := savedJob{Job: j.Job, Seq: j.seq, Cancelled: j.cancelled, Ended: j.endedAt}
	out.Tasks = make([]describer.Task, len(j.tasks))
	for i := range j.tasks {
		t := &j.tasks[i]
		out.Tasks[i] = t.save()
		if len(t.failedOn) > 0 {
			if out.FailedOn == nil {
				out.FailedOn = make([][]string, len(j.tasks))
			}
			out.FailedOn[i] = t.failedOn
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
		Losses:      int(t.losses),
		LostAlone:   int(t.isolatedLosses),
		StartedAt:   t.startedAt,
		DrainedFrom: t.drainedFrom,
		MayHaveRun:  t.mayHaveRun,
		Result:      t.result,
		Reason:      t.reason,
	}
}

// restore loads a snapshot into an empty view. An empty snapshot is valid.
func (sh *shard) restore(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	var in snapshot
	if err := json.Unmarshal(data, &in); err != nil {
		return fmt.Errorf("decode snapshot of shard %q: %w", sh.id, err)
	}
	sh.view.lastSeq = in.LastSeq
	for i := range in.Jobs {
		sh.restoreJob(&in.Jobs[i])
	}
	for _, k := range in.Keys {
		sh.view.keys[k.Key] = claimedKey{owner: k.Owner, time: k.Time}
	}
	for _, name := range sortedKeys(in.Quarantined) {
		sh.quarantine(name, in.Quarantined[name])
	}
	for name, id := range in.Restored {
		sh.view.restored[name] = id
	}
	return nil
}

// restoreJob adds a job from a snapshot and its tasks to the view.
func (sh *shard) restoreJob(in *savedJob) {
	j := &job{Job: in.Job, seq: in.Seq, cancelled: in.Cancelled, endedAt: in.Ended}
	j.tasks = make([]task, len(in.Tasks))
	sh.view.jobs[in.Job.ID] = j
	for i := range in.Tasks {
		t := &j.tasks[i]
		t.restore(j, &in.Tasks[i])
		if i < len(in.FailedOn) {
			t.failedOn = in.FailedOn[i]
		}
		sh.addToIndexes(t)
	}
}

// restore loads a task from a snapshot. A started run is to be confirmed by its worker.
func (t *task) restore(j *job, in *describer.Task) {
	*t = task{
		job:            j,
		worker:         in.Worker,
		token:          in.Token,
		granted:        in.Granted,
		checkpoint:     in.Checkpoint,
		drainedFrom:    in.DrainedFrom,
		reason:         in.Reason,
		result:         in.Result,
		index:          int32(in.ID.Index),
		attempts:       int32(in.Attempts),
		evictions:      int32(in.Evictions),
		losses:         int32(in.Losses),
		isolatedLosses: int32(in.LostAlone),
		startedAt:      in.StartedAt,
		state:          in.State,
		mayHaveRun:     in.MayHaveRun,
		startPhase:     startAdopted,
	}
}
