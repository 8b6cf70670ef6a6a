package reducer

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/placer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// Times of the fake world.
const (
	worldStoreLease = 8 * time.Second
	worldTimeout    = 2 * time.Second // of a call
	worldLate       = 90 * time.Second
)

// world is a virtual fleet: daemons, workers with leases and fences, a store
// with outages, and messages that are lost or late.
type world struct {
	t        failer
	now      time.Time
	rng      *rand.Rand
	letters  []letter
	count    int
	store    *ledgers
	nodes    []*node
	machines []*machine
	requests RequestID
	asked    map[RequestID]string // submissions by request
	refused  map[string]bool      // jobs with a refusal that promises NotRun
	calm     bool                 // nothing more is lost or late
	long     bool                 // runs take hours
	late     time.Duration        // of every start, if set
}

// letter is something that happens at a time.
type letter struct {
	due time.Time
	n   int
	do  func()
}

// failer is what the audits need of a test.
type failer interface {
	Fatalf(format string, args ...any)
}

func newWorld(t failer, seed uint64) *world {
	w := &world{
		t: t, now: start, rng: rand.New(rand.NewPCG(seed, 1)),
		asked: make(map[RequestID]string), refused: make(map[string]bool),
	}
	w.store = newLedgers(w)
	for i := range 4 {
		name := fmt.Sprintf("w%d", i)
		w.machines = append(w.machines, newMachine(w, name, time.Duration(i)*time.Hour))
	}
	for i := range 3 {
		n := &node{world: w, name: fmt.Sprintf("entry-%d", i), cut: make(map[string]bool), mute: make(map[string]bool)}
		w.nodes = append(w.nodes, n)
		n.boot()
	}
	return w
}

func (w *world) chance(share float64) bool { return !w.calm && w.rng.Float64() < share }

func (w *world) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.rng.Int64N(int64(most-least)))
}

func (w *world) after(wait time.Duration, do func()) {
	w.count++
	l := letter{w.now.Add(wait), w.count, do}
	at := sort.Search(len(w.letters), func(i int) bool { return w.letters[i].due.After(l.due) })
	w.letters = slices.Insert(w.letters, at, l)
}

// length is a run's, mostly short.
func (w *world) length() time.Duration {
	if w.long {
		return 10 * time.Hour
	}
	if w.chance(0.2) {
		return w.between(time.Minute, 4*time.Minute)
	}
	return w.between(time.Second, 15*time.Second)
}

// pass lets time go by.
func (w *world) pass(d time.Duration) {
	for end := w.now.Add(d); len(w.letters) > 0 && !w.letters[0].due.After(end); {
		l := w.letters[0]
		w.letters = w.letters[1:]
		w.now = l.due
		l.do()
	}
}

// node is a daemon: a State with the executors of its effects.
type node struct {
	world    *world
	name     string
	state    *State
	life     int // incremented with each boot
	alive    bool
	paused   bool
	inbox    []Event
	cutStore bool
	cut      map[string]bool // workers out of reach
	mute     map[string]bool // workers that hear it, and whose answers are lost
	blind    bool            // sees no peer
	owns     map[string]int64
	appends  map[string][]Append
	revision int64
}

func (n *node) boot() {
	o := testOptions()
	o.Daemon, o.TaskLease, o.LeaseMargin = n.name, 10*time.Second, 3*time.Second
	o.SyncInterval, o.OutageLimit = 2*time.Second, 40*time.Second
	n.state = New(o, Policies{Place: placer.FirstFit{}})
	n.state.snapshotLeast = 15
	n.life++
	n.alive, n.paused, n.inbox = true, false, nil
	n.owns, n.appends = make(map[string]int64), make(map[string][]Append)
	n.revision = 0
	n.reduce(Tick{Now: n.world.now})
	n.reduce(HostsListed{Hosts: n.world.hosts()})
	life := n.life
	n.every(life, 250*time.Millisecond, func() { n.reduce(Tick{Now: n.world.now}) })
	n.every(life, time.Second, n.watch)
	n.every(life, 2*time.Second, n.renew)
}

