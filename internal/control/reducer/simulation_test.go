package reducer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// Times in the simulation.
const (
	simStoreLease  = 8 * time.Second  // lease of a shard in the store
	simCallTimeout = 2 * time.Second  // time after which a caller gives up a call
	simMaxDelay    = 90 * time.Second // longest delay of a message
)

// simulation is a fleet in virtual time: daemons, workers with leases and fencing, a
// store with outages, and messages that are lost or delayed.
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
	submissions   map[RequestID]string // ids of submitted jobs by request
	refusedNotRun map[string]bool      // ids of jobs that were refused with the verdict NotRun
	reliable      bool                 // whether no message is lost or delayed
	longRuns      bool                 // whether runs take hours
	startDelay    time.Duration        // delay of each start call if not 0
}

// scheduledCall is a function that is called at a virtual time.
type scheduledCall struct {
	at  time.Time
	seq int
	run func()
}

// fataler is the part of a test handle that the checks need.
type fataler interface {
	Fatalf(format string, args ...any)
}

func newSimulation(t fataler, seed uint64) *simulation {
	sim := &simulation{
		t: t, now: startTime, rng: rand.New(rand.NewPCG(seed, 1)),
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

// chance returns true with the given probability, and never if the simulation is reliable.
func (sim *simulation) chance(share float64) bool { return !sim.reliable && sim.rng.Float64() < share }

func (sim *simulation) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(sim.rng.Int64N(int64(most-least)))
}

// after schedules a call. Calls at the same time run in the order of scheduling.
func (sim *simulation) after(wait time.Duration, do func()) {
	sim.lastSeq++
	l := scheduledCall{sim.now.Add(wait), sim.lastSeq, do}
	at := sort.Search(len(sim.scheduled), func(i int) bool { return sim.scheduled[i].at.After(l.at) })
	sim.scheduled = slices.Insert(sim.scheduled, at, l)
}

// runLength returns a random length of a run, mostly a short one.
func (sim *simulation) runLength() time.Duration {
	if sim.longRuns {
		return 10 * time.Hour
	}
	if sim.chance(0.2) {
		return sim.randomDuration(time.Minute, 4*time.Minute)
	}
	return sim.randomDuration(time.Second, 15*time.Second)
}

// advance moves the time on by d and makes all scheduled calls.
func (sim *simulation) advance(d time.Duration) {
	for end := sim.now.Add(d); len(sim.scheduled) > 0 && !sim.scheduled[0].at.After(end); {
		l := sim.scheduled[0]
		sim.scheduled = sim.scheduled[1:]
		sim.now = l.at
		l.run()
	}
}

// callWorker delivers a call to a worker and its answer to the daemon. Either may be
// lost, or delayed until long after the caller has given up; then the daemon gets failed.
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
	delay := sim.randomDuration(2e6, 2e8)
	if sim.chance(0.06) {
		delay = sim.randomDuration(simCallTimeout, simMaxDelay)
	}
	if _, ok := failed.(StartAnswered); ok && sim.startDelay > 0 {
		delay = sim.startDelay
	}
	sim.after(delay, func() {
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
