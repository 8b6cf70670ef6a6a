package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// TestOwnersWithoutStore has an owner that loses the store for good and goes on reaching some workers,
// while one or two successors reach others. It guards against a successor that takes it too early that
// the owner renews no leases, so that tasks run twice.
func TestOwnersWithoutStore(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(t, "workers")
		s := newSimulation(t, rapid.Uint64().Draw(t, "seed"), n)
		s.ordersAreBound = true
		s.longRunningFailures = rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "failures")
		s.advance(time.Second)
		for i := range 2 {
			s.submit(specifier.Job{ID: fmt.Sprintf("%016x", i), Steps: []specifier.Step{
				{Count: n, Needs: resources(300), Estimate: time.Second, LongRunning: true},
			}})
		}
		s.advance(time.Duration(rapid.IntRange(500, 8000).Draw(t, "before")) * time.Millisecond)
		s.loseStoreForGood(t)
		for range rapid.IntRange(0, 4).Draw(t, "restarts") {
			w := s.workers[rapid.IntRange(0, n-1).Draw(t, "restarted")]
			at := drawTime(t, 12*time.Second, "crashes after")
			s.schedule(at, w.crash)
			s.schedule(at+50*time.Millisecond+drawTime(t, time.Second, "down"), w.restart)
		}
		s.advance(30 * time.Second)
	})
}

// drawTime draws a duration below limit.
func drawTime(t *rapid.T, limit time.Duration, label string) time.Duration {
	return time.Duration(rapid.IntRange(0, int(limit/time.Millisecond)-1).Draw(t, label)) * time.Millisecond
}

// loseStoreForGood cuts the owner off from the store, and lets others claim the shard.
func (s *simulation) loseStoreForGood(t *rapid.T) {
	sh := s.shards[0]
	first := sh.owner
	s.logf("owner %d loses the store", first.token)
	first.reachesStore = false
	first.drawReach(t, 8*time.Second)
	wait := simOwnerTTL + drawTime(t, time.Second, "claimed after")
	for isLast := false; !isLast; {
		isLast = rapid.Bool().Draw(t, "last")
		reach := drawSuccessorReach(t, len(sh.workers))
		s.schedule(wait, func() {
			sh.claim()
			sh.owner.reachOnly(reach)
		})
		wait += drawTime(t, 4*time.Second, "lives for")
		if !isLast {
			s.schedule(wait, sh.loseOwner)
		}
		wait += simOwnerTTL + drawTime(t, time.Second, "claimed after")
	}
}

// drawReach makes the owner reach each worker in a drawn period only, which begins or ends within limit.
func (o *owner) drawReach(t *rapid.T, limit time.Duration) {
	if rapid.Bool().Draw(t, "reaches all") {
		return
	}
	for _, w := range o.home.workers {
		switch rapid.IntRange(0, 5).Draw(t, "reach") {
		case 2: // from a restart on
			o.unreachable[w] = true
			at := drawTime(t, limit, "crashes after")
			o.sim.schedule(at, w.crash)
			o.sim.schedule(at+100*time.Millisecond, func() {
				w.restart()
				delete(o.unreachable, w)
			})
		case 0:
			o.sim.schedule(drawTime(t, limit, "cut off after"), func() { o.unreachable[w] = true })
		case 1:
			o.unreachable[w] = true
			o.sim.schedule(drawTime(t, limit, "reached after"), func() { delete(o.unreachable, w) })
		}
	}
}

// drawSuccessorReach draws after which time a successor reaches each of n workers.
func drawSuccessorReach(t *rapid.T, n int) []time.Duration {
	reach := make([]time.Duration, n)
	isFew := rapid.Bool().Draw(t, "reaches few")
	for i := range reach {
		switch k := rapid.IntRange(0, 5).Draw(t, "reached"); {
		case k == 0 || isFew && k < 4:
			reach[i] = time.Minute
		case k == 1:
			reach[i] = drawTime(t, 8*time.Second, "reached after")
		}
	}
	return reach
}

// reachOnly makes the owner reach each worker after a time.
func (o *owner) reachOnly(after []time.Duration) {
	for i, w := range o.home.workers {
		if after[i] == 0 {
			continue
		}
		o.unreachable[w] = true
		o.sim.schedule(after[i], func() { delete(o.unreachable, w) })
	}
}
