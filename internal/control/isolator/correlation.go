package isolator

import "time"

// A rack or a zone that fails, or a faulty release, crashes many workers at a time. Nearly all
// tasks then have losses, none of which says anything about its task, and there are too few
// workers to isolate them all. So a loss is correlated if the run's worker may well have
// crashed of what crashed the others:
//
//	isCorrelated := isolator.IsCorrelated(crashedMeanwhile, otherWorkers, task.forgiven)
//
// The load that this addresses: half of the workers crash several times, seconds apart. Tasks
// that crash their workers may do so at a time as well, and would forgive each other. So losses
// are forgiven only of long-running tasks that have run for long before, few of each, and only
// crashes count of workers on which no task runs that needs isolation itself.

const (
	minCorrelated    = 3 // other workers that crash
	correlationShare = 8 // one worker in so many has to crash
	maxForgiven      = 4 // correlated losses of a task
)

// IsCorrelated reports whether a run may well have been lost to what crashed other workers
// while it was active: crashed of the others. Forgiven losses of its task were correlated before.
func IsCorrelated(crashed, others, forgiven int) bool {
	return forgiven < maxForgiven && crashed >= minCorrelated && crashed*correlationShare >= others
}

// maxLongRunningWait is how long a long-running task waits for a worker on which it is
// isolated. It has to run again within 9 s of the end of its last run, of which the leases of a
// worker that has crashed take 6.4 s.
const maxLongRunningWait = time.Second

// MustWait reports whether a long-running task that needs isolation, and has waited for a while,
// goes on waiting for it. It doesn't wait long after the losses that it had beside others, and
// starts beside others once more. After one more loss it waits, so that the next one is its own.
func (l Losses) MustWait(waited time.Duration) bool {
	return l.Total > SharedLosses || waited < maxLongRunningWait
}
