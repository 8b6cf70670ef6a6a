package dispatcher

import (
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
)

// Each commit tells the next owner which workers may have runs. A new owner has to hear from
// them, or wait until their leases have expired, before it starts tasks of inherited jobs. So a
// worker that leaves isn't listed any more once its runs have ended, and while it still has
// runs, its leases expire soon after this owner has ended.

// updateWorkerList sets the worker list of the next commit. Runs are started
// only on workers in the durable list, so that a new owner knows all workers
// that may have runs.
func (s *Shard) updateWorkerList() {
	list := recorder.WorkerList{Workers: s.workersToRecord(), Settled: s.knowsInheritedRuns()}
	list.Inherited, list.InheritedKnown = s.inheritedLeases()
	if s.earlierEnded && !list.Settled && !list.InheritedKnown {
		list.EarlierEnded, list.Earlier = true, s.longInheritedLeases()
	}
	s.setVoters(&list)
	for _, w := range s.sortedWorkers {
		if !isListed(&list, w) {
			w.recorded = false
			continue
		}
		if _, inherited := s.inheritedExpiry[w.reg.ID]; !inherited && w.isDeparting() {
			list.Leaving = append(list.Leaving, w.reg.ID)
			w.listedAsLeaving = true
		}
	}
	s.batchList, s.settled, s.listOutdated = list, list.Settled, false
	s.quorum.pending = list.QuorumVoters()
}

// setVoters sets the rule of a list, and the voters of earlier owners as long as they may renew
// leases: an owner that doesn't follow QuorumRule may do so until its outage limit.
func (s *Shard) setVoters(list *recorder.WorkerList) {
	previous := &s.options.Previous
	isKnown := list.KnowsEarlier() && (previous.Rule != recorder.QuorumRule || list.Settled || s.earlierEnded)
	if isKnown || previous.Rule != recorder.QuorumRule && s.options.Epoch == 0 {
		list.Rule = recorder.QuorumRule
		return
	}
	list.Rule, list.Voters = previous.Rule, previous.QuorumVoters()
}

// listCommitted handles the confirmation of the commit with the last worker list.
func (s *Shard) listCommitted() {
	s.durableList = s.batchList
	s.quorum.durable = s.quorum.pending
	for _, w := range s.sortedWorkers {
		_, isLeaving := slices.BinarySearch(s.durableList.Leaving, w.reg.ID)
		isNew := !w.recorded && isListed(&s.durableList, w)
		s.placementDue = s.placementDue || isNew || w.listedAsLeaving && !isLeaving
		w.recorded = w.recorded || isNew
		w.listedAsLeaving = isLeaving
	}
}

// isListed reports whether a list has the worker as one on which the owner may have started
// runs.
func isListed(list *recorder.WorkerList, w *worker) bool {
	_, ok := slices.BinarySearch(list.Workers, w.reg.ID)
	return ok && !isInherited(list, w)
}

// isInherited reports whether a list has the worker as one that didn't answer the owner.
func isInherited(list *recorder.WorkerList, w *worker) bool {
	_, ok := slices.BinarySearchFunc(list.Inherited, recorder.WorkerLease{Worker: w.reg.ID}, compareLeases)
	return ok
}

// isListedAsInherited reports whether a list in which the worker is inherited is durable, or
// may be.
func (s *Shard) isListedAsInherited(w *worker) bool {
	return isInherited(&s.durableList, w) || isInherited(&s.batchList, w)
}

// reviewListing makes the worker list be committed soon if the entry of a worker in it should
// change.
func (s *Shard) reviewListing(w *worker) {
	_, inherited := s.inheritedExpiry[w.reg.ID]
	departs := !inherited && w.recorded && w.isDeparting() && (!s.mayHaveRuns(w) || !w.listedAsLeaving)
	isLimited := !w.recorded || w.listedAsLeaving && !w.isDeparting()
	returns := isLimited && w.reported && s.mayHaveRuns(w)
	s.listOutdated = s.listOutdated || departs || returns
}

// workersToRecord returns the sorted ids of the workers that may have runs.
func (s *Shard) workersToRecord() []string {
	used := make([]string, 0, len(s.sortedWorkers))
	for _, w := range s.sortedWorkers {
		_, inherited := s.inheritedExpiry[w.reg.ID]
		if inherited || s.mayHaveRuns(w) {
			used = append(used, w.reg.ID)
		}
	}
	for id := range s.inheritedExpiry {
		if s.workers[id] == nil {
			used = append(used, id)
		}
	}
	slices.Sort(used)
	return used
}

// mayHaveRuns reports whether the worker has runs or may get some, or has ends that aren't
// durable or not known.
func (s *Shard) mayHaveRuns(w *worker) bool {
	hasEnds := len(w.pendingEnds) > 0 || s.partlyListed[w.reg.ID]
	return len(w.runs) > 0 || hasEnds || w.failedPolls == 0 && !w.isDeparting()
}

// isDeparting reports whether the worker drains, or isn't registered any more. It gets no runs.
func (w *worker) isDeparting() bool {
	return w.reg.Draining || w.replaced || !w.unregisteredAt.IsZero()
}

// mayRenewLeases reports whether the next poll of the worker may renew its leases. Those of a
// worker that doesn't answer aren't renewed, so that they expire at a known time, and a new
// owner relies on what the list says of those that leave or are inherited.
func (s *Shard) mayRenewLeases(w *worker) bool {
	if w.failedPolls > 0 || s.isListedAsInherited(w) {
		return false
	}
	return !w.isDeparting() && !w.listedAsLeaving || s.isRecentlyConfirmed()
}

// WorkerLeases returns the workers that may have runs when the ownership ends
// at now, and how long the leases on each may remain valid.
func (s *Shard) WorkerLeases(now time.Time) []recorder.WorkerLease {
	used := s.workersToRecord()
	leases := make([]recorder.WorkerLease, 0, len(used))
	for _, id := range used {
		remaining := s.inheritedExpiry[id].Sub(now)
		if w := s.workers[id]; w != nil {
			remaining = max(remaining, w.leaseExpiry.Sub(now))
		}
		leases = append(leases, recorder.WorkerLease{Worker: id, Remaining: max(remaining, 0)})
	}
	return leases
}
