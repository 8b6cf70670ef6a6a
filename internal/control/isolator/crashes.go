package isolator

import "time"

// Workers also crash on their own, some of them again and again. The load that Crashes
// addresses: a tenth of the workers restart every second or so. Such a worker is empty after
// each restart, so it is the first to have room for a task that is to be isolated, and each
// loss there counts against a task that does no harm:
//
//	worker.crashes.Record(now)
//	avoid(worker, worker.crashes.Backoff())
//	...
//	if worker.crashes.IsRecent(now) && hasOtherWorker && waited < MaxOtherWorkerWait {
//		return // a loss there would say nothing about the task
//	}

const (
	// crashMemory is how long a crash of a worker counts as recent.
	crashMemory = 20 * time.Second

	// crashBackoff is how long a worker that has crashed repeatedly is to get no runs. It is
	// shorter than the 6 s within which a long-running task has to run again.
	crashBackoff = 5 * time.Second

	// MaxOtherWorkerWait is the longest time that a suspect task waits for a worker without
	// recent crashes, which has to become empty. It is no more than the time in which
	// long-running tasks have to run again.
	MaxOtherWorkerWait = 6 * time.Second
)

// Crashes is what is known of the crashes of one worker, whatever ran there. The zero value
// is a worker that hasn't crashed.
type Crashes struct {
	last  time.Time
	count int // crashes, each within crashMemory of the one before
}

// Record adds a crash.
func (c *Crashes) Record(now time.Time) {
	if !c.IsRecent(now) {
		c.count = 0
	}
	c.last = now
	c.count++
}

// IsRecent reports whether the worker has crashed recently, so that its next crash may be its
// own as well.
func (c *Crashes) IsRecent(now time.Time) bool { return c.count > 0 && now.Sub(c.last) < crashMemory }

// Backoff returns for how long after its last crash the worker is to get no runs, 0 unless it
// has crashed repeatedly.
func (c *Crashes) Backoff() time.Duration {
	if c.count < 2 {
		return 0
	}
	return crashBackoff
}
