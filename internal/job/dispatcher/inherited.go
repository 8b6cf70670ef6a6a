package dispatcher

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
)

// inheritLeases sets when the leases of earlier owners expire, by what the previous owner has
// recorded.
func (s *Shard) inheritLeases() {
	o := &s.options
	if o.Released {
		s.inheritEach(o.WorkerLeases)
		return
	}
	// An owner that can't reach the store renews leases for OutageLimit, and those of workers
	// that leave for confirmationTime.
	renewal := o.OutageLimit
	if o.OwnerEnded {
		renewal = 0
	}
	s.inheritAll(o.Previous.Workers, renewal)
	s.inheritAll(o.Previous.Leaving, min(renewal, confirmationTime))
	s.inheritEach(o.Previous.Inherited)
	s.inheritEarlier(o.Previous.Earlier)
}

// inheritEarlier sets the expiry for workers on which both the previous owner and earlier ones may
// have given leases.
func (s *Shard) inheritEarlier(leases []recorder.WorkerLease) {
	for _, lease := range leases {
		at := s.now.Add(lease.Remaining)
		if at.After(s.earlierExpiry[lease.Worker]) {
			s.earlierExpiry[lease.Worker] = at
		}
		if at.After(s.inheritedExpiry[lease.Worker]) {
			s.inheritedExpiry[lease.Worker] = at
		}
	}
}

// inheritAll sets the expiry for workers on which the previous owner has renewed leases until
// renewal after the claim, at the latest.
func (s *Shard) inheritAll(workers []string, renewal time.Duration) {
	expiry := s.now.Add(withDrift(renewal+s.options.Lease) + expiryMargin)
	for _, id := range workers {
		s.inheritedExpiry[id] = expiry
	}
}

// inheritEach sets the expiry for workers whose remaining leases are known.
func (s *Shard) inheritEach(leases []recorder.WorkerLease) {
	for _, lease := range leases {
		s.inheritedExpiry[lease.Worker] = s.now.Add(lease.Remaining)
		s.earlierExpiry[lease.Worker] = s.inheritedExpiry[lease.Worker]
	}
}

// limitInherited shortens the wait for inherited runs: all leases have expired at latest. With
// keepsEarlier this doesn't say anything about the leases in earlierExpiry.
func (s *Shard) limitInherited(latest time.Time, keepsEarlier bool) {
	limit := func(id string) time.Time {
		if earlier := s.earlierExpiry[id]; keepsEarlier && earlier.After(latest) {
			return earlier
		}
		return latest
	}
	s.shortenInherited(limit, func(string) bool { return true })
}

// shortenInherited applies a limit to the expiry of the inherited leases on the workers that match.
func (s *Shard) shortenInherited(limit func(id string) time.Time, match func(id string) bool) {
	for id, expiry := range s.inheritedExpiry {
		if at := limit(id); match(id) && at.Before(expiry) {
			s.inheritedExpiry[id] = at
		}
	}
	for id, f := range s.fenced {
		if at := limit(id); match(id) && at.Before(f.expiry) {
			s.fenced[id] = fence{f.incarnation, at}
		}
	}
}

// inheritedAnswerTime is how long after the claim an inherited worker that hasn't answered counts as
// silent in the worker list.
const inheritedAnswerTime = 300 * time.Millisecond

// reviewInherited records which workers are silent as soon as that is known, and when the leases
// there expire, so that the next owner needn't wait for them anew.
func (s *Shard) reviewInherited() {
	isKnown := s.quorum.earlierFenced || s.options.OwnerEnded
	isDue := isKnown && s.workersListed && s.now.Sub(s.claimedAt) >= inheritedAnswerTime
	if s.inheritedAnnounced || !isDue || len(s.inheritedExpiry) == 0 {
		return
	}
	s.inheritedAnnounced = true
	s.listOutdated = true
	s.emit(AnnounceInherited{Resignation: s.inheritedResignation()})
}

// inheritedResignation returns how long leases of earlier owners may remain valid from now on.
func (s *Shard) inheritedResignation() recorder.Resignation {
	r := recorder.Resignation{Epoch: s.options.Epoch - 1, BySuccessor: true}
	r.Silent, _ = s.inheritedLeases()
	for _, f := range s.fenced {
		r.Remaining = max(r.Remaining, f.expiry.Sub(s.now))
	}
	for _, lease := range r.Silent {
		r.Remaining = max(r.Remaining, lease.Remaining)
	}
	return r
}

