package dispatcher

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/duplicator"
	"dotterelcart.dev/dotterelcart/internal/control/fitter"
)

// duplicateInterval is the minimum time between reviews of running tasks.
const duplicateInterval = 100 * time.Millisecond

// duplication is what the owner needs to find stragglers.
type duplication struct {
	steps      map[*step]bool // steps that allow duplicates and have had runs
	reviewedAt time.Time
	load       duplicator.Load // at the last review
}

// noteDuplicable remembers the step of a run for reviews if it allows duplicates.
func (s *Shard) noteDuplicable(r *run) {
	if !r.task.mayHaveDuplicate() || s.duplication.steps[r.task.step] {
		return
	}
	if s.duplication.steps == nil {
		s.duplication.steps = make(map[*step]bool)
	}
	s.duplication.steps[r.task.step] = true
}

// findStragglers returns the runs whose tasks get a second one if there is room, in the
// order in which they get it.
func (s *Shard) findStragglers() []*run {
	d := &s.duplication
	if len(d.steps) == 0 || s.now.Sub(d.reviewedAt) < duplicateInterval {
		return nil
	}
	d.reviewedAt, d.load = s.now, duplicator.Load{}
	var runs []*run
	var states []duplicator.Run
	for _, st := range s.duplicableSteps() {
		p := s.runTimes.model.Predict(st.runTimeKey(), st.spec.Estimate)
		expected, deviation := s.expectedRunTime(st), st.times.own.Deviation(p)
		for _, r := range s.countRuns(st, &d.load) {
			r.advance(s.now)
			runs = append(runs, r)
			states = append(states, duplicator.Run{
				Ran: r.clock.work, Expected: expected, Deviation: deviation, Remaining: r.remainingByProgress(),
			})
		}
	}
	var stragglers []*run
	for _, i := range duplicator.Choose(states, d.load) {
		stragglers = append(stragglers, runs[i])
	}
	return stragglers
}

// countRuns adds the step's running tasks to the load, and returns those of their runs that
// may get a duplicate.
func (s *Shard) countRuns(st *step, load *duplicator.Load) []*run {
	var runs []*run
	for _, t := range st.tasks {
		if t.done || t.worker == nil {
			continue
		}
		load.Running++
		if t.duplicate != nil {
			load.Duplicates++
			continue
		}
		if r := t.worker.runs[t.id()]; r != nil && s.mayDuplicate(r) {
			runs = append(runs, r)
		}
	}
	return runs
}

// duplicableSteps returns the unfinished steps that allow duplicates and have had runs,
// sorted.
func (s *Shard) duplicableSteps() []*step {
	var steps []*step
	for st := range s.duplication.steps {
		if j := st.job; st.completed == len(st.tasks) || j.final != "" || s.jobs[j.spec.ID] != j {
			delete(s.duplication.steps, st)
			continue
		}
		steps = append(steps, st)
	}
	slices.SortFunc(steps, func(a, b *step) int {
		return cmp.Or(cmp.Compare(a.job.spec.ID, b.job.spec.ID), cmp.Compare(a.occurrence, b.occurrence), cmp.Compare(a.number, b.number))
	})
	return steps
}

// mayDuplicate reports whether the only known run of a task may get a duplicate beside it.
// A run of an earlier owner counts from its adoption.
func (s *Shard) mayDuplicate(r *run) bool {
	t := r.task
	isMeasured := r.phase == active && !r.clock.at.IsZero() && !r.clock.uncertain
	return isMeasured && len(t.losses) == 0 && !t.returns && !s.mayHaveUnknownRun(t) && !s.now.Before(t.notBefore)
}

// remainingByProgress returns the remaining run time at full pace by the progress that the
// run reports, or -1 if it reports none or goes on beyond it.
func (r *run) remainingByProgress() time.Duration {
	total, ok := r.totalByProgress()
	if !ok {
		return -1
	}
	return max(time.Duration(total)-r.clock.work, -1)
}

