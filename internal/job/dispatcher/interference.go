package dispatcher

import (
	"math"
	"slices"
	"strconv"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/learner"
	"dotterelcart.dev/dotterelcart/internal/control/pacer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
)

// Interference is how much a filler slows down the serving tasks on its worker.
// It is learnt for pairs of images, as the increase of the logarithm of the
// tail latency. A latency ratio is a tail latency divided by its target.
const (
	interferencePrior     = 1.0                     // interference by an unknown image that uses a whole worker
	interferenceDeviation = 3.0                     // standard deviation of the prior
	interferenceNoise     = 0.35                    // standard deviation of an observed log tail latency
	interferenceHalfLife  = 60 * time.Second        // time in which observations lose half of their weight
	maxLearnedImages      = 32                      // filler images with an estimate, for each serving image; further ones share the last
	sampleLoad            = 0.625                   // the middle of a load band; workers don't report the load
	sampleCount           = 100                     // requests assumed for a sample; workers don't report them
	maxExpectedRatio      = 0.85                    // a new filler may raise the latency ratio to this value
	pausedLimit           = 1500 * time.Millisecond // a filler that is paused for longer may be moved
	moveThreshold         = 0.4                     // maximum ratio of the interference after a move to that before
)

// newInterferenceLearner returns a learner without observations.
func newInterferenceLearner() *learner.Learner {
	return learner.New(learner.Options{
		Prior: interferencePrior, Deviation: interferenceDeviation, Noise: interferenceNoise, UpperSigmas: 0.6,
		HalfLife: interferenceHalfLife, MaxClasses: maxLearnedImages,
	})
}

// learnInterference updates the interference estimates and the worker's latency
// ratio from the tail latencies in its last inventory.
func (s *Shard) learnInterference(w *worker) {
	shares := make(map[string]float64)
	for _, r := range w.runs {
		if r.isFiller() && r.phase == active {
			shares[r.task.step.spec.Image] += r.metric / float64(w.reg.Capacity.CPU)
		}
	}
	w.latencyRatio = 0
	for _, id := range sortedTasks(w.runs) {
		r := w.runs[id]
		if !r.isServing() || r.phase != active || r.progress < full || r.metric <= 0 {
			continue
		}
		spec := r.task.step.spec
		latency := time.Duration(r.metric * float64(time.Millisecond))
		w.latencyRatio = max(w.latencyRatio, float64(latency)/float64(spec.LatencyTarget))
		s.interference.Observe(learner.Sample{
			Worker:  w.reg.ID,
			Latency: runner.LatencyReport{Service: spec.Image, P99: latency, Load: sampleLoad, Count: sampleCount, To: s.now},
			Shares:  shares,
		})
	}
	switch {
	case w.latencyRatio < 1:
		w.overTargetSince = time.Time{}
	case w.overTargetSince.IsZero():
		w.overTargetSince = s.now
	}
}

const full = 100 // percent; full pace or complete progress

// isFiller reports whether the run is one of a filler, whose CPU isn't reserved.
func (r *run) isFiller() bool { return r.task != nil && r.task.step.spec.Filler }

// isServing reports whether the run has a latency target.
func (r *run) isServing() bool { return r.task != nil && r.task.step.spec.LatencyTarget > 0 }

// imagePair identifies an estimate by the two images.
type imagePair struct{ serving, filler string }

// estimate is an expected growth of the logarithm of a tail latency.
type estimate struct {
	mean  float64
	upper float64 // upper bound; far above the mean while little has been observed
}

// scale returns the estimate for a part of the CPU.
func (e estimate) scale(share float64) estimate { return estimate{e.mean * share, e.upper * share} }

// estimateCache caches interference estimates for a short time.
type estimateCache struct {
	madeAt time.Time
	byPair map[imagePair]estimate
}

// estimateLifetime is the maximum age of a cached estimate.
const estimateLifetime = 300 * time.Millisecond

// interferenceBetween returns the expected growth of the log tail latency of a
// serving image beside a filler image that uses all CPU of a worker.
func (s *Shard) interferenceBetween(p imagePair) estimate {
	if s.estimates.byPair == nil || s.now.Sub(s.estimates.madeAt) > estimateLifetime {
		s.estimates = estimateCache{madeAt: s.now, byPair: make(map[imagePair]estimate)}
	}
	e, ok := s.estimates.byPair[p]
	if !ok {
		e.mean, e.upper = s.interference.Coefficient(p.serving, p.filler, sampleLoad)
		s.estimates.byPair[p] = e
	}
	return e
}

// interferenceOn returns the expected growth of the log tail latency of the
// most affected serving image on the worker if a filler image uses cpu
// millicores there at full pace.
func (s *Shard) interferenceOn(w *worker, image string, cpu int64) estimate {
	var worst estimate
	for serving := range w.servingRuns {
		e := s.interferenceBetween(imagePair{serving, image})
		worst.mean, worst.upper = max(worst.mean, e.mean), max(worst.upper, e.upper)
	}
	return worst.scale(w.share(cpu))
}