// inheritedLeases returns the inherited workers that haven't answered in time or aren't registered, sorted
// by id, and how long leases there may remain valid. isComplete is false if others haven't
// answered yet.
func (s *Shard) inheritedLeases() (leases []recorder.WorkerLease, isComplete bool) {
	for id, expiry := range s.inheritedExpiry {
		if w := s.workers[id]; w == nil || w.failedPolls > 0 || s.now.Sub(s.claimedAt) >= inheritedAnswerTime {
			leases = append(leases, recorder.WorkerLease{Worker: id, Remaining: max(expiry.Sub(s.now), 0)})
		}
	}
	slices.SortFunc(leases, compareLeases)
	return leases, s.workersListed && len(leases) == len(s.inheritedExpiry)
}

// inheritLease sets when the leases of earlier owners on a worker that has answered expire, at the
// latest at expiry: this owner may grant none there, and may end. From now on the worker refuses
// renewals by earlier owners.
func (s *Shard) inheritLease(w *worker, expiry time.Time) {
	latest := s.now.Add(withDrift(s.options.Lease) + expiryMargin)
	if expiry.Before(latest) {
		latest = expiry
	}
	if latest.After(w.leaseExpiry) {
		w.leaseExpiry = latest
	}
}

// longInheritedLeases returns the inherited workers on which leases may remain valid for longer than
// this owner's, sorted by id.
func (s *Shard) longInheritedLeases() (leases []recorder.WorkerLease) {
	for id, expiry := range s.inheritedExpiry {
		if remaining := expiry.Sub(s.now); remaining > withDrift(s.options.Lease)+expiryMargin {
			leases = append(leases, recorder.WorkerLease{Worker: id, Remaining: remaining})
		}
	}
	slices.SortFunc(leases, compareLeases)
	return leases
}

func compareLeases(a, b recorder.WorkerLease) int { return strings.Compare(a.Worker, b.Worker) }

// reportInherited logs the inherited workers that aren't registered when the registrations are
// first known: until they expire, leases there delay tasks of inherited jobs. It also logs how long that
// may take, and why.
func (s *Shard) reportInherited() {
	if w := s.inheritedWait(); w.Workers > 0 {
		s.emit(Log{
			Message: "leases of earlier owners inherited", Age: w.Remaining,
			Reason: fmt.Sprintf("on %d workers, %s", w.Workers, s.inheritedBasis()),
		})
	}
	for _, id := range slices.Sorted(maps.Keys(s.inheritedExpiry)) {
		if s.workers[id] == nil {
			s.addCrash(workerCrash{worker: id, at: s.now})
			s.emit(Log{Message: "inherited worker isn't registered", Worker: id, Age: s.inheritedExpiry[id].Sub(s.now)})
		}
	}
}

// inheritedBasis returns what the wait for leases of earlier owners rests on.
func (s *Shard) inheritedBasis() string {
	switch {
	case s.options.Released:
		return "the last owner released the shard"
	case s.earlierEnded:
		return "earlier owners have ended"
	}
	return "the last owner may renew them without the store"
}

// expireInherited forgets inherited workers whose leases have expired, unless
// they may have answered without this owner noticing.
func (s *Shard) expireInherited() {
	if !s.isExclusive() {
		return
	}
	for id, expiry := range s.inheritedExpiry {
		w := s.workers[id]
		if s.now.After(expiry) && (w == nil || s.isSilent(w)) {
			s.emit(Log{Message: "inherited leases expired", Worker: id})
			delete(s.inheritedExpiry, id)
			s.inferLosses(id)
			s.placementDue = true
		}
	}
}

// haveInheritedAnswered reports whether every worker that may have runs of an earlier ownership
// has answered or its leases have expired, so that no earlier owner can start any more.
func (s *Shard) haveInheritedAnswered() bool { return len(s.inheritedExpiry) == 0 && s.workersListed }

// knowsInheritedRuns reports whether all runs of earlier ownerships are known, and the ends of
// those that have ended.
func (s *Shard) knowsInheritedRuns() bool {
	return s.haveInheritedAnswered() && len(s.partlyListed) == 0
}
