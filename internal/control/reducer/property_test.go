package reducer

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// TestInvariants interleaves failures at random. The seed is fixed; -rapid.seed
// and -rapid.checks ask for others and for more.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(t, "seed"))
		w.pass(5 * time.Second)
		for i := range rapid.IntRange(5, 60).Draw(t, "steps") {
			w.step(t, i)
			w.pass(time.Duration(rapid.IntRange(0, 6000).Draw(t, "pass")) * time.Millisecond)
		}
		w.heal()
		w.pass(10 * time.Minute)
		w.store.check()
	})
}

func (w *world) node(t *rapid.T) *node {
	return w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")]
}

func (w *world) anyWorker(t *rapid.T) *fakeWorker {
	return w.workers[rapid.IntRange(0, len(w.workers)-1).Draw(t, "worker")]
}

// step does one thing at random, most often something ordinary.
func (w *world) step(t *rapid.T, i int) {
	length := time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second
	switch rapid.IntRange(0, 18).Draw(t, "what") {
	case 0, 1, 2, 3:
		w.submit(fmt.Sprintf("job-%d", i), rapid.IntRange(1, 6).Draw(t, "tasks"))
	case 4:
		w.everywhere(func(n *node) { n.reduce(CancelRequested{Job: fmt.Sprintf("job-%d", max(i-2, 0))}) })
	case 5:
		n := w.node(t)
		n.kill()
		w.after(length/4, n.boot)
	case 6:
		n := w.node(t)
		if n.alive && !n.paused {
			n.paused = true
			life := n.life
			w.after(length, func() {
				if n.life == life {
					n.resume()
				}
			})
		}
	case 7:
		n := w.node(t)
		n.cutStore = true
		w.after(length, func() { n.cutStore = false })
	case 8:
		n, m := w.node(t), w.anyWorker(t)
		n.cut[m.name] = true
		w.after(length, func() { n.cut[m.name] = false })
	case 9:
		w.store.up = false
		w.after(length, func() { w.store.up = true })
	case 10:
		m := w.anyWorker(t)
		if !m.dead {
			m.advance()
			m.dead = true
			m.forget()
			// It forgot its epoch, so it may come back only when no lease is left.
			w.after(max(length, 15*time.Second), func() { m.dead = false })
		}
	case 11:
		m := w.anyWorker(t)
		m.bad = true
		w.after(length, func() { m.bad = false })
	case 12:
		w.drain(fmt.Sprintf("drain-%d", i), w.anyWorker(t).name, length)
	case 13:
		old := w.store.config
		old.Revision -= int64(rapid.IntRange(0, 3).Draw(t, "older"))
		n := w.node(t)
		w.after(length, func() { n.reduce(ConfigurationReceived{Configuration: old}) })
	case 14:
		n := w.node(t)
		n.blind = true
		w.after(length, func() { n.blind = false })
	case 15:
		n, m := w.node(t), w.anyWorker(t)
		n.mute[m.name] = true
		w.after(length, func() { n.mute[m.name] = false })
	case 16:
		w.split(w.node(t), w.anyWorker(t), 3*length)
	case 17:
		m := w.anyWorker(t)
		m.unlisted = true
		w.after(length, func() { m.unlisted = false })
	case 18:
		n := w.node(t)
		n.reduce(StopRequested{})
		life := n.life
		w.after(length/2, func() {
			if n.life == life {
				n.kill()
				n.boot()
			}
		})
	}
}

// split leaves a worker on the side of one daemon, and the store on the other.
func (w *world) split(alone *node, m *fakeWorker, length time.Duration) {
	for _, n := range w.nodes {
		if n != alone {
			n.cut[m.name] = true
			w.after(length, func() { n.cut[m.name] = false })
		}
	}
	alone.cutStore, alone.blind = true, true
	w.after(length, func() { alone.cutStore, alone.blind = false, false })
}

func (w *world) everywhere(do func(*node)) {
	for _, n := range w.nodes {
		do(n)
	}
}

// submit tries the daemons in turn, as a caller that isn't told otherwise.
func (w *world) submit(id string, tasks int) {
	job := testJob(id, tasks)
	job.Class = "class-" + id[len(id)-1:]
	job.Declared.CPU = int64(w.rng.IntN(4)+1) * 500
	if w.chance(0.3) {
		job.Priority = describer.Urgent
	}
	home := HomeShard(&w.store.config, id)
	for _, n := range w.nodes {
		if _, ok := n.owns[home]; ok && n.alive {
			w.requests++
			w.asked[w.requests] = id
			n.reduce(SubmitRequested{Request: w.requests, Job: job})
			return
		}
	}
}

func (w *world) drain(id, worker string, length time.Duration) {
	for _, d := range w.store.config.Drains {
		if d.Workers[0] == worker {
			return
		}
	}
	c := &w.store.config
	c.Revision++
	c.Drains = append(c.Drains[:len(c.Drains):len(c.Drains)], describer.Drain{
		ID: id, Workers: []string{worker}, State: describer.Draining, Until: w.now.Add(length),
	})
}

// heal ends all failures.
func (w *world) heal() {
	w.calm = true
	w.pass(2 * time.Minute)
	w.store.up = true
	for _, m := range w.workers {
		m.dead, m.bad, m.unlisted = false, false, false
	}
	for _, n := range w.nodes {
		if !n.alive {
			n.boot()
		}
		n.cutStore, n.blind = false, false
		clear(n.cut)
		clear(n.mute)
		if n.paused {
			n.resume()
		}
	}
}
