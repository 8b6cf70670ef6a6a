package manager

import "time"

// cancellationMargin is how long it may take from the decision to start a run until the
// worker executes the order.
const cancellationMargin = callTimeout + 500*time.Millisecond

// maxCancellationAge returns how old the cancellations that an owner knows may be if no task
// may start later than notice after the cancellation of its job. It is 0 if there is no
// notice, which stands for no limit.
func maxCancellationAge(notice time.Duration) time.Duration {
	if notice <= 0 {
		return 0
	}
	return max(notice-cancellationMargin, minCancellationAge)
}

// minCancellationAge is the least age that cancellations may have: with a shorter one,
// ordinary reads would pause starts.
const minCancellationAge = 500 * time.Millisecond

// readsPerAge is how many reads of the cancellations fit into the age that they may have, so
// that one slow read doesn't pause starts.
const readsPerAge = 6

// cancellationWait returns how long the store may hold a watch of a shard's cancellations.
func cancellationWait(notice time.Duration) time.Duration {
	if notice <= 0 {
		return watchWait
	}
	return min(watchWait, maxCancellationAge(notice)/readsPerAge)
}
