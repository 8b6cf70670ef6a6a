package dispatcher

import (
	"fmt"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
)

// simShard is a shard with its current owner and its records in the store. The
// records of its jobs are in simulation.store.
type simShard struct {
	sim     *simulation
	name    string
	workers []*fakeWorker
	owner   *owner
	epoch   int64
	load    recorder.Load // last summary

	resignation     *EarlierOwnerResigned  // the last one, or nil
	recordedWorkers recorder.WorkerList    // of the last commit
	ownerEnded      bool                   // the last owner has crashed, and its successor is another process of its daemon
	renewedAt       time.Time              // when the lease of the owner's record was last renewed
	released        bool                   // the last owner released the shard
	workerLeases    []recorder.WorkerLease // left by the last owner if released
	progress        map[string]recorder.Progress
	cancels         map[string]time.Time // when the cancellation was written, by job id
	transfers       map[specifier.TaskID]recorder.Transfer

	commitFault  commitFault   // of the next commit
	faultLength  time.Duration // duration of that fault
	needsSharing bool          // the fault waits for a commit that writes to other shards

	placeOwner func(*owner) // sets which workers the next owners reach, and how far they are
}

// commitFault is something that happens to an owner when it commits.
type commitFault int

const (
	noCommitFault commitFault = iota
	commitLost                // the owner dies before the commit is durable
	commitUnheard             // the commit is durable, but the owner dies before it hears of it
	commitLate                // the owner hears late that the commit is durable
	commitFaults              // number of them
)

// newSimShard returns a shard without an owner.
func newSimShard(s *simulation, name string, workers int) *simShard {
	sh := &simShard{
		sim: s, name: name, progress: make(map[string]recorder.Progress), cancels: make(map[string]time.Time),
		transfers: make(map[specifier.TaskID]recorder.Transfer),
	}
	for range workers {
		w := &fakeWorker{sim: s, id: fmt.Sprintf("w%d", len(s.workers)), registered: true}
		w.restart()
		s.workers = append(s.workers, w)
		sh.workers = append(sh.workers, w)
	}
	return sh
}

// claim creates a new owner, which loads the durable state.
func (sh *simShard) claim() {
	s, o := sh.sim, sh.newOwner()
	events := append([]Event{CatalogUpdated{Catalog: s.catalog}}, sh.records()...)
	if sh.resignation != nil {
		events = append(events, *sh.resignation)
	}
	events = append(events, s.hostEvacuations()...)
	o.reduce(append(events, WorkersListed{Workers: sh.registrations()})...)
	o.hearLoaded()
	o.tick()
}

// newOwner replaces the fence of the shard, so that it has a new owner, which does nothing yet.
func (sh *simShard) newOwner() *owner {
	s := sh.sim
	s.token++
	o := &owner{
		sim: s, home: sh, token: s.token, alive: true, reachesStore: true,
		unreachable: make(map[*fakeWorker]bool), heard: make(map[string]time.Time), epoch: sh.epoch,
	}
	fence := sh.fence()
	claimed := fence.Succeed(sh.ownerEnded)
	o.shard = New(Options{
		Name: sh.name, Service: "desk", Divided: len(s.shards) > 1, Epoch: sh.epoch, Previous: sh.recordedWorkers, Claimed: claimed,
		RecordTTL: sh.recordTTL(), Released: sh.released, WorkerLeases: sh.workerLeases, OwnerEnded: sh.ownerEnded && fence.KnowsEarlier(),
		EarlierKnown: fence.KnowsEarlier(), Lease: simLease, MaxLease: simMaxLease, OutageLimit: simOutageLimit, PollWait: 500 * time.Millisecond, RoomNotice: 4 * time.Second,
		MaxEvacuationAge: s.evacuation.maxAge, Reservations: true,
	}, s.now)
	sh.epoch++
	sh.released, sh.workerLeases = false, nil
	sh.ownerEnded = false
	sh.recordedWorkers = claimed
	sh.owner = o
	if sh.placeOwner != nil {
		sh.placeOwner(o)
	}
	s.logf("%s: claim %d", sh.name, o.token)
	return o
}

