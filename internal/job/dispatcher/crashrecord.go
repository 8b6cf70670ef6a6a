package dispatcher

import (
	"slices"
	"time"
)

const (
	// crashRetention is how long crashes of workers are kept. A run is lost up to a lease after
	// the crash of its worker.
	crashRetention = 20 * time.Second

	// crashSkew is how much later than another the crash of a worker may be noticed that has
	// crashed at the same time.
	crashSkew = time.Second
)

// workerCrash is a crash of a worker, or a silence that may turn out to be one.
type workerCrash struct {
	worker      string
	incarnation int64
	at          time.Time       // when it was noticed
	jobs        map[string]bool // jobs of the runs there that may have caused it
	hasSuspect  bool            // one of these runs needs isolation
}

// recordCrash records that a worker has crashed, or may have: it doesn't answer, or another
// incarnation has been found.
func (s *Shard) recordCrash(w *worker) {
	if s.hasLeftAsAnnounced(w) || s.findCrash(w) >= 0 {
		return
	}
	c := workerCrash{worker: w.reg.ID, incarnation: w.reg.Incarnation, at: s.now, jobs: make(map[string]bool)}
	for _, r := range w.runs {
		if r.task != nil && r.mayHaveCrashed() {
			c.jobs[r.id.Job] = true
			c.hasSuspect = c.hasSuspect || r.task.needsIsolation()
		}
	}
	s.crashes = slices.DeleteFunc(s.crashes, func(c workerCrash) bool { return s.now.Sub(c.at) > crashRetention })
	s.crashes = append(s.crashes, c)
}

// refuteCrash forgets the crash of a worker that answers in the same incarnation.
func (s *Shard) refuteCrash(w *worker) {
	if i := s.findCrash(w); i >= 0 {
		s.crashes = slices.Delete(s.crashes, i, i+1)
	}
}

// findCrash returns the index of the recorded crash of the worker's present incarnation, or -1.
func (s *Shard) findCrash(w *worker) int {
	return slices.IndexFunc(s.crashes, func(c workerCrash) bool {
		return c.worker == w.reg.ID && c.incarnation == w.reg.Incarnation
	})
}

// countOtherCrashes returns how many other workers crashed while the run was active, without a
// run of its job and without a run that needs isolation. The run hasn't caused these.
func (s *Shard) countOtherCrashes(r *run) int {
	until := s.now
	if i := s.findCrash(r.worker); i >= 0 {
		until = s.crashes[i].at
	}
	until = until.Add(crashSkew)
	others := make(map[string]bool)
	for i := range s.crashes {
		c := &s.crashes[i]
		isOther := c.worker != r.worker.reg.ID && !c.hasSuspect && !c.jobs[r.id.Job]
		if isOther && !c.at.Before(r.orderedAt) && !c.at.After(until) {
			others[c.worker] = true
		}
	}
	return len(others)
}
