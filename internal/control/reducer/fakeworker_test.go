package reducer

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
)

// fakeWorker simulates a worker with leases and fencing, and checks that its callers keep
// to the rules.
type fakeWorker struct {
	sim         *simulation
	name        string
	clockOffset time.Duration // difference between its clock and the simulation's
	capacity    describer.Resources
	down        bool
	unlisted    bool  // whether the host list lacks it
	failsRuns   bool  // whether all its runs fail
	epoch       int64 // greatest epoch seen; calls of lower epochs are refused
	fences      map[describer.TaskID]describer.Token
	runs        map[describer.TaskID]*fakeRun
	outcomes    map[runner.Run]runner.StopResult
	finished    map[runner.Run]runner.FinishedRun
}

type fakeRun struct {
	runner.StartRequest
	startedAt    time.Time
	leaseEnd     time.Time
	length       time.Duration
	lastThrottle describer.Token
}

// used returns a random measured use: all of the granted CPU or a quarter of it.
func (r *fakeRun) used(w *fakeWorker) describer.Resources {
	if w.sim.chance(0.5) {
		return r.Granted
	}
	return describer.Resources{CPU: r.Granted.CPU / 4, Memory: r.Granted.Memory}
}

func newFakeWorker(sim *simulation, name string, offset time.Duration) *fakeWorker {
	w := &fakeWorker{sim: sim, name: name, clockOffset: offset, capacity: describer.Resources{CPU: 4000, Memory: 8192}}
	w.reset()
	return w
}

// reset forgets everything, as a worker does that restarts without its disk. The tasks
// whose results are lost by that may be completed again.
func (w *fakeWorker) reset() {
	for run, f := range w.finished {
		if f.OK && w.sim.store.completed[run.Task] == run {
			delete(w.sim.store.completed, run.Task)
		}
	}
	w.epoch = 0
	w.fences = make(map[describer.TaskID]describer.Token)
	w.runs = make(map[describer.TaskID]*fakeRun)
	w.outcomes = make(map[runner.Run]runner.StopResult)
	w.finished = make(map[runner.Run]runner.FinishedRun)
}

// clock returns the time by the worker's own clock.
func (w *fakeWorker) clock() time.Time { return w.sim.now.Add(w.clockOffset) }

// leaseEnd returns the end of a lease granted now, by the worker's clock.
func (w *fakeWorker) leaseEnd(lease time.Duration, until time.Time) time.Time {
	end := w.clock().Add(lease)
	if !until.IsZero() && until.Before(end) {
		return until
	}
	return end
}

// endDueRuns ends the runs that have finished or whose lease has expired by now.
func (w *fakeWorker) endDueRuns() {
	for _, id := range sortedTasks(w.runs) {
		r := w.runs[id]
		run := runner.Run{Task: id, Token: r.Token}
		done := r.startedAt.Add(r.length)
		f := runner.FinishedRun{Run: run, LeaseExpired: true, Checkpoint: fmt.Sprint(r.Token)}
		switch {
		case !done.After(w.clock()) && !done.After(r.leaseEnd):
			f = runner.FinishedRun{Run: run, OK: !w.failsRuns, Reason: "bad worker", Result: json.RawMessage(`1`)}
			w.outcomes[run] = runner.StopResult{Started: true, Finished: f.OK, Result: f.Result}
			if f.OK {
				w.sim.store.recordCompletion(run)
			}
		case r.leaseEnd.After(w.clock()):
			continue
		default:
			w.outcomes[run] = runner.StopResult{Started: true, Checkpoint: f.Checkpoint}
		}
		w.finished[run] = f
		delete(w.runs, id)
	}
}

