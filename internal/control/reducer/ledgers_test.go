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
type ledgers struct {
	world     *world
	up        bool
	config    describer.Configuration
	shards    map[string]*ledger
	drained   map[string]bool // drains that were ever begun
	started   map[runner.Run]int
	saved     map[describer.TaskID]string     // latest durable checkpoint
	resumes   map[runner.Run]string           // checkpoint that a run has to resume from
	released  map[runner.Run]bool             // because their leases lapsed at a silent worker
	over      map[describer.TaskID]runner.Run // finished durably
	jobs      map[string]*describer.Job
	cancelled map[string]int
	aside     map[describer.TaskID]bool
	restored  map[string]bool // drain and worker with a durable record
	completed map[describer.TaskID]runner.Run
	commits   int
}

// ledger is one shard's.
type ledger struct {
	owner    *node
	life     int
	epoch    int64
	lease    time.Time
	batch    int64
	snapshot []byte
	appends  []AppendRecords
}

func (l *ledger) tail() []describer.Record {
	var out []describer.Record
	for _, a := range l.appends {
		out = append(out, a.Records...)
	}
	return out
}

func newLedgers(w *world) *ledgers {
	c := testConfiguration()
	c.Shards = []describer.Shard{
		{ID: "bne-1", Domain: "seq-bne", Racks: []string{"r1"}},
		{ID: "bne-2", Domain: "seq-bne", Racks: []string{"r2"}},
	}
	return &ledgers{
		world: w, up: true, config: c,
		shards:    map[string]*ledger{"bne-1": {}, "bne-2": {}},
		drained:   make(map[string]bool),
		started:   make(map[runner.Run]int),
		saved:     make(map[describer.TaskID]string),
		resumes:   make(map[runner.Run]string),
		released:  make(map[runner.Run]bool),
		over:      make(map[describer.TaskID]runner.Run),
		jobs:      make(map[string]*describer.Job),
		cancelled: make(map[string]int),
		aside:     make(map[describer.TaskID]bool),
		restored:  make(map[string]bool),
		completed: make(map[describer.TaskID]runner.Run),
	}
}

func (s *ledgers) claim(n *node, shard string) (int64, bool) {
	l := s.shards[shard]
	if n.paused || !n.reaches() {
		return 0, false
	}
	if l.owner != nil && s.world.now.Before(l.lease) && (l.owner != n || l.life != n.life) {
		return 0, false
	}
	l.owner, l.life, l.batch = n, n.life, 0
	l.epoch++
	l.lease = s.world.now.Add(worldStoreLease)
	return l.epoch, true
}

func (s *ledgers) renew(n *node, shard string) bool {
	l := s.shards[shard]
	if l.owner != n || l.life != n.life || l.epoch != n.owns[shard] || !s.world.now.Before(l.lease) {
		return false
	}
	l.lease = s.world.now.Add(worldStoreLease)
	return true
}

func (s *ledgers) free(n *node, shard string) {
	if l := s.shards[shard]; l.owner == n && l.life == n.life {
		l.owner = nil
	}
}

// append commits a batch once; it is refused to a former owner.
func (s *ledgers) append(a AppendRecords) bool {
	l := s.shards[a.Shard]
	if l.epoch != a.Epoch {
		return false
	}
	if a.Batch <= l.batch {
		return true
	}
	if a.Batch != l.batch+1 {
		s.world.t.Fatalf("%s: batch %d after %d", a.Shard, a.Batch, l.batch)
	}
	l.batch = a.Batch
	l.appends = append(l.appends, a)
	for _, r := range a.Records {
		s.commit(r)
	}
	return true
}

func (s *ledgers) commit(r describer.Record) {
	s.commits++
	run := runner.Run{Task: r.Task, Token: r.Token}
	switch r.Kind {
	case describer.JobAccepted:
		if s.jobs[r.Job.ID] != nil {
			s.world.t.Fatalf("%s is accepted twice", r.Job.ID)
		}
		s.jobs[r.Job.ID] = r.Job
	case describer.JobCancelled:
		s.cancelled[r.JobID] = s.commits
	case describer.TaskStarted:
		if s.cancelled[r.Task.Job] > 0 {
			s.world.t.Fatalf("%s is started after its cancellation", r.Task)
		}
		s.started[run] = s.commits
		s.resumes[run] = s.saved[r.Task]
	case describer.TaskFinished:
		if first, ok := s.over[r.Task]; ok {
			s.world.t.Fatalf("%s ends twice, in %v and in %v", r.Task, first, run)
		}
		s.over[r.Task] = run
	case describer.TaskReleased:
		s.released[run] = r.Reason == "lease lapsed"
		if r.Checkpoint != "" {
			s.saved[r.Task] = r.Checkpoint
		}
	case describer.TaskAbandoned:
		s.aside[r.Task] = true
	case describer.DrainRestored:
		s.restored[r.Key+r.Worker] = true
	}
}