func (n *node) kill() { n.alive = false; n.life++ }

func (n *node) every(life int, wait time.Duration, do func()) {
	n.world.after(wait, func() {
		if n.life != life {
			return
		}
		if !n.paused {
			do()
		}
		n.every(life, wait, do)
	})
}

// resume delivers what came meanwhile before any tick, so with an old time.
func (n *node) resume() {
	n.paused = false
	inbox := n.inbox
	n.inbox = nil
	for _, e := range inbox {
		n.reduce(e)
	}
}

func (n *node) reduce(e Event) {
	if !n.alive {
		return
	}
	if n.paused {
		n.inbox = append(n.inbox, e)
		return
	}
	for _, effect := range n.state.Reduce(e) {
		n.execute(effect)
	}
}

// later runs in this life of the node.
func (n *node) later(wait time.Duration, do func()) {
	life := n.life
	n.world.after(wait, func() {
		if n.life == life {
			do()
		}
	})
}

func (n *node) reaches() bool { return n.world.store.up && !n.cutStore }

// watch brings configuration and membership.
func (n *node) watch() {
	if n.reaches() {
		n.reduce(Configured{Configuration: n.world.store.config})
	}
	var peers []Peer
	for _, o := range n.world.nodes {
		if o == n || o.alive && !n.blind {
			peers = append(peers, Peer{
				Name: o.name, Domain: "seq-bne", Address: o.name, Shards: sortedKeys(o.owns), Leaving: o.state.stopping,
			})
		}
	}
	n.reduce(PeersChanged{Alive: peers})
	n.reduce(HostsListed{Hosts: n.world.hosts()})
}

// renew keeps the shards' leases in the store.
func (n *node) renew() {
	if !n.reaches() {
		n.reduce(StoreReached{OK: false})
		return
	}
	for _, shard := range sortedKeys(n.owns) {
		if !n.world.store.renew(n, shard) {
			n.lose(shard, n.owns[shard])
		}
	}
	n.reduce(StoreReached{OK: true})
}

func (n *node) lose(shard string, epoch int64) {
	if n.owns[shard] == epoch {
		delete(n.owns, shard)
		delete(n.appends, shard)
	}
	n.reduce(ShardLost{Shard: shard, Epoch: epoch})
}