// start starts a run and returns an empty string, or why it is refused.
func (w *fakeWorker) start(s runner.StartRequest) string {
	w.endDueRuns()
	run := runner.Run{Task: s.Task, Token: s.Token}
	_, known := w.outcomes[run]
	switch {
	case s.Token.Epoch < w.epoch, s.Token.Less(w.fences[s.Task]):
		return "fenced"
	case !s.Until.IsZero() && w.clock().After(s.Until):
		return "late"
	case known && !w.outcomes[run].Started:
		return "stopped before"
	case s.Token == w.fences[s.Task]:
		return ""
	}
	w.epoch = s.Token.Epoch
	w.fences[s.Task] = s.Token
	w.sim.checkStart(w, s)
	w.runs[s.Task] = &fakeRun{
		StartRequest: s, startedAt: w.clock(), leaseEnd: w.leaseEnd(s.Lease, s.Until), length: w.sim.runLength(),
	}
	if sum := w.granted(); !sum.Fits(w.capacity) {
		w.sim.t.Fatalf("%s: grants exceed the capacity: %v", w.name, sum)
	}
	return ""
}

func (w *fakeWorker) granted() describer.Resources {
	var sum describer.Resources
	for _, r := range w.runs {
		sum = sum.Add(r.Granted)
	}
	return sum
}

// stop stops a run, or prevents its start if the start arrives later. The second result
// says why the call is refused.
func (w *fakeWorker) stop(s runner.StopRequest) (runner.StopResult, string) {
	w.endDueRuns()
	if s.Epoch < w.epoch {
		return runner.StopResult{}, "fenced"
	}
	w.epoch = s.Epoch
	if w.fences[s.Task].Less(s.Token) {
		w.fences[s.Task] = s.Token
	}
	run := runner.Run{Task: s.Task, Token: s.Token}
	if r := w.runs[s.Task]; r != nil && r.Token == s.Token {
		delete(w.runs, s.Task)
		w.outcomes[run] = runner.StopResult{Started: true, Checkpoint: fmt.Sprint(s.Token)}
	} else if _, ok := w.outcomes[run]; !ok {
		w.outcomes[run] = runner.StopResult{}
	}
	return w.outcomes[run], ""
}

// throttle changes the CPU grant of a run, unless a later throttle was applied.
func (w *fakeWorker) throttle(t runner.ThrottleRequest) {
	w.endDueRuns()
	order := describer.Token{Epoch: t.Epoch, Sequence: t.Sequence}
	r := w.runs[t.Task]
	if t.Epoch < w.epoch || r == nil || r.Token != t.Token || order.Less(r.lastThrottle) {
		return
	}
	r.lastThrottle = order
	r.Granted.CPU = t.CPU
	if sum := w.granted(); !sum.Fits(w.capacity) {
		w.sim.t.Fatalf("%s: grants exceed the capacity after a throttle: %v", w.name, sum)
	}
}

// sync renews leases, forgets acknowledged runs and returns the inventory. The second
// result says why the call is refused.
func (w *fakeWorker) sync(s runner.SyncRequest) (runner.SyncResult, string) {
	w.endDueRuns()
	if s.Epoch < w.epoch {
		return runner.SyncResult{}, "fenced"
	}
	w.epoch = s.Epoch
	for _, run := range s.Ack {
		w.sim.store.checkAck(w.finished[run])
		delete(w.finished, run)
	}
	for _, run := range s.Renew {
		if r := w.runs[run.Task]; r != nil && r.Token == run.Token {
			if end := w.leaseEnd(s.Lease, s.Until); end.After(r.leaseEnd) {
				r.leaseEnd = end
			}
		}
	}
	out := runner.SyncResult{Clock: w.clock(), Capacity: w.capacity}
	for _, id := range sortedTasks(w.runs) {
		r := w.runs[id]
		out.Running = append(out.Running, runner.ActiveRun{
			Run: runner.Run{Task: id, Token: r.Token}, Granted: r.Granted, Used: r.used(w), ThrottleToken: r.lastThrottle,
		})
	}
	for _, f := range w.finished {
		out.Finished = append(out.Finished, f)
	}
	slices.SortFunc(out.Finished, func(a, b runner.FinishedRun) int { return compareStrings(a.Task.String(), b.Task.String()) })
	return out, ""
}

func sortedTasks[V any](m map[describer.TaskID]V) []describer.TaskID {
	var out []describer.TaskID
	for id := range m {
		out = append(out, id)
	}
	slices.SortFunc(out, func(a, b describer.TaskID) int { return compareStrings(a.String(), b.String()) })
	return out
}
