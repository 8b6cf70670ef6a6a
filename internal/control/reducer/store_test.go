package reducer

import (
	"fmt"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
)

// ledgers is the fake store. It keeps all that was ever committed, against
// which workers audit what they are asked for.
type fakeStore struct {
	sim             *simulation
	reachable       bool
	config          describer.Configuration
	shards          map[string]*fakeLedger
	drained         map[string]bool // drains that were ever begun
	startCommits    map[runner.Run]int
	checkpoints     map[describer.TaskID]string     // latest durable checkpoint
	resumeFrom      map[runner.Run]string           // checkpoint that a run has to resume from
	lapsed          map[runner.Run]bool             // because their leases lapsed at a silent worker
	finished        map[describer.TaskID]runner.Run // finished durably
	jobs            map[string]*describer.Job
	cancelCommits   map[string]int
	failed          map[describer.TaskID]bool
	restoreRecorded map[string]bool // drain and worker with a durable record
	completed       map[describer.TaskID]runner.Run
	commits         int
}

// ledger is one shard's.
type fakeLedger struct {
	owner       *daemon
	incarnation int
	epoch       int64
	leaseEnd    time.Time
	lastBatch   int64
	snapshot    []byte
	appends     []AppendRecords
}

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
		lapsed:          make(map[runner.Run]bool),
		finished:        make(map[describer.TaskID]runner.Run),
		jobs:            make(map[string]*describer.Job),
		cancelCommits:   make(map[string]int),
		failed:          make(map[describer.TaskID]bool),
		restoreRecorded: make(map[string]bool),
		completed:       make(map[describer.TaskID]runner.Run),
	}
}

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

// append commits a batch once; it is refused to a former owner.
func (s *fakeStore) append(a AppendRecords) bool {
	l := s.shards[a.Shard]
	if l.epoch != a.Epoch {
		return false
	}
	if a.Batch <= l.lastBatch {
		return true
	}
	if a.Batch != l.lastBatch+1 {
		s.sim.t.Fatalf("%s: batch %d after %d", a.Shard, a.Batch, l.lastBatch)
	}
	l.lastBatch = a.Batch
	l.appends = append(l.appends, a)
	for _, r := range a.Records {
		s.commit(r)
	}
	return true
}

func (s *fakeStore) commit(r describer.Record) {
	s.commits++
	run := runner.Run{Task: r.Task, Token: r.Token}
	switch r.Kind {
	case describer.JobAccepted:
		if s.jobs[r.Job.ID] != nil {
			s.sim.t.Fatalf("%s is accepted twice", r.Job.ID)
		}
		s.jobs[r.Job.ID] = r.Job
	case describer.JobCancelled:
		s.cancelCommits[r.JobID] = s.commits
	case describer.TaskStarted:
		if s.cancelCommits[r.Task.Job] > 0 {
			s.sim.t.Fatalf("%s is started after its cancellation", r.Task)
		}
		s.startCommits[run] = s.commits
		s.resumeFrom[run] = s.checkpoints[r.Task]
	case describer.TaskFinished:
		if first, ok := s.finished[r.Task]; ok {
			s.sim.t.Fatalf("%s ends twice, in %v and in %v", r.Task, first, run)
		}
		s.finished[r.Task] = run
	case describer.TaskReleased:
		s.lapsed[run] = r.Reason == "lease lapsed"
		if r.Checkpoint != "" {
			s.checkpoints[r.Task] = r.Checkpoint
		}
	case describer.TaskSetAside:
		s.failed[r.Task] = true
	case describer.DrainRestored:
		s.restoreRecorded[r.Key+r.Worker] = true
	}
}

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

// propose changes the configuration as the distributor does.
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
			s.sim.t.Fatalf("drain %s is restored before its time", d.ID)
		}
		d.State = describer.Restoring
		return
	}
	if !s.restoreRecorded[d.ID+e.Worker] {
		s.sim.t.Fatalf("drain %s gives up %s without a record", d.ID, e.Worker)
	}
	d.Restored = append(slices.Clone(d.Restored), e.Worker)
	if len(d.Restored) == len(d.Workers) {
		s.config.Drains = slices.Delete(s.config.Drains, i, i+1)
	}
}

// audit checks a run that begins against what is durable and what runs.
func (sim *simulation) checkStart(m *fakeWorker, s runner.Start) {
	run := runner.Run{Task: s.Task, Token: s.Token}
	at, ok := sim.store.startCommits[run]
	if !ok {
		sim.t.Fatalf("%s begins without a durable record", s.Task)
	}
	if c := sim.store.cancelCommits[s.Task.Job]; c > 0 && c < at {
		sim.t.Fatalf("%s begins after its cancellation", s.Task)
	}
	if c, ok := sim.store.completed[s.Task]; ok && !sim.store.lapsed[c] {
		sim.t.Fatalf("%s begins again after it was completed", s.Task)
	}
	if s.Checkpoint != sim.store.resumeFrom[run] {
		sim.t.Fatalf("%s resumes from %q, not from %q", s.Task, s.Checkpoint, sim.store.resumeFrom[run])
	}
	for _, other := range sim.workers {
		other.endDueRuns()
		if r := other.runs[s.Task]; r != nil {
			sim.t.Fatalf("%s runs on %s as %v and on %s as %v", s.Task, other.name, r.Token, m.name, s.Token)
		}
	}
}

// complete checks that a task is completed again only when the earlier
// completion was out of reach until its run was given up.
func (s *fakeStore) recordCompletion(run runner.Run) {
	if first, ok := s.completed[run.Task]; ok && !s.lapsed[first] {
		s.sim.t.Fatalf("%s is completed twice", run.Task)
	}
	s.completed[run.Task] = run
}

// checkAck checks that a completion is forgotten only when it is durable.
func (s *fakeStore) checkAck(f runner.Finished) {
	if !f.OK || s.cancelCommits[f.Task.Job] > 0 {
		return
	}
	if s.finished[f.Task] != f.Run && !s.lapsed[f.Run] {
		s.sim.t.Fatalf("the completion of %s is acknowledged before it is durable", f.Task)
	}
}

// check looks at the end, after everything has been well for a while.
func (s *fakeStore) checkEnd() {
	for _, id := range sortedKeys(s.jobs) {
		if s.sim.refusedNotRun[id] {
			s.sim.t.Fatalf("%s was refused as not run, and accepted", id)
		}
		for i := range s.jobs[id].Tasks {
			task := describer.TaskID{Job: id, Index: i}
			_, done := s.finished[task]
			if !done && s.cancelCommits[id] == 0 && !s.failed[task] {
				s.sim.t.Fatalf("%s has no end: %s", task, s.sim.explain(task))
			}
		}
	}
	if len(s.config.Drains) > 0 {
		s.sim.t.Fatalf("drains are left over: %+v", s.config.Drains)
	}
}

// explain says what the owners know about a task.
func (sim *simulation) explain(id describer.TaskID) string {
	out := "no owner knows it"
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
