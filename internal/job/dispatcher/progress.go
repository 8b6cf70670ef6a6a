package dispatcher

import (
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// restore applies durable progress to a job.
func (s *Shard) restore(j *job, progress recorder.Progress) {
	j.otherShards = progress.Shards
	done, isWhole := progress.Done.Clip(j.spec.TaskCount() * j.spec.Occurrences())
	if !isWhole {
		s.emit(Log{Message: "progress of unknown task ignored", Job: j.spec.ID})
	}
	for ordinal := range done.All {
		id, _ := j.spec.TaskAt(ordinal)
		s.restoreTask(j.task(id), &recorder.TaskProgress{Done: true})
	}
	for i := range progress.Tasks {
		p := &progress.Tasks[i]
		t := j.task(specifier.TaskID{Occurrence: p.Occurrence, Step: p.Step, Index: p.Index})
		if t == nil {
			s.emit(Log{Message: "progress of unknown task ignored", Job: j.spec.ID})
			continue
		}
		s.restoreTask(t, p)
	}
}

// restoreTask applies durable progress to a task.
func (s *Shard) restoreTask(t *task, p *recorder.TaskProgress) {
	t.failed = p.Failed
	t.checkpoint, t.sentCheckpoint = p.Checkpoint, p.Checkpoint
	t.hop = p.Hop
	t.restoreRunNumbers(p.RunBound)
	s.restoreLosses(t, p.Losses)
	t.wasProven = t.wasProven || p.Proven
	isPart := s.isPart(t.step.job)
	if p.Done && !isPart {
		s.markDone(t)
	}
	t.completedHere = p.Done && isPart
	switch {
	case p.Away && !t.elsewhere:
		t.elsewhere = true
		t.step.elsewhere++
		t.step.waiting--
	case p.Hop > 0 && !p.Away && t.elsewhere:
		s.takeBack(t)
		t.waitingSince = s.now
	}
	if isPart && !t.elsewhere && (t.completedHere || t.hasFailedTooOften()) {
		s.returnTask(t)
	}
}

// markDirty schedules a commit of the job's state.
func (s *Shard) markDirty(j *job) {
	j.version++
	if !j.dirty {
		j.dirty = true
		s.dirtyJobs = append(s.dirtyJobs, j)
	}
}

// setCheckpoint sets the checkpoint that a worker has listed.
func (t *task) setCheckpoint(checkpoint string, now time.Time) {
	if t.checkpoint != checkpoint {
		t.checkpoint, t.checkpointAt = checkpoint, now
	}
}

// saveCheckpoint schedules a commit if the checkpoint of a task whose run has ended isn't in the
// store. While the run is active its worker lists it, so that it needn't be durable.
func (s *Shard) saveCheckpoint(t *task) {
	if t.checkpoint != t.sentCheckpoint && !t.done && t.step.job.final == "" {
		s.markDirty(t.step.job)
	}
}

// takeProgress returns the job's state for a commit.
func (j *job) takeProgress() recorder.Progress {
	for _, st := range j.steps {
		for _, t := range st.tasks {
			t.sentCheckpoint = t.checkpoint
		}
	}
	return j.progress()
}

// compactFrom is the number of completed tasks from which a job's progress has them as ranges, so
// that it doesn't exceed the store's limit of a value. Earlier versions don't know the ranges and
// would run these tasks again, so that jobs whose progress they can write go without.
const compactFrom = 15000

// progress returns the job's state for the store.
func (j *job) progress() recorder.Progress {
	p := recorder.Progress{Shards: j.otherShards}
	isCompact := j.countCompleted() >= compactFrom
	ordinal := -1
	for _, st := range j.steps {
		for _, t := range st.tasks {
			ordinal++
			if isCompact && t.isOnlyDone() {
				p.Done.Add(ordinal)
				continue
			}
			if t.done || t.completedHere || len(t.failed) > 0 || t.checkpoint != "" || t.hop > 0 || len(t.losses) > 0 || t.wasProven || t.runBound > 0 {
				p.Tasks = append(p.Tasks, recorder.TaskProgress{
					Occurrence: st.occurrence, Step: st.number, Index: t.index,
					Done: t.done || t.completedHere, Failed: t.failed, Checkpoint: t.checkpointToStore(),
					Hop: t.hop, Away: t.hop > 0 && t.elsewhere, Losses: slices.Clone(t.losses), Proven: t.wasProven, RunBound: t.runBound,
				})
			}
		}
	}
	return p
}

// countCompleted returns the number of completed tasks.
func (j *job) countCompleted() int {
	n := 0
	for _, st := range j.steps {
		n += st.completed
	}
	return n
}

// isOnlyDone reports whether nothing matters about the task but that it has completed here.
func (t *task) isOnlyDone() bool { return t.done && !t.completedHere && t.hop == 0 }

// checkpointToStore returns the checkpoint, or "" if the task has completed.
func (t *task) checkpointToStore() string {
	if t.done {
		return ""
	}
	return t.checkpoint
}
