package reducer

import (
	"testing"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// TestLateStart lets a start arrive after its sender has died and a successor
// that can't reach the worker has restarted the task elsewhere.
func TestLateStart(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.reliable, sim.longRuns = true, true
	sim.advance(40 * time.Second)
	sim.startDelay = 3 * time.Minute
	sim.submit("job", 1)
	sim.advance(2 * time.Second)
	sim.startDelay = 0
	for _, d := range sim.daemons {
		if _, ok := d.owned[HomeShard(&sim.store.config, "job")]; ok {
			d.kill()
			continue
		}
		for run := range sim.store.startCommits {
			d.unreachable[sim.startedOn(run.Task)] = true
		}
	}
	sim.advance(150 * time.Second)
	if sim.countRunning() != 1 {
		t.Fatal("the successor must have restarted the task")
	}
	sim.advance(time.Minute)
}

// startedOn returns the worker that the task's owner believes to run it.
func (sim *simulation) startedOn(id describer.TaskID) string {
	for _, d := range sim.daemons {
		for _, sh := range d.state.sortedShards {
			if sh.view != nil && sh.view.task(id) != nil {
				return sh.view.task(id).worker
			}
		}
	}
	return ""
}

// calmWorld has one task that runs for hours, on a worker of one owner.
func newReliableSimulation(t *testing.T) (sim *simulation, owner *daemon, m *fakeWorker) {
	sim = newSimulation(t, 1)
	sim.reliable, sim.longRuns = true, true
	sim.advance(40 * time.Second)
	sim.submit("job", 1)
	sim.advance(5 * time.Second)
	for _, one := range sim.workers {
		if len(one.runs) > 0 {
			m = one
		}
	}
	for _, d := range sim.daemons {
		if _, ok := d.owned[HomeShard(&sim.store.config, "job")]; ok {
			owner = d
		}
	}
	if m == nil || owner == nil {
		t.Fatal("the job doesn't run")
	}
	return sim, owner, m
}

// running returns how many workers run the job.
func (sim *simulation) countRunning() int {
	n := 0
	for _, m := range sim.workers {
		m.endDueRuns()
		n += len(m.runs)
	}
	return n
}

// TestSplit leaves a worker with its former owner on one side and the store
// with the successor on the other. The former owner goes on renewing for the
// outage limit, and the successor restarts the task after that.
func TestSplit(t *testing.T) {
	sim, owner, m := newReliableSimulation(t)
	sim.partition(owner, m, 5*time.Minute)
	sim.advance(30 * time.Second)
	if sim.countRunning() != 1 {
		t.Fatal("the task must go on while its owner may be cut off by an outage")
	}
	sim.advance(2 * time.Minute)
	if sim.countRunning() != 1 || len(m.runs) > 0 {
		t.Fatal("the successor must restart the task elsewhere")
	}
	sim.advance(5 * time.Minute)
	if sim.countRunning() != 1 {
		t.Fatal("the task must run once after the split")
	}
}

// TestMute loses all answers of a worker that hears its owner well.
func TestMute(t *testing.T) {
	sim, owner, m := newReliableSimulation(t)
	owner.answersLost[m.name] = true
	sim.advance(time.Minute)
	if sim.countRunning() != 1 || len(m.runs) > 0 {
		t.Fatal("the task must be restarted elsewhere when its lease has lapsed")
	}
}

// TestOutage keeps tasks running while the store is away, and catches up.
func TestOutage(t *testing.T) {
	sim, _, m := newReliableSimulation(t)
	sim.store.reachable = false
	sim.advance(35 * time.Second)
	if len(m.runs) != 1 {
		t.Fatal("the task must go on without the store")
	}
	sim.longRuns = false
	sim.submit("other", 1)
	sim.store.reachable = true
	sim.advance(time.Minute)
	if len(m.runs) != 1 {
		t.Fatal("the task must go on after the outage")
	}
	if sim.store.jobs["other"] != nil {
		t.Fatal("a job that was refused must not run")
	}
}