func (n *node) execute(effect Effect) {
	w := n.world
	switch e := effect.(type) {
	case Claim:
		n.later(w.between(1e6, 5e7), func() { n.claim(e.Shard) })
	case Release:
		n.later(w.between(1e6, 5e7), func() { n.release(e) })
	case Append:
		n.appends[e.Shard] = append(n.appends[e.Shard], e)
		if len(n.appends[e.Shard]) == 1 {
			n.later(w.between(1e6, 2e8), func() { n.append(e.Shard) })
		}
	case SaveSnapshot:
		n.later(w.between(1e6, 5e7), func() { w.store.save(n, e) })
	case StartTask:
		w.call(n, e.Worker, func(m *machine) Event {
			a := StartAnswered{Shard: e.Shard, Epoch: e.Epoch, Worker: e.Worker, Task: e.Start.Task, Token: e.Start.Token}
			if err := m.start(e.Start); err != "" {
				a.Err, a.Verdict = err, classifier.NotRun
			}
			return a
		}, StartAnswered{Shard: e.Shard, Epoch: e.Epoch, Worker: e.Worker, Task: e.Start.Task, Token: e.Start.Token, Err: "no answer"})
	case StopTask:
		w.call(n, e.Worker, func(m *machine) Event {
			a := StopAnswered{Shard: e.Shard, Epoch: e.Epoch, Worker: e.Worker, Task: e.Stop.Task, Token: e.Stop.Token}
			a.Stopped, a.Err = m.stop(e.Stop)
			return a
		}, StopAnswered{Shard: e.Shard, Epoch: e.Epoch, Worker: e.Worker, Task: e.Stop.Task, Token: e.Stop.Token, Err: "no answer"})
	case ThrottleTask:
		w.call(n, e.Worker, func(m *machine) Event { m.throttle(e.Throttle); return nil }, nil)
	case SyncWorker:
		sent := w.now
		w.call(n, e.Worker, func(m *machine) Event {
			s, err := m.sync(e.Sync)
			if err != "" {
				return WorkerFailed{Shard: e.Sync.Shard, Epoch: e.Sync.Epoch, Worker: e.Worker, Fenced: true}
			}
			return WorkerSynced{Shard: e.Sync.Shard, Epoch: e.Sync.Epoch, Worker: e.Worker, Sent: sent, Synced: s}
		}, WorkerFailed{Shard: e.Sync.Shard, Epoch: e.Sync.Epoch, Worker: e.Worker})
	case Reply:
		if id := w.asked[e.Request]; id != "" && e.Err != nil && e.Err.Verdict == classifier.NotRun {
			w.refused[id] = true
		}
	case Publish:
		if e.Table.Revision < n.revision {
			w.t.Fatalf("%s: configuration reverts from %d to %d", n.name, n.revision, e.Table.Revision)
		}
		n.revision = e.Table.Revision
	case Propose:
		if !w.chance(0.3) {
			n.later(w.between(1e6, 5e7), func() { w.store.propose(n, e) })
		}
	}
}

func (n *node) claim(shard string) {
	epoch, ok := n.world.store.claim(n, shard)
	if !ok || n.world.chance(0.1) {
		n.later(worldTimeout, func() { n.reduce(ClaimFailed{Shard: shard}) })
		return
	}
	n.owns[shard] = epoch
	n.appends[shard] = nil
	l := n.world.store.shards[shard]
	n.reduce(ShardClaimed{Shard: shard, Epoch: epoch, Snapshot: l.snapshot, Records: l.tail()})
}

func (n *node) release(e Release) {
	if n.owns[e.Shard] != e.Epoch {
		return
	}
	if !n.reaches() || len(n.appends[e.Shard]) > 0 {
		n.later(time.Second, func() { n.release(e) })
		return
	}
	n.world.store.free(n, e.Shard)
	n.lose(e.Shard, e.Epoch)
}

// append sends the oldest append until it has an answer.
func (n *node) append(shard string) {
	queue := n.appends[shard]
	if len(queue) == 0 || n.owns[shard] != queue[0].Epoch {
		return
	}
	again := func() { n.later(time.Second, func() { n.append(shard) }) }
	if n.paused || !n.reaches() {
		n.reduce(StoreReached{OK: false})
		again()
		return
	}
	if !n.world.store.append(queue[0]) {
		n.lose(shard, queue[0].Epoch)
		return
	}
	if n.world.chance(0.1) {
		again() // the answer is lost
		return
	}
	n.appends[shard] = queue[1:]
	n.reduce(Appended{Shard: shard, Epoch: queue[0].Epoch, Batch: queue[0].Batch})
	if len(n.appends[shard]) > 0 {
		n.later(n.world.between(1e6, 2e8), func() { n.append(shard) })
	}
}

// call carries a message to a worker and its answer back. Either may be lost
// or come long after the caller has given up.
func (w *world) call(n *node, worker string, do func(*machine) Event, failed Event) {
	answered := false
	answer := func(e Event) func() {
		return func() {
			if !answered && e != nil {
				answered = true
				n.reduce(e)
			}
		}
	}
	n.later(worldTimeout, answer(failed))
	m := w.machine(worker)
	if w.chance(0.05) {
		return
	}
	there := w.between(2e6, 2e8)
	if w.chance(0.06) {
		there = w.between(worldTimeout, worldLate)
	}
	if _, ok := failed.(StartAnswered); ok && w.late > 0 {
		there = w.late
	}
	w.after(there, func() {
		if m.dead || n.cut[worker] {
			return
		}
		e := do(m)
		if !w.chance(0.05) && !n.mute[worker] {
			n.later(w.between(2e6, 2e8), answer(e))
		}
	})
}

