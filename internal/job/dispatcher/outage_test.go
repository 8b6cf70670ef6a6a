package dispatcher

import (
	"time"
)

// simOwnerTTL is the time to live of the lease to which an owner record is attached.
const simOwnerTTL = 2 * time.Second

// storeOutage is what the store does to the owners of all shards. Its zero value answers all.
type storeOutage struct {
	until      time.Time     // when it ends
	lossRate   float64       // fraction of writes without an answer
	lateRate   float64       // fraction of those that are carried out seconds later if the fence still holds
	noReads    bool          // reads have no answer
	noRenewals bool          // leases aren't renewed, so that owner records may go
	readDelay  time.Duration // the registrations that an owner gets are that old
}

// ownerOutage is what an outage has done to an owner.
type ownerOutage struct {
	appliedBatch int64     // last commit that was carried out
	lateBatch    int64     // last commit of which a copy is carried out late, or was
	recordGone   bool      // its owner record has ended with its lease
	listedAt     time.Time // when the registrations that it has were read
}

// losesAnswer reports whether a write that the owner sends now has no answer. late may carry it out
// later.
func (o *owner) losesAnswer(late func()) bool {
	s := o.sim
	if s.outage.lossRate == 0 || s.random.Float64() >= s.outage.lossRate {
		return false
	}
	if late != nil && s.random.Float64() < s.outage.lateRate {
		late()
	}
	return true
}

// applyLate makes a commit durable seconds later, unless its fence was replaced meanwhile. That is
// independent of the owner, which may have ended.
func (o *owner) applyLate(e Commit) {
	s, sh := o.sim, o.home
	if o.outage.lateBatch == e.Batch {
		return
	}
	o.outage.lateBatch = e.Batch
	s.schedule(time.Second+time.Duration(s.random.IntN(5000))*time.Millisecond, func() {
		if sh.owner != o || sh.released || o.outage.appliedBatch >= e.Batch {
			return
		}
		s.logf("commit %d of owner %d is carried out late", e.Batch, o.token)
		sh.apply(e)
	})
}

// readStore delivers what an owner reads regularly: that it owns the shard, and the registrations.
func (o *owner) readStore() {
	s := o.sim
	listed := WorkersListed{Workers: o.home.registrations(), ReadAt: s.now}
	var events []Event
	if !s.outage.noRenewals && !o.outage.recordGone {
		o.home.renewedAt = s.now
		events = append(events, OwnershipChecked{Confirmed: true})
	}
	switch delay := s.outage.readDelay; {
	case s.outage.noReads:
	case delay > 0:
		s.schedule(delay, func() { o.listLate(listed) })
	default:
		o.outage.listedAt = s.now
		events = append(events, WorkersListed{Workers: listed.Workers})
	}
	o.reduce(events...)
}

// listLate delivers registrations late, but not after later ones.
func (o *owner) listLate(listed WorkersListed) {
	if o.outage.listedAt.Before(listed.ReadAt) {
		o.outage.listedAt = listed.ReadAt
		o.post(listed)
	}
}

// claimWithoutRecord claims the shard as soon as the owner record has gone, even while its owner
// still acts. The new owner doesn't reach a fraction of the workers at first, or if isUnheard is
// set, it never hears of its claim.
func (sh *simShard) claimWithoutRecord(isUnheard bool, cutRate float64) {
	s, o := sh.sim, sh.owner
	if o.alive && !o.outage.recordGone || sh.released {
		return
	}
	if s.outage.noReads || s.outage.lossRate == 1 {
		s.schedule(300*time.Millisecond, func() { sh.claimWithoutRecord(isUnheard, cutRate) })
		return
	}
	if isUnheard {
		sh.newOwner().alive = false
	} else {
		sh.claim()
		sh.owner.cutOff(cutRate)
		sh.owner.loseRecord(simOwnerTTL, func() bool { return s.outage.noRenewals })
	}
	s.schedule(time.Duration(s.random.IntN(2000))*time.Millisecond, o.learnOfClaim)
}

// cutOff makes the owner not reach a fraction of the workers for a while.
func (o *owner) cutOff(rate float64) {
	s := o.sim
	for _, w := range o.home.workers {
		if s.random.Float64() >= rate {
			continue
		}
		length := time.Second + time.Duration(s.random.IntN(24000))*time.Millisecond
		s.logf("owner %d is cut off from %s for %s", o.token, w.id, length)
		o.unreachable[w] = true
		s.schedule(length, func() { delete(o.unreachable, w) })
	}
}

// learnOfClaim ends an owner that has been replaced, once it can read that.
func (o *owner) learnOfClaim() {
	s := o.sim
	switch {
	case !o.alive || o.home.owner == o:
	case o.paused || !o.reachesStore || s.outage.noReads:
		s.schedule(200*time.Millisecond, o.learnOfClaim)
	default:
		o.resign()
	}
}

// loseRecord removes the owner record after a while if its lease isn't renewed then.
func (o *owner) loseRecord(after time.Duration, isLost func() bool) {
	o.sim.schedule(after, func() {
		if o.home.owner == o && isLost() && !o.outage.recordGone {
			o.sim.logf("the record of owner %d expires", o.token)
			o.outage.recordGone = true
			o.restoreRecord()
		}
	})
}

// restoreRecord writes the owner record again as soon as the owner reaches the store, unless the
// shard is claimed before.
func (o *owner) restoreRecord() {
	s := o.sim
	s.schedule(time.Duration(100+s.random.IntN(1500))*time.Millisecond, func() {
		switch {
		case !o.alive || o.home.owner != o:
		case o.paused || !o.reachesStore || s.outage.noRenewals || o.losesAnswer(nil):
			o.restoreRecord()
		default:
			s.logf("the record of owner %d is restored", o.token)
			o.outage.recordGone = false
		}
	})
}

// beginOutage begins an outage, unless one is in progress.
func (s *simulation) beginOutage(outage storeOutage, length time.Duration) {
	if s.now.Before(s.outage.until) {
		return
	}
	outage.until = s.now.Add(length)
	s.outage = outage
	s.logf("store outage for %s: %.2f of writes lost, %.2f of them late, reads lost %t, renewals lost %t, registrations %s old",
		length, outage.lossRate, outage.lateRate, outage.noReads, outage.noRenewals, outage.readDelay)
	s.schedule(length, func() {
		if s.outage.until.Equal(outage.until) {
			s.endOutage()
		}
	})
}

// endOutage ends the outage.
func (s *simulation) endOutage() { s.outage = storeOutage{} }

// expireRegistrations removes registrations during an outage, each with the given probability. They
// come back when a write of the worker gets through, up to 2 s after the outage.
func (s *simulation) expireRegistrations(length time.Duration, rate float64) {
	for _, w := range s.workers {
		if s.random.Float64() >= rate {
			continue
		}
		expiry := time.Duration(s.random.Int64N(int64(length)))
		s.schedule(expiry, func() {
			s.logf("the registration of %s expires", w.id)
			w.registered = false
		})
		latest := length - expiry + 2*time.Second
		if s.random.IntN(2) == 0 {
			latest = min(latest, 2*time.Second)
		}
		back := expiry + time.Duration(s.random.Int64N(int64(latest)))
		s.schedule(back, func() { w.registered = !w.gone })
	}
}
