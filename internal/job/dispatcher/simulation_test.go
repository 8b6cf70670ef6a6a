package dispatcher

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

var epoch = time.Date(2030, 1, 1, 6, 0, 0, 0, time.UTC)

const (
	simLease       = 6 * time.Second
	simStopTime    = 400 * time.Millisecond
	simOutageLimit = 8 * time.Second
	simAttempts    = 2
)

// reporter is the part of testing.T and rapid.T that the simulation uses.
type reporter interface {
	Fatalf(format string, args ...any)
}

// simulation runs the owners, workers and store of one shard in virtual time.
// Calls to workers are delayed, lost or executed late, as its rates say.
type simulation struct {
	t          reporter
	random     *rand.Rand
	now        time.Time
	timeline   timeline
	eventCount int
	workers    []*fakeWorker
	owner      *owner
	epoch      int64
	token      int64
	catalog    *specifier.Catalog

	store           map[string]*storedJob  // jobs by id
	recordedWorkers []string               // workers named by the last commit
	released        bool                   // the last owner shut down in order
	workerLeases    []recorder.WorkerLease // left by the last owner if released
	lostAnswerRate  float64                // fraction of calls whose answer is lost
	lateCallRate    float64                // fraction of calls that are executed seconds later, unanswered
	failureRate     float64                // fraction of runs that fail
	invariants      invariants
	history         []string
}

// storedJob is a job in the store.
type storedJob struct {
	job           specifier.Job
	progress      recorder.Progress
	started       bool
	state         specifier.State
	cancelled     bool
	cancelHeardAt time.Time // when the owner received the cancellation
}

// invariants tracks what the workers did, to check each start against it.
type invariants struct {
	acked         map[specifier.TaskID]bool // completed and acknowledged
	completed     map[specifier.TaskID]bool // completed, acknowledged or not
	ackedFailures map[specifier.TaskID]int  // number of acknowledged failures
}

// timelineEvent is something scheduled for a time; sequence breaks ties.
type timelineEvent struct {
	at       time.Time
	sequence int
	do       func()
}

// timeline is a heap of scheduled events.
type timeline []timelineEvent

func (l timeline) Len() int { return len(l) }

func (l timeline) Less(i, j int) bool {
	if !l[i].at.Equal(l[j].at) {
		return l[i].at.Before(l[j].at)
	}
	return l[i].sequence < l[j].sequence
}
func (l timeline) Swap(i, j int) { l[i], l[j] = l[j], l[i] }
func (l *timeline) Push(e any)   { *l = append(*l, e.(timelineEvent)) }

func (l *timeline) Pop() any {
	old := *l
	e := old[len(old)-1]
	*l = old[:len(old)-1]
	return e
}

// newSimulation returns a simulation with workers w0, w1 and so on, and an
// owner.
func newSimulation(t reporter, seed uint64, workers int) *simulation {
	s := &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: epoch, store: make(map[string]*storedJob),
		catalog: &specifier.Catalog{Version: 1, Queues: []specifier.Queue{
			{Name: "menus", Service: "desk", Attempts: simAttempts, Slack: 2, Completion: time.Second},
		}},
		invariants: invariants{
			acked: make(map[specifier.TaskID]bool), completed: make(map[specifier.TaskID]bool), ackedFailures: make(map[specifier.TaskID]int),
		},
	}
	for i := range workers {
		m := &fakeWorker{sim: s, id: fmt.Sprintf("w%d", i), registered: true}
		m.restart()
		s.workers = append(s.workers, m)
	}
	s.claim()
	return s
}

func (s *simulation) schedule(d time.Duration, do func()) {
	s.eventCount++
	heap.Push(&s.timeline, timelineEvent{s.now.Add(d), s.eventCount, do})
}

// advance runs everything scheduled within d.
func (s *simulation) advance(d time.Duration) {
	end := s.now.Add(d)
	for len(s.timeline) > 0 && !s.timeline[0].at.After(end) {
		e := heap.Pop(&s.timeline).(timelineEvent)
		s.now = e.at
		e.do()
	}
	s.now = end
}

// logf adds a line to the history.
func (s *simulation) logf(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", s.now.Sub(epoch).Seconds()) + fmt.Sprintf(format, args...)
	s.history = append(s.history, line)
}

