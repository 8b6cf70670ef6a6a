package dispatcher

import "time"

// Limits for the detection of stalled runs.
const (
	minStallTime         = 2500 * time.Millisecond // minimum time without progress
	stallPercentFactor   = 4                       // multiple of the average time for one percent so far
	stallEstimateFactor  = 0.1                     // fraction of the estimated run time, before the first percent
	stalledRunsThreshold = 2                       // with this many stalled runs a worker is avoided
	stallAvoidTime       = 4 * time.Second         // how long such a worker is avoided
)

// isStalled reports whether a run makes no progress although it isn't throttled.
func (s *Shard) isStalled(r *run) bool {
	if r.phase != active || r.task == nil || r.isFiller() && r.pace < full {
		return false
	}
	spec := r.task.step.spec
	if spec.LongRunning && r.progress >= full {
		return false
	}
	return s.now.Sub(r.progressedAt) > max(minStallTime, r.percentTimeout())
}

// percentTimeout returns how long a run may take for one percent of its work.
func (r *run) percentTimeout() time.Duration {
	if r.progress <= 0 {
		return time.Duration(stallEstimateFactor * float64(r.task.step.spec.Estimate))
	}
	return stallPercentFactor * r.progressedAt.Sub(r.startedAt) / time.Duration(r.progress)
}

// replaceStalled stops stalled runs if another worker has room for their tasks.
// A worker with several stalled runs is avoided for a while.
func (s *Shard) replaceStalled(w *worker) {
	stalled := 0
	for _, id := range sortedTasks(w.runs) {
		r := w.runs[id]
		if !s.isStalled(r) {
			continue
		}
		stalled++
		if s.hasRoom(r, anyWorker) {
			r.task.lastFailedOn = w.reg.ID
			s.stopRun(r, "no progress")
		}
	}
	if stalled < stalledRunsThreshold {
		return
	}
	wasAvoided := s.now.Before(w.avoidUntil)
	if s.avoid(w, stallAvoidTime) && !wasAvoided {
		s.emit(Log{Message: "worker avoided after stalled runs", Worker: w.reg.ID, Age: stallAvoidTime})
	}
}
