package isolator

import (
	"math/rand/v2"
	"testing"
	"time"
)

const flapPeriod = 1400 * time.Millisecond

// lossesOfIsolated replays a task that does no harm and is to be isolated, beside a worker that
// is empty after each of its crashes, once in flapPeriod. Under the load another worker is
// empty then with a probability of 0.3, and the task completes there. If avoids is set, the
// crashing worker is avoided by Crashes. It returns the task's losses.
func lossesOfIsolated(random *rand.Rand, avoids bool) Losses {
	var crashes Crashes
	now := time.Unix(0, 0)
	waitingSince := now
	l := Losses{Total: SharedLosses}
	for ; !l.IsExhausted(); now = now.Add(flapPeriod) {
		crashes.Record(now)
		if random.Float64() < 0.3 {
			return l
		}
		mustWait := crashes.Backoff() > 0 || crashes.IsRecent(now) && now.Sub(waitingSince) < MaxOtherWorkerWait
		if avoids && mustWait {
			continue
		}
		l.Total++
		l.Isolated = 1 // losses on the same worker count as one
		waitingSince = now
	}
	return l
}

// TestFlappingWorkerReplay guards against giving up tasks that do no harm because the only
// empty worker crashes again and again.
func TestFlappingWorkerReplay(t *testing.T) {
	const tasks = 200
	random := rand.New(rand.NewPCG(3, 4))
	before, after := 0, 0
	for range tasks {
		if lossesOfIsolated(random, false).IsExhausted() {
			before++
		}
		if lossesOfIsolated(random, true).IsExhausted() {
			after++
		}
	}
	t.Logf("given up of %d tasks: %d on any empty worker, %d if crashing ones are avoided", tasks, before, after)
	if after > 0 {
		t.Errorf("%d of %d tasks were given up", after, tasks)
	}
	if before == 0 {
		t.Error("the replay shows no fault without the rule")
	}
}

// TestCrashesAreForgotten guards against a worker that is avoided because of crashes long ago,
// and against one that is avoided after a single crash.
func TestCrashesAreForgotten(t *testing.T) {
	var c Crashes
	now := time.Unix(0, 0)
	if c.IsRecent(now) || c.Backoff() != 0 {
		t.Error("a worker without crashes is avoided")
	}
	for range 3 {
		c.Record(now)
		if c.Backoff() != 0 {
			t.Error("avoided after a single crash")
		}
		if !c.IsRecent(now.Add(crashMemory - 1)) {
			t.Error("the crash is forgotten too soon")
		}
		now = now.Add(crashMemory)
		if c.IsRecent(now) {
			t.Error("the crash isn't forgotten")
		}
	}
	c.Record(now)
	c.Record(now.Add(flapPeriod))
	if c.Backoff() != crashBackoff {
		t.Error("not avoided after two crashes")
	}
}
