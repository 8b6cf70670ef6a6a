package dispatcher

import (
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/fitter"
)

// Workers of a failure domain that returns after an evacuation may be cold: slow for a
// while. Tasks go to warm workers first, and a cold one gets its tasks one after another,
// so that it isn't full of slow runs while others have room again.

// coldStartInterval is the minimum time between two starts on a cold worker. A worker of 16
// cores with tasks of 2 cores is full after 2.4 s.
const coldStartInterval = 300 * time.Millisecond

// updateCold updates until when the worker is cold from its registration. Where no
// evacuations are expected, no worker counts as cold.
func (s *Shard) updateCold(w *worker) {
	if s.options.MaxEvacuationAge == 0 || w.reg.ColdRemaining == w.coldRemaining && w.reg.Incarnation == w.coldIncarnation {
		return
	}
	w.coldRemaining, w.coldIncarnation = w.reg.ColdRemaining, w.reg.Incarnation
	w.coldUntil = s.now.Add(w.reg.ColdRemaining)
}

// isCold reports whether the worker is still slow.
func (w *worker) isCold(now time.Time) bool { return now.Before(w.coldUntil) }

// markCold marks the candidate of a cold worker, and closes it if a run was started there
// a short time ago.
func (w *worker) markCold(c *fitter.Candidate, now time.Time) {
	c.Cold = w.isCold(now)
	c.Closed = c.Closed || c.Cold && now.Sub(w.lastStart) < coldStartInterval
}

// noteColdStart records when a run was started on the worker with an index, and closes the
// worker for the rest of the round if it is cold.
func (p *placement) noteColdStart(i int) {
	p.workers[i].lastStart = p.shard.now
	p.candidates[i].Closed = p.candidates[i].Closed || p.candidates[i].Cold
}
