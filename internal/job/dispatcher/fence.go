package dispatcher

import "time"

// A worker refuses the orders of earlier owners from its answer to this owner on, since it keeps
// the highest fencing token that it has seen. It forgets the token when it restarts, so that an
// earlier owner that is cut off from the store may start runs there once more. So an inherited
// worker that has answered and restarts counts as one that hasn't answered, until the next
// incarnation answers, or until the leases of earlier owners expire.

// fence says which incarnation of an inherited worker has this owner's fencing token.
type fence struct {
	incarnation int64
	expiry      time.Time // as in inheritedExpiry
}

// noteFence records that the present incarnation of an inherited worker takes no orders of earlier
// owners any more, or has ended. expiry is when their last leases expire. It reports whether this
// is the first incarnation of which that is known.
func (s *Shard) noteFence(w *worker, expiry time.Time) (isFirst bool) {
	_, known := s.fenced[w.reg.ID]
	s.fenced[w.reg.ID] = fence{w.reg.Incarnation, expiry}
	s.reviewQuorum()
	return !known
}

// reviewFence makes an inherited worker that has answered count as one that hasn't, if its present
// incarnation is a later one and leases of earlier owners may be valid.
func (s *Shard) reviewFence(w *worker) {
	f, known := s.fenced[w.reg.ID]
	if !known || w.reg.Incarnation <= f.incarnation || !s.now.Before(f.expiry) {
		return
	}
	s.inheritedExpiry[w.reg.ID] = f.expiry
	s.listOutdated = true // the durable one may say that no earlier leases are valid
	s.emit(Log{Message: "inherited worker restarted after its answer", Worker: w.reg.ID, Age: f.expiry.Sub(s.now)})
}

// An owner that can't reach the store doesn't know whether it has been replaced, and relies on the
// workers to refuse its orders then. A worker that has restarted may have forgotten the token of the
// next owner. So the owner starts nothing there before the store has confirmed the ownership: any
// next owner claims the shard later, and has to hear from the present incarnation, or a later one.

// awaitConfirmation makes a worker that has restarted get no starts until the ownership is confirmed,
// which the next commit does.
func (s *Shard) awaitConfirmation(w *worker) {
	w.restartedAt = s.now
	s.listOutdated = true
}

// confirmRestarts ends the wait for workers that had restarted before sent, when the ownership was
// confirmed.
func (s *Shard) confirmRestarts(sent time.Time) {
	for _, w := range s.sortedWorkers {
		if !w.restartedAt.IsZero() && !sent.Before(w.restartedAt) {
			w.restartedAt = time.Time{}
			s.placementDue = true
		}
	}
}
