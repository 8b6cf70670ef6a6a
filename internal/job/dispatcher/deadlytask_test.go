package dispatcher

import (
	"fmt"
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// Limit of the users: once three workers have crashed under a task, fewer than three
// further starts.
const (
	crashesBeforeLimit = 3
	startsAfterCrashes = 3
)

// deadlyTask is a task that crashes each worker that starts it.
type deadlyTask struct {
	sim     *simulation
	id      specifier.TaskID
	delay   time.Duration // from the start to the crash
	down    time.Duration // how long the worker is down
	renames bool          // the worker comes back under another id
	returns bool          // with renames: at the same address
	invalid int           // starts after two crashes at which another run appears on the worker
	crashes int           // workers that have crashed under it
	starts  int
	late    int    // starts after crashesBeforeLimit crashes
	onCrash func() // called after each crash; nil for nothing
}

// addDeadly makes a task deadly.
func (s *simulation) addDeadly(d *deadlyTask) *deadlyTask {
	if s.deadly == nil {
		s.deadly = make(map[specifier.TaskID]*deadlyTask)
	}
	d.sim = s
	s.deadly[d.id] = d
	return d
}

// started counts a start of the task and crashes the worker a little later.
func (d *deadlyTask) started(w *fakeWorker) {
	s := d.sim
	d.starts++
	if d.crashes >= crashesBeforeLimit {
		d.late++
	}
	if d.late >= startsAfterCrashes {
		s.fail("%s is started %d times more after %d workers have crashed under it", d.id, d.late, crashesBeforeLimit)
	}
	if d.crashes >= 2 && d.invalid > 0 {
		d.invalid--
		other := specifier.TaskID{Job: "eeeeeeeeeeeeeeee", Index: d.starts}
		w.runs[other] = &fakeRun{number: 1, step: &specifier.Step{Count: 1, Estimate: time.Minute}, startedAt: s.now}
	}
	r, incarnation := w.runs[d.id], w.incarnation
	s.schedule(d.delay, func() {
		if w.incarnation != incarnation || w.crashed || w.runs[d.id] != r {
			return
		}
		s.logf("%s crashes under %s", w.id, d.id)
		d.crashes++
		w.crash()
		s.schedule(d.down, func() { w.comeBack(d.renames, d.returns) })
		if d.onCrash != nil {
			d.onCrash()
		}
	})
}

// comeBack restarts a worker that has crashed, under its id or another, and then at its
// address or another.
func (w *fakeWorker) comeBack(rename, sameAddress bool) {
	if !w.crashed || w.gone {
		return
	}
	if !rename {
		w.restart()
		return
	}
	s := w.sim
	w.registered = false
	n := &fakeWorker{sim: s, id: fmt.Sprintf("w%d", len(s.workers)), registered: true}
	if sameAddress {
		n.address, n.incarnation = w.registration().Address, w.incarnation
		w.gone = true
	}
	n.restart()
	s.workers = append(s.workers, n)
	for _, sh := range s.shards {
		if sh.has(w) {
			sh.workers = append(sh.workers, n)
		}
	}
}

// has reports whether the worker belongs to the shard.
func (sh *simShard) has(w *fakeWorker) bool {
	for _, other := range sh.workers {
		if other == w {
			return true
		}
	}
	return false
}
