package dispatcher

import (
	"testing"
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// readyStepCase is a job of two steps in a simulation, each of whose tasks needs a whole worker.
type readyStepCase struct {
	*simulation
	shard *simShard
	next  specifier.TaskID // the only task of the second step
}

// newReadyStepCase submits the job and awaits the start of its first step.
func newReadyStepCase(t *testing.T, first specifier.Step) *readyStepCase {
	t.Helper()
	c := &readyStepCase{simulation: newSimulation(t, 1, 5), next: specifier.TaskID{Job: "5c0e7a21d94b36f8", Step: 1}}
	c.shard = c.shards[0]
	first.Needs, first.Estimate = resources(workerCPU), time.Hour
	second := specifier.Step{Count: 1, Needs: resources(workerCPU), Estimate: time.Hour, After: []int{0}}
	c.advance(time.Second)
	c.submit(specifier.Job{ID: c.next.Job, Steps: []specifier.Step{first, second}})
	c.advance(4 * time.Second)
	return c
}

// holder returns the worker that runs a task, which must have one.
func (c *readyStepCase) holder(id specifier.TaskID) *fakeWorker {
	for _, w := range c.workers {
		if w.runs[id] != nil {
			return w
		}
	}
	c.fail("%s has no run", id)
	return nil
}

// takeOver replaces the owner by one that can't reach a worker, if there is one.
func (c *readyStepCase) takeOver(unreachable *fakeWorker) {
	c.shard.owner.alive = false
	c.shard.claim()
	if unreachable != nil {
		c.shard.owner.unreachable[unreachable] = true
	}
	c.advance(time.Second)
}

// complete ends a run as done, of which the owner makes nothing durable. It returns the worker,
// which has no room for another run.
func (c *readyStepCase) complete(id specifier.TaskID) *fakeWorker {
	w := c.holder(id)
	w.setRoom(workerCPU / 2)
	c.advance(time.Second)
	c.shard.owner.reachesStore = false
	w.endRun(id, specifier.OutcomeDone)
	c.advance(time.Second)
	return w
}

// checkNext checks that the task of the second step still has its first run when all workers can
// be reached again. A second one fails the simulation.
func (c *readyStepCase) checkNext(on *fakeWorker) {
	c.advance(time.Second)
	clear(c.shard.owner.unreachable)
	c.shard.owner.reachesStore = true
	c.advance(time.Second)
	if w := c.holder(c.next); w != on {
		c.fail("%s runs on %s, not on %s", c.next, w.id, on.id)
	}
}

// TestNextStepStartsTwiceAfterLostEnd guards against two runs of a task over three owners: the
// first one starts it after an end that isn't durable and is lost with its worker, the second one
// starts the task that had ended again, and the third one takes the end of that run as proof that
// nobody can have started the next step before.
func TestNextStepStartsTwiceAfterLostEnd(t *testing.T) {
	t.Parallel()
	c := newReadyStepCase(t, specifier.Step{Count: 1})
	first := specifier.TaskID{Job: c.next.Job}
	lost := c.complete(first)
	next := c.holder(c.next)
	lost.crash()
	lost.restart()
	c.takeOver(nil)
	c.takeOver(next)
	c.complete(first)
	c.checkNext(next)
}

// TestNextStepOfGangStartsTwice guards against two runs of a task over two owners: the end of one
// member of a gang, which isn't durable, completes all of it, so that the first owner starts the
// next step. The second one adopts another member and takes its end as proof that nobody can have
// done so.
func TestNextStepOfGangStartsTwice(t *testing.T) {
	t.Parallel()
	c := newReadyStepCase(t, specifier.Step{Count: 2, Gang: true})
	ended, last := specifier.TaskID{Job: c.next.Job}, specifier.TaskID{Job: c.next.Job, Index: 1}
	lost := c.complete(ended)
	next := c.holder(c.next)
	lost.crash()
	c.takeOver(next)
	c.complete(last)
	c.checkNext(next)
}
