package dispatcher

import (
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/estimator"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

const (
	expectationLifetime = 100 * time.Millisecond // maximum age of a cached expectation of a step with runs
	noticeableChange    = 1.1                    // ratio of expectations from which a job's paths are recomputed
	overrunShare        = 0.25                   // expected further run time of a run beyond its expected end, as a share of what it has run
)

// stepTimes is what is known of the run times of a step's tasks.
type stepTimes struct {
	planned    time.Duration  // expected run time by which paths and work are computed
	own        estimator.Step // ends of its tasks
	expected   time.Duration  // cached by expectedRunTime
	expectedAt time.Time      // when expected was computed; zero if it is outdated
}

// expectedRunTime returns the expected run time of the step's tasks at full pace. That of
// a completed step doesn't change any more.
func (s *Shard) expectedRunTime(st *step) time.Duration {
	if st.spec.LongRunning {
		return st.spec.Estimate
	}
	x := &st.times
	isCompleted := st.completed == len(st.tasks)
	if !x.expectedAt.IsZero() && (isCompleted || s.now.Sub(x.expectedAt) < expectationLifetime) {
		return x.expected
	}
	p := s.runTimes.model.Predict(st.runTimeKey(), st.spec.Estimate)
	x.expected, x.expectedAt = x.own.Refine(p, s.timesRunning(st)), s.now
	return x.expected
}

// timesRunning returns for how long the step's runs that have not ended have run, at full pace.
func (s *Shard) timesRunning(st *step) []time.Duration {
	if st.waiting == len(st.tasks) || st.completed == len(st.tasks) {
		return nil
	}
	var times []time.Duration
	for _, t := range st.tasks {
		if t.worker == nil || t.done {
			continue
		}
		if r := t.worker.runs[t.id()]; r != nil && r.phase == active && r.clock.isExact() {
			r.advance(s.now)
			times = append(times, r.clock.work)
		}
	}
	return times
}

// expectedEnd returns when a run is expected to end, or false if that isn't known, as for
// long-running tasks and paused fillers.
func (s *Shard) expectedEnd(r *run) (time.Time, bool) {
	if r.task == nil || r.task.step.spec.LongRunning {
		return time.Time{}, false
	}
	total := s.expectedTotal(r)
	if r.clock.at.IsZero() {
		return r.orderedAt.Add(total), true
	}
	if r.clock.speed <= 0 {
		return time.Time{}, false
	}
	r.advance(s.now)
	left := total - r.clock.work
	if left < 0 {
		// The longer a run has exceeded its expectation, the longer it is expected to go on.
		left = time.Duration(overrunShare * float64(r.clock.work))
	}
	return s.now.Add(time.Duration(float64(left) / r.clock.speed)), true
}

// expectedTotal returns the expected run time of a run at full pace, counted from the
// start of its clock. The expectation of its step and that by its progress are weighted
// by the progress since then.
func (s *Shard) expectedTotal(r *run) time.Duration {
	expected := float64(s.expectedRunTime(r.task.step)) * float64(full-r.clock.firstProgress) / full
	byProgress, ok := r.totalByProgress()
	if !ok {
		return time.Duration(expected)
	}
	trust := float64(r.progress-r.clock.firstProgress) / full
	return time.Duration(trust*byProgress + (1-trust)*expected)
}

// totalByProgress returns the run time at full pace, in nanoseconds from the start of the
// clock, that follows from the progress since then. It returns false if the run has
// reported none.
func (r *run) totalByProgress() (float64, bool) {
	made := r.progress - r.clock.firstProgress
	if made <= 0 || r.clock.workAtProgress <= 0 {
		return 0, false
	}
	return float64(r.clock.workAtProgress) * float64(full-r.clock.firstProgress) / float64(made), true
}

// expectJob computes the expected run times of a job's steps, its paths and its
// objective, which is defined by the first occurrence.
func (s *Shard) expectJob(j *job) {
	times := make([]time.Duration, len(j.spec.Steps))
	for first := 0; first < len(j.steps); first += len(times) {
		occurrence := j.steps[first : first+len(times)]
		for i, st := range occurrence {
			if first == 0 || st.ready {
				times[i] = s.expectedRunTime(st)
			}
			st.times.planned = times[i]
		}
		paths := j.spec.Paths(j.queue.Advice.AddTo(times, specifier.TypicalAdviceWorkers))
		for i, st := range occurrence {
			st.path = paths[i]
		}
		if first == 0 {
			j.setObjective(j.spec.CriticalPath(j.queue.Advice.AddTo(times, specifier.ObjectiveAdviceWorkers)))
		}
	}
}

// setObjective sets the job's objective by its critical path.
func (j *job) setObjective(criticalPath time.Duration) {
	target := time.Duration(float64(criticalPath)*j.queue.Slack) + j.queue.Completion
	j.objective = j.spec.Accepted.Add(target)
	j.graceEnd = j.spec.Accepted.Add(graceFactor * target)
}

// reviewExpectations recomputes the paths and objectives of jobs whose expected run times
// have changed noticeably.
func (s *Shard) reviewExpectations() {
	if s.runTimes.model.IsEmpty() {
		return
	}
	for _, id := range sortedKeys(s.jobs) {
		j := s.jobs[id]
		if j.final == "" && s.hasNewExpectations(j) {
			s.expectJob(j)
		}
	}
}

// hasNewExpectations reports whether the expected run time of a step has changed noticeably
// since the job's paths were computed. Later occurrences count once their steps are ready.
func (s *Shard) hasNewExpectations(j *job) bool {
	for i, st := range j.steps {
		if i >= len(j.spec.Steps) && !st.ready {
			continue
		}
		planned, expected := st.times.planned, s.expectedRunTime(st)
		if planned != expected && (planned <= 0 || expected <= 0 || exceedsFactor(float64(expected)/float64(planned), noticeableChange)) {
			return true
		}
	}
	return false
}