// recordTTL returns Options.RecordTTL of a claim. Some tests don't wait until the record expires.
func (sh *simShard) recordTTL() time.Duration {
	if sh.released || sh.ownerEnded || sh.sim.now.Sub(sh.renewedAt) < simOwnerTTL {
		return 0
	}
	return simOwnerTTL
}

// fence returns the fence of the shard in the store.
func (sh *simShard) fence() recorder.Fence {
	if sh.epoch == 0 {
		return recorder.Fence{WorkerList: recorder.WorkerList{Rule: recorder.QuorumRule}}
	}
	f := recorder.Fence{WorkerList: sh.recordedWorkers, Released: sh.released}
	if sh.released {
		f.WorkerList, f.WorkerLeases = recorder.WorkerList{}, sh.workerLeases
	}
	return f
}

// records returns the shard's records in the order in which a new owner gets them.
func (sh *simShard) records() []Event {
	var events []Event
	for _, id := range sortedKeys(sh.sim.store) {
		if sh.hasJob(id) {
			_, started := sh.progress[id]
			events = append(events, JobLoaded{Job: sh.sim.store[id].job, Progress: sh.savedProgress(id), Started: started})
		}
	}
	for _, id := range sh.arrivals() {
		events = append(events, TaskArrived{Task: id, Transfer: sh.transfers[id], Progress: sh.savedProgress(id.Job)})
	}
	for _, id := range sortedKeys(sh.cancels) {
		events = append(events, JobCancelled{ID: id})
	}
	return events
}

// hasJob reports whether the shard has the record of an unfinished job.
func (sh *simShard) hasJob(id string) bool {
	r := sh.sim.store[id]
	return r.home == sh && !r.state.IsFinal()
}

// savedProgress returns a copy of a job's progress, so that owners share no memory.
func (sh *simShard) savedProgress(id string) recorder.Progress {
	var p recorder.Progress
	if saved, ok := sh.progress[id]; ok {
		if err := recorder.Decode(recorder.Encode(saved), &p); err != nil {
			sh.sim.fail("progress of %s can't be decoded: %v", id, err)
		}
	}
	return p
}

// arrivals returns the sorted tasks of which there are transfer records.
func (sh *simShard) arrivals() []specifier.TaskID {
	ids := make([]specifier.TaskID, 0, len(sh.transfers))
	for id := range sh.transfers {
		ids = append(ids, id)
	}
	sortTasks(ids)
	return ids
}

// hasPart reports whether the shard has transfer records of a job.
func (sh *simShard) hasPart(job string) bool {
	for id := range sh.transfers {
		if id.Job == job {
			return true
		}
	}
	return false
}

// release ends the current ownership by a planned shutdown.
func (sh *simShard) release() {
	s, o := sh.sim, sh.owner
	if !o.alive || o.paused || !o.reachesStore || o.losesAnswer(nil) {
		return
	}
	s.logf("owner %d shuts down", o.token)
	o.alive = false
	sh.workerLeases, sh.released = o.shard.WorkerLeases(s.now), true
	sh.recordedWorkers = recorder.WorkerList{}
	for _, lease := range sh.workerLeases {
		sh.recordedWorkers.Workers = append(sh.recordedWorkers.Workers, lease.Worker)
	}
	s.schedule(s.delay(), sh.claim)
}

func (sh *simShard) registrations() []specifier.Worker {
	var out []specifier.Worker
	for _, w := range sh.workers {
		if w.registered {
			out = append(out, w.registration())
		}
	}
	return out
}

// submit stores a job in the shard and delivers it to the owner twice.
func (sh *simShard) submit(job specifier.Job) {
	s := sh.sim
	job.Queue = "menus"
	job.Accepted = s.now
	s.store[job.ID] = &storedJob{job: job, home: sh, state: specifier.Queued}
	o := sh.owner
	// After an interrupted watch, a list delivers jobs in any order.
	s.schedule(time.Duration(s.random.IntN(1500))*time.Millisecond, func() { o.post(JobArrived{Job: job}) })
	// A delayed watch delivers the job again.
	s.schedule(time.Duration(s.random.IntN(4000))*time.Millisecond, func() { o.post(JobArrived{Job: job}) })
}

