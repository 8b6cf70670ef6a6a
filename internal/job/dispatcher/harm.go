package dispatcher

import (
	"math"
	"strconv"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/learner"
	"dotterelcart.dev/dotterelcart/internal/control/pacer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
)

// Beliefs about how fillers disturb serving tasks, by pair of images.
const (
	harmPrior     = 1.0 // log slow-down by an unknown filler image on all of a worker
	harmDeviation = 3.0
	harmNoise     = 0.5
	harmHalfLife  = 60 * time.Second
	harmImages    = 32
	sampleLoad    = 0.625 // load is not reported: the middle of one band
	sampleCount   = 100
	targetReserve = 0.85                    // expected share of the target that a new filler may lead to
	stuckLimit    = 1500 * time.Millisecond // at rest, before a filler may move
	clearlyLess   = 0.4                     // of the harm done now
)

func newHarm() *learner.Learner {
	return learner.New(learner.Options{
		Prior: harmPrior, Deviation: harmDeviation, Noise: harmNoise, UpperSigmas: 1,
		HalfLife: harmHalfLife, MaxClasses: harmImages,
	})
}

// observe feeds the tails that a worker lists to the beliefs.
func (s *Shard) observe(w *worker) {
	shares := make(map[string]float64)
	for _, r := range w.runs {
		if r.isFiller() && r.phase == active {
			shares[r.task.step.spec.Image] += r.figure / float64(w.reg.Capacity.CPU)
		}
	}
	w.tail = 0
	for _, id := range sortedTasks(w.runs) {
		r := w.runs[id]
		if !r.isServing() || r.phase != active || r.percent < full || r.figure <= 0 {
			continue
		}
		spec := r.task.step.spec
		latency := time.Duration(r.figure * float64(time.Millisecond))
		w.tail = max(w.tail, float64(latency)/float64(spec.LatencyTarget))
		s.harm.Observe(learner.Sample{
			Worker:  w.reg.ID,
			Latency: runner.LatencyReport{Service: spec.Image, P99: latency, Load: sampleLoad, Count: sampleCount, To: s.now},
			Shares:  shares,
		})
	}
	switch {
	case w.tail < 1:
		w.over = time.Time{}
	case w.over.IsZero():
		w.over = s.now
	}
}

const full = 100 // percent

func (r *run) isFiller() bool  { return r.task != nil && r.task.step.spec.Filler }
func (r *run) isServing() bool { return r.task != nil && r.task.step.spec.LatencyTarget > 0 }

// pair is a serving image and a filler image.
type pair struct{ serving, filler string }

// beliefs caches the estimates of pairs for a short time.
type beliefs struct {
	made  time.Time
	known map[pair]float64
}

// beliefTime is how old a cached estimate may be.
const beliefTime = 300 * time.Millisecond

// harmOf is the expected growth of the log tail of a serving image by a filler
// image that holds all of a worker.
func (s *Shard) harmOf(p pair) float64 {
	if s.beliefs.known == nil || s.now.Sub(s.beliefs.made) > beliefTime {
		s.beliefs = beliefs{made: s.now, known: make(map[pair]float64)}
	}
	mean, ok := s.beliefs.known[p]
	if !ok {
		mean, _ = s.harm.Coefficient(p.serving, p.filler, sampleLoad)
		s.beliefs.known[p] = mean
	}
	return mean
}

// harmTo is the expected growth of the log tail of the worker's most affected
// serving image by a filler image that holds cpu, at full pace.
func (s *Shard) harmTo(w *worker, image string, cpu int64) float64 {
	worst := 0.0
	for serving := range w.serving {
		worst = max(worst, s.harmOf(pair{serving, image}))
	}
	return worst * float64(cpu) / float64(max(w.reg.Capacity.CPU, 1))
}

// wouldHarm reports whether a filler that adds harm is expected to bring a
// serving task of the worker near its target.
func (w *worker) wouldHarm(harm float64) bool {
	return len(w.serving) > 0 && math.Log(max(w.tail, quietTail))+harm > math.Log(targetReserve)
}

// quietTail is the share of its target that a serving task's tail has anyway.
const quietTail = 0.45

// pace sets the pace of the fillers beside tasks with a target.
func (s *Shard) pace(w *worker) {
	s.observe(w)
	if s.now.Sub(w.paced) < paceInterval {
		return
	}
	var runs []*run
	var fillers []pacer.Filler
	for _, id := range sortedTasks(w.runs) {
		r := w.runs[id]
		if !r.isFiller() || r.phase != active {
			continue
		}
		runs = append(runs, r)
		work := r.task.step.work()
		fillers = append(fillers, pacer.Filler{
			Pace: max(r.pace, 0), Interference: s.harmTo(w, r.task.step.spec.Image, r.task.step.spec.Needs.CPU),
			Lateness: work.Lateness(s.now.Add(-r.done())),
		})
	}
	over := time.Duration(0)
	if !w.over.IsZero() {
		over = s.now.Sub(w.over)
	}
	pacer.Decide(w.tail, over, fillers)
	for i, r := range runs {
		if fillers[i].Pace != r.pace {
			s.setPace(r, fillers[i].Pace)
		}
		if r.pace == 0 && s.now.Sub(r.slowed) > stuckLimit && s.hasBetterPlace(r, fillers[i].Interference) {
			s.stopRun(r, "disturbs a serving task")
		}
	}
}

// done is how much of its estimated time a run has behind it.
func (r *run) done() time.Duration {
	return r.task.step.spec.Estimate * time.Duration(r.percent) / full
}

// hasBetterPlace reports whether a filler that rests has room on a worker
// where it is expected to do clearly less harm.
func (s *Shard) hasBetterPlace(r *run, harm float64) bool {
	spec := r.task.step.spec
	return s.hasRoom(r, func(w *worker) bool {
		there := s.harmTo(w, spec.Image, spec.Needs.CPU)
		return there < harm*clearlyLess && !w.wouldHarm(there)
	})
}

func (s *Shard) setPace(r *run, percent int) {
	if r.pace != 0 && percent == 0 {
		r.slowed = s.now
	}
	r.pace = percent
	r.worker.use = unknownUse
	r.worker.paced = s.now
	s.emit(PaceRun{Worker: r.worker.reg, Task: r.id, Run: r.number, Percent: percent})
	s.emit(Log{
		Message: "pace ordered", Task: r.id.String(), Job: r.id.Job, Worker: r.worker.reg.ID, Run: r.number,
		Reason: "tail " + percentText(r.worker.tail) + " of the target, pace " + percentText(float64(percent)/full),
	})
}

// paceAnswered forgets a pace that was not set, so that it is ordered again.
func (s *Shard) paceAnswered(e PaceAnswered) {
	w := s.workers[e.Worker]
	if w == nil || e.Fault == NoFault {
		return
	}
	if r := w.runs[e.Task]; r != nil && r.number == e.Run {
		r.pace = unknownPace
		w.use = unknownUse
	}
}

// unknownPace is the pace of a run before one was ordered by this owner.
const unknownPace = -1

func percentText(share float64) string { return strconv.Itoa(int(share*full)) + " %" }
