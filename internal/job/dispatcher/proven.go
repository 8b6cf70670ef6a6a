package dispatcher

import (
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
)

// endProvenTime is how long a run has to have been ready that ended by itself, so that it counts as
// proof. It is shorter than provenTime, since the run can't crash its worker any more.
const endProvenTime = provenTime / 2

// A run that has been ready for provenTime doesn't crash its worker. It stays proven,
// whatever the owner does to it later: it may be stopped, or not be ready for a while.

// noteReadiness updates whether a run that its worker lists is proven. That a task has been proven is
// durable, so that a new owner judges its losses in the same way.
func (s *Shard) noteReadiness(r *run) {
	if r.proven || r.phase != active || r.task == nil || !r.task.step.spec.LongRunning {
		return
	}
	switch {
	case r.progress < full:
		r.readyAt = time.Time{}
	case r.readyAt.IsZero():
		r.readyAt = s.now
	case s.now.Sub(r.readyAt) >= provenTime:
		r.proven = true
		s.noteProven(r.task)
	}
}

// noteProven records that a run of the task hasn't crashed its worker for long.
func (s *Shard) noteProven(t *task) {
	if t.wasProven || t.step.job.final != "" {
		return
	}
	t.wasProven = true
	s.markDirty(t.step.job)
}

// noteEnd takes the listed end of a run of a long-running task as proof: the run was ready for a while, and
// its worker is up.
func (s *Shard) noteEnd(r *run) {
	t := r.task
	if t == nil || !t.step.spec.LongRunning || r.readyAt.IsZero() || r.worker.endsDelayed || s.now.Sub(r.readyAt) < endProvenTime {
		return
	}
	s.noteProven(t)
	if len(t.losses) == 0 {
		return
	}
	s.dropLosses(t, func(l *recorder.Loss) bool { return !l.Open })
	s.emit(Log{Message: "suspicion refuted", Task: r.id.String(), Job: r.id.Job, Worker: r.worker.reg.ID, Run: r.number, Reason: "the run ended and its worker is up"})
}

// mayCrash reports whether the run may crash its worker, as far as its task doesn't show the contrary.
func (r *run) mayCrash() bool {
	return !r.proven && (r.task == nil || !r.task.wasProven || r.task.isImplicated())
}

// proveInheritedRuns marks runs as proven that a new owner finds beside an isolated one in
// a worker's first inventory. The earlier owner has started that one beside proven runs
// only, and nothing after it. Runs that aren't ready can't be among them; they were started
// late.
func (w *worker) proveInheritedRuns() {
	isIsolating := false
	for _, r := range w.runs {
		if r.isolated && r.task != nil {
			l := r.task.loss(r.number)
			isIsolating = isIsolating || l != nil && l.Open && l.Incarnation == w.reg.Incarnation
		}
	}
	if !isIsolating {
		return
	}
	for _, r := range w.runs {
		r.proven = r.proven || !r.isolated && r.progress >= full
	}
}

// unprovenStarts returns the number of runs that may have crashed the worker.
func (w *worker) unprovenStarts() int {
	n := 0
	for _, r := range w.runs {
		if r.mayCrash() && r.phase != preparing {
			n++
		}
	}
	return n
}
