package dispatcher

import "time"

// Bounds of runs that stand still.
const (
	stallLimit     = 2500 * time.Millisecond // without progress, a run stands still
	stallEstimates = 0.05                    // more, as a share of its estimate: progress shows in whole percents
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
	if spec.Lasting && r.percent >= full {
		return false
	}
	limit := stallLimit + time.Duration(stallEstimates*float64(spec.Estimate))
	return s.now.Sub(r.moved) > limit
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
