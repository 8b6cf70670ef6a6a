package manager

import (
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/dispatcher"
)

// Limits of the age of cancellations while runs are started.
const (
	minCancellationAge     = 500 * time.Millisecond // with a shorter one, ordinary reads would pause starts
	defaultCancellationAge = 4 * time.Second        // without a notice
)

// maxCancellationAge returns how old the cancellations that an owner knows may be if no task
// may start later than notice after the cancellation of its job.
func maxCancellationAge(notice time.Duration) time.Duration {
	if notice <= 0 {
		return defaultCancellationAge
	}
	return max(notice-dispatcher.StartLease, minCancellationAge)
}

// readsPerAge is how many reads of the cancellations fit into the age that they may have, so
// that one slow read doesn't pause starts.
const readsPerAge = 6

// cancellationWait returns how long the store may hold a watch of a shard's cancellations.
func cancellationWait(notice time.Duration) time.Duration {
	return min(watchWait, maxCancellationAge(notice)/readsPerAge)
}
