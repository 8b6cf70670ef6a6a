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
	worldLease    = 6 * time.Second
	worldStop     = 400 * time.Millisecond
	worldOutage   = 8 * time.Second
	worldAttempts = 2
)

type reporter interface {
	Fatalf(format string, args ...any)
}

// world is one shard's owners, workers and store in virtual time. Calls to
// workers are delayed, lost, and carried out late as its faults say.
type world struct {
	t       reporter
	random  *rand.Rand
	now     time.Time
	events  timeline
	number  int
	workers []*fakeWorker
	owner   *owner
	epoch   int64
	token   int64
	catalog *specifier.Catalog

	store    map[string]*record     // jobs by id
	used     []string               // workers named by the last commit
	released bool                   // the last owner has stopped as planned
	left     []recorder.WorkerLease // by it
	lose     float64                // share of calls whose answer is lost
	late     float64                // share of calls that are carried out seconds later, unanswered
	faulty   float64                // share of runs that fail
	rules    rules
	history  []string
}

// record is a job in the store.
type record struct {
	job       specifier.Job
	progress  recorder.Progress
	begun     bool
	state     specifier.State
	cancelled bool
	told      time.Time // when the owner heard of the cancellation
}

// rules are what must hold, kept from what the workers see.
type rules struct {
	noted  map[specifier.TaskID]bool // completed, and the end was acknowledged
	done   map[specifier.TaskID]bool
	failed map[specifier.TaskID]int // acknowledged failures
}

type timelineEvent struct {
	at     time.Time
	number int
	do     func()
}

type timeline []timelineEvent

func (l timeline) Len() int { return len(l) }

func (l timeline) Less(i, j int) bool {
	if !l[i].at.Equal(l[j].at) {
		return l[i].at.Before(l[j].at)
	}
	return l[i].number < l[j].number
}
func (l timeline) Swap(i, j int) { l[i], l[j] = l[j], l[i] }
func (l *timeline) Push(e any)   { *l = append(*l, e.(timelineEvent)) }

func (l *timeline) Pop() any {
	old := *l
	e := old[len(old)-1]
	*l = old[:len(old)-1]
	return e
}

func newWorld(t reporter, seed uint64, workers int) *world {
	w := &world{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: epoch, store: make(map[string]*record),
		catalog: &specifier.Catalog{Version: 1, Queues: []specifier.Queue{
			{Name: "menus", Service: "desk", Attempts: worldAttempts, Slack: 2, Completion: time.Second},
		}},
		rules: rules{
			noted: make(map[specifier.TaskID]bool), done: make(map[specifier.TaskID]bool), failed: make(map[specifier.TaskID]int),
		},
	}
	for i := range workers {
		m := &fakeWorker{world: w, id: fmt.Sprintf("w%d", i), registered: true}
		m.bear()
		w.workers = append(w.workers, m)
	}
	w.claim()
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.number++
	heap.Push(&w.events, timelineEvent{w.now.Add(d), w.number, do})
}

// pass lets virtual time go by.
func (w *world) pass(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(timelineEvent)
		w.now = e.at
		e.do()
	}
	w.now = end
}

func (w *world) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", w.now.Sub(epoch).Seconds()) + fmt.Sprintf(format, args...)
	w.history = append(w.history, line)
}

func (w *world) fail(format string, args ...any) {
	tail := w.history[max(0, len(w.history)-60):]
	for _, line := range tail {
		fmt.Println(line)
	}
	w.t.Fatalf(format, args...)
}

func (w *world) delay() time.Duration {
	return time.Duration(1+w.random.IntN(20)) * time.Millisecond
}

// owner is one ownership of the shard.
type owner struct {
	world  *world
	shard  *Shard
	token  int64
	alive  bool
	frozen bool
	cut    map[*fakeWorker]bool
	store  bool // reaches the store
	held   []Event
}

// claim makes a new owner, which loads what is durable.
func (w *world) claim() {
	w.token++
	o := &owner{world: w, token: w.token, alive: true, store: true, cut: make(map[*fakeWorker]bool)}
	o.shard = New(Options{
		Name: "desk", Service: "desk", Epoch: w.epoch, Workers: slices.Clone(w.used),
		Released: w.released, WorkerLeases: w.left,
		Lease: worldLease, OutageLimit: worldOutage, PollWait: 500 * time.Millisecond,
	}, w.now)
	w.epoch++
	w.released, w.left = false, nil
	w.owner = o
	w.note("claim %d", o.token)
	events := []Event{CatalogUpdated{Catalog: w.catalog}}
	ids := sortedKeys(w.store)
	for _, id := range ids {
		if r := w.store[id]; !r.state.IsFinal() {
			events = append(events, JobLoaded{Job: r.job, Progress: r.progress, Begun: r.begun})
		}
	}
	for _, id := range ids {
		if r := w.store[id]; r.cancelled && !r.state.IsFinal() {
			events = append(events, JobCancelled{ID: id})
		}
	}
	o.reduce(append(events, WorkersListed{Workers: w.list()})...)
	o.tick()
}

// release ends the present ownership as a planned stop does.
func (w *world) release() {
	o := w.owner
	if !o.alive || o.frozen || !o.store {
		return
	}
	w.note("owner %d stops as planned", o.token)
	o.alive = false
	w.left, w.released = o.shard.WorkerLeases(w.now), true
	w.used = nil
	for _, left := range w.left {
		w.used = append(w.used, left.Worker)
	}
	w.after(w.delay(), w.claim)
}

func (w *world) list() []specifier.Worker {
	var out []specifier.Worker
	for _, m := range w.workers {
		if m.registered {
			out = append(out, m.registration())
		}
	}
	return out
}

