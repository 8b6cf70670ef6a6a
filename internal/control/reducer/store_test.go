package reducer

import (
	"fmt"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
)

// fakeStore simulates the store with the shards' leases and ledgers and the configuration.
// It keeps a summary of all records ever committed, which workers check calls against.
type fakeStore struct {
	sim             *simulation
	reachable       bool
	config          describer.Configuration
	shards          map[string]*fakeLedger
	drained         map[string]bool                 // ids of drains
	startCommits    map[runner.Run]int              // number of the commit that recorded the start
	checkpoints     map[describer.TaskID]string     // latest durable checkpoint
	resumeFrom      map[runner.Run]string           // checkpoint that each run must resume from
	leaseExpired    map[runner.Run]bool             // whether the run was released because its lease expired
	finished        map[describer.TaskID]runner.Run // run whose result is durable
	jobs            map[string]*describer.Job
	cancelCommits   map[string]int                  // number of the commit that recorded the cancellation
	failed          map[describer.TaskID]bool       // abandoned tasks
	restoreRecorded map[string]bool                 // drain id and worker name joined; restores recorded as complete
	completed       map[describer.TaskID]runner.Run // run that a worker completed, durable or not
	commits         int
}

// fakeLedger is the ledger and the lease of one shard.
type fakeLedger struct {
	owner       *daemon
	incarnation int
	epoch       int64
	leaseEnd    time.Time
	lastBatch   int64
	snapshot    []byte
	appends     []AppendRecords
}

// records returns the records appended since the snapshot.
func (l *fakeLedger) records() []describer.Record {
	var out []describer.Record
	for _, a := range l.appends {
		out = append(out, a.Records...)
	}
	return out
}

func newFakeStore(sim *simulation) *fakeStore {
	c := testConfiguration()
	c.Shards = []describer.Shard{
		{ID: "bne-1", Domain: "seq-bne", Racks: []string{"r1"}},
		{ID: "bne-2", Domain: "seq-bne", Racks: []string{"r2"}},
	}
	return &fakeStore{
		sim: sim, reachable: true, config: c,
		shards:          map[string]*fakeLedger{"bne-1": {}, "bne-2": {}},
		drained:         make(map[string]bool),
		startCommits:    make(map[runner.Run]int),
		checkpoints:     make(map[describer.TaskID]string),
		resumeFrom:      make(map[runner.Run]string),
		leaseExpired:    make(map[runner.Run]bool),
		finished:        make(map[describer.TaskID]runner.Run),
		jobs:            make(map[string]*describer.Job),
		cancelCommits:   make(map[string]int),
		failed:          make(map[describer.TaskID]bool),
		restoreRecorded: make(map[string]bool),
		completed:       make(map[describer.TaskID]runner.Run),
	}
}

// claim makes the daemon the owner of a shard and returns the new epoch. It fails if the
// store is unreachable or another daemon or incarnation holds the lease.
func (s *fakeStore) claim(d *daemon, shard string) (int64, bool) {
	l := s.shards[shard]
	if d.paused || !d.reachesStore() {
		return 0, false
	}
	if l.owner != nil && s.sim.now.Before(l.leaseEnd) && (l.owner != d || l.incarnation != d.incarnation) {
		return 0, false
	}
	l.owner, l.incarnation, l.lastBatch = d, d.incarnation, 0
	l.epoch++
	l.leaseEnd = s.sim.now.Add(simStoreLease)
	return l.epoch, true
}

func (s *fakeStore) renew(d *daemon, shard string) bool {
	l := s.shards[shard]
	if l.owner != d || l.incarnation != d.incarnation || l.epoch != d.owned[shard] || !s.sim.now.Before(l.leaseEnd) {
		return false
	}
	l.leaseEnd = s.sim.now.Add(simStoreLease)
	return true
}

func (s *fakeStore) release(d *daemon, shard string) {
	if l := s.shards[shard]; l.owner == d && l.incarnation == d.incarnation {
		l.owner = nil
	}
}

// append commits a batch. A batch that was committed before is accepted without effect,
// and one of a former owner is refused.
func (s *fakeStore) append(a AppendRecords) bool {
	l := s.shards[a.Shard]
	if l.epoch != a.Epoch {
		return false
	}
	if a.Batch <= l.lastBatch {
		return true
	}
	if a.Batch != l.lastBatch+1 {
		s.sim.t.Fatalf("%s: batch %d follows batch %d", a.Shard, a.Batch, l.lastBatch)
	}
	l.lastBatch = a.Batch
	l.appends = append(l.appends, a)
	for _, r := range a.Records {
		s.commit(r)
	}
	return true
}

// commit checks a record against earlier ones and adds it to the summary.
func (s *fakeStore) commit(r describer.Record) {
	s.commits++
	run := runner.Run{Task: r.Task, Token: r.Token}
	switch r.Kind {
	case describer.JobAccepted:
		if s.jobs[r.Job.ID] != nil {
			s.sim.t.Fatalf("job %s was accepted twice", r.Job.ID)
		}
		s.jobs[r.Job.ID] = r.Job
	case describer.JobCancelled:
		s.cancelCommits[r.JobID] = s.commits
	case describer.TaskStarted:
		if s.cancelCommits[r.Task.Job] > 0 {
			s.sim.t.Fatalf("%s was started after its cancellation", r.Task)
		}
		s.startCommits[run] = s.commits
		s.resumeFrom[run] = s.checkpoints[r.Task]
	case describer.TaskFinished:
		if first, ok := s.finished[r.Task]; ok {
			s.sim.t.Fatalf("%s finished twice, in runs %v and %v", r.Task, first, run)
		}
		s.finished[r.Task] = run
	case describer.TaskReleased:
		s.leaseExpired[run] = r.Reason == "lease lapsed"
		if r.Checkpoint != "" {
			s.checkpoints[r.Task] = r.Checkpoint
		}
	case describer.TaskAbandoned:
		s.failed[r.Task] = true
	case describer.DrainRestored:
		s.restoreRecorded[r.Key+r.Worker] = true
	}
}

