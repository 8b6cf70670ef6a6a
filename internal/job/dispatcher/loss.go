package dispatcher

import "time"

// LossCause is why runs ended without an end that their worker lists.
type LossCause uint8

// Causes of lost runs.
const (
	LossRestart      LossCause = iota // another incarnation of the worker runs
	LossDeparture                     // the worker was draining and has left
	LossUnregistered                  // the worker is no longer registered, and its leases have expired
	LossSilence                       // the worker is registered but doesn't answer, and its leases have expired
	LossCauses                        // number of causes
)

// String returns the text of the cause in logs and metrics.
func (c LossCause) String() string {
	return [...]string{"restarted", "left", "unregistered", "silent"}[c]
}

// RunsLost reports runs that were lost together with their worker.
type RunsLost struct {
	Worker string
	Cause  LossCause
	Runs   int
}

func (RunsLost) effect() {}

// lossCause returns why the runs of a worker are lost whose leases have expired.
func (w *worker) lossCause() LossCause {
	switch {
	case w.reg.Draining:
		return LossDeparture
	case !w.unregisteredAt.IsZero():
		return LossUnregistered
	}
	return LossSilence
}

// loseRuns removes all runs of a worker, which have ended with it, and requeues
// their tasks.
func (s *Shard) loseRuns(w *worker, cause LossCause) {
	if len(w.runs) == 0 {
		return
	}
	s.emit(RunsLost{Worker: w.reg.ID, Cause: cause, Runs: len(w.runs)})
	for _, id := range sortedTasks(w.runs) {
		r := w.runs[id]
		s.emit(Log{
			Message: "run lost with its worker", Task: r.id.String(), Job: r.id.Job, Worker: w.reg.ID, Run: r.number,
			Reason: cause.String(), Age: s.ageOf(r),
		})
		s.removeRun(r)
	}
}

// ageOf returns how long ago the run was known to have begun, or was ordered.
func (s *Shard) ageOf(r *run) time.Duration {
	if !r.startedAt.IsZero() {
		return s.now.Sub(r.startedAt)
	}
	return s.now.Sub(r.orderedAt)
}
