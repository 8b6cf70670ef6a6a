package dispatcher

import "time"

// An owner that can't reach the store doesn't know whether it has been replaced. Its successor has
// to know how long it goes on renewing leases, since the runs on workers that don't answer the
// successor may be active until the last of them has expired. The workers know both owners, and
// refuse the orders of the earlier one once they have the fencing token of the later one. So they
// vote:
//
//   - While no other daemon can own the shard, the owner renews leases. The store tells it, see
//     [Shard.isExclusive]. That has ended when another daemon claims the shard.
//   - After that it renews leases, shorter ones, only while at least two thirds of the voters have
//     accepted its token within quorumAge. It polls them often then.
//   - A successor that more than a third of the same voters have answered knows that the owner before
//     it can't have had such a quorum for longer than quorumAge after that.
//
// The voters are workers in the durable list, and in the one that may become durable next. Any
// two thirds and more than a third of them have a worker in common. That one has accepted the
// successor's token last, in one of two ways: in the same incarnation, after which it refuses the
// earlier owner, or in a later one. An earlier owner doesn't count answers of an incarnation that
// it didn't know before the store confirmed it last, and so before the claim.
//
// An owner that hasn't reached this point keeps the voters of the owner before it, so that the
// same proof holds for both, also if it is lost soon. Without more than a third of the voters a
// successor waits as long as an owner may go on at all, [Options.OutageLimit].

const (
	// quorumAge is how old the acceptance of a token may be.
	quorumAge = 750 * time.Millisecond

	// quorumLease is granted by polls while the ownership rests on a quorum. The polls are short
	// then, so that it leaves workers as much time as Options.Lease does otherwise.
	quorumLease = 4500 * time.Millisecond

	// quorumPollWait is how long such a poll waits at the worker for a run to end.
	quorumPollWait = 250 * time.Millisecond

	// quorumPollDelay is the time without a confirmation after which polls are that short.
	quorumPollDelay = 750 * time.Millisecond
)

// ownerQuorum returns how many of n voters an owner needs, and successorQuorum how many a successor
// needs. There is a voter in common in any two such sets.
func ownerQuorum(n int) int     { return n - n/3 }
func successorQuorum(n int) int { return n/3 + 1 }

// quorum is what an owner knows of its voters, and of those of the owner before it.
type quorum struct {
	durable []string // voters of the last durable worker list
	pending []string // voters of the list that is being committed

	// earlierFenced is set once no earlier owner renews leases any more.
	earlierFenced bool
}

// mayAct reports whether the shard may start runs and renew leases. A new owner relies on it when
// it computes the expiry of inherited leases.
func (s *Shard) mayAct() bool { return s.mayPoll() && (s.isExclusive() || s.hasQuorum()) }

// mayPoll reports whether the shard may poll workers, which need not renew leases.
func (s *Shard) mayPoll() bool { return s.now.Sub(s.ownership.confirmedAt) < s.options.OutageLimit }

// hasQuorum reports whether enough voters have accepted the owner's token lately.
func (s *Shard) hasQuorum() bool {
	return s.haveAccepted(s.quorum.durable) && (!s.committing || s.haveAccepted(s.quorum.pending))
}

func (s *Shard) haveAccepted(voters []string) bool {
	missing := len(voters) - ownerQuorum(len(voters))
	for _, id := range voters {
		if !s.hasAccepted(id) {
			missing--
		}
		if missing < 0 {
			return false
		}
	}
	return true
}

// hasAccepted reports whether a worker has accepted the owner's token lately, in an incarnation that
// was known when the store confirmed the ownership last.
func (s *Shard) hasAccepted(id string) bool {
	w := s.workers[id]
	return w != nil && w.restartedAt.IsZero() && !w.replaced && !w.acceptedAt.IsZero() && s.now.Sub(w.acceptedAt) < quorumAge
}

// noteAcceptance records that the worker's present incarnation has accepted the owner's token when
// an order was sent, or later.
func (w *worker) noteAcceptance(sent time.Time) {
	if sent.After(w.acceptedAt) {
		w.acceptedAt = sent
	}
}

// leaseLength returns the length of a lease that a poll grants now.
func (s *Shard) leaseLength() time.Duration {
	if s.isExclusive() {
		return s.options.Lease
	}
	return min(s.options.Lease, quorumLease)
}

// pollWait returns how long a poll may wait at a worker without news.
func (s *Shard) pollWait() time.Duration {
	if s.now.Sub(s.ownership.renewedAt) < quorumPollDelay {
		return s.options.PollWait
	}
	return min(s.options.PollWait, quorumPollWait)
}

// reviewQuorum checks whether earlier owners still renew leases, when one more of their workers takes
// no orders from them any more.
func (s *Shard) reviewQuorum() {
	if s.quorum.earlierFenced {
		return
	}
	previous := &s.options.Previous
	voters := previous.QuorumVoters()
	fenced := 0
	for _, id := range voters {
		if _, ok := s.fenced[id]; ok {
			fenced++
		}
	}
	if fenced < successorQuorum(len(voters)) {
		return
	}
	s.quorum.earlierFenced = true
	s.earlierEnded = true
	s.listOutdated = true
	keepsEarlier := len(previous.Voters) == 0
	s.limitInherited(s.quorumExpiry(), keepsEarlier)
	s.limitEarlierOrders(s.lastQuorumOrder(), keepsEarlier)
	s.emit(Log{Message: "earlier owner has no quorum", Age: s.quorumExpiry().Sub(s.now)})
	s.placementDue = true
}

// lastQuorumOrder returns the time after which an owner orders nothing that has had no quorum from now on.
// It may have relied on its owner record until then, which it may have renewed just before the claim: a
// store may also remove a record before its lifetime ends.
func (s *Shard) lastQuorumOrder() time.Time {
	voted := s.now.Add(quorumAge)
	exclusive := s.claimedAt.Add(confirmationTime)
	if exclusive.After(voted) {
		return exclusive
	}
	return voted
}

// quorumExpiry returns when the last leases expire of owners that have no quorum any more. The store
// has kept their record for RecordTTL after they were confirmed last.
func (s *Shard) quorumExpiry() time.Time {
	exclusive := s.claimedAt.Add(withDrift(s.options.Lease) - max(s.options.RecordTTL-confirmationTime, 0))
	voted := s.now.Add(quorumAge + withDrift(min(s.options.Lease, quorumLease)))
	if voted.After(exclusive) {
		return voted.Add(expiryMargin)
	}
	return exclusive.Add(expiryMargin)
}
