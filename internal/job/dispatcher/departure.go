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

// Registrations alone don't show which of two workers at an address is up. The times of start are
// wall time of the workers' machines, whose clocks may step, and an entry may be of a worker that
// has ended. The address itself shows it: only the worker that a poll is meant for answers it, and
// any other refuses it. During a rolling replacement a new worker may run on the same host beside
// the old one, so a common host proves nothing.

// addressHolders are the registered workers at an address that started last.
type addressHolders struct{ last, secondLast *worker }

// findRivals updates the rivals of all workers from the current registrations. A worker with a new
// rival is polled at once.
func (s *Shard) findRivals() {
	holders := make(map[string]addressHolders, len(s.sortedWorkers))
	for _, w := range s.sortedWorkers {
		if w.reg.Address == "" || w.replaced || !w.unregisteredAt.IsZero() {
			continue
		}
		h := holders[w.reg.Address]
		switch {
		case h.last == nil || w.reg.Incarnation > h.last.reg.Incarnation:
			h.last, h.secondLast = w, h.last
		case h.secondLast == nil || w.reg.Incarnation > h.secondLast.reg.Incarnation:
			h.secondLast = w
		}
		holders[w.reg.Address] = h
	}
	for _, w := range s.sortedWorkers {
		h := holders[w.reg.Address]
		rival := h.last
		if rival == w {
			rival = h.secondLast
		}
		isNew := rival != nil && rival != w.rival && !w.replaced
		w.rival = rival
		if isNew {
			s.noteRival(w)
		}
	}
}

// noteRival polls a worker with a new rival at once. A rival that has started later takes over the
// crashes and one more, before the polls have shown which one is up: it may crash soon under yet
// another id. If that is wrong, the rival gets no runs for a while at the most.
func (s *Shard) noteRival(w *worker) {
	s.emit(Log{Message: "worker address shared", Worker: w.reg.ID, Reason: "with " + w.rival.reg.ID})
	if w.rival.reg.Incarnation > w.reg.Incarnation && w.reg.Incarnation != 0 && !s.hasLeftAsAnnounced(w) {
		w.rival.crashes = w.crashes
		s.noteCrash(w.rival)
	}
	w.nextPoll = s.now
	s.poll(w)
}

// hasRival reports whether another worker that may be up has the worker's address.
func (w *worker) hasRival() bool { return w.rival != nil && !w.rival.replaced && !w.replaced }

// isDoubtful reports whether the worker's rival is rather the one that is up. It gets no starts
// until the polls have shown which one is.
func (w *worker) isDoubtful() bool {
	return w.hasRival() && w.rival.failedPolls == 0 && w.rival.reg.Incarnation > w.reg.Incarnation
}

// endReplaced ends a worker whose poll another one has refused, if its rival is registered.
func (s *Shard) endReplaced(w *worker) {
	if !w.hasRival() {
		return
	}
	s.emit(Log{Message: "worker replaced at its address", Worker: w.reg.ID, Reason: "by " + w.rival.reg.ID})
	s.endReplacedWorker(w)
}

// endReplacedWorker ends the runs of a worker that has ended, also those that an earlier
// owner may have started. It isn't polled any more until it registers a later incarnation.
func (s *Shard) endReplacedWorker(w *worker) {
	w.replaced, w.reported = true, false
	s.loseRuns(w, LossReplaced)
	w.pendingEnds = slices.Delete(w.pendingEnds, 0, len(w.pendingEnds))
	s.placementDue = true
	if expiry, inherited := s.inheritedExpiry[w.reg.ID]; inherited {
		delete(s.inheritedExpiry, w.reg.ID)
		s.noteFence(w, expiry)
		s.inferLosses(w.reg.ID)
	}
}
