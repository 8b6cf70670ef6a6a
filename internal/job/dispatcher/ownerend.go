package dispatcher

import "time"

// EarlierOwnerEnded reports that the process of the previous owner had ended when it was noticed.
type EarlierOwnerEnded struct{ Noticed time.Time }

func (EarlierOwnerEnded) event() {}

// applyOwnerEnd shortens the wait for inherited runs to the leases that the previous owner may have
// given until its end, and those of earlier owners that it has recorded.
func (s *Shard) applyOwnerEnd(e EarlierOwnerEnded) {
	if !s.options.EarlierKnown || s.options.Released {
		return
	}
	s.limitInherited(e.Noticed.Add(withDrift(s.options.Lease)+expiryMargin), true)
	s.limitEarlierOrders(e.Noticed, true)
	s.earlierEnded = true
	s.emit(Log{Message: "earlier owner has ended", Age: s.now.Sub(e.Noticed)})
}
