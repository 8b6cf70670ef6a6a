package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestInvariantsWithLostWrites has a store that answers reads and renewals, but carries out no write
// for seconds, while registrations expire and come back and owners are replaced. It guards against
// what an owner acknowledges or forgets while nothing is durable.
func TestInvariantsWithLostWrites(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 5).Draw(t, "workers"))
		s.advance(time.Second)
		for i := range rapid.IntRange(10, 40).Draw(t, "steps") {
			s.lostWritesStep(t, i)
			s.advance(time.Duration(rapid.IntRange(0, 1500).Draw(t, "pass")) * time.Millisecond)
		}
		s.endFaults()
		s.advance(3 * time.Minute)
		s.checkEnded()
	})
}

// lostWritesStep submits a job, loses writes, removes registrations for a while, or causes another
// fault.
func (s *simulation) lostWritesStep(t *rapid.T, i int) {
	sh := s.shards[0]
	length := time.Duration(rapid.IntRange(500, 10000).Draw(t, "lost for")) * time.Millisecond
	w := sh.workers[rapid.IntRange(0, len(sh.workers)-1).Draw(t, "unregistered")]
	switch rapid.IntRange(0, 9).Draw(t, "lost step") {
	case 0, 1, 2, 3:
		s.submit(drawJob(t, fmt.Sprintf("%016x", 100+i), 0))
	case 4, 5:
		sh.loseWrites(length, rapid.Bool().Draw(t, "replaced after lost writes"))
	case 6, 7:
		s.logf("%s is unregistered for %s", w.id, length/4)
		w.registered = false
		s.schedule(length/4, func() { w.registered = true })
	default:
		s.randomStep(t, i)
	}
}

// loseWrites makes the store carry out no write of the owner for a while. If isReplaced is set, another
// one claims the shard then, so that they never take effect.
func (sh *simShard) loseWrites(length time.Duration, isReplaced bool) {
	s, o := sh.sim, sh.owner
	s.logf("owner %d can't write for %s", o.token, length)
	o.losesWrites = true
	if isReplaced {
		s.schedule(length, sh.claimFrom(o))
	}
	s.schedule(length, func() { o.losesWrites = false })
}