// placeDuplicates starts duplicates of stragglers where no waiting task could start.
func (p *placement) placeDuplicates(stragglers []*run) {
	if len(stragglers) == 0 {
		return
	}
	s := p.shard
	p.closeForDuplicates()
	for _, r := range stragglers {
		if s.duplication.load.Left() <= 0 {
			return
		}
		t := r.task
		i := p.chooseForDuplicate(r)
		if i < 0 {
			continue
		}
		request := t.step.request()
		p.candidates[i].Reserve(&request)
		second := s.startDuplicate(t, p.workers[i])
		p.noteStart(second, i)
		second.startsSlowly = t.step.spec.Filler && p.workers[i].wouldNearTarget(p.growth[i])
		s.duplication.load.Duplicates++
		s.emit(Log{
			Message: "duplicate run started", Task: r.id.String(), Job: r.id.Job, Worker: second.worker.reg.ID, Run: second.number, Age: r.clock.work,
			Reason: fmt.Sprintf("run %d on %s exceeds the expected %s, %d of %d duplicates", r.number, r.worker.reg.ID,
				s.expectedRunTime(t.step).Round(time.Millisecond), s.duplication.load.Duplicates, s.duplication.load.Budget()),
		})
	}
}

// chooseForDuplicate returns the index of the best worker for a duplicate of a run, or -1.
// Workers in other racks come first: what slows down a worker may slow down its rack.
func (p *placement) chooseForDuplicate(r *run) int {
	st := r.task.step
	p.setAffinity(st)
	all := p.candidates
	if r.worker.rack != "" {
		p.candidates = slices.Clone(all)
		for i, w := range p.workers {
			p.candidates[i].Closed = p.candidates[i].Closed || w.rack == r.worker.rack
		}
		i := p.chooseWorker(st, r.task, st.request(), false)
		p.candidates = all
		if i >= 0 {
			return i
		}
	}
	return p.chooseWorker(st, r.task, st.request(), false)
}

// closeForDuplicates closes the workers of this round on which a waiting task could start,
// also one whose room has yet to become free, and those with runs of suspect tasks.
func (p *placement) closeForDuplicates() {
	for i, w := range p.workers {
		c := &p.candidates[i]
		c.Closed = c.Closed || p.suspects[w] > 0 || p.isWantedByWaiting(w, c)
	}
}

// isWantedByWaiting reports whether the worker could run a waiting task. Fillers run on CPU
// that is unused now, so the room of others' runs isn't theirs later.
func (p *placement) isWantedByWaiting(w *worker, c *fitter.Candidate) bool {
	return slices.ContainsFunc(p.shard.waitingSteps, func(st *step) bool {
		if st.waiting == 0 || st.job.final != "" || !w.fitsBesideLongRunning(st) {
			return false
		}
		request := st.request()
		return !st.spec.Filler || request.Fits(c)
	})
}

const (
	overtakenThreshold = 2               // with this many runs in a row that lose against duplicates a worker is avoided
	overtakenAvoidTime = 4 * time.Second // how long such a worker is avoided
)

// noteWinner records that the run was done, if it was the first of its task. A worker whose
// runs are overtaken again and again is slow. It has room whenever such a run is stopped, so
// it would get more first runs than without duplicates; it is avoided for a while.
func (s *Shard) noteWinner(r *run) {
	if r.task == nil || r.task.done || !r.task.mayHaveDuplicate() {
		return
	}
	if !r.isDuplicate {
		if r.task.duplicate == nil && r.task.worker == nil {
			r.worker.overtakenInRow = 0
		}
		return
	}
	s.emit(DuplicateWon{})
	w := r.task.worker
	if w == nil {
		return
	}
	w.overtakenInRow++
	if w.overtakenInRow < overtakenThreshold || s.now.Before(w.avoidUntil) {
		return
	}
	if s.avoid(w, overtakenAvoidTime) {
		s.emit(Log{Message: "worker avoided after overtaken runs", Worker: w.reg.ID, Age: overtakenAvoidTime})
	}
}
