package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestInvariantsInStoreOutages has a store that is away for longer than its leases last: new owners
// claim shards while earlier ones still act, and writes without an answer are carried out later. It
// guards against two owners that don't allow for each other, and against ends that are acknowledged
// though the task starts again.
func TestInvariantsInStoreOutages(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 5).Draw(t, "workers"))
		s.exemptsExpired = true
		s.drawSteps(t, func(t *rapid.T, i int) { s.outageStep(t, i, 1) })
		s.endFaults()
		s.advance(time.Minute)
		s.checkEnded()
	})
}

// TestTransferInvariantsInStoreOutages does the same with a service of several shards, which
// transfer tasks to each other.
func TestTransferInvariantsInStoreOutages(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := drawServiceSimulation(t, 3)
		s.exemptsExpired = true
		s.drawEvacuations(t, domainsOfShards)
		s.drawSteps(t, func(t *rapid.T, i int) { s.outageStep(t, i, 3) })
		s.endFaults()
		s.advance(time.Minute)
		s.checkEnded()
	})
}

// outageStep submits a job, of whose steps some are long-running, cancels one, begins an outage of
// the store, or causes a fault of an owner or a worker.
func (s *simulation) outageStep(t *rapid.T, i, longRunning int) {
	sh := s.shards[rapid.IntRange(0, len(s.shards)-1).Draw(t, "shard")]
	length := time.Duration(rapid.IntRange(200, 14000).Draw(t, "length")) * time.Millisecond
	w := sh.workers[rapid.IntRange(0, len(sh.workers)-1).Draw(t, "worker")]
	switch what := rapid.IntRange(0, 18).Draw(t, "what"); what {
	case 0, 1, 2, 3, 4:
		sh.submit(drawJob(t, fmt.Sprintf("%016x", i), longRunning))
	case 5:
		s.cancel(fmt.Sprintf("%016x", max(i-rapid.IntRange(1, 4).Draw(t, "cancelled"), 0)))
	case 6, 7, 8, 14, 15:
		s.drawOutage(t, max(length, 2*time.Second))
		for job := range rapid.IntRange(0, 3).Draw(t, "jobs before the outage") {
			sh.submit(drawJob(t, fmt.Sprintf("%016x", 100*(i+1)+job), 0))
		}
	case 9:
		sh.pauseOwner(t, length)
	case 10:
		sh.cutFromStore(t, length)
	case 11:
		s.randomEvacuation(t, w, length)
	case 12:
		sh.crashOwner(length / 8)
	case 18:
		sh.loseOwner()
		sh.drawClaims(t, simOwnerTTL, 2*simOwnerTTL)
	case 13:
		sh.commitFault = commitFault(rapid.IntRange(1, int(commitFaults)-1).Draw(t, "fault"))
		sh.faultLength, sh.needsSharing = min(length, 1500*time.Millisecond), false
	default:
		fault := rapid.SampledFrom([]int{8, 8, 10, 11, 12, 13, 14, 15, 16, 17}).Draw(t, "fault of causeFault")
		sh.causeFault(t, fault, w, length)
	}
}

// drawOutage begins an outage of the store, during and after which shards are claimed whose owner
// records have expired.
func (s *simulation) drawOutage(t *rapid.T, length time.Duration) {
	outage := storeOutage{
		lossRate:   rapid.SampledFrom([]float64{1, 0.85, 0.85, 0.5}).Draw(t, "lost writes"),
		lateRate:   rapid.SampledFrom([]float64{0, 0, 0.5, 1}).Draw(t, "late writes"),
		noReads:    rapid.IntRange(0, 4).Draw(t, "reads lost") == 0,
		noRenewals: rapid.IntRange(0, 3).Draw(t, "renewals lost") > 0,
		readDelay:  time.Duration(max(rapid.IntRange(-3, 3).Draw(t, "old reads"), 0)) * time.Second,
	}
	outage.noRenewals = outage.noRenewals || outage.noReads
	if s.now.Before(s.outage.until) {
		return
	}
	s.beginOutage(outage, length)
	s.expireRegistrations(length, rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "expired registrations"))
	for _, sh := range s.shards {
		sh.owner.cutOff(drawCutRate(t))
		sh.owner.loseRecord(simOwnerTTL, func() bool { return s.outage.noRenewals })
		sh.drawClaims(t, min(length, simOwnerTTL), length)
	}
}

// drawClaims schedules up to three claims, which take effect only if the owner record is gone. The
// first is between the two times, or shortly after.
func (sh *simShard) drawClaims(t *rapid.T, from, to time.Duration) {
	at := from + time.Duration(rapid.Int64Range(0, int64(to-from)+int64(500*time.Millisecond)).Draw(t, "claimed after"))
	for range rapid.IntRange(0, 3).Draw(t, "claims") {
		isUnheard := rapid.IntRange(0, 3).Draw(t, "unheard") == 0
		cutRate := drawCutRate(t)
		sh.sim.schedule(at, func() { sh.claimWithoutRecord(isUnheard, cutRate) })
		at += time.Duration(rapid.IntRange(50, 4000).Draw(t, "to next claim")) * time.Millisecond
	}
}

// crashOwner ends the process of the owner. Another one of its daemon claims the shard after a while.
func (sh *simShard) crashOwner(after time.Duration) {
	s, o := sh.sim, sh.owner
	s.logf("owner %d crashes", o.token)
	o.alive = false
	sh.ownerEnded = true
	s.schedule(after, func() { sh.claimWithoutRecord(false, 0) })
}

// pauseOwner pauses the owner for a while, which may have been told shortly before that it owns the
// shard, but hears that only when it goes on.
func (sh *simShard) pauseOwner(t *rapid.T, length time.Duration) {
	s, o := sh.sim, sh.owner
	if o.paused || !o.alive {
		return
	}
	s.logf("owner %d pauses for %s", o.token, length)
	o.paused = true
	if !s.outage.noRenewals && !o.outage.recordGone && rapid.Bool().Draw(t, "confirmed before") {
		o.queuedEvents = append(o.queuedEvents, OwnershipChecked{Confirmed: true, SentAt: s.now})
	}
	o.loseRecord(simOwnerTTL, func() bool { return o.paused })
	sh.drawClaims(t, simOwnerTTL, max(length, simOwnerTTL))
	s.schedule(length, o.resume)
	if rapid.Bool().Draw(t, "cut off after the pause") {
		o.reachesStore = false
		s.schedule(length+simOutageLimit, func() { o.reachesStore = true })
	}
}

// cutFromStore cuts the owner off from the store for a while.
func (sh *simShard) cutFromStore(t *rapid.T, length time.Duration) {
	s, o := sh.sim, sh.owner
	s.logf("owner %d is cut off from the store for %s", o.token, length)
	o.reachesStore = false
	o.loseRecord(simOwnerTTL, func() bool { return !o.reachesStore })
	sh.drawClaims(t, simOwnerTTL, max(length, simOwnerTTL))
	s.schedule(length, func() { o.reachesStore = true })
}

// drawCutRate draws the fraction of workers that an owner doesn't reach for a while.
func drawCutRate(t *rapid.T) float64 {
	return rapid.SampledFrom([]float64{0, 0, 0.3, 0.7}).Draw(t, "cut workers")
}
