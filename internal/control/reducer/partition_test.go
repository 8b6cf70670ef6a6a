package reducer

import (
	"testing"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// TestLateStart guards against a task that runs twice because a delayed start arrives
// after its sender has died and the new owner, which can't reach the worker, has
// restarted the task elsewhere.
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
		t.Fatal("the new owner has not restarted the task")
	}
	sim.advance(time.Minute)
}

// startedOn returns the worker that the task runs on according to its owner.
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

// newReliableSimulation returns a simulation without failures in which one task runs for
// hours, with the owner of its shard and its worker.
func newReliableSimulation(t *testing.T) (sim *simulation, owner *daemon, w *fakeWorker) {
	sim = newSimulation(t, 1)
	sim.reliable, sim.longRuns = true, true
	sim.advance(40 * time.Second)
	sim.submit("job", 1)
	sim.advance(5 * time.Second)
	for _, one := range sim.workers {
		if len(one.runs) > 0 {
			w = one
		}
	}
	for _, d := range sim.daemons {
		if _, ok := d.owned[HomeShard(&sim.store.config, "job")]; ok {
			owner = d
		}
	}
	if w == nil || owner == nil {
		t.Fatal("the job is not running")
	}
	return sim, owner, w
}

// countRunning returns the number of running tasks.
func (sim *simulation) countRunning() int {
	n := 0
	for _, w := range sim.workers {
		w.endDueRuns()
		n += len(w.runs)
	}
	return n
}

// TestSplit guards against a task that runs twice after a network partition with a worker
// and the former owner on one side, and the store and the new owner on the other. The
// former owner keeps renewing leases for the outage limit, and the new owner restarts the
// task after that.
func TestSplit(t *testing.T) {
	sim, owner, w := newReliableSimulation(t)
	sim.partition(owner, w, 5*time.Minute)
	sim.advance(30 * time.Second)
	if sim.countRunning() != 1 {
		t.Fatal("the task was stopped although the store may only have an outage")
	}
	sim.advance(2 * time.Minute)
	if sim.countRunning() != 1 || len(w.runs) > 0 {
		t.Fatal("the new owner has not restarted the task on another worker")
	}
	sim.advance(5 * time.Minute)
	if sim.countRunning() != 1 {
		t.Fatal("the task does not run exactly once after the partition")
	}
}

// TestMute guards against a task that is lost because its worker receives all calls while
// none of its answers arrive.
func TestMute(t *testing.T) {
	sim, owner, w := newReliableSimulation(t)
	owner.answersLost[w.name] = true
	sim.advance(time.Minute)
	if sim.countRunning() != 1 || len(w.runs) > 0 {
		t.Fatal("the task was not restarted on another worker after its lease expired")
	}
}

// TestOutage checks that tasks keep running during a short outage of the store, and that
// a job which was refused during the outage is not run later.
func TestOutage(t *testing.T) {
	sim, _, w := newReliableSimulation(t)
	sim.store.reachable = false
	sim.advance(35 * time.Second)
	if len(w.runs) != 1 {
		t.Fatal("the task was stopped during the store outage")
	}
	sim.longRuns = false
	sim.submit("other", 1)
	sim.store.reachable = true
	sim.advance(time.Minute)
	if len(w.runs) != 1 {
		t.Fatal("the task was stopped after the store outage")
	}
	if sim.store.jobs["other"] != nil {
		t.Fatal("a refused job was accepted")
	}
}