// fail prints the end of the history and fails the test.
func (s *simulation) fail(format string, args ...any) {
	tail := s.history[max(0, len(s.history)-60):]
	for _, line := range tail {
		fmt.Println(line)
	}
	s.t.Fatalf(format, args...)
}

// delay returns a random network delay.
func (s *simulation) delay() time.Duration {
	return time.Duration(1+s.random.IntN(20)) * time.Millisecond
}

// owner is one ownership of the shard.
type owner struct {
	sim          *simulation
	shard        *Shard
	token        int64
	alive        bool
	paused       bool
	unreachable  map[*fakeWorker]bool
	reachesStore bool // can reach the store
	queuedEvents []Event
}

// claim creates a new owner, which loads the durable state.
func (s *simulation) claim() {
	s.token++
	o := &owner{sim: s, token: s.token, alive: true, reachesStore: true, unreachable: make(map[*fakeWorker]bool)}
	o.shard = New(Options{
		Name: "desk", Service: "desk", Epoch: s.epoch, Workers: slices.Clone(s.recordedWorkers),
		Released: s.released, WorkerLeases: s.workerLeases,
		Lease: simLease, OutageLimit: simOutageLimit, PollWait: 500 * time.Millisecond,
	}, s.now)
	s.epoch++
	s.released, s.workerLeases = false, nil
	s.owner = o
	s.logf("claim %d", o.token)
	events := []Event{CatalogUpdated{Catalog: s.catalog}}
	ids := sortedKeys(s.store)
	for _, id := range ids {
		if r := s.store[id]; !r.state.IsFinal() {
			events = append(events, JobLoaded{Job: r.job, Progress: r.progress, Started: r.started})
		}
	}
	for _, id := range ids {
		if r := s.store[id]; r.cancelled && !r.state.IsFinal() {
			events = append(events, JobCancelled{ID: id})
		}
	}
	o.reduce(append(events, WorkersListed{Workers: s.registrations()})...)
	o.tick()
}

// release ends the current ownership by a planned shutdown.
func (s *simulation) release() {
	o := s.owner
	if !o.alive || o.paused || !o.reachesStore {
		return
	}
	s.logf("owner %d shuts down", o.token)
	o.alive = false
	s.workerLeases, s.released = o.shard.WorkerLeases(s.now), true
	s.recordedWorkers = nil
	for _, lease := range s.workerLeases {
		s.recordedWorkers = append(s.recordedWorkers, lease.Worker)
	}
	s.schedule(s.delay(), s.claim)
}

func (s *simulation) registrations() []specifier.Worker {
	var out []specifier.Worker
	for _, m := range s.workers {
		if m.registered {
			out = append(out, m.registration())
		}
	}
	return out
}

// tick sends the regular events every 50 ms while the owner is alive.
func (o *owner) tick() {
	if !o.alive {
		return
	}
	if !o.paused {
		if o.reachesStore && o.sim.owner == o {
			o.reduce(OwnershipChecked{Confirmed: true}, WorkersListed{Workers: o.sim.registrations()})
		}
		o.reduce(Tick{})
	}
	o.sim.schedule(50*time.Millisecond, o.tick)
}

// post delivers an event; a paused owner processes it when it resumes.
func (o *owner) post(event Event) {
	switch {
	case !o.alive:
	case o.paused:
		o.queuedEvents = append(o.queuedEvents, event)
	default:
		o.reduce(event)
	}
}

// resume ends a pause.
func (o *owner) resume() {
	if !o.alive {
		return
	}
	o.paused = false
	events := o.queuedEvents
	o.queuedEvents = nil
	o.reduce(events...)
}

func (o *owner) reduce(events ...Event) {
	for _, effect := range o.shard.Reduce(o.sim.now, events...) {
		o.execute(effect)
	}
}

