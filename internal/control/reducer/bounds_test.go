package reducer

import (
	"runtime"
	"testing"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/placer"
)

// Limits for the workers and tasks of one failure domain. A daemon may use 128 MB, and the
// garbage collector lets the heap grow to twice its live size.
const (
	maxLiveBytes  = 64 << 20
	maxSyncAllocs = 8  // allocations per sync
	maxTaskAllocs = 40 // allocations per task, from submission to end
)

// TestBounds checks the memory and the allocations of a State that holds the workers and
// tasks of one failure domain.
func TestBounds(t *testing.T) {
	before := liveHeap()
	s := newFullState(domainWorkers, domainTasks, placer.FirstFit{})
	if live := liveHeap() - before; live > maxLiveBytes {
		t.Errorf("live heap of the state is %d bytes, want at most %d", live, maxLiveBytes)
	}
	if n := testing.AllocsPerRun(100, func() { s.Reduce(Tick{Now: s.now}) }); n > 0 {
		t.Errorf("a tick with no due timer allocates %v times, want 0", n)
	}
	sh := s.sortedShards[0]
	w := sh.sortedWorkers[0]
	sh.sendSync(w)
	var answer Event = inventoryOf(s, s.effects[len(s.effects)-1].(SyncWorker))
	s.Reduce(answer)
	n := testing.AllocsPerRun(100, func() {
		w.nextSyncAt = time.Time{}
		s.effects = nil
		sh.sendSync(w)
		s.Reduce(answer)
	})
	if n > maxSyncAllocs {
		t.Errorf("a sync allocates %v times, want at most %d", n, maxSyncAllocs)
	}
	i := 0
	n = testing.AllocsPerRun(100, func() {
		i++
		runTaskToEnd(s, newJob(i))
	})
	if n > maxTaskAllocs {
		t.Errorf("a task allocates %v times, want at most %d", n, maxTaskAllocs)
	}
	runtime.KeepAlive(s)
}