// save replaces the appends up to the snapshot's batch. It is ignored for a former owner.
func (s *fakeStore) save(d *daemon, e SaveSnapshot) {
	l := s.shards[e.Shard]
	if d.paused || !d.reachesStore() || l.epoch != e.Epoch {
		return
	}
	i := slices.IndexFunc(l.appends, func(a AppendRecords) bool { return a.Epoch == e.Epoch && a.Batch > e.Batch })
	if i < 0 {
		i = len(l.appends)
	}
	l.snapshot = e.Data
	l.appends = slices.Clone(l.appends[i:])
}

// propose applies a drain update to the configuration, as the distributor does.
func (s *fakeStore) propose(from *daemon, e ProposeDrainUpdate) {
	i := slices.IndexFunc(s.config.Drains, func(d describer.Drain) bool { return d.ID == e.Drain })
	if !from.reachesStore() || i < 0 {
		return
	}
	s.config.Drains = slices.Clone(s.config.Drains)
	d := &s.config.Drains[i]
	s.config.Revision++
	if e.Worker == "" {
		if d.Until.After(s.sim.now) {
			s.sim.t.Fatalf("drain %s started to restore before its time", d.ID)
		}
		d.State = describer.Restoring
		return
	}
	if !s.restoreRecorded[d.ID+e.Worker] {
		s.sim.t.Fatalf("drain %s: worker %s was restored without a durable record", d.ID, e.Worker)
	}
	d.Restored = append(slices.Clone(d.Restored), e.Worker)
	if len(d.Restored) == len(d.Workers) {
		s.config.Drains = slices.Delete(s.config.Drains, i, i+1)
	}
}

// checkStart checks a run that starts against the committed records and all running tasks.
func (sim *simulation) checkStart(m *fakeWorker, s runner.StartRequest) {
	run := runner.Run{Task: s.Task, Token: s.Token}
	at, ok := sim.store.startCommits[run]
	if !ok {
		sim.t.Fatalf("%s started without a durable record", s.Task)
	}
	if c := sim.store.cancelCommits[s.Task.Job]; c > 0 && c < at {
		sim.t.Fatalf("%s started after its cancellation", s.Task)
	}
	if c, ok := sim.store.completed[s.Task]; ok && !sim.store.leaseExpired[c] {
		sim.t.Fatalf("%s started again after it was completed", s.Task)
	}
	if s.Checkpoint != sim.store.resumeFrom[run] {
		sim.t.Fatalf("%s resumed from checkpoint %q, want %q", s.Task, s.Checkpoint, sim.store.resumeFrom[run])
	}
	for _, other := range sim.workers {
		other.endDueRuns()
		if r := other.runs[s.Task]; r != nil {
			sim.t.Fatalf("%s runs on %s as %v and on %s as %v", s.Task, other.name, r.Token, m.name, s.Token)
		}
	}
}

// recordCompletion checks that a task is completed a second time only if the lease of the
// first run expired before its result arrived.
func (s *fakeStore) recordCompletion(run runner.Run) {
	if first, ok := s.completed[run.Task]; ok && !s.leaseExpired[first] {
		s.sim.t.Fatalf("%s was completed twice", run.Task)
	}
	s.completed[run.Task] = run
}

// checkAck checks that a completion is acknowledged only if it is durable.
func (s *fakeStore) checkAck(f runner.FinishedRun) {
	if !f.OK || s.cancelCommits[f.Task.Job] > 0 {
		return
	}
	if s.finished[f.Task] != f.Run && !s.leaseExpired[f.Run] {
		s.sim.t.Fatalf("completion of %s was acknowledged before it was durable", f.Task)
	}
}

// checkEnd checks, after a while without failures, that every job and drain has ended.
func (s *fakeStore) checkEnd() {
	for _, id := range sortedKeys(s.jobs) {
		if s.sim.refusedNotRun[id] {
			s.sim.t.Fatalf("job %s was refused as not run but was accepted", id)
		}
		for i := range s.jobs[id].Tasks {
			task := describer.TaskID{Job: id, Index: i}
			_, done := s.finished[task]
			if !done && s.cancelCommits[id] == 0 && !s.failed[task] {
				s.sim.t.Fatalf("%s has not ended: %s", task, s.sim.explain(task))
			}
		}
	}
	if len(s.config.Drains) > 0 {
		s.sim.t.Fatalf("unfinished drains: %+v", s.config.Drains)
	}
}

// explain describes what the owners know about a task, for failure messages.
func (sim *simulation) explain(id describer.TaskID) string {
	out := "no owner has the task"
	for _, d := range sim.daemons {
		for _, sh := range d.state.sortedShards {
			if sh.view == nil {
				continue
			}
			if t := sh.view.task(id); t != nil {
				out = d.name + " " + sh.id + " " + sh.ownership.String() + ": " + t.state.String() + " " + t.worker + " " + t.pendingReason + " " + t.reason
				for _, worker := range sh.sortedWorkers {
					out += fmt.Sprintf("; %s has %v, %s", worker.name, worker.account.Free(), sh.closedReason(worker))
				}
			}
		}
	}
	return out
}
