package dispatcher

import (
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// MoveJob hands a job of which nothing has run to another shard of the service
// that has room for its lasting tasks.
type MoveJob struct {
	Job        specifier.Job
	LastingCPU int64 // CPU that its tasks reserve, millicores
}

// JobMoved tells whether another shard has the job now.
type JobMoved struct {
	ID string
	OK bool
}

func (MoveJob) effect() {}
func (JobMoved) event() {}

// movedAtOnce is how many jobs are on their way to other shards at once. Each
// takes a write through the fence, for which the ends of tasks wait too.
const movedAtOnce = 16

// moveExcess hands on lasting jobs that many hosts have accepted for this shard
// by the same summary, until the rest is within the limit.
func (s *Shard) moveExcess(l *recorder.Load) {
	excess := l.LastingCPU - l.LastingLimit
	if s.options.Domain == "" || excess <= 0 || !s.isConfirmed() {
		return
	}
	moving := 0
	for _, j := range s.jobs {
		if j.moving {
			moving++
		}
	}
	for _, id := range sortedKeys(s.jobs) {
		if excess <= 0 || moving >= movedAtOnce {
			return
		}
		j := s.jobs[id]
		lasting := j.lasting()
		if lasting == 0 || !j.isMovable() || s.now.Sub(j.arrived) < publishInterval {
			continue
		}
		j.moving = true
		moving++
		excess -= lasting
		s.emit(MoveJob{Job: j.spec, LastingCPU: lasting})
	}
}

// lasting is the CPU that the job's lasting tasks reserve, in millicores.
func (j *job) lasting() int64 {
	total := int64(0)
	for _, st := range j.steps {
		total += st.needs.lasting * int64(len(st.tasks))
	}
	return total
}

// isToMove reports whether the job waits for a move: its tasks would take more
// than the limit, and it arrived just now.
func (p *placement) isToMove(j *job) bool {
	return p.promised+j.lasting() > p.limit && j.isMovable() && p.s.now.Sub(j.arrived) < moveTime
}

// moveTime is how long a job that may be moved starts nothing above the limit;
// other shards may open a few seconds later than this one.
const moveTime = 4 * time.Second

// promise is the CPU that the lasting tasks of a job that can't be moved any
// more reserve or wait for, in millicores.
func (j *job) promise() int64 {
	lasting := j.lasting()
	if lasting == 0 || j.isMovable() {
		return 0
	}
	return lasting
}

// promiseOf is the promise of the step's job, where shards hand jobs on.
func (p *placement) promiseOf(st *step) int64 {
	if p.s.options.Domain == "" || !st.spec.Lasting {
		return 0
	}
	return st.job.promise()
}

// maxMoves is how often a job is moved. It never returns to a shard, which
// would take it for a late delivery.
const maxMoves = 3

// isMovable reports whether nothing of the job can have run anywhere.
func (j *job) isMovable() bool {
	if j.begun || j.moving || j.final != "" || len(j.spec.FormerShards) >= maxMoves || j.arrived.IsZero() {
		return false
	}
	for _, st := range j.steps {
		for _, t := range st.tasks {
			if t.number > 0 || t.worker != nil {
				return false
			}
		}
	}
	return true
}

// moved takes in the outcome of a move.
func (s *Shard) moved(e JobMoved) {
	j := s.jobs[e.ID]
	if j == nil || !j.moving {
		return
	}
	if !e.OK {
		j.moving = false
		s.changed = true
		return
	}
	delete(s.jobs, e.ID)
	s.ended[e.ID] = s.now // a watch may deliver it once more
}
