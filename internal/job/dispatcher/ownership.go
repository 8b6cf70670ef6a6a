package dispatcher

import (
	"cmp"
	"time"
)

// ownership is what the owner knows of its ownership. A confirmation counts from the time when the
// store was asked for it: the answer may arrive or be processed much later, such as after a pause.
//
// A write that took effect proves that no other daemon had claimed the shard by then. Only a
// renewal of the lease to which the owner record is bound proves that none can do so for a while:
// an owner without a record, whose lease has ended, can still write until the next claim.
type ownership struct {
	confirmedAt time.Time // no other daemon had claimed the shard by then
	renewedAt   time.Time // none could claim it for confirmationTime from then on
	answeredAt  time.Time // when the last confirmation was processed
	rejectedAt  time.Time // confirmations that were requested before don't count
}

// ownershipChecked applies a confirmation of the ownership, or makes it count as unconfirmed.
func (s *Shard) ownershipChecked(e OwnershipChecked) {
	o := &s.ownership
	if !e.Confirmed {
		o.rejectedAt, o.renewedAt = s.now, time.Time{}
		o.confirmedAt = s.now.Add(-s.options.OutageLimit)
		return
	}
	sent := cmp.Or(e.SentAt, s.now)
	if s.confirmOwnership(sent) && sent.After(o.renewedAt) {
		o.renewedAt = sent
	}
}

// confirmOwnership applies a confirmation that the store was asked for at sent: no other daemon had
// claimed the shard by then. It returns false if the confirmation doesn't count.
func (s *Shard) confirmOwnership(sent time.Time) bool {
	o := &s.ownership
	if sent.Before(o.rejectedAt) {
		return false
	}
	o.answeredAt = s.now
	if sent.After(o.confirmedAt) {
		o.confirmedAt = sent
	}
	s.confirmRestarts(sent)
	return true
}

// isExclusive reports whether no other daemon can own the shard.
func (s *Shard) isExclusive() bool { return s.now.Sub(s.ownership.renewedAt) < confirmationTime }

// isRecentlyConfirmed reports whether no other daemon had claimed the shard lately. It is for
// effects that are writes with the shard's fence, which fail after a claim.
func (s *Shard) isRecentlyConfirmed() bool {
	return s.now.Sub(s.ownership.confirmedAt) < confirmationTime
}

// confirmationTime is how long no other daemon can own the shard after the lease of the
// owner record was renewed. It is shorter than that lease.
const confirmationTime = 1500 * time.Millisecond