func (w *world) machine(name string) *machine {
	i := slices.IndexFunc(w.machines, func(m *machine) bool { return m.name == name })
	return w.machines[i]
}

func (w *world) hosts() []describer.Host {
	var names []string
	for _, m := range w.machines {
		names = append(names, m.name)
	}
	hosts := testHosts(names...)
	hosts[2].Rack, hosts[3].Rack = "r2", "r2"
	return slices.DeleteFunc(hosts, func(h describer.Host) bool { return w.machine(h.Name).unlisted })
}

// machine is a worker that keeps to its contract and audits its callers.
type machine struct {
	world    *world
	name     string
	offset   time.Duration // of its clock
	capacity describer.Resources
	dead     bool
	unlisted bool // missing in the host list
	bad      bool // fails every run
	epoch    int64
	fences   map[describer.TaskID]describer.Token
	runs     map[describer.TaskID]*machineRun
	ended    map[runner.Run]runner.Stopped
	finished map[runner.Run]runner.Finished
}

type machineRun struct {
	runner.Start
	began     time.Time
	lease     time.Time
	length    time.Duration
	throttled describer.Token
}

// used is sometimes all of the grant and sometimes little of it.
func (r *machineRun) used(m *machine) describer.Resources {
	if m.world.chance(0.5) {
		return r.Granted
	}
	return describer.Resources{CPU: r.Granted.CPU / 4, Memory: r.Granted.Memory}
}

func newMachine(w *world, name string, offset time.Duration) *machine {
	m := &machine{world: w, name: name, offset: offset, capacity: describer.Resources{CPU: 4000, Memory: 8192}}
	m.forget()
	return m
}

func (m *machine) forget() {
	for run, f := range m.finished {
		if f.OK && m.world.store.completed[run.Task] == run {
			delete(m.world.store.completed, run.Task)
		}
	}
	m.epoch = 0
	m.fences = make(map[describer.TaskID]describer.Token)
	m.runs = make(map[describer.TaskID]*machineRun)
	m.ended = make(map[runner.Run]runner.Stopped)
	m.finished = make(map[runner.Run]runner.Finished)
}

func (m *machine) clock() time.Time { return m.world.now.Add(m.offset) }

func (m *machine) leaseEnd(lease time.Duration, until time.Time) time.Time {
	end := m.clock().Add(lease)
	if !until.IsZero() && until.Before(end) {
		return until
	}
	return end
}

// advance ends what is over by now.
func (m *machine) advance() {
	for _, id := range sortedTasks(m.runs) {
		r := m.runs[id]
		run := runner.Run{Task: id, Token: r.Token}
		done := r.began.Add(r.length)
		f := runner.Finished{Run: run, Lapsed: true, Checkpoint: fmt.Sprint(r.Token)}
		switch {
		case !done.After(m.clock()) && !done.After(r.lease):
			f = runner.Finished{Run: run, OK: !m.bad, Reason: "bad worker", Result: json.RawMessage(`1`)}
			m.ended[run] = runner.Stopped{Ran: true, Finished: f.OK, Result: f.Result}
			if f.OK {
				m.world.store.complete(run)
			}
		case r.lease.After(m.clock()):
			continue
		default:
			m.ended[run] = runner.Stopped{Ran: true, Checkpoint: f.Checkpoint}
		}
		m.finished[run] = f
		delete(m.runs, id)
	}
}

