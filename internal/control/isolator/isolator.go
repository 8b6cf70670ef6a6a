// Package isolator decides when a task whose workers crash is started in isolation, and
// when it isn't started any more.
//
// The load that it addresses: some tasks crash each worker that starts them, several of
// them at a time and beside healthy tasks. A crashed worker doesn't say which of its runs
// was to blame. A run that was lost with its worker is a loss of its task. In isolation,
// where no other run may have crashed the worker, a loss is the task's own. Other runs may
// still appear on the worker, by orders that it carries out late, so there is also a limit
// on all losses:
//
//	if task.Losses().IsExhausted() {
//		fail(task)
//	}
//	isolated := task.Losses().NeedsIsolation()
package isolator

// Limits of losses. Users tolerate fewer than three further starts of a task once three
// workers have crashed under it, so five starts in all.
const (
	SharedLosses      = 2 // losses after which a task is started in isolation
	maxIsolatedLosses = 2 // isolated losses after which a task isn't started any more
	maxLosses         = 5 // losses of either kind after which it isn't

	// maxLongRunningLosses is the same for long-running tasks. It is lower as one of these losses
	// may be of a start beside others for want of a worker, see Losses.MustWait.
	maxLongRunningLosses = 4
)

// Losses counts the runs of a task that were lost with their workers.
type Losses struct {
	Total    int
	Isolated int // those of them that no other run may have caused

	LongRunning bool // the task runs until it is stopped
}

// NeedsIsolation reports whether the task is started in isolation only.
func (l Losses) NeedsIsolation() bool { return l.Total >= SharedLosses }

// IsExhausted reports whether the task must not be started any more.
func (l Losses) IsExhausted() bool {
	limit := maxLosses
	if l.LongRunning {
		limit = maxLongRunningLosses
	}
	return l.Isolated >= maxIsolatedLosses || l.Total >= limit
}
