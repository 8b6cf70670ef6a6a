package dispatcher

import (
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// job is an accepted job whose end isn't durable yet.
type job struct {
	spec           specifier.Job
	queue          specifier.Queue
	steps          []*step    // ordered by occurrence, then by step number
	remainingSteps int        // number of steps that haven't completed
	started        bool       // a task of the job has started
	moving         bool       // being moved to another shard; none of its tasks may start
	cancelled      bool       // a cancellation came while it was being moved
	arrivedAt      time.Time  // zero if the job was loaded from an earlier ownership
	home           string     // shard that keeps the job's state; another one if this is a part
	otherShards    []string   // shards that got tasks of it from this one
	handovers      []Handover // transfers for the next commit
	moveTriedAt    time.Time  // when it was last to be moved out of an evacuated shard
	lastEnd        time.Time  // when a run of its tasks last ended
	objective      time.Time  // when the job should have completed
	graceEnd       time.Time  // after it, completing the job has no value any more

	final   specifier.State // final state, empty until the job ends
	version int64           // increases with each change of the durable state
	sent    int64           // version in the last commit that contains the job
	durable int64           // highest version known to be durable
	dirty   bool            // listed in Shard.dirtyJobs
	indexed indexed         // as of the last commit that contains the job
}

// indexed is what a job's index entry depends on.
type indexed struct {
	state       specifier.State
	otherShards int // shards are only added until the job ends
}

// step is one step of one occurrence of a job.
type step struct {
	job              *job
	spec             *specifier.Step
	occurrence       int
	number           int
	tasks            []*task
	completed        int       // number of completed tasks
	waiting          int       // number of tasks that have no run and haven't completed
	elsewhere        int       // number of tasks that other shards have
	findingShard     bool      // a FindShard for it isn't answered yet
	shardRequestedAt time.Time // time of the last FindShard
	displaced        bool      // see Shard.isDisplaced, at the last request for another shard
	sharesWorkers    bool      // suspect members of the gang may start on the same worker, see Shard.hasTooFewWorkers
	ready            bool      // due, and the steps that it depends on have completed
	queued           bool      // listed in Shard.waitingSteps
	mayExceedLimit   bool      // its long-running tasks may exceed the limit in this placement round
	due              time.Time // zero for jobs that don't repeat
	needs            need
	path             time.Duration // expected time from its start to the end of the job
	times            stepTimes
	advice           advice
}

// state returns the job's state as callers see it.
func (j *job) state() specifier.State {
	switch {
	case j.final != "":
		return specifier.Running // the final state is shown only when it is durable
	case j.started:
		return specifier.Running
	}
	return specifier.Queued
}

// newJob creates the steps and tasks of a job.
func (s *Shard) newJob(spec specifier.Job) *job {
	j := &job{spec: spec, home: s.options.Name, queue: spec.Terms}
	if queue, ok := s.catalog.Queue(spec.Queue); ok {
		j.queue = queue
	}
	for occurrence := range spec.Occurrences() {
		for number := range spec.Steps {
			st := &step{job: j, spec: &j.spec.Steps[number], occurrence: occurrence, number: number, due: spec.Due(occurrence)}
			st.needs = needOf(st.spec)
			st.waiting = st.spec.Count
			st.tasks = make([]*task, st.spec.Count)
			for i := range st.tasks {
				st.tasks[i] = &task{step: st, index: i}
			}
			j.steps = append(j.steps, st)
		}
	}
	j.remainingSteps = len(j.steps)
	s.expectJob(j)
	return j
}

// graceFactor is the end of the grace period as a multiple of the target
// completion time, both counted from the job's acceptance.
const graceFactor = 3

// addJob adds a newly accepted job, unless it is known or has ended.
func (s *Shard) addJob(spec specifier.Job) {
	_, ended := s.ended[spec.ID]
	if _, moved := s.movedAt[spec.ID]; moved || ended || s.jobs[spec.ID] != nil {
		return
	}
	j := s.newJob(spec)
	j.arrivedAt = s.now
	for _, st := range j.steps {
		for _, t := range st.tasks {
			t.proof = arrivedHere
		}
	}
	s.jobs[spec.ID] = j
	s.placementDue = true
	s.emit(Log{Message: "job arrived", Job: spec.ID, Age: s.now.Sub(spec.Accepted)})
	if _, early := s.earlyCancels[spec.ID]; early {
		delete(s.earlyCancels, spec.ID)
		s.cancelJob(spec.ID)
		return
	}
	s.openReadySteps(j)
}

// loadJob adds a job of an earlier ownership with its durable progress.
func (s *Shard) loadJob(e JobLoaded) {
	if s.jobs[e.Job.ID] != nil {
		return
	}
	j := s.newJob(e.Job)
	j.started = e.Started
	s.jobs[e.Job.ID] = j
	s.restore(j, e.Progress)
	for _, st := range s.openReadySteps(j) {
		st.assumeLongWait(s.now)
	}
	s.placementDue = true
	switch {
	case j.remainingSteps == 0:
		// The earlier owner ended while the records of the job's transfers were being removed.
		s.endJob(j, specifier.Succeeded, "all tasks completed")
	case j.hasFailedTooOften():
		s.endJob(j, specifier.Failed, "task failed too often")
	}
}

// assumeLongWait makes long-running tasks wait no longer for their turn: they may
// have waited under earlier owners, and each new one would make them wait anew.
func (st *step) assumeLongWait(now time.Time) {
	if !st.spec.LongRunning {
		return
	}
	for _, t := range st.tasks {
		t.waitingSince = now.Add(-deferralLimit)
	}
}

// hasFailedTooOften reports whether a task of the job has no attempts left.
func (j *job) hasFailedTooOften() bool {
	return slices.ContainsFunc(j.steps, func(st *step) bool {
		return slices.ContainsFunc(st.tasks, func(t *task) bool { return !t.done && t.hasFailedTooOften() })
	})
}

// task returns the task with an id, ignoring id.Job, or nil if there is none.
func (j *job) task(id specifier.TaskID) *task {
	if min(id.Occurrence, id.Step, id.Index) < 0 || id.Occurrence >= len(j.steps) || id.Step >= len(j.spec.Steps) {
		return nil
	}
	at := id.Occurrence*len(j.spec.Steps) + id.Step
	if at >= len(j.steps) || id.Index >= len(j.steps[at].tasks) {
		return nil
	}
	return j.steps[at].tasks[id.Index]
}

// findTask returns a task, or nil if its job is unknown or has a final state.
func (s *Shard) findTask(id specifier.TaskID) *task {
	if j := s.jobs[id.Job]; j != nil && j.final == "" {
		return j.task(id)
	}
	return nil
}

// openReadySteps queues the job's steps that have become ready and returns
// them. A step is ready when it is due and the steps that it depends on have
// completed.
func (s *Shard) openReadySteps(j *job) []*step {
	var opened []*step
	for i, st := range j.steps {
		if st.ready || st.completed == len(st.tasks) || !st.due.IsZero() && s.now.Before(st.due.Add(s.options.ClockError)) {
			continue
		}
		first := i - st.number
		ready := !slices.ContainsFunc(st.spec.After, func(earlier int) bool {
			e := j.steps[first+earlier]
			return e.completed < len(e.tasks)
		})
		if ready {
			st.ready = true
			for _, t := range st.tasks {
				t.waitingSince = s.now
			}
			s.enqueue(st)
			opened = append(opened, st)
		}
	}
	return opened
}

// openDueSteps opens the steps of repeating jobs that have become due.
func (s *Shard) openDueSteps() {
	for _, j := range s.jobs {
		if j.spec.Repeat > 0 && j.final == "" {
			s.openReadySteps(j)
		}
	}
}

// enqueue adds a ready step with waiting tasks to waitingSteps.
func (s *Shard) enqueue(st *step) {
	if st.ready && !st.queued && st.waiting > 0 {
		st.queued = true
		s.waitingSteps = append(s.waitingSteps, st)
	}
}

// logCancellation logs how long the cancellation of a job took to reach the owner.
func (s *Shard) logCancellation(e JobCancelled) {
	if j := s.jobs[e.ID]; j == nil || j.final != "" || e.Received.IsZero() {
		return
	}
	s.emit(Log{Message: "cancellation received", Job: e.ID, Age: s.now.Sub(e.Received)})
}

// cancelJob ends a job because its caller cancelled it.
func (s *Shard) cancelJob(id string) {
	j := s.jobs[id]
	if j == nil {
		// The cancellation may come before the job: a list contains cancellations
		// before jobs, and separate watches have no common order.
		e, ended := s.ended[id]
		switch {
		case !ended:
			s.earlyCancels[id] = s.now
		case e.wasPart:
			// The caller's cancellation and that of the home come one after the other.
			s.staleCancels = append(s.staleCancels, id)
		}
		return
	}
	if j.moving {
		// Its record may already be in another shard. A final state written here would
		// replace the index entry that names that shard.
		j.cancelled = true
		return
	}
	if j.final == "" {
		s.endJob(j, specifier.Cancelled, "cancelled")
	}
	s.markDirty(j)
}

// endJob gives a job its final state and stops its runs.
func (s *Shard) endJob(j *job, final specifier.State, reason string) {
	j.final = final
	s.markDirty(j)
	s.emit(Log{Message: "job ended", Job: j.spec.ID, Reason: reason + ": " + string(final), Age: s.now.Sub(j.spec.Accepted)})
	for _, st := range j.steps {
		for _, t := range st.tasks {
			s.stopRuns(t, nil, "job ended")
		}
	}
	s.placementDue = true
}
