package reducer

import (
	"runtime"
	"testing"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/placer"
)

// Bounds at one failure domain's share. A daemon may use 128 MB; the runtime
// lets the heap grow to twice what is live before it collects.
const (
	maxLiveBytes  = 64 << 20
	maxSyncAllocs = 8
	maxTaskAllocs = 40
)

func TestBounds(t *testing.T) {
	before := liveHeap()
	s := newFullState(domainWorkers, domainTasks, placer.FirstFit{})
	if live := liveHeap() - before; live > maxLiveBytes {
		t.Errorf("the state takes %d bytes, more than %d", live, maxLiveBytes)
	}
	if n := testing.AllocsPerRun(100, func() { s.Reduce(Tick{Now: s.now}) }); n > 0 {
		t.Errorf("a tick at which nothing is due allocates %v times", n)
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
		t.Errorf("an inventory allocates %v times, more than %d", n, maxSyncAllocs)
	}
	i := 0
	n = testing.AllocsPerRun(100, func() {
		i++
		runTaskToEnd(s, newJob(i))
	})
	if n > maxTaskAllocs {
		t.Errorf("a task allocates %v times, more than %d", n, maxTaskAllocs)
	}
	runtime.KeepAlive(s)
}
