package dispatcher

import (
	"cmp"
	"time"
)

// ownership is what the owner knows of its ownership. A confirmation counts from the time when the
// store was asked for it: the answer may arrive or be processed much later, such as after a pause.
type ownership struct {
	confirmedAt time.Time // no other daemon had claimed the shard by then
	answeredAt  time.Time // when the last confirmation was processed
	rejectedAt  time.Time // confirmations that were requested before don't count
}

// ownershipChecked applies a confirmation of the ownership, or makes it count as unconfirmed.
func (s *Shard) ownershipChecked(e OwnershipChecked) {
	if e.Confirmed {
		s.confirmOwnership(cmp.Or(e.SentAt, s.now))
		return
	}
	s.ownership.rejectedAt = s.now
	s.ownership.confirmedAt = s.now.Add(-s.options.OutageLimit)
}

// confirmOwnership applies a confirmation that the store was asked for at sent.
func (s *Shard) confirmOwnership(sent time.Time) {
	o := &s.ownership
	if sent.Before(o.rejectedAt) {
		return
	}
	o.answeredAt = s.now
	if sent.After(o.confirmedAt) {
		o.confirmedAt = sent
	}
}

// mayAct reports whether the shard may start runs and renew leases. An owner
// that the store hasn't confirmed for OutageLimit must not: a new owner relies
// on it when it computes the expiry of inherited leases.
func (s *Shard) mayAct() bool { return s.now.Sub(s.ownership.confirmedAt) < s.options.OutageLimit }

// isOwnershipConfirmed reports whether the store's last confirmation is recent
// enough that no other daemon can own the shard.
func (s *Shard) isOwnershipConfirmed() bool {
	return s.now.Sub(s.ownership.confirmedAt) < confirmationTime
}

// confirmationTime is how long no other daemon can own the shard after the
// store has confirmed the ownership. It is shorter than the lease of the
// owner's record.
const confirmationTime = 1500 * time.Millisecond
