package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestFiniteTransferInvariants does the same as TestTransferInvariants with mostly finite
// tasks, and shards whose workers all leave for a while. Every job ends, and none fails
// without cause.
func TestFiniteTransferInvariants(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := drawServiceSimulation(t, 2)
		s.drawSteps(t, func(t *rapid.T, i int) {
			sh := s.shards[rapid.IntRange(0, len(s.shards)-1).Draw(t, "shard")]
			switch rapid.IntRange(0, 5).Draw(t, "finite step") {
			case 0, 1, 2:
				sh.submit(drawJob(t, fmt.Sprintf("%016x", 100+i), 0))
			case 3:
				sh.drain(time.Duration(rapid.IntRange(1000, 15000).Draw(t, "drained")) * time.Millisecond)
			default:
				s.randomServiceStep(t, i)
			}
		})
		s.endFaults()
		s.advance(3 * time.Minute)
		s.checkEnded()
		s.checkFailed()
		s.advance(endedRetention + 5*time.Second)
		s.checkRecords(0)
	})
}

// drain makes all workers of the shard drain for a while.
func (sh *simShard) drain(length time.Duration) {
	sh.sim.logf("%s: all workers drain for %s", sh.name, length)
	for _, w := range sh.workers {
		w.draining = true
		sh.sim.schedule(length, func() { w.draining = false })
	}
}
