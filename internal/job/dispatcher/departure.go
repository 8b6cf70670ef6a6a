package dispatcher

import (
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// departureMargin is how much earlier than announced a worker may seem to leave: its
// registration arrives late, and the poll that first fails was sent before the worker left.
const departureMargin = 2 * time.Second

// noteDeparture updates when a worker leaves by a registration. The same registration is
// listed again when others change, and the remaining time in it counts from the first time.
func (w *worker) noteDeparture(reg specifier.Worker, now time.Time) {
	switch {
	case !reg.Draining:
		w.leavesAt = time.Time{}
	case w.leavesAt.IsZero() || !w.reg.Draining || reg.Remaining != w.reg.Remaining:
		w.leavesAt = now.Add(reg.Remaining)
	}
}

// hasLeftAsAnnounced reports whether a worker that has ended was draining and had announced
// to leave by then.
func (s *Shard) hasLeftAsAnnounced(w *worker) bool {
	if !w.reg.Draining {
		return false
	}
	end := s.now
	if w.failedPolls > 0 && w.silentSince.Before(end) {
		end = w.silentSince
	}
	if !w.unregisteredAt.IsZero() && w.unregisteredAt.Before(end) {
		end = w.unregisteredAt
	}
	return !end.Add(departureMargin).Before(w.leavesAt)
}

// endReplaced ends the workers at whose address another one has started later: their
// processes have ended. During a rolling replacement a new worker may run on the same host
// beside the old one, so a common host proves nothing.
func (s *Shard) endReplaced(listed []specifier.Worker) {
	latest := make(map[string]*specifier.Worker, len(listed))
	for i := range listed {
		reg := &listed[i]
		if l := latest[reg.Address]; reg.Address != "" && (l == nil || reg.Incarnation > l.Incarnation) {
			latest[reg.Address] = reg
		}
	}
	for _, w := range s.sortedWorkers {
		l := latest[w.reg.Address]
		if l == nil || l.ID == w.reg.ID || w.reg.Incarnation == 0 || l.Incarnation <= w.reg.Incarnation || w.replaced {
			continue
		}
		s.emit(Log{Message: "worker replaced at its address", Worker: w.reg.ID, Reason: "by " + l.ID})
		if next := s.workers[l.ID]; !s.hasLeftAsAnnounced(w) {
			next.crashes = w.crashes
			s.noteCrash(next)
		}
		s.endReplacedWorker(w)
	}
}

// endReplacedWorker ends the runs of a worker that has ended, also those that an earlier
// owner may have started. It isn't polled any more until it registers a later incarnation.
func (s *Shard) endReplacedWorker(w *worker) {
	w.replaced, w.reported = true, false
	s.loseRuns(w, LossReplaced)
	w.pendingEnds = slices.Delete(w.pendingEnds, 0, len(w.pendingEnds))
	s.placementDue = true
	if _, inherited := s.inheritedExpiry[w.reg.ID]; inherited {
		delete(s.inheritedExpiry, w.reg.ID)
		s.inferLosses(w.reg.ID)
	}
}
