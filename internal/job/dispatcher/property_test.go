package dispatcher

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

func sortTasks(ids []specifier.TaskID) { slices.SortFunc(ids, compareTasks) }

// TestInvariants interleaves kills, freezes, cuts, outages, lost and late
// answers. -rapid.seed and -rapid.checks ask for other and more schedules.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 5).Draw(t, "workers"))
		w.pass(time.Second)
		for i := range rapid.IntRange(5, 40).Draw(t, "steps") {
			w.step(t, i)
			w.pass(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pass")) * time.Millisecond)
		}
		w.heal()
		w.pass(3 * time.Minute)
		w.checkEnded()
	})
}

func drawJob(t *rapid.T, id string) specifier.Job {
	job := specifier.Job{ID: id}
	for i := range rapid.IntRange(1, 3).Draw(t, "steps of job") {
		step := specifier.Step{
			Count:        rapid.IntRange(1, 5).Draw(t, "count"),
			Needs:        resources(int64(rapid.IntRange(1, 30).Draw(t, "cpu")) * 100),
			Estimate:     time.Duration(rapid.IntRange(50, 3000).Draw(t, "ms")) * time.Millisecond,
			Checkpoint:   rapid.Bool().Draw(t, "checkpoint"),
			MaxPerWorker: rapid.IntRange(0, 2).Draw(t, "spread"),
			Lasting:      rapid.IntRange(0, 9).Draw(t, "lasting") == 0,
		}
		if i > 0 && !job.Steps[i-1].Lasting {
			step.After = []int{i - 1}
		}
		job.Steps = append(job.Steps, step)
	}
	return job
}

// step does one thing at random, most often something ordinary.
func (w *world) step(t *rapid.T, i int) {
	length := time.Duration(rapid.IntRange(200, 14000).Draw(t, "length")) * time.Millisecond
	m := w.workers[rapid.IntRange(0, len(w.workers)-1).Draw(t, "worker")]
	o := w.owner
	switch rapid.IntRange(0, 16).Draw(t, "what") {
	case 0, 1, 2, 3, 4:
		w.submit(drawJob(t, fmt.Sprintf("%016x", i)))
	case 5:
		w.cancel(fmt.Sprintf("%016x", max(i-2, 0)))
	case 6:
		w.note("owner %d is killed", o.token)
		o.alive = false
		w.after(length/8, w.claim)
	case 7:
		w.note("owner %d freezes for %s", o.token, length)
		o.frozen = true
		w.after(min(length, 3*time.Second), w.claimFrom(o))
		w.after(length, o.thaw)
	case 8:
		w.note("owner %d is cut off from %s for %s", o.token, m.id, length)
		o.cut[m] = true
		w.after(length, func() { delete(o.cut, m) })
	case 9:
		w.note("owner %d is cut off from the store for %s", o.token, length)
		o.store = false
		if rapid.Bool().Draw(t, "replaced") {
			w.after(3*time.Second, w.claimFrom(o))
		}
		w.after(length, func() { o.store = true })
	case 10:
		w.note("%s crashes for %s", m.id, length)
		m.die()
		w.after(length, m.bear)
	case 11:
		w.note("%s is not registered for %s", m.id, length)
		m.registered = false
		w.after(length, func() { m.registered = true })
	case 12:
		w.lose, w.late = 0.2, 0.1
		w.after(length, func() { w.lose, w.late = 0, 0 })
	case 13:
		w.faulty = 0.3
		w.after(length, func() { w.faulty = 0 })
	case 15:
		w.note("%s hangs for %s", m.id, length)
		m.hung = true
		w.after(length, func() { m.hung = false })
	case 16:
		w.release()
	case 14:
		w.note("all are cut off from %s for %s", m.id, length)
		m.registered = false
		o.cut[m] = true
		w.after(length, func() { m.registered = true; delete(o.cut, m) })
	}
}

// claimFrom claims the shard if the owner is still the present one.
func (w *world) claimFrom(o *owner) func() {
	return func() {
		if w.owner == o {
			w.claim()
		}
	}
}

// heal ends every fault.
func (w *world) heal() {
	w.pass(15 * time.Second)
	w.lose, w.late, w.faulty = 0, 0, 0
	for _, m := range w.workers {
		m.registered, m.hung = true, false
		if m.dead {
			m.bear()
		}
	}
	if !w.owner.alive {
		w.claim()
	}
	w.owner.store, w.owner.frozen = true, false
	clear(w.owner.cut)
	w.cancelLasting()
}

// cancelLasting cancels the jobs that would not end, and so leaves room for
// all others.
func (w *world) cancelLasting() {
	for _, id := range sortedKeys(w.store) {
		if slices.ContainsFunc(w.store[id].job.Steps, func(s specifier.Step) bool { return s.Lasting }) {
			w.cancel(id)
		}
	}
}

// checkEnded asserts that every job has its final state and that it is true.
func (w *world) checkEnded() {
	for _, id := range sortedKeys(w.store) {
		r := w.store[id]
		switch {
		case r.cancelled && !r.state.IsFinal():
			w.fail("job %s is %s after its cancellation", id, r.state)
		case r.cancelled:
		case !r.state.IsFinal():
			w.fail("job %s is still %s", id, r.state)
		case r.state == specifier.Succeeded:
			w.checkDone(r)
		}
	}
}

func (w *world) checkDone(r *record) {
	for number, step := range r.job.Steps {
		for i := range step.Count {
			id := specifier.TaskID{Job: r.job.ID, Step: number, Index: i}
			if !w.rules.done[id] {
				w.fail("job %s has succeeded, but %s has not completed", r.job.ID, id)
			}
		}
	}
}
