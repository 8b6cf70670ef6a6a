package dispatcher

import (
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// MoveJob moves a job that has never run to another shard of the service. The answer
// is JobMoved.
type MoveJob struct {
	Job            specifier.Job
	LongRunningCPU int64  // CPU that its long-running tasks reserve, millicores
	To             string // destination; empty for a shard with room for its long-running tasks
}

// JobMoved is the outcome of MoveJob.
type JobMoved struct {
	ID string
	OK bool // another shard has the job now
}

func (MoveJob) effect() {}
func (JobMoved) event() {}

// maxConcurrentMoves limits the jobs that are moved at the same time. Each move
// is a fenced write, and commits of ended tasks queue behind it.
const maxConcurrentMoves = 16

// moveExcess moves jobs with long-running tasks to other shards until the rest
// is within the limit. Several hosts may have accepted such jobs for this shard
// based on the same load summary.
func (s *Shard) moveExcess(l *recorder.Load) {
	excess := l.LongRunningCPU - l.LongRunningLimit
	if !s.options.Divided || excess <= 0 || !s.isRecentlyConfirmed() {
		return
	}
	moving := s.countMoves()
	for _, id := range sortedKeys(s.jobs) {
		if excess <= 0 || moving >= maxConcurrentMoves {
			return
		}
		j := s.jobs[id]
		cpu := j.longRunningCPU()
		age := s.now.Sub(j.arrivedAt)
		if cpu == 0 || !j.isMovable() || age < publishInterval || age >= moveWait {
			continue
		}
		j.moving = true
		moving++
		excess -= cpu
		s.emit(MoveJob{Job: j.spec, LongRunningCPU: cpu})
	}
}

// longRunningCPU returns the CPU that the job's long-running tasks in this shard
// reserve, in millicores, whether they run or not.
func (j *job) longRunningCPU() int64 {
	total := int64(0)
	for _, st := range j.steps {
		total += st.needs.longRunning * int64(len(st.tasks)-st.elsewhere)
	}
	return total
}

// isMovePending reports whether the job has to wait because it may be moved:
// its long-running tasks would exceed the limit and it has arrived recently.
func (p *placement) isMovePending(j *job) bool {
	return p.pinnedCPU+j.longRunningCPU() > p.longRunningLimit && j.isMovable() && p.shard.now.Sub(j.arrivedAt) < moveWait
}

// moveWait is how long a movable job above the limit waits for a move. Other
// shards may get an owner a few seconds later than this one. After that it starts
// here, and tasks without room are transferred one by one.
const moveWait = 4 * time.Second

// pinnedCPU returns the job's longRunningCPU if it can't be moved any more,
// otherwise 0.
func (j *job) pinnedCPU() int64 {
	cpu := j.longRunningCPU()
	if cpu == 0 || j.isMovable() {
		return 0
	}
	return cpu
}

// pinnedCPUOf returns the pinnedCPU of the job of a long-running step. It is 0 for
// other steps, and if the service has only one shard, so that no job moves.
func (p *placement) pinnedCPUOf(st *step) int64 {
	if !p.shard.options.Divided || !st.spec.LongRunning {
		return 0
	}
	return st.job.pinnedCPU()
}

// maxMoves is how often a job may be moved. It never returns to a former shard,
// which would ignore it as a repeated delivery of the old job.
const maxMoves = 3

// isMovable reports whether no task of the job can have run anywhere, and the
// job may be moved once more.
func (j *job) isMovable() bool {
	if j.started || j.moving || j.final != "" || len(j.spec.FormerShards) >= maxMoves || j.arrivedAt.IsZero() || len(j.otherShards) > 0 {
		return false
	}
	for _, st := range j.steps {
		for _, t := range st.tasks {
			if t.lastRun > 0 || t.worker != nil {
				return false
			}
		}
	}
	return true
}

// jobMoved removes a job that was moved, or keeps it if the move failed.
func (s *Shard) jobMoved(e JobMoved) {
	j := s.jobs[e.ID]
	if j == nil || !j.moving {
		return
	}
	if !e.OK {
		j.moving = false
		s.placementDue = true
		if j.cancelled {
			s.cancelJob(e.ID)
		}
		return
	}
	s.forgetMoved(j)
}

// forgetMoved removes a job that another shard has now.
func (s *Shard) forgetMoved(j *job) {
	if j.cancelled {
		s.earlyCancels[j.spec.ID] = s.now // its new home may have transferred tasks to this shard
	}
	delete(s.jobs, j.spec.ID)
	s.dirtyJobs = slices.DeleteFunc(s.dirtyJobs, func(other *job) bool { return other == j })
	s.movedAt[j.spec.ID] = s.now // a delayed watch may deliver the job once more
}