// share returns millicores as a share of the worker's CPU.
func (w *worker) share(cpu int64) float64 { return float64(cpu) / float64(max(w.reg.Capacity.CPU, 1)) }

// interferenceOfRun returns interferenceOn for a filler that is on the worker.
func (s *Shard) interferenceOfRun(r *run) estimate {
	spec := r.task.step.spec
	return s.interferenceOn(r.worker, spec.Image, spec.Needs.CPU)
}

// wouldNearTarget reports whether fillers with this interference may bring a tail
// latency on the worker near its target. Mild ones may start as long as it is below
// the target: others are slowed down before them.
func (w *worker) wouldNearTarget(growth float64) bool {
	switch {
	case len(w.servingRuns) == 0:
		return false
	case growth <= mildGrowth:
		return w.latencyRatio > 1
	}
	return math.Log(max(w.latencyRatio, baselineRatio))+growth > math.Log(maxExpectedRatio)
}

// mildGrowth is the growth of a log tail latency that doesn't matter.
const mildGrowth = 0.05

// unseenGrowth returns by how much the tail latencies on the worker may grow by
// fillers that are so new that the last inventory doesn't show their effect.
func (s *Shard) unseenGrowth(w *worker) float64 {
	w.newFillers = slices.DeleteFunc(w.newFillers, func(r *run) bool {
		return w.runs[r.id] != r || r.phase == active && w.polledAt.Sub(r.startedAt) >= tailWindow
	})
	growth := 0.0
	for _, r := range w.newFillers {
		growth += s.interferenceOfRun(r).upper
	}
	return growth
}

// tailWindow is the time that a reported tail latency covers.
const tailWindow = 500 * time.Millisecond

// baselineRatio is the lowest latency ratio that is assumed for a serving task.
const baselineRatio = 0.45

// paceFillers adjusts the pace of a worker's fillers to the tail latencies of
// its serving tasks, and moves fillers that remain paused.
func (s *Shard) paceFillers(w *worker) {
	s.learnInterference(w)
	if s.now.Sub(w.pacedAt) < paceInterval {
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
		e := s.interferenceOfRun(r)
		fillers = append(fillers, pacer.Filler{
			Pace: max(r.pace, 0), Interference: e.mean, UpperInterference: e.upper,
			Lateness: work.Lateness(s.now.Add(-r.expectedTimeDone())),
		})
	}
	overTargetFor := time.Duration(0)
	if !w.overTargetSince.IsZero() {
		overTargetFor = s.now.Sub(w.overTargetSince)
	}
	pacer.Decide(w.latencyRatio, overTargetFor, fillers)
	for i, r := range runs {
		if fillers[i].Pace != r.pace {
			s.setPace(r, fillers[i].Pace)
		}
		if r.pace == 0 && s.now.Sub(r.pausedAt) > pausedLimit && s.hasBetterPlace(r, fillers[i].Interference) {
			s.stopRun(r, "interferes with a serving task")
		}
	}
}

// expectedTimeDone returns the part of the expected run time that corresponds
// to the progress.
func (r *run) expectedTimeDone() time.Duration {
	return r.task.step.times.planned * time.Duration(r.progress) / full
}

// hasBetterPlace reports whether a paused filler fits on a worker where it
// would cause clearly less interference.
func (s *Shard) hasBetterPlace(r *run, current float64) bool {
	spec := r.task.step.spec
	return s.hasRoom(r, func(w *worker) bool {
		there := s.interferenceOn(w, spec.Image, spec.Needs.CPU)
		return there.mean < current*moveThreshold && !w.wouldNearTarget(there.upper+s.unseenGrowth(w))
	})
}

// setPace orders a new pace for a run.
func (s *Shard) setPace(r *run, percent int) {
	if r.pace != 0 && percent == 0 {
		r.pausedAt = s.now
	}
	r.changePace(s.now, percent)
	r.worker.fillerCPU = unknownCPU
	r.worker.pacedAt = s.now
	s.emit(PaceRun{Worker: r.worker.reg, Task: r.id, Run: r.number, Percent: percent})
	s.emit(Log{
		Message: "run pace ordered", Task: r.id.String(), Job: r.id.Job, Worker: r.worker.reg.ID, Run: r.number,
		Reason: "tail " + percentText(r.worker.latencyRatio) + " of the target, pace " + percentText(float64(percent)/full),
	})
}

// paceAnswered forgets an ordered pace if the order failed, so that it is
// repeated.
func (s *Shard) paceAnswered(e PaceAnswered) {
	w := s.workers[e.Worker]
	if w == nil || e.Fault == NoFault {
		return
	}
	if r := w.runs[e.Task]; r != nil && r.number == e.Run {
		r.changePace(s.now, unknownPace)
		w.fillerCPU = unknownCPU
	}
}

// unknownPace is the pace of a run for which this owner has ordered none, or whose
// last order failed.
const unknownPace = -1

// percentText formats a fraction as a percentage.
func percentText(share float64) string { return strconv.Itoa(int(share*full)) + " %" }
