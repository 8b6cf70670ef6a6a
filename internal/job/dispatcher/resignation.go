package dispatcher

import (
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
)

// EarlierOwnerResigned delivers how long leases of an earlier owner may remain valid,
// which gives no orders any more.
type EarlierOwnerResigned struct {
	Resignation recorder.Resignation
	Received    time.Time
}

func (EarlierOwnerResigned) event() {}

// AnnounceInherited tells later owners how long leases of earlier ones may remain valid.
type AnnounceInherited struct{ Resignation recorder.Resignation }

func (AnnounceInherited) effect() {}

// Resignation returns how long leases may remain valid if the owner gives no orders
// from now on. Workers that don't answer are listed one by one: their leases expire
// first, and the next owner waits for them.
func (s *Shard) Resignation(now time.Time) recorder.Resignation {
	var r recorder.Resignation
	for _, lease := range s.WorkerLeases(now) {
		w := s.workers[lease.Worker]
		if w == nil || w.failedPolls > 0 || !w.unregisteredAt.IsZero() {
			r.Silent = append(r.Silent, lease)
			continue
		}
		r.Remaining = max(r.Remaining, lease.Remaining)
	}
	return r
}

// applyResignation shortens the wait for inherited runs by what the last owner says.
func (s *Shard) applyResignation(e EarlierOwnerResigned) {
	switch {
	case e.Resignation.BySuccessor && e.Resignation.Epoch == s.options.Epoch-2:
		s.shortenInherited(e.expiryOn, s.isInheritedTwice)
	case !e.Resignation.BySuccessor && e.Resignation.Epoch == s.options.Epoch-1:
		s.shortenInherited(e.expiryOn, func(string) bool { return true })
		if s.options.EarlierKnown {
			s.limitEarlierOrders(e.Received, true)
		}
		s.emit(Log{Message: "earlier owner resigned", Age: s.now.Sub(e.Received)})
	}
}

// expiryOn returns when the leases on a worker have expired by the resignation.
func (e *EarlierOwnerResigned) expiryOn(worker string) time.Time {
	for _, lease := range e.Resignation.Silent {
		if lease.Worker == worker {
			return e.Received.Add(lease.Remaining)
		}
	}
	return e.Received.Add(e.Resignation.Remaining)
}

// isInheritedTwice reports whether the previous owner inherited the worker as well, and has granted
// no leases there.
func (s *Shard) isInheritedTwice(id string) bool {
	return slices.ContainsFunc(s.options.Previous.Inherited, func(l recorder.WorkerLease) bool { return l.Worker == id })
}