func (m *machine) start(s runner.Start) string {
	m.advance()
	run := runner.Run{Task: s.Task, Token: s.Token}
	_, known := m.ended[run]
	switch {
	case s.Token.Epoch < m.epoch, s.Token.Less(m.fences[s.Task]):
		return "fenced"
	case !s.Until.IsZero() && m.clock().After(s.Until):
		return "late"
	case known && !m.ended[run].Ran:
		return "stopped before"
	case s.Token == m.fences[s.Task]:
		return ""
	}
	m.epoch = s.Token.Epoch
	m.fences[s.Task] = s.Token
	m.world.audit(m, s)
	m.runs[s.Task] = &machineRun{
		Start: s, began: m.clock(), lease: m.leaseEnd(s.Lease, s.Until), length: m.world.length(),
	}
	if sum := m.granted(); !sum.Fits(m.capacity) {
		m.world.t.Fatalf("%s is overfilled: %v", m.name, sum)
	}
	return ""
}

func (m *machine) granted() describer.Resources {
	var sum describer.Resources
	for _, r := range m.runs {
		sum = sum.Add(r.Granted)
	}
	return sum
}

func (m *machine) stop(s runner.Stop) (runner.Stopped, string) {
	m.advance()
	if s.Epoch < m.epoch {
		return runner.Stopped{}, "fenced"
	}
	m.epoch = s.Epoch
	if m.fences[s.Task].Less(s.Token) {
		m.fences[s.Task] = s.Token
	}
	run := runner.Run{Task: s.Task, Token: s.Token}
	if r := m.runs[s.Task]; r != nil && r.Token == s.Token {
		delete(m.runs, s.Task)
		m.ended[run] = runner.Stopped{Ran: true, Checkpoint: fmt.Sprint(s.Token)}
	} else if _, ok := m.ended[run]; !ok {
		m.ended[run] = runner.Stopped{}
	}
	return m.ended[run], ""
}

func (m *machine) throttle(t runner.Throttle) {
	m.advance()
	order := describer.Token{Epoch: t.Epoch, Sequence: t.Sequence}
	r := m.runs[t.Task]
	if t.Epoch < m.epoch || r == nil || r.Token != t.Token || order.Less(r.throttled) {
		return
	}
	r.throttled = order
	r.Granted.CPU = t.CPU
	if sum := m.granted(); !sum.Fits(m.capacity) {
		m.world.t.Fatalf("%s is overfilled by a throttle: %v", m.name, sum)
	}
}

func (m *machine) sync(s runner.Sync) (runner.Synced, string) {
	m.advance()
	if s.Epoch < m.epoch {
		return runner.Synced{}, "fenced"
	}
	m.epoch = s.Epoch
	for _, run := range s.Ack {
		m.world.store.checkAck(m.finished[run])
		delete(m.finished, run)
	}
	for _, run := range s.Renew {
		if r := m.runs[run.Task]; r != nil && r.Token == run.Token {
			if end := m.leaseEnd(s.Lease, s.Until); end.After(r.lease) {
				r.lease = end
			}
		}
	}
	out := runner.Synced{Clock: m.clock(), Capacity: m.capacity}
	for _, id := range sortedTasks(m.runs) {
		r := m.runs[id]
		out.Running = append(out.Running, runner.Running{
			Run: runner.Run{Task: id, Token: r.Token}, Granted: r.Granted, Used: r.used(m), Order: r.throttled,
		})
	}
	for _, f := range m.finished {
		out.Finished = append(out.Finished, f)
	}
	slices.SortFunc(out.Finished, func(a, b runner.Finished) int { return compareText(a.Task.String(), b.Task.String()) })
	return out, ""
}

func sortedTasks[V any](m map[describer.TaskID]V) []describer.TaskID {
	var out []describer.TaskID
	for id := range m {
		out = append(out, id)
	}
	slices.SortFunc(out, func(a, b describer.TaskID) int { return compareText(a.String(), b.String()) })
	return out
}
