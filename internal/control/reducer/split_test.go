package reducer

import (
	"testing"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// TestLateStart lets a start arrive after its sender has died and a successor
// that can't reach the worker has restarted the task elsewhere.
func TestLateStart(t *testing.T) {
	w := newWorld(t, 1)
	w.calm, w.long = true, true
	w.pass(40 * time.Second)
	w.late = 3 * time.Minute
	w.submit("job", 1)
	w.pass(2 * time.Second)
	w.late = 0
	for _, n := range w.nodes {
		if _, ok := n.owns[HomeShard(&w.store.config, "job")]; ok {
			n.kill()
			continue
		}
		for run := range w.store.started {
			n.cut[w.startedOn(run.Task)] = true
		}
	}
	w.pass(150 * time.Second)
	if w.running() != 1 {
		t.Fatal("the successor must have restarted the task")
	}
	w.pass(time.Minute)
}

// startedOn returns the worker that the task's owner believes to run it.
func (w *world) startedOn(id describer.TaskID) string {
	for _, n := range w.nodes {
		for _, sh := range n.state.sortedShards {
			if sh.view != nil && sh.view.task(id) != nil {
				return sh.view.task(id).worker
			}
		}
	}
	return ""
}

// calmWorld has one task that runs for hours, on a worker of one owner.
func calmWorld(t *testing.T) (w *world, owner *node, m *fakeWorker) {
	w = newWorld(t, 1)
	w.calm, w.long = true, true
	w.pass(40 * time.Second)
	w.submit("job", 1)
	w.pass(5 * time.Second)
	for _, one := range w.workers {
		if len(one.runs) > 0 {
			m = one
		}
	}
	for _, n := range w.nodes {
		if _, ok := n.owns[HomeShard(&w.store.config, "job")]; ok {
			owner = n
		}
	}
	if m == nil || owner == nil {
		t.Fatal("the job doesn't run")
	}
	return w, owner, m
}

// running returns how many workers run the job.
func (w *world) running() int {
	n := 0
	for _, m := range w.workers {
		m.advance()
		n += len(m.runs)
	}
	return n
}

// TestSplit leaves a worker with its former owner on one side and the store
// with the successor on the other. The former owner goes on renewing for the
// outage limit, and the successor restarts the task after that.
func TestSplit(t *testing.T) {
	w, owner, m := calmWorld(t)
	w.split(owner, m, 5*time.Minute)
	w.pass(30 * time.Second)
	if w.running() != 1 {
		t.Fatal("the task must go on while its owner may be cut off by an outage")
	}
	w.pass(2 * time.Minute)
	if w.running() != 1 || len(m.runs) > 0 {
		t.Fatal("the successor must restart the task elsewhere")
	}
	w.pass(5 * time.Minute)
	if w.running() != 1 {
		t.Fatal("the task must run once after the split")
	}
}

// TestMute loses all answers of a worker that hears its owner well.
func TestMute(t *testing.T) {
	w, owner, m := calmWorld(t)
	owner.mute[m.name] = true
	w.pass(time.Minute)
	if w.running() != 1 || len(m.runs) > 0 {
		t.Fatal("the task must be restarted elsewhere when its lease has lapsed")
	}
}

// TestOutage keeps tasks running while the store is away, and catches up.
func TestOutage(t *testing.T) {
	w, _, m := calmWorld(t)
	w.store.up = false
	w.pass(35 * time.Second)
	if len(m.runs) != 1 {
		t.Fatal("the task must go on without the store")
	}
	w.long = false
	w.submit("other", 1)
	w.store.up = true
	w.pass(time.Minute)
	if len(m.runs) != 1 {
		t.Fatal("the task must go on after the outage")
	}
	if w.store.jobs["other"] != nil {
		t.Fatal("a job that was refused must not run")
	}
}
