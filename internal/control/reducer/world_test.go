package reducer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
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
	workers  []*fakeWorker
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
		w.workers = append(w.workers, newFakeWorker(w, name, time.Duration(i)*time.Hour))
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

// call carries a message to a worker and its answer back. Either may be lost
// or come long after the caller has given up.
func (w *world) call(n *node, worker string, do func(*fakeWorker) Event, failed Event) {
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
	m := w.worker(worker)
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

func (w *world) worker(name string) *fakeWorker {
	i := slices.IndexFunc(w.workers, func(m *fakeWorker) bool { return m.name == name })
	return w.workers[i]
}

func (w *world) hosts() []describer.Host {
	var names []string
	for _, m := range w.workers {
		names = append(names, m.name)
	}
	hosts := testHosts(names...)
	hosts[2].Rack, hosts[3].Rack = "r2", "r2"
	return slices.DeleteFunc(hosts, func(h describer.Host) bool { return w.worker(h.Name).unlisted })
}
