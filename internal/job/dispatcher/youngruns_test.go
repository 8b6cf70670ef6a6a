package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// TestTasksWithYoungRunsRunAgain guards against long-running tasks that wait for isolation without a
// bound: all their runs are young, since some fail and others are lost with their workers, so that
// neither they nor the runs beside them prove themselves.
func TestTasksWithYoungRunsRunAgain(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{0, 1, 2, 3, 4, 45, 58, 108, 138, 191} {
		checkYoungRuns(t, seed)
	}
}

// checkYoungRuns plays short series of restarts of few workers, each followed by calm, while a
// third of the runs fail soon after their start.
func checkYoungRuns(t *testing.T, seed uint64) {
	s := newSimulation(t, seed, 8)
	s.advance(time.Second)
	w := newLongRunningWatch(s, 8, 4)
	s.longRunningFailures = 0.3
	for range 3 {
		for range 2 + s.random.IntN(3) {
			s.restartSome(1 + s.random.IntN(3))
			for range 2 + s.random.IntN(13) {
				s.submitSome()
				s.advance(100 * time.Millisecond)
				w.longestGap()
			}
		}
		s.advance(1500 * time.Millisecond) // until all workers are back
		calm := s.now
		for s.now.Sub(calm) < 14*time.Second {
			s.submitSome()
			s.advance(100 * time.Millisecond)
			if gap, id := w.longestGap(); gap > gapLimit && s.now.Sub(calm) > calmTime {
				t.Errorf("seed %d: %s has no run for %v, %v after the last restart; its job is %s, the owner reports %+v",
					seed, id, gap, s.now.Sub(calm), s.store[id.Job].state, s.waits)
				return
			}
		}
	}
	for _, id := range w.tasks {
		if state := s.store[id.Job].state; state.IsFinal() {
			t.Errorf("seed %d: a job with long-running tasks is %s", seed, state)
			return
		}
	}
}

// submitSome submits a finite job that leaves room on all workers.
func (s *simulation) submitSome() {
	s.submit(specifier.Job{ID: fmt.Sprintf("%016x", len(s.store)), Steps: []specifier.Step{
		{Count: 2, Needs: resources(100), Estimate: time.Second},
	}})
}

// restartSome crashes n workers within a second, and starts them again.
func (s *simulation) restartSome(n int) {
	for range n {
		w := s.workers[s.random.IntN(len(s.workers))]
		s.schedule(time.Duration(s.random.IntN(1000))*time.Millisecond, func() {
			if !w.isUp() {
				return
			}
			s.logf("%s crashes on its own", w.id)
			w.crash()
			s.schedule(time.Duration(50+s.random.IntN(1450))*time.Millisecond, w.restart)
		})
	}
}

// TestIsolationEndsBesideOtherWork guards against a task that waits for isolation without a bound
// beside finite tasks, which start on each worker before it is empty.
func TestIsolationEndsBesideOtherWork(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		s := newSimulation(t, seed, 8)
		s.advance(time.Second)
		w := newLongRunningWatch(s, 1, 1)
		for _, down := range []time.Duration{500 * time.Millisecond, 500 * time.Millisecond, time.Minute} {
			s.passBeside(w, func() bool { return s.isRunning(w.tasks[0]) })
			s.passBeside(w, func() bool { return s.random.IntN(3) == 0 })
			s.crashWorkerOf(w.tasks[0], down)
		}
		calm := s.now
		s.passBeside(w, func() bool { return s.isRunning(w.tasks[0]) || s.now.Sub(calm) > 20*time.Second })
		gap := s.now.Sub(calm)
		t.Logf("seed %d: a run %v after the crash", seed, gap)
		if gap > gapLimit {
			t.Errorf("seed %d: no run for %v; the owner reports %+v", seed, gap, s.waits)
		}
	}
}

// passBeside lets time pass, with finite jobs on all workers, until done returns true.
func (s *simulation) passBeside(w *longRunningWatch, done func() bool) {
	for {
		for range 6 {
			s.submitSome()
		}
		s.advance(100 * time.Millisecond)
		w.longestGap()
		if done() {
			return
		}
	}
}

// crashWorkerOf crashes the worker that runs the task, and starts it again after a while.
func (s *simulation) crashWorkerOf(id specifier.TaskID, down time.Duration) {
	for _, w := range s.workers {
		if w.isUp() && w.runs[id] != nil {
			s.logf("%s crashes on its own", w.id)
			w.crash()
			s.schedule(down, w.restart)
		}
	}
}
