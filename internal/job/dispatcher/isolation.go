package dispatcher

import (
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/fitter"
)

// A task is started in isolation on a worker without any other run that may crash it.
// While it runs there, or until it has proven itself, nothing else is started on that
// worker. A long-running task doesn't wait long for such a worker; without one it starts
// beside other runs, and a loss there isn't isolated. Finite tasks are started in
// isolation only while a share of the workers isolates tasks, so that they don't keep all others
// from running.

// maxIsolatingShare is that share, of the usable workers. It is one worker at least.
const maxIsolatingShare = 1.0 / 2

// findSuspects sets where suspect tasks run, and closes the workers with isolated runs.
func (p *placement) findSuspects() {
	if len(p.shard.suspects) == 0 {
		return
	}
	p.suspects = make(map[*worker]int)
	isolating := make(map[*worker]bool)
	for id, t := range p.shard.suspects {
		if t.worker == nil || !t.isImplicated() {
			continue
		}
		p.suspects[t.worker]++
		if r := t.worker.runs[id]; r != nil && r.isolated && !r.proven {
			isolating[t.worker] = true
		}
	}
	for i, w := range p.workers {
		p.candidates[i].Closed = p.candidates[i].Closed || isolating[w]
	}
	p.isolating = len(isolating)
	p.closeEmptying()
}

// closeEmptying closes the workers that were chosen in earlier rounds to become empty for tasks, before
// any other task is placed there.
func (p *placement) closeEmptying() {
	for _, id := range sortedSuspects(p.shard.suspects) {
		t := p.shard.suspects[id]
		if t.emptying == nil {
			continue
		}
		i := slices.Index(p.workers, t.emptying)
		if i < 0 || !t.isWaiting() || !p.mustIsolate(t) || p.shard.now.Sub(t.emptyingSince) >= emptyingTime {
			t.emptying = nil
			continue
		}
		p.closeFor(i)
	}
}

// openFor opens the worker that was closed for a task among candidates, and returns its index, or -1.
func (p *placement) openFor(t *task, candidates []fitter.Candidate) int {
	if t.emptying == nil || !t.isSuspect() {
		return -1
	}
	i := slices.Index(p.workers, t.emptying)
	if i >= 0 {
		candidates[i].Closed = false
	}
	return i
}

// closeFor closes the worker with an index until it is empty for a task.
func (p *placement) closeFor(i int) {
	if !p.candidates[i].Closed {
		p.keptFree++
		p.isolating++
	}
	p.candidates[i].Closed = true
}

// emptyingTime is how long a worker is kept closed for one task until another may be chosen: its runs
// prove themselves in provenTime, or may never.
const emptyingTime = provenTime + time.Second

// mayIsolate reports whether one more worker may isolate the task, or be kept closed for it.
func (p *placement) mayIsolate(t *task) bool {
	others := p.isolating
	for _, m := range t.startedWith() {
		if m.emptying != nil && m.isSuspect() {
			others--
		}
	}
	return t.step.spec.LongRunning || float64(others) < max(1, maxIsolatingShare*float64(len(p.workers)))
}

// startedWith returns the tasks that start together with the task: itself, and others of its gang.
func (t *task) startedWith() []*task {
	if t.step.spec.Gang {
		return t.step.tasks
	}
	return []*task{t}
}

// isSuspect reports whether the task has losses, so that its starts are durable.
func (t *task) isSuspect() bool { return t.lossCount() > 0 }

// isImplicated reports whether the task has losses that aren't forgiven, so that it is kept
// apart from other such tasks.
func (t *task) isImplicated() bool {
	return len(t.losses) > 0 && t.countLosses().Total > 0
}

// needsIsolation reports whether the task is started in isolation only.
func (t *task) needsIsolation() bool { return t.countLosses().NeedsIsolation() }

// mustIsolate reports whether the task may only be started in isolation now.
func (p *placement) mustIsolate(t *task) bool {
	losses := t.countLosses()
	return losses.NeedsIsolation() && (!losses.LongRunning || losses.MustWait(p.shard.now.Sub(t.waitingSince)))
}

// maySuspectStart reports whether a suspect task may start on the worker. One that needs
// isolation may also start elsewhere if it needn't wait any longer, see mustIsolate.
func (p *placement) maySuspectStart(t *task, w *worker) bool {
	if t.needsIsolation() {
		return p.mayIsolate(t) && p.suspects[w] == 0 && w.unprovenRuns() == 0 && !p.waitsForConclusive(t, w)
	}
	if !t.isImplicated() {
		return true
	}
	return p.suspects[w] == 0 && !p.waitsForConclusive(t, w) || p.shard.now.Sub(t.waitingSince) >= otherWorkerWait
}

// isKeptApart reports whether a suspect task may have found no worker although there is
// room.
func (p *placement) isKeptApart(t *task) bool {
	return p.mustIsolate(t) || t.isImplicated() && p.shard.now.Sub(t.waitingSince) < otherWorkerWait
}

// unprovenRuns returns the number of runs that may crash the worker, also prepared ones.
func (w *worker) unprovenRuns() int {
	n := 0
	for _, r := range w.runs {
		if r.mayCrash() {
			n++
		}
	}
	return n
}

// noteSuspectStart updates the round after the start of a task on the worker with an index.
func (p *placement) noteSuspectStart(r *run, i int) {
	if !r.task.isImplicated() {
		return
	}
	p.suspects[r.worker]++
	if r.isolated {
		p.candidates[i].Closed = true
		p.isolating++
	}
}

// emptyWorker keeps a worker closed, so that it becomes empty for a task that waits to be started in
// isolation: the one with the fewest runs in the way.
func (p *placement) emptyWorker(t *task) {
	if t.emptying != nil || !p.mustIsolate(t) || !p.mayIsolate(t) || p.keptFree >= maxReservations || p.shard.now.Sub(t.waitingSince) < otherWorkerWait {
		return
	}
	best, fewest := -1, 0
	for i, w := range p.workers {
		if p.candidates[i].Closed || !w.fitsBesideLongRunning(t.step) || p.waitsForConclusive(t, w) {
			continue
		}
		if n := w.unprovenRuns(); best < 0 || n < fewest {
			best, fewest = i, n
		}
	}
	if best < 0 {
		return
	}
	t.emptying, t.emptyingSince = p.workers[best], p.shard.now
	p.closeFor(best)
}
