package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// TestInvariantsWithLostEnds has jobs of several steps, some of them gangs, whose ends are lost: the
// owner starts the next step while it can't reach the store, and is replaced when workers crash
// whose ends aren't durable. Its successors can't reach other workers for a while. It guards against
// tasks of a next step that start twice, and jobs that never end.
func TestInvariantsWithLostEnds(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(4, 7).Draw(t, "workers"))
		s.advance(time.Second)
		for i := range rapid.IntRange(10, 30).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "submits") {
				s.submit(drawSteppedJob(t, fmt.Sprintf("%016x", i)))
			}
			s.loseEnds(t)
			s.advance(time.Duration(rapid.IntRange(0, 2500).Draw(t, "pass")) * time.Millisecond)
		}
		s.endFaults()
		s.advance(4 * time.Minute)
		s.checkEnded()
	})
}

// drawSteppedJob draws a job of two or three steps, each after the previous one, of which half are
// gangs.
func drawSteppedJob(t *rapid.T, id string) specifier.Job {
	job := specifier.Job{ID: id}
	for i := range rapid.IntRange(2, 3).Draw(t, "steps of job") {
		step := specifier.Step{
			Count:    rapid.IntRange(1, 3).Draw(t, "count"),
			Needs:    resources(int64(rapid.IntRange(2, 12).Draw(t, "cpu")) * 100),
			Estimate: time.Duration(rapid.IntRange(500, 5000).Draw(t, "ms")) * time.Millisecond,
			Gang:     rapid.Bool().Draw(t, "gang"),
		}
		if i > 0 {
			step.After = []int{i - 1}
		}
		job.Steps = append(job.Steps, step)
	}
	return job
}

// loseEnds ends a run while the owner can't reach the store, replaces the owner, and makes workers
// with ends that aren't acknowledged crash. The successor can't reach one of the others at first.
func (s *simulation) loseEnds(t *rapid.T) {
	sh := s.shards[0]
	o := sh.owner
	crashes := rapid.Bool().Draw(t, "workers crash")
	isCut := rapid.Bool().Draw(t, "cut off from the store")
	cutOff := s.workers[rapid.IntRange(0, len(s.workers)-1).Draw(t, "worker that the successor can't reach")]
	length := time.Duration(rapid.IntRange(300, 2500).Draw(t, "length")) * time.Millisecond
	if isCut {
		s.logf("owner %d is cut off from the store for %s", o.token, length)
		o.reachesStore = false
		s.schedule(length/2, func() { s.endOneRun(s.random.IntN(len(s.workers))) })
	}
	s.schedule(length, func() {
		if sh.owner != o {
			return
		}
		o.alive = false
		for _, w := range s.workers {
			if crashes && len(w.pendingEnds) > 0 && w.isUp() {
				s.logf("%s crashes with %d ends", w.id, len(w.pendingEnds))
				w.crash()
				s.schedule(500*time.Millisecond, w.restart)
			}
		}
		sh.claim()
		next := sh.owner
		next.unreachable[cutOff] = true
		s.schedule(3*time.Second, func() { delete(next.unreachable, cutOff) })
	})
}

// endOneRun ends the first run of the first worker that has one, counted from a worker.
func (s *simulation) endOneRun(from int) {
	for i := range s.workers {
		w := s.workers[(from+i)%len(s.workers)]
		for _, id := range sortedFakeRuns(w.runs) {
			if r := w.runs[id]; w.isUp() && !r.stopping {
				w.endRun(id, specifier.OutcomeDone)
				return
			}
		}
	}
}
