package dispatcher

import (
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// A long-running task that waits without room in its shard is transferred to a
// shard of the service that has room, also when its job has other tasks running
// here. So is a finite one that no worker of the shard can run; once it has completed, or
// has failed too often, it is transferred back. Finite tasks also leave for balance, see
// balance.go. The job's home shard keeps the job's state.
// Other shards hold parts of it:
// the tasks that the home has transferred to them. If another shard has room, a part
// gives waiting tasks back to the home, which transfers them on. So the home knows of
// all shards in which to cancel them.
//
// A transfer is one commit of the shard that gives the task away: it records that
// the task is elsewhere and creates the transfer record in the other shard. Only
// tasks of which no run can exist are transferred, so no task has two runs. The
// hop number of a task increases with each transfer, so that a record that a watch
// delivers late or again has no effect. The shard that gets the task records its
// arrival before it starts a run, so that a new owner knows whether there can be one.

// FindShard requests another shard of the service with room for tasks of a step.
// The answer is ShardFound.
type FindShard struct {
	Task   specifier.TaskID // one of the tasks
	Tasks  int              // number of tasks to transfer
	Finite bool             // the tasks are finite
	Needs  describer.Resources
	Label  string   // label that the workers must have
	Tried  []string // shards in which the tasks have waited before

	AlsoFull bool // if no shard has room, one whose workers are large enough will do
}

// ShardFound is the answer to FindShard.
type ShardFound struct {
	Task  specifier.TaskID // as in FindShard
	Tried []string         // as in FindShard
	Shard string           // empty if no shard has room
	Tasks int              // maximum number of tasks to transfer there
}

// TaskArrived delivers a task that another shard has transferred to this one.
type TaskArrived struct {
	Task     specifier.TaskID
	Transfer recorder.Transfer
	Progress recorder.Progress // of the job in this shard; only if an earlier owner may have had it
}

// Handover is a task that a Commit transfers to another shard.
type Handover struct {
	Task     specifier.TaskID
	Shard    string
	Transfer recorder.Transfer
}

func (FindShard) effect()  {}
func (ShardFound) event()  {}
func (TaskArrived) event() {}

const (
	transferDelay     = 2 * time.Second         // waiting time after which a task may be transferred
	transferPause     = 3 * time.Second         // time until the next round after all shards with room have been tried
	findShardInterval = 1400 * time.Millisecond // minimum time between requests for one step
	maxJobTransfers   = 8                       // tasks of one job in one commit
	maxCleanupEntries = 16                      // entries of a transaction for the records of an ended job
	maxStaleEntries   = 8                       // entries of a transaction for stale records
)

// requestTransfers requests other shards for tasks that have waited for long.
func (s *Shard) requestTransfers() {
	if !s.options.Divided || !s.isRecentlyConfirmed() {
		return
	}
	for _, st := range s.waitingSteps {
		st.displaced = s.isDisplaced(st)
		if st.findingShard || s.now.Sub(st.shardRequestedAt) < st.findInterval() || !s.isTransferable(st) {
			continue
		}
		first := slices.IndexFunc(st.tasks, s.mayTransfer)
		if first < 0 {
			continue
		}
		tasks := s.transferableTasks(st, maxJobTransfers, st.tasks[first].triedShards)
		st.findingShard, st.shardRequestedAt = true, s.now
		s.emit(FindShard{
			Task: tasks[0].id(), Tasks: len(tasks), Finite: !st.spec.LongRunning, Needs: st.needs.reserved, Label: st.spec.Label, Tried: tasks[0].triedShards,
			AlsoFull: st.displaced && !st.spec.LongRunning,
		})
	}
}

// isTransferable reports whether single tasks of the step may be transferred. A job
// that has never run is moved as a whole if that is possible.
func (s *Shard) isTransferable(st *step) bool {
	j := st.job
	awaitsMove := j.moving || j.isMovable() && s.mayBeMoved(st)
	mayLeave := st.spec.LongRunning || !s.hasSuitableWorker(st)
	return mayLeave && !st.spec.Gang && j.final == "" && !awaitsMove
}

// hasSuitableWorker reports whether a worker that stays in the shard and isn't evacuated
// could run the step if nothing else ran there.
func (s *Shard) hasSuitableWorker(st *step) bool {
	return !s.workersListed || slices.ContainsFunc(s.sortedWorkers, func(w *worker) bool {
		return w.stays() && !w.evacuated && w.couldRun(st)
	})
}

// mayTransfer reports whether the task has waited for long, also under this owner,
// and no run of it can exist.
func (s *Shard) mayTransfer(t *task) bool {
	delay := t.step.minTransferWait()
	hasWaited := s.now.Sub(t.idleSince()) >= delay && s.now.Sub(s.claimedAt) >= delay
	return hasWaited && s.mayStart(t) && !s.now.Before(t.transferAfter)
}

// transferableTasks returns up to n tasks of the step that may be transferred and have
// tried the given shards.
func (s *Shard) transferableTasks(st *step, n int, tried []string) []*task {
	var out []*task
	for _, t := range st.tasks {
		if len(out) < n && s.mayTransfer(t) && slices.Equal(t.triedShards, tried) {
			out = append(out, t)
		}
	}
	return out
}

// shardFound transfers tasks to the shard that was found, or back to the home of the
// job.
func (s *Shard) shardFound(e ShardFound) {
	found := s.findTask(e.Task)
	if found == nil {
		return
	}
	st := found.step
	st.findingShard = false
	st.displaced = s.isDisplaced(st)
	if !s.isTransferable(st) {
		return
	}
	if e.Shard == "" {
		s.pauseTransfers(st, e.Tried)
		return
	}
	to := e.Shard
	if s.isPart(st.job) {
		to = st.job.home
	}
	left := maxJobTransfers - len(st.job.handovers)
	for _, t := range s.transferableTasks(st, min(e.Tasks, left), e.Tried) {
		s.handOver(t, to)
	}
}

// pauseTransfers makes tasks that have tried other shards wait before they try them
// again: those seemed to have room, but not for these tasks.
func (s *Shard) pauseTransfers(st *step, tried []string) {
	if len(tried) == 0 {
		return
	}
	for _, t := range s.transferableTasks(st, len(st.tasks), tried) {
		t.triedShards = nil
		t.transferAfter = s.now.Add(transferPause)
	}
}

// handOver transfers a waiting task to another shard with the next commit.
func (s *Shard) handOver(t *task, shard string) {
	st, j := t.step, t.step.job
	waited := s.now.Sub(t.waitingSince)
	t.triedShards = append(slices.Clone(t.triedShards), s.options.Name)
	t.elsewhere = true
	t.hop++
	st.waiting--
	st.elsewhere++
	j.started = true
	if !s.isPart(j) && !slices.Contains(j.otherShards, shard) {
		j.otherShards = append(j.otherShards, shard)
	}
	j.handovers = append(j.handovers, Handover{Task: t.id(), Shard: shard, Transfer: recorder.Transfer{
		Job: j.spec, Home: j.home, Hop: t.hop, LastRun: t.nextRun(s.options.Epoch) - 1, Waited: waited, Tried: t.triedShards, Checkpoint: t.checkpoint,
		Failed: slices.Clone(t.failed), Losses: slices.Clone(t.losses), Proven: t.wasProven, Done: t.completedHere,
	}})
	s.markDirty(j)
	s.emit(Log{Message: "task transferred", Task: t.id().String(), Job: j.spec.ID, Reason: "to " + shard, Age: waited})
}

// taskArrived adds a task that was transferred to this shard.
func (s *Shard) taskArrived(e TaskArrived) {
	j := s.jobs[e.Task.Job]
	if j != nil && j.moving && j.home != e.Transfer.Home {
		// The job has moved, but the answer of the write has not come yet.
		s.forgetMoved(j)
		j = nil
	}
	if j == nil {
		j = s.addPart(e)
	}
	if j == nil {
		return
	}
	t := j.task(e.Task)
	if t == nil || j.home != e.Transfer.Home {
		s.emit(Log{Message: "transfer of unknown task ignored", Task: e.Task.String(), Job: e.Task.Job})
		return
	}
	t.hasRecord = true
	t.runOffset = max(t.runOffset, e.Transfer.LastRun)
	if j.final != "" {
		s.markDirty(j) // the record has to go too
		return
	}
	if e.Transfer.Hop <= t.hop {
		return
	}
	s.receive(t, &e.Transfer)
	s.emit(Log{Message: "task arrived", Task: e.Task.String(), Job: e.Task.Job, Age: e.Transfer.Waited})
}

// receive makes a task that was transferred wait in this shard.
func (s *Shard) receive(t *task, transfer *recorder.Transfer) {
	j := t.step.job
	if t.elsewhere {
		s.takeBack(t)
	}
	t.hop = transfer.Hop
	t.checkpoint = transfer.Checkpoint
	t.failed = slices.Clone(transfer.Failed)
	t.completedHere, t.returns = false, false
	s.restoreLosses(t, transfer.Losses)
	t.wasProven = t.wasProven || transfer.Proven
	t.triedShards, t.transferAfter = transfer.Tried, time.Time{}
	t.proof, t.failuresUnknown = arrivedHere, false // its arrival isn't durable here, so nobody has started it
	t.waitingSince = s.now
	if !s.isPart(j) {
		t.waitingSince = s.now.Add(-transfer.Waited)
	}
	s.markDirty(j)
	t.arrivalVersion = j.version
	switch {
	case transfer.Done:
		s.completeTask(t)
	case j.hasFailedTooOften():
		s.endJob(j, specifier.Failed, "task failed too often")
	}
}

// returnTask gives a finite task that has completed here, or has failed too often, or a task
// that is exhausted, back to the home of its job. A run of it that is still active is stopped
// first.
func (s *Shard) returnTask(t *task) {
	if t.returns || t.elsewhere {
		return
	}
	t.returns = true
	s.returning = append(s.returning, t)
	s.markDirty(t.step.job)
	s.stopRuns(t, nil, "completed elsewhere")
}

// returnTasks transfers the tasks that are to return and have no runs any more.
func (s *Shard) returnTasks() {
	s.returning = slices.DeleteFunc(s.returning, func(t *task) bool {
		j := t.step.job
		if j.final != "" || !t.returns || t.elsewhere {
			return true
		}
		if t.worker != nil || len(j.handovers) >= maxJobTransfers {
			return false
		}
		s.handOver(t, j.home)
		return true
	})
}

// takeBack makes a task that was elsewhere wait in this shard.
func (s *Shard) takeBack(t *task) {
	t.elsewhere = false
	t.step.elsewhere--
	t.step.waiting++
	t.step.ready = true
	s.enqueue(t.step)
	s.placementDue = true
}

// addPart adds a job of another shard without any tasks. It returns nil if the job
// has ended here.
func (s *Shard) addPart(e TaskArrived) *job {
	if _, ended := s.ended[e.Task.Job]; ended || e.Transfer.Home == s.options.Name {
		s.staleTransfers = append(s.staleTransfers, e.Task)
		return nil
	}
	j := s.newJob(e.Transfer.Job)
	if j.spec.ID != e.Task.Job || j.task(e.Task) == nil {
		s.emit(Log{Message: "transfer of unknown task ignored", Task: e.Task.String(), Job: e.Task.Job})
		return nil
	}
	j.home, j.started = e.Transfer.Home, true
	for _, st := range j.steps {
		st.waiting, st.elsewhere = 0, len(st.tasks)
		for _, t := range st.tasks {
			t.elsewhere = true
		}
	}
	s.jobs[j.spec.ID] = j
	s.restore(j, e.Progress)
	if _, early := s.earlyCancels[j.spec.ID]; early {
		delete(s.earlyCancels, j.spec.ID)
		s.cancelJob(j.spec.ID)
	}
	return j
}

// isPart reports whether the job's home is another shard.
func (s *Shard) isPart(j *job) bool { return j.home != s.options.Name }

// isWaiting reports whether the task is in this shard and has no run.
func (t *task) isWaiting() bool { return !t.done && !t.elsewhere && t.worker == nil }

// takeCleanup moves the records of an ended job that have to go before or with its
// final state from the job to the change. It reports whether none are left.
func (j *job) takeCleanup(change *Change) bool {
	change.CancelIn, j.otherShards = takeUpTo(j.otherShards, maxCleanupEntries)
	left := maxCleanupEntries - len(change.CancelIn)
	for _, t := range j.transferRecords() {
		if left == 0 {
			return false
		}
		left--
		t.hasRecord = false
		change.RemoveTransfers = append(change.RemoveTransfers, t.id())
	}
	return len(j.otherShards) == 0
}

// transferRecords returns the tasks of which this shard has transfer records.
func (j *job) transferRecords() []*task {
	var out []*task
	for _, st := range j.steps {
		for _, t := range st.tasks {
			if t.hasRecord {
				out = append(out, t)
			}
		}
	}
	return out
}