// apply makes a commit durable.
func (sh *simShard) apply(e Commit) {
	sh.checkEntries(&e)
	for _, id := range e.StaleTransfers {
		sh.sim.logf("%s: stale transfer of %s deleted", sh.name, id)
		delete(sh.transfers, id)
	}
	for _, id := range e.StaleCancels {
		delete(sh.cancels, id)
	}
	for i := range e.Changes {
		sh.applyChange(&e.Changes[i])
	}
	sh.recordedWorkers = e.WorkerList
	sh.owner.outage.appliedBatch = e.Batch
}

// checkEntries checks that a commit fits into a transaction, which also has a
// condition on the fence and replaces it.
func (sh *simShard) checkEntries(e *Commit) {
	n := 2 + len(e.StaleTransfers) + len(e.StaleCancels)
	for i := range e.Changes {
		c := &e.Changes[i]
		n += 2 + len(c.Handovers) + len(c.RemoveTransfers) + len(c.CancelIn) // index entry and progress
		if c.State.IsFinal() {
			n += 2 // job and cancellation
		}
	}
	if n > storer.MaxEntries {
		sh.sim.fail("%s commits %d entries", sh.name, n)
	}
}

// applyChange makes the change of one job durable.
func (sh *simShard) applyChange(c *Change) {
	s := sh.sim
	r := s.store[c.ID]
	switch {
	case c.Part:
	case c.SameIndex:
		if r.home != sh || r.state != c.State || !slices.Equal(r.parts, c.OtherShards) {
			s.fail("%s leaves the index entry of job %s as it was: %s %s", sh.name, c.ID, r.state, r.parts)
		}
	default:
		if !sh.updateIndex(r, c.State) {
			return
		}
		r.parts = c.OtherShards
	}
	if c.State.IsFinal() {
		delete(sh.progress, c.ID)
		delete(sh.cancels, c.ID)
	} else {
		sh.progress[c.ID] = c.Progress
	}
	for _, id := range c.RemoveTransfers {
		delete(sh.transfers, id)
	}
	for _, h := range c.Handovers {
		if r.job.Steps[h.Task.Step].Gang {
			s.fail("%s splits the gang of %s", sh.name, h.Task)
		}
		s.logf("%s: %s is in %s now, hop %d", sh.name, h.Task, h.Shard, h.Transfer.Hop)
		to := s.shard(h.Shard)
		to.transfers[h.Task] = h.Transfer
		arrived := TaskArrived{Task: h.Task, Transfer: h.Transfer}
		limit := 300 * time.Millisecond
		if s.random.IntN(4) == 0 {
			limit = 3 * time.Second // after an interrupted watch, also behind cancellations
		}
		to.deliver(arrived, limit)
		to.deliver(arrived, 4*time.Second)
	}
	for _, name := range c.CancelIn {
		s.logf("%s: %s cancelled in %s", sh.name, c.ID, name)
		s.shard(name).cancels[c.ID] = s.now
		s.shard(name).deliver(JobCancelled{ID: c.ID}, 300*time.Millisecond)
	}
}

// updateIndex updates the state in the index entry of a job. It reports whether the
// job hasn't ended before.
func (sh *simShard) updateIndex(r *storedJob, state specifier.State) bool {
	s := sh.sim
	if r.home != sh {
		s.fail("%s writes the index entry of job %s of %s", sh.name, r.job.ID, r.home.name)
	}
	if r.state.IsFinal() {
		if state != r.state {
			s.fail("job %s is %s after it was %s", r.job.ID, state, r.state)
		}
		return false
	}
	if r.state = state; state.IsFinal() {
		r.finalAt = s.now
	}
	return true
}

// deliver delivers a record of the shard to its owner within limit, or later if the
// owner doesn't reach the store.
func (sh *simShard) deliver(event Event, limit time.Duration) {
	o := sh.owner
	sh.sim.schedule(time.Duration(1+sh.sim.random.Int64N(int64(limit))), func() { o.receive(event) })
}

func (s *simulation) shard(name string) *simShard {
	for _, sh := range s.shards {
		if sh.name == name {
			return sh
		}
	}
	s.fail("there is no shard %q", name)
	return nil
}
