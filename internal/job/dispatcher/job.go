package dispatcher

import (
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// job is an accepted job that has not ended durably.
type job struct {
	spec      specifier.Job
	queue     specifier.Queue
	steps     []*step   // by occurrence, then step
	left      int       // steps that have not completed
	begun     bool      // a task has started
	moving    bool      // on its way to another shard; starts nothing
	arrived   time.Time // zero if it was loaded from an earlier ownership
	objective time.Time
	grace     time.Time // until when an end still earns something

	final   specifier.State
	version int64 // of what would be committed
	sent    int64 // version of the last commit
	durable int64 // version that is committed for certain
	dirty   bool  // version is to be committed
}

// step is one step of one occurrence.
type step struct {
	job        *job
	spec       *specifier.Step
	occurrence int
	number     int
	tasks      []*task
	done       int  // tasks that have completed
	waiting    int  // tasks that neither run nor have completed
	open       bool // its turn has come
	listed     bool // in Shard.steps
	mayExceed  bool // its tasks may start above the limit of lasting ones in this round
	due        time.Time
	needs      need
	advice     advice
}

// task is one task.
type task struct {
	step       *step
	index      int
	done       bool
	worker     *worker // that has a run of it, or may have
	number     int64   // of the last run
	failed     []int64
	checkpoint string
	last       string // worker of the last failed run
	later      time.Time
	since      time.Time // when it last began to wait
	located    bool      // no earlier owner can have a run of it that is not known here
	watched    bool      // a run of it was active under this owner
	adopted    bool      // an earlier owner started one of its runs, and others may have failed
}

func (t *task) id() specifier.TaskID {
	return specifier.TaskID{Job: t.step.job.spec.ID, Occurrence: t.step.occurrence, Step: t.step.number, Index: t.index}
}

func (j *job) shown() specifier.State {
	switch {
	case j.final != "":
		return specifier.Running // until the final state is durable
	case j.begun:
		return specifier.Running
	}
	return specifier.Queued
}

// newJob lays out the tasks of a job.
func (s *Shard) newJob(spec specifier.Job) *job {
	j := &job{spec: spec}
	j.queue, _ = s.catalog.Queue(spec.Queue)
	target := time.Duration(float64(spec.CriticalPath())*j.queue.Slack) + j.queue.Completion
	j.objective = spec.Accepted.Add(target)
	j.grace = spec.Accepted.Add(lateFactor * target)
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
	j.left = len(j.steps)
	return j
}

// lateFactor times the objective is when a job stops earning.
const lateFactor = 3

func (s *Shard) arrive(spec specifier.Job) {
	if _, ended := s.ended[spec.ID]; ended || s.jobs[spec.ID] != nil {
		return
	}
	j := s.newJob(spec)
	j.arrived = s.now
	for _, st := range j.steps {
		st.locate()
	}
	s.jobs[spec.ID] = j
	s.changed = true
	s.emit(Log{Message: "job arrived", Job: spec.ID, Age: s.now.Sub(spec.Accepted)})
	if _, early := s.early[spec.ID]; early {
		delete(s.early, spec.ID)
		s.cancel(spec.ID)
		return
	}
	s.openSteps(j)
}

// load takes over a job with what an earlier owner made durable of it.
func (s *Shard) load(e JobLoaded) {
	if s.jobs[e.Job.ID] != nil {
		return
	}
	j := s.newJob(e.Job)
	j.begun = e.Begun
	s.jobs[e.Job.ID] = j
	for _, p := range e.Progress.Tasks {
		t := j.task(specifier.TaskID{Occurrence: p.Occurrence, Step: p.Step, Index: p.Index})
		if t == nil {
			s.emit(Log{Message: "progress of an unknown task", Job: e.Job.ID})
			continue
		}
		t.failed = p.Failed
		t.checkpoint = p.Checkpoint
		if p.Done {
			s.finish(t)
		}
	}
	s.openSteps(j)
	s.changed = true
}

// task finds a task by its place in the job.
func (j *job) task(id specifier.TaskID) *task {
	at := id.Occurrence*len(j.spec.Steps) + id.Step
	if id.Step >= len(j.spec.Steps) || at >= len(j.steps) || id.Index >= len(j.steps[at].tasks) {
		return nil
	}
	return j.steps[at].tasks[id.Index]
}

// find returns the task of a job that has not ended, or nil.
func (s *Shard) find(id specifier.TaskID) *task {
	if j := s.jobs[id.Job]; j != nil && j.final == "" {
		return j.task(id)
	}
	return nil
}

// openSteps lists the steps whose turn has come, and returns those for which it
// came now.
func (s *Shard) openSteps(j *job) []*step {
	var opened []*step
	for i, st := range j.steps {
		if st.open || st.done == len(st.tasks) || !st.due.IsZero() && s.now.Before(st.due.Add(s.options.ClockError)) {
			continue
		}
		first := i - st.number
		ready := !slices.ContainsFunc(st.spec.After, func(earlier int) bool {
			e := j.steps[first+earlier]
			return e.done < len(e.tasks)
		})
		if ready {
			st.open = true
			for _, t := range st.tasks {
				t.since = s.now
			}
			s.enlist(st)
			opened = append(opened, st)
		}
	}
	return opened
}

// wake opens the steps of repeating jobs that have become due.
func (s *Shard) wake() {
	for _, j := range s.jobs {
		if j.spec.Repeat > 0 && j.final == "" {
			s.openSteps(j)
		}
	}
}

func (s *Shard) enlist(st *step) {
	if st.open && !st.listed && st.waiting > 0 {
		st.listed = true
		s.steps = append(s.steps, st)
	}
}

// finish marks a task as completed.
func (s *Shard) finish(t *task) {
	st := t.step
	if t.done {
		return
	}
	t.done = true
	st.done++
	if t.worker == nil {
		st.waiting--
	}
	if st.done == len(st.tasks) {
		st.job.left--
	}
}

// release makes a task that has no run any more wait again.
func (s *Shard) release(t *task) {
	if t.worker == nil {
		return
	}
	t.worker = nil
	if t.done {
		return
	}
	t.since = s.now
	t.step.waiting++
	s.enlist(t.step)
	s.changed = true
}

// complete takes in that a task has completed.
func (s *Shard) complete(t *task) {
	j := t.step.job
	s.finish(t)
	s.touch(j)
	if j.left == 0 {
		s.end(j, specifier.Succeeded, "all tasks completed")
		return
	}
	for _, st := range s.openSteps(j) {
		if t.watched {
			// No earlier owner can have known that this step's turn has come.
			st.locate()
		}
	}
	s.changed = true
}

// locate notes that no earlier owner can have started tasks of the step.
func (st *step) locate() {
	for _, t := range st.tasks {
		t.located = true
	}
}

// fail takes in that a run failed by its own fault or its worker's.
func (s *Shard) fail(t *task, w *worker, run int64) {
	if slices.Contains(t.failed, run) {
		return
	}
	if t.adopted && !t.step.spec.Lasting && !s.isSettled() {
		// Workers that have not answered may tell of more failures.
		t.located = false
	}
	j := t.step.job
	t.last = w.reg.ID
	if t.step.spec.Lasting {
		return
	}
	t.failed = append(t.failed, run)
	s.touch(j)
	if j.queue.Attempts > 0 && len(t.failed) >= j.queue.Attempts {
		s.end(j, specifier.Failed, "a task failed too often")
	}
}

// cancel ends a job on its caller's order.
func (s *Shard) cancel(id string) {
	j := s.jobs[id]
	if j == nil {
		// A list names cancellations before jobs, and a watch may overtake another.
		s.early[id] = s.now
		return
	}
	if j.final == "" {
		s.end(j, specifier.Cancelled, "cancelled")
	}
	s.touch(j)
}

// end gives a job its final state and stops what still runs of it.
func (s *Shard) end(j *job, final specifier.State, reason string) {
	j.final = final
	s.touch(j)
	s.emit(Log{Message: "job ended", Job: j.spec.ID, Reason: reason + ": " + string(final), Age: s.now.Sub(j.spec.Accepted)})
	for _, st := range j.steps {
		for _, t := range st.tasks {
			if t.worker == nil {
				continue
			}
			if r := t.worker.runs[t.id()]; r != nil {
				s.stopRun(r, "job ended")
			}
		}
	}
	s.changed = true
}

// touch marks that a job has something to be made durable.
func (s *Shard) touch(j *job) {
	j.version++
	if !j.dirty {
		j.dirty = true
		s.dirty = append(s.dirty, j)
	}
}

// progress is the durable part of a job.
func (j *job) progress() recorder.Progress {
	var p recorder.Progress
	for _, st := range j.steps {
		for _, t := range st.tasks {
			if t.done || len(t.failed) > 0 || t.checkpoint != "" {
				p.Tasks = append(p.Tasks, recorder.TaskProgress{
					Occurrence: st.occurrence, Step: st.number, Index: t.index,
					Done: t.done, Failed: t.failed, Checkpoint: t.checkpointIfOpen(),
				})
			}
		}
	}
	return p
}

func (t *task) checkpointIfOpen() string {
	if t.done {
		return ""
	}
	return t.checkpoint
}