func (s *ledgers) save(n *node, e SaveSnapshot) {
	l := s.shards[e.Shard]
	if n.paused || !n.reaches() || l.epoch != e.Epoch {
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
func (s *ledgers) propose(n *node, e ProposeDrainUpdate) {
	i := slices.IndexFunc(s.config.Drains, func(d describer.Drain) bool { return d.ID == e.Drain })
	if !n.reaches() || i < 0 {
		return
	}
	s.config.Drains = slices.Clone(s.config.Drains)
	d := &s.config.Drains[i]
	s.config.Revision++
	if e.Worker == "" {
		if d.Until.After(s.world.now) {
			s.world.t.Fatalf("drain %s is restored before its time", d.ID)
		}
		d.State = describer.Restoring
		return
	}
	if !s.restored[d.ID+e.Worker] {
		s.world.t.Fatalf("drain %s gives up %s without a record", d.ID, e.Worker)
	}
	d.Restored = append(slices.Clone(d.Restored), e.Worker)
	if len(d.Restored) == len(d.Workers) {
		s.config.Drains = slices.Delete(s.config.Drains, i, i+1)
	}
}

// audit checks a run that begins against what is durable and what runs.
func (w *world) audit(m *fakeWorker, s runner.StartRequest) {
	run := runner.Run{Task: s.Task, Token: s.Token}
	at, ok := w.store.started[run]
	if !ok {
		w.t.Fatalf("%s begins without a durable record", s.Task)
	}
	if c := w.store.cancelled[s.Task.Job]; c > 0 && c < at {
		w.t.Fatalf("%s begins after its cancellation", s.Task)
	}
	if c, ok := w.store.completed[s.Task]; ok && !w.store.released[c] {
		w.t.Fatalf("%s begins again after it was completed", s.Task)
	}
	if s.Checkpoint != w.store.resumes[run] {
		w.t.Fatalf("%s resumes from %q, not from %q", s.Task, s.Checkpoint, w.store.resumes[run])
	}
	for _, other := range w.workers {
		other.advance()
		if r := other.runs[s.Task]; r != nil {
			w.t.Fatalf("%s runs on %s as %v and on %s as %v", s.Task, other.name, r.Token, m.name, s.Token)
		}
	}
}

// complete checks that a task is completed again only when the earlier
// completion was out of reach until its run was given up.
func (s *ledgers) complete(run runner.Run) {
	if first, ok := s.completed[run.Task]; ok && !s.released[first] {
		s.world.t.Fatalf("%s is completed twice", run.Task)
	}
	s.completed[run.Task] = run
}

// checkAck checks that a completion is forgotten only when it is durable.
func (s *ledgers) checkAck(f runner.FinishedRun) {
	if !f.OK || s.cancelled[f.Task.Job] > 0 {
		return
	}
	if s.over[f.Task] != f.Run && !s.released[f.Run] {
		s.world.t.Fatalf("the completion of %s is acknowledged before it is durable", f.Task)
	}
}

// check looks at the end, after everything has been well for a while.
func (s *ledgers) check() {
	for _, id := range sortedKeys(s.jobs) {
		if s.world.refused[id] {
			s.world.t.Fatalf("%s was refused as not run, and accepted", id)
		}
		for i := range s.jobs[id].Tasks {
			task := describer.TaskID{Job: id, Index: i}
			_, done := s.over[task]
			if !done && s.cancelled[id] == 0 && !s.aside[task] {
				s.world.t.Fatalf("%s has no end: %s", task, s.world.explain(task))
			}
		}
	}
	if len(s.config.Drains) > 0 {
		s.world.t.Fatalf("drains are left over: %+v", s.config.Drains)
	}
}

// explain says what the owners know about a task.
func (w *world) explain(id describer.TaskID) string {
	out := "no owner knows it"
	for _, n := range w.nodes {
		for _, sh := range n.state.sortedShards {
			if sh.view == nil {
				continue
			}
			if t := sh.view.task(id); t != nil {
				out = n.name + " " + sh.id + " " + sh.ownership.String() + ": " + t.state.String() + " " + t.worker + " " + t.pendingReason + " " + t.reason
				for _, worker := range sh.sortedWorkers {
					out += fmt.Sprintf("; %s has %v, %s", worker.name, worker.account.Free(), sh.closedReason(worker))
				}
			}
		}
	}
	return out
}