func (o *owner) tick() {
	if !o.alive {
		return
	}
	if !o.frozen {
		if o.store && o.world.owner == o {
			o.reduce(OwnershipChecked{Confirmed: true}, WorkersListed{Workers: o.world.list()})
		}
		o.reduce(Tick{})
	}
	o.world.after(50*time.Millisecond, o.tick)
}

func (o *owner) post(event Event) {
	switch {
	case !o.alive:
	case o.frozen:
		o.held = append(o.held, event)
	default:
		o.reduce(event)
	}
}

func (o *owner) thaw() {
	if !o.alive {
		return
	}
	o.frozen = false
	events := o.held
	o.held = nil
	o.reduce(events...)
}

func (o *owner) reduce(events ...Event) {
	for _, effect := range o.shard.Reduce(o.world.now, events...) {
		o.carryOut(effect)
	}
}

func (o *owner) carryOut(effect Effect) {
	w := o.world
	switch e := effect.(type) {
	case Log:
		w.note("owner %d: %s %s %s run %d %s", o.token, e.Message, e.Task+e.Job, e.Worker, e.Run, e.Reason)
	case Resign:
		o.alive = false
	case Commit:
		w.after(w.delay(), func() { o.commit(e) })
	case StartRun:
		o.call(e.Worker, func(m *fakeWorker) Event {
			return StartAnswered{Worker: m.id, Incarnation: e.Worker.Incarnation, Task: e.Task, Run: e.Run, Fault: m.start(o.token, e)}
		}, StartAnswered{Worker: e.Worker.ID, Incarnation: e.Worker.Incarnation, Task: e.Task, Run: e.Run, Fault: OutcomeUnknown})
	case StopRun:
		o.call(e.Worker, func(m *fakeWorker) Event {
			return StopAnswered{Worker: m.id, Incarnation: e.Worker.Incarnation, Task: e.Task, Run: e.Run, Fault: m.stop(o.token, e.Task, e.Run)}
		}, StopAnswered{Worker: e.Worker.ID, Incarnation: e.Worker.Incarnation, Task: e.Task, Run: e.Run, Fault: OutcomeUnknown})
	case PaceRun:
	case PollWorker:
		sent := w.now
		o.call(e.Worker, func(m *fakeWorker) Event {
			inventory, fault := m.hold(o.token, e)
			if fault != NoFault {
				return PollFailed{Worker: m.id, Incarnation: e.Worker.Incarnation, Fault: fault}
			}
			return PollAnswered{Worker: m.id, Sent: sent, Inventory: inventory}
		}, PollFailed{Worker: e.Worker.ID, Incarnation: e.Worker.Incarnation, Fault: OutcomeUnknown})
	}
}

// call carries out an order at a worker and posts its answer, or lost.
func (o *owner) call(reg specifier.Worker, do func(*fakeWorker) Event, lost Event) {
	w := o.world
	m := w.worker(reg.ID)
	timeout := time.Second
	roll := w.random.Float64()
	switch {
	case roll < w.late:
		w.after(time.Duration(2000+w.random.IntN(10000))*time.Millisecond, func() {
			if m.isUp() && m.born == reg.Incarnation {
				do(m)
			}
		})
		w.after(timeout, func() { o.post(lost) })
	case roll < w.late+w.lose:
		w.after(w.delay(), func() {
			if m.isUp() && !o.cut[m] && m.born == reg.Incarnation {
				do(m)
			}
		})
		w.after(timeout, func() { o.post(lost) })
	default:
		w.after(w.delay(), func() {
			if !m.isUp() || o.cut[m] || m.born != reg.Incarnation {
				w.after(timeout, func() { o.post(lost) })
				return
			}
			answer := do(m)
			w.after(w.delay(), func() { o.post(answer) })
		})
	}
}

func (w *world) worker(id string) *fakeWorker {
	for _, m := range w.workers {
		if m.id == id {
			return m
		}
	}
	return nil
}

// commit makes changes durable, unless another owner has claimed.
func (o *owner) commit(e Commit) {
	w := o.world
	if !o.alive {
		return
	}
	if !o.store {
		w.after(200*time.Millisecond, func() { o.commit(e) })
		return
	}
	if w.owner != o {
		o.alive = false
		return
	}
	for _, change := range e.Changes {
		r := w.store[change.ID]
		if r.state.IsFinal() {
			continue
		}
		r.state = change.State
		if !change.State.IsFinal() {
			r.progress, r.begun = change.Progress, true
		}
	}
	w.used = e.Workers
	w.after(w.delay(), func() { o.post(Committed{Batch: e.Batch}) })
}

// submit accepts a job.
func (w *world) submit(job specifier.Job) {
	job.Queue = "menus"
	job.Accepted = w.now
	w.store[job.ID] = &record{job: job, state: specifier.Queued}
	o := w.owner
	// A watch that is cut is read again by a list, in any order.
	w.after(time.Duration(w.random.IntN(1500))*time.Millisecond, func() { o.post(JobArrived{Job: job}) })
	// A watch that lags delivers it again.
	w.after(time.Duration(w.random.IntN(4000))*time.Millisecond, func() { o.post(JobArrived{Job: job}) })
}

func (w *world) cancel(id string) {
	r := w.store[id]
	if r == nil || r.state.IsFinal() {
		return
	}
	r.cancelled = true
	o := w.owner
	w.after(w.delay(), func() {
		o.post(JobCancelled{ID: id})
		if o.alive && !o.frozen {
			r.told = w.now
		}
	})
}

func resources(cpu int64) describer.Resources {
	return describer.Resources{CPU: cpu, Memory: 100}
}
