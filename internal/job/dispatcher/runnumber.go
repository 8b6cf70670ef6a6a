package dispatcher

// The runs of a task are numbered over all its owners and shards, and workers refuse a number that isn't
// higher than one that they know. An owner takes its numbers from the epoch of its ownership, of
// which each has runsPerEpoch. A task that fails at once needs more in a few seconds. These are recorded
// before they are used, runsPerEpoch at a time, and a later owner begins above them.

// nextRun returns the number of the task's next run. It is higher than that of
// any earlier run, also under earlier owners and in other shards.
func (t *task) nextRun(epoch int64) int64 { return max(t.lastRun, t.runOffset+epoch*runsPerEpoch) + 1 }

// restoreRunNumbers applies the durable bound of the numbers that earlier owners may have used.
func (t *task) restoreRunNumbers(bound int64) {
	t.runBound = max(t.runBound, bound)
	t.lastRun = max(t.lastRun, bound)
}

// reserveRunNumber makes sure that no later owner uses the number of a run. It reports whether
// that is durable; if not, the run has to wait for the next commit of the job.
func (s *Shard) reserveRunNumber(t *task, number int64) (isDurable bool) {
	if number <= t.runOffset+(s.options.Epoch+1)*runsPerEpoch {
		return true // later owners begin above
	}
	j := t.step.job
	if number > t.runBound {
		t.runBound = number + runsPerEpoch
		s.markDirty(j)
		t.boundVersion = j.version
	}
	return j.durable >= t.boundVersion
}
