package dispatcher

import (
	"slices"

	"dotterelcart.dev/dotterelcart/internal/control/isolator"
	"dotterelcart.dev/dotterelcart/internal/job/recorder"
)

// A worker may crash on its own, again and again. A loss there says little about the task, so
// such a worker gets no runs for a while, and suspect tasks are started on others if possible.
// The losses count as ever: a task that crashes its workers does so on any of them.

// noteCrash records that a worker has crashed and come back. After repeated crashes it is
// avoided for a while, unless it is more than maxAvoidedShare of the shard.
func (s *Shard) noteCrash(w *worker) {
	w.crashes.Record(s.now)
	d := w.crashes.Backoff()
	if d == 0 || maxAvoidedShare*float64(s.stayingWorkers()) < 1 {
		return
	}
	if s.avoid(w, d) {
		s.emit(Log{Message: "worker avoided after repeated crashes", Worker: w.reg.ID, Age: d})
	}
}

// wasLostOn reports whether a run of the task was lost with the worker.
func (t *task) wasLostOn(w *worker) bool {
	return slices.ContainsFunc(t.losses, func(l recorder.Loss) bool { return !l.Open && l.Worker == w.reg.ID })
}

// isConclusive reports whether a loss of the task on the worker would say something about the
// task: the worker hasn't crashed recently, nor under this task.
func (p *placement) isConclusive(t *task, w *worker) bool {
	return !w.crashes.IsRecent(p.shard.now) && !t.wasLostOn(w)
}

// waitsForConclusive reports whether a suspect task isn't started on the worker yet because a
// loss on another one would say more about the task.
func (p *placement) waitsForConclusive(t *task, w *worker) bool {
	if p.isConclusive(t, w) || p.shard.now.Sub(t.waitingSince) >= isolator.MaxOtherWorkerWait {
		return false
	}
	return slices.ContainsFunc(p.workers, func(other *worker) bool {
		return p.isConclusive(t, other) && other.fitsBesideLongRunning(t.step)
	})
}