func (o *owner) execute(effect Effect) {
	s := o.sim
	switch e := effect.(type) {
	case Log:
		s.logf("owner %d: %s %s %s run %d %s", o.token, e.Message, e.Task+e.Job, e.Worker, e.Run, e.Reason)
	case Resign:
		o.alive = false
	case Commit:
		s.schedule(s.delay(), func() { o.commit(e) })
	case StartRun:
		o.callWorker(e.Worker, func(m *fakeWorker) Event {
			return StartAnswered{Worker: m.id, Incarnation: e.Worker.Incarnation, Task: e.Task, Run: e.Run, Fault: m.start(o.token, e)}
		}, StartAnswered{Worker: e.Worker.ID, Incarnation: e.Worker.Incarnation, Task: e.Task, Run: e.Run, Fault: OutcomeUnknown})
	case StopRun:
		o.callWorker(e.Worker, func(m *fakeWorker) Event {
			return StopAnswered{Worker: m.id, Incarnation: e.Worker.Incarnation, Task: e.Task, Run: e.Run, Fault: m.stop(o.token, e.Task, e.Run)}
		}, StopAnswered{Worker: e.Worker.ID, Incarnation: e.Worker.Incarnation, Task: e.Task, Run: e.Run, Fault: OutcomeUnknown})
	case PaceRun:
	case PollWorker:
		sent := s.now
		o.callWorker(e.Worker, func(m *fakeWorker) Event {
			inventory, fault := m.poll(o.token, e)
			if fault != NoFault {
				return PollFailed{Worker: m.id, Incarnation: e.Worker.Incarnation, Fault: fault}
			}
			return PollAnswered{Worker: m.id, Sent: sent, Inventory: inventory}
		}, PollFailed{Worker: e.Worker.ID, Incarnation: e.Worker.Incarnation, Fault: OutcomeUnknown})
	}
}

// callWorker executes an order at a worker and posts its answer, or lost if
// there is none.
func (o *owner) callWorker(reg specifier.Worker, do func(*fakeWorker) Event, lost Event) {
	s := o.sim
	m := s.worker(reg.ID)
	timeout := time.Second
	roll := s.random.Float64()
	switch {
	case roll < s.lateCallRate:
		s.schedule(time.Duration(2000+s.random.IntN(10000))*time.Millisecond, func() {
			if m.isUp() && m.incarnation == reg.Incarnation {
				do(m)
			}
		})
		s.schedule(timeout, func() { o.post(lost) })
	case roll < s.lateCallRate+s.lostAnswerRate:
		s.schedule(s.delay(), func() {
			if m.isUp() && !o.unreachable[m] && m.incarnation == reg.Incarnation {
				do(m)
			}
		})
		s.schedule(timeout, func() { o.post(lost) })
	default:
		s.schedule(s.delay(), func() {
			if !m.isUp() || o.unreachable[m] || m.incarnation != reg.Incarnation {
				s.schedule(timeout, func() { o.post(lost) })
				return
			}
			answer := do(m)
			s.schedule(s.delay(), func() { o.post(answer) })
		})
	}
}

func (s *simulation) worker(id string) *fakeWorker {
	for _, m := range s.workers {
		if m.id == id {
			return m
		}
	}
	return nil
}

// commit makes changes durable, unless another owner has claimed the shard.
func (o *owner) commit(e Commit) {
	s := o.sim
	if !o.alive {
		return
	}
	if !o.reachesStore {
		s.schedule(200*time.Millisecond, func() { o.commit(e) })
		return
	}
	if s.owner != o {
		o.alive = false
		return
	}
	for _, change := range e.Changes {
		r := s.store[change.ID]
		if r.state.IsFinal() {
			continue
		}
		r.state = change.State
		if !change.State.IsFinal() {
			r.progress, r.started = change.Progress, true
		}
	}
	s.recordedWorkers = e.Workers
	s.schedule(s.delay(), func() { o.post(Committed{Batch: e.Batch}) })
}

// submit stores a job and delivers it to the owner twice.
func (s *simulation) submit(job specifier.Job) {
	job.Queue = "menus"
	job.Accepted = s.now
	s.store[job.ID] = &storedJob{job: job, state: specifier.Queued}
	o := s.owner
	// After an interrupted watch, a list delivers jobs in any order.
	s.schedule(time.Duration(s.random.IntN(1500))*time.Millisecond, func() { o.post(JobArrived{Job: job}) })
	// A delayed watch delivers the job again.
	s.schedule(time.Duration(s.random.IntN(4000))*time.Millisecond, func() { o.post(JobArrived{Job: job}) })
}

// cancel stores a cancellation and delivers it to the owner.
func (s *simulation) cancel(id string) {
	r := s.store[id]
	if r == nil || r.state.IsFinal() {
		return
	}
	r.cancelled = true
	o := s.owner
	s.schedule(s.delay(), func() {
		o.post(JobCancelled{ID: id})
		if o.alive && !o.paused {
			r.cancelHeardAt = s.now
		}
	})
}

func resources(cpu int64) describer.Resources {
	return describer.Resources{CPU: cpu, Memory: 100}
}
