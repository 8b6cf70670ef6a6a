package dispatcher

import (
	"fmt"
	"time"
)

// An earlier owner of the shard that is partitioned from the store may go on starting tasks for a while,
// on workers that haven't seen the present owner's fencing token. It may also notice the end of a run
// after the present owner has found that run: from a poll that the worker had accepted before. So a run
// in an inventory rules out other runs of its task only while it is active. The task may start again if
// no earlier owner can start it, for one of these reasons:
//
//   - Each worker on which earlier owners may have started runs has answered, or the leases there have
//     expired, see [Shard.knowsInheritedRuns]. A worker that has restarted may have to answer again.
//   - No earlier owner knows the task: arrivedHere.
//   - The run was active when the earlier owners ordered no starts any more: activeLater. An owner
//     orders a start only once it knows that the last run of the task has ended, so none of them has
//     ordered another one. No order of theirs that is carried out late is for the task either.
//
// Earlier owners order no starts after Shard.earlierOrdersEnd. It doesn't depend on workers that don't
// answer, so that a task needn't wait for them, unless its run ends before.

// startProof says why no earlier owner of the shard starts a task.
type startProof uint8

// Proofs. Each of them is valid until the ownership ends, whatever becomes of the task's runs.
const (
	noProof     startProof = iota
	arrivedHere            // the task came to the shard after the claim, or before an earlier owner could start it
	activeLater            // a run of it was active after the last order of an earlier owner
)

// String returns the text of the proof in logs.
func (p startProof) String() string {
	return [...]string{"none", "arrived under this owner", "run active after the last order of earlier owners"}[p]
}

// mayEarlierOwnerStart reports whether an earlier owner may still start the task, or has started it
// without this one knowing the run or how it ended.
func (s *Shard) mayEarlierOwnerStart(t *task) bool {
	return (t.proof == noProof || t.failuresUnknown) && !s.knowsInheritedRuns()
}

// describeBasis returns what a start of the task rests on, for logs: the proof that no earlier owner
// starts it, and how old the quorum of an owner is that the store doesn't confirm. It is empty for an
// owner that the store confirms and that knows all runs of earlier owners.
func (s *Shard) describeBasis(t *task) string {
	switch {
	case !s.isExclusive():
		return fmt.Sprintf("by a quorum %s old", s.ageOfQuorum())
	case !s.knowsInheritedRuns():
		return t.proof.String()
	}
	return ""
}

// ageOfQuorum returns how long ago the oldest order was sent on which the owner's quorum rests.
func (s *Shard) ageOfQuorum() time.Duration {
	oldest := s.now
	for _, id := range s.quorum.durable {
		if s.hasAccepted(id) && s.workers[id].acceptedAt.Before(oldest) {
			oldest = s.workers[id].acceptedAt
		}
	}
	return s.now.Sub(oldest)
}

// noteActivity records that a run of the task was active when an inventory was requested at sent. A task
// that may have two runs may have another one on a worker that hasn't answered.
func (s *Shard) noteActivity(t *task, sent time.Time) {
	if t.proof == noProof && !t.mayHaveDuplicate() && !sent.Before(s.earlierOrdersEnd) {
		t.proof = activeLater
	}
}

// initEarlierOrders sets earlierOrdersEnd by what the previous owner has recorded.
func (s *Shard) initEarlierOrders() {
	s.earlierOrdersEnd = s.claimedAt.Add(s.options.OutageLimit + expiryMargin)
	if s.options.OwnerEnded || s.options.Released {
		s.limitEarlierOrders(s.claimedAt, true)
	}
}

// limitEarlierOrders notes that the previous owner orders no starts after latest. With keepsEarlier this
// doesn't say anything about owners before it, whose leases are in earlierExpiry: such a lease lasts for
// quorumLease at least after the last order.
func (s *Shard) limitEarlierOrders(latest time.Time, keepsEarlier bool) {
	if keepsEarlier {
		shortest := withDrift(min(s.options.Lease, quorumLease)) + expiryMargin
		for _, expiry := range s.earlierExpiry {
			if last := expiry.Add(-shortest); last.After(latest) {
				latest = last
			}
		}
	}
	if latest.Before(s.earlierOrdersEnd) {
		s.earlierOrdersEnd = latest
	}
}

// limitActivityWait shortens how long a poll may wait, so that runs that are active after
// earlierOrdersEnd are known to be so soon after it.
func (s *Shard) limitActivityWait(w *worker, wait time.Duration) time.Duration {
	if s.knowsInheritedRuns() {
		return wait
	}
	if left := s.earlierOrdersEnd.Sub(s.now); left > 0 {
		return min(wait, left, quorumAge) // earlierOrdersEnd may come sooner once a quorum has answered
	}
	if w.acceptedAt.Before(s.earlierOrdersEnd) {
		return 0
	}
	return wait
}
