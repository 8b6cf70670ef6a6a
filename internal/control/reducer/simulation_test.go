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
	simStoreLease  = 8 * time.Second
	simCallTimeout = 2 * time.Second // of a call
	simMaxDelay    = 90 * time.Second
)

// world is a virtual fleet: daemons, workers with leases and fences, a store
// with outages, and messages that are lost or late.
type simulation struct {
	t             fataler
	now           time.Time
	rng           *rand.Rand
	scheduled     []scheduledCall
	lastSeq       int
	store         *fakeStore
	daemons       []*daemon
	workers       []*fakeWorker
	requests      RequestID
	submissions   map[RequestID]string // submissions by request
	refusedNotRun map[string]bool      // jobs with a refusal that promises NotRun
	reliable      bool                 // nothing more is lost or late
	longRuns      bool                 // runs take hours
	startDelay    time.Duration        // of every start, if set
}

// letter is something that happens at a time.
type scheduledCall struct {
	at  time.Time
	seq int
	run func()
}

// failer is what the audits need of a test.
type fataler interface {
	Fatalf(format string, args ...any)
}

func newSimulation(t fataler, seed uint64) *simulation {
	sim := &simulation{
		t: t, now: start, rng: rand.New(rand.NewPCG(seed, 1)),
		submissions: make(map[RequestID]string), refusedNotRun: make(map[string]bool),
	}
	sim.store = newFakeStore(sim)
	for i := range 4 {
		name := fmt.Sprintf("w%d", i)
		sim.workers = append(sim.workers, newFakeWorker(sim, name, time.Duration(i)*time.Hour))
	}
	for i := range 3 {
		d := &daemon{sim: sim, name: fmt.Sprintf("entry-%d", i), unreachable: make(map[string]bool), answersLost: make(map[string]bool)}
		sim.daemons = append(sim.daemons, d)
		d.boot()
	}
	return sim
}

func (sim *simulation) chance(share float64) bool { return !sim.reliable && sim.rng.Float64() < share }

func (sim *simulation) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(sim.rng.Int64N(int64(most-least)))
}

func (sim *simulation) after(wait time.Duration, do func()) {
	sim.lastSeq++
	l := scheduledCall{sim.now.Add(wait), sim.lastSeq, do}
	at := sort.Search(len(sim.scheduled), func(i int) bool { return sim.scheduled[i].at.After(l.at) })
	sim.scheduled = slices.Insert(sim.scheduled, at, l)
}

// length is a run's, mostly short.
func (sim *simulation) runLength() time.Duration {
	if sim.longRuns {
		return 10 * time.Hour
	}
	if sim.chance(0.2) {
		return sim.randomDuration(time.Minute, 4*time.Minute)
	}
	return sim.randomDuration(time.Second, 15*time.Second)
}

// pass lets time go by.
func (sim *simulation) advance(d time.Duration) {
	for end := sim.now.Add(d); len(sim.scheduled) > 0 && !sim.scheduled[0].at.After(end); {
		l := sim.scheduled[0]
		sim.scheduled = sim.scheduled[1:]
		sim.now = l.at
		l.run()
	}
}

// call carries a message to a worker and its answer back. Either may be lost
// or come long after the caller has given up.
func (sim *simulation) callWorker(d *daemon, worker string, do func(*fakeWorker) Event, failed Event) {
	answered := false
	answer := func(e Event) func() {
		return func() {
			if !answered && e != nil {
				answered = true
				d.reduce(e)
			}
		}
	}
	d.later(simCallTimeout, answer(failed))
	m := sim.worker(worker)
	if sim.chance(0.05) {
		return
	}
	there := sim.randomDuration(2e6, 2e8)
	if sim.chance(0.06) {
		there = sim.randomDuration(simCallTimeout, simMaxDelay)
	}
	if _, ok := failed.(StartAnswered); ok && sim.startDelay > 0 {
		there = sim.startDelay
	}
	sim.after(there, func() {
		if m.down || d.unreachable[worker] {
			return
		}
		e := do(m)
		if !sim.chance(0.05) && !d.answersLost[worker] {
			d.later(sim.randomDuration(2e6, 2e8), answer(e))
		}
	})
}

func (sim *simulation) worker(name string) *fakeWorker {
	i := slices.IndexFunc(sim.workers, func(m *fakeWorker) bool { return m.name == name })
	return sim.workers[i]
}

func (sim *simulation) hosts() []describer.Host {
	var names []string
	for _, m := range sim.workers {
		names = append(names, m.name)
	}
	hosts := testHosts(names...)
	hosts[2].Rack, hosts[3].Rack = "r2", "r2"
	return slices.DeleteFunc(hosts, func(h describer.Host) bool { return sim.worker(h.Name).unlisted })
}
