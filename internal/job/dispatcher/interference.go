package dispatcher

import (
	"math"
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
	interferenceNoise     = 0.5                     // standard deviation of an observed log tail latency
	interferenceHalfLife  = 60 * time.Second        // time in which observations lose half of their weight
	maxLearnedImages      = 32                      // filler images with estimates of their own, for each serving image
	sampleLoad            = 0.625                   // the middle of a load band; workers don't report the load
	sampleCount           = 100                     // requests assumed for a sample; workers don't report them
	maxExpectedRatio      = 0.85                    // a new filler may raise the latency ratio to this value
	pausedLimit           = 1500 * time.Millisecond // a filler that is paused for longer may be moved
	moveThreshold         = 0.4                     // maximum ratio of the interference after a move to that before
)

// newInterferenceLearner returns a learner without observations.
func newInterferenceLearner() *learner.Learner {
	return learner.New(learner.Options{
		Prior: interferencePrior, Deviation: interferenceDeviation, Noise: interferenceNoise, UpperSigmas: 1,
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

// estimateCache caches interference estimates for a short time.
type estimateCache struct {
	madeAt time.Time
	byPair map[imagePair]float64
}

// estimateLifetime is the maximum age of a cached estimate.
const estimateLifetime = 300 * time.Millisecond

// interferenceBetween returns the expected growth of the log tail latency of a
// serving image beside a filler image that uses all CPU of a worker.
func (s *Shard) interferenceBetween(p imagePair) float64 {
	if s.estimates.byPair == nil || s.now.Sub(s.estimates.madeAt) > estimateLifetime {
		s.estimates = estimateCache{madeAt: s.now, byPair: make(map[imagePair]float64)}
	}
	mean, ok := s.estimates.byPair[p]
	if !ok {
		mean, _ = s.interference.Coefficient(p.serving, p.filler, sampleLoad)
		s.estimates.byPair[p] = mean
	}
	return mean
}

// interferenceOn returns the expected growth of the log tail latency of the
// most affected serving image on the worker if a filler image uses cpu
// millicores there at full pace.
func (s *Shard) interferenceOn(w *worker, image string, cpu int64) float64 {
	worst := 0.0
	for serving := range w.servingRuns {
		worst = max(worst, s.interferenceBetween(imagePair{serving, image}))
	}
	return worst * float64(cpu) / float64(max(w.reg.Capacity.CPU, 1))
}

// wouldNearTarget reports whether a filler with this interference is expected
// to bring a tail latency on the worker near its target.
func (w *worker) wouldNearTarget(interference float64) bool {
	return len(w.servingRuns) > 0 && math.Log(max(w.latencyRatio, baselineRatio))+interference > math.Log(maxExpectedRatio)
}

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
		fillers = append(fillers, pacer.Filler{
			Pace: max(r.pace, 0), Interference: s.interferenceOn(w, r.task.step.spec.Image, r.task.step.spec.Needs.CPU),
			Lateness: work.Lateness(s.now.Add(-r.estimatedTimeDone())),
		})
	}
	over := time.Duration(0)
	if !w.overTargetSince.IsZero() {
		over = s.now.Sub(w.overTargetSince)
	}
	pacer.Decide(w.latencyRatio, over, fillers)
	for i, r := range runs {
		if fillers[i].Pace != r.pace {
			s.setPace(r, fillers[i].Pace)
		}
		if r.pace == 0 && s.now.Sub(r.pausedAt) > pausedLimit && s.hasBetterPlace(r, fillers[i].Interference) {
			s.stopRun(r, "interferes with a serving task")
		}
	}
}

// estimatedTimeDone returns the part of the estimated run time that corresponds
// to the progress.
func (r *run) estimatedTimeDone() time.Duration {
	return r.task.step.spec.Estimate * time.Duration(r.progress) / full
}

// hasBetterPlace reports whether a paused filler fits on a worker where it
// would cause clearly less interference.
func (s *Shard) hasBetterPlace(r *run, current float64) bool {
	spec := r.task.step.spec
	return s.hasRoom(r, func(w *worker) bool {
		there := s.interferenceOn(w, spec.Image, spec.Needs.CPU)
		return there < current*moveThreshold && !w.wouldNearTarget(there)
	})
}

// setPace orders a new pace for a run.
func (s *Shard) setPace(r *run, percent int) {
	if r.pace != 0 && percent == 0 {
		r.pausedAt = s.now
	}
	r.pace = percent
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
		r.pace = unknownPace
		w.fillerCPU = unknownCPU
	}
}

// unknownPace is the pace of a run for which this owner has ordered none.
const unknownPace = -1

// percentText formats a fraction as a percentage.
func percentText(share float64) string { return strconv.Itoa(int(share*full)) + " %" }
