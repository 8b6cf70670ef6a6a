package dispatcher

import "time"

// Bounds of runs that stand still.
const (
	stallLimit     = 2500 * time.Millisecond // without progress, a run stands still
	stallPercents  = 4                       // times what a percent took so far, if that is more
	stallEstimates = 0.1                     // of the estimate, before the first percent
	stallSuspects  = 2                       // stalled runs at once, from which the worker is avoided
	stallAvoid     = 4 * time.Second
)

// isStalled reports whether a run makes no progress although nothing holds it
// back.
func (s *Shard) isStalled(r *run) bool {
	if r.phase != active || r.task == nil || r.isFiller() && r.pace < full {
		return false
	}
	spec := r.task.step.spec
	if spec.LongRunning && r.percent >= full {
		return false
	}
	return s.now.Sub(r.moved) > max(stallLimit, r.patience())
}

// patience is how long a run may need for one percent of its work.
func (r *run) patience() time.Duration {
	if r.percent <= 0 {
		return time.Duration(stallEstimates * float64(r.task.step.spec.Estimate))
	}
	return stallPercents * r.moved.Sub(r.begun) / time.Duration(r.percent)
}

// replaceStalled moves runs that stand still to other workers. A worker with
// several of them takes no new runs for a while.
func (s *Shard) replaceStalled(w *worker) {
	stalled := 0
	for _, id := range sortedTasks(w.runs) {
		r := w.runs[id]
		if !s.isStalled(r) {
			continue
		}
		stalled++
		if s.hasRoom(r, anyWorker) {
			r.task.last = w.reg.ID
			s.stopRun(r, "no progress")
		}
	}
	if stalled >= stallSuspects {
		w.avoided = s.now.Add(stallAvoid)
		s.emit(Log{Message: "worker avoided: its runs stand still", Worker: w.reg.ID, Age: stallAvoid})
	}
}
