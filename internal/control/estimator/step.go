package estimator

import (
	"math"
	"slices"
	"time"
)

const (
	stepDeviation  = 0.3 // standard deviation of log run time among the tasks of a step, which are alike
	maxStepSamples = 15  // ends of a step that are kept

	minSpreadSamples = 3    // ends of a step from which its own spread is estimated
	spreadPrior      = 2    // weight of stepDeviation against them, in ends
	madToDeviation   = 1.48 // standard deviation of a normal distribution as a multiple of the median distance
)

// Step is what is known of the run times of one step's tasks.
type Step struct {
	ends []float64 // log run times at full pace, the latest last
}

// Observe adds the run time of a task that has completed.
func (s *Step) Observe(runTime time.Duration) {
	if runTime <= 0 {
		return
	}
	if len(s.ends) == maxStepSamples {
		s.ends = append(s.ends[:0], s.ends[1:]...)
	}
	s.ends = append(s.ends, logSeconds(runTime))
}

// Deviation returns the standard deviation of log run times around the refined prediction.
// That of the step's own ends is estimated by their median distance from the median, so that
// a few slow tasks don't widen it.
func (s *Step) Deviation(p Prediction) float64 {
	if len(s.ends) == 0 {
		return p.Deviation
	}
	n, own := 0.0, 0.0
	if len(s.ends) >= minSpreadSamples {
		n, own = float64(len(s.ends)), madToDeviation*s.medianDistance()
	}
	variance := (spreadPrior*stepDeviation*stepDeviation + n*own*own) / (spreadPrior + n)
	return min(p.Deviation, math.Sqrt(variance))
}

// medianDistance returns the median distance of the ends from their median.
func (s *Step) medianDistance() float64 {
	values := slices.Sorted(slices.Values(s.ends))
	middle := values[len(values)/2]
	for i := range values {
		values[i] = math.Abs(values[i] - middle)
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// Refine corrects a prediction by the run times of the step's own tasks. running
// holds the times that its other tasks have run so far; those below the expectation say
// little and are left out. The median counts, so that a few slow tasks don't
// change the expectation of the rest.
func (s *Step) Refine(p Prediction, running []time.Duration) time.Duration {
	values := slices.Clone(s.ends)
	for _, d := range running {
		if d > p.RunTime && d > 0 {
			values = append(values, logSeconds(d))
		}
	}
	if len(values) == 0 || len(s.ends) == 0 && 2*len(values) < len(running) {
		return p.RunTime
	}
	slices.Sort(values)
	median := (values[(len(values)-1)/2] + values[len(values)/2]) / 2
	if p.RunTime <= 0 {
		return fromLog(median)
	}
	prior := stepDeviation * stepDeviation / max(p.Deviation*p.Deviation, 1e-3) // weight in samples
	before := logSeconds(p.RunTime)
	y := (prior*before + float64(len(values))*median) / (prior + float64(len(values)))
	if math.Abs(y-before) <= tolerance {
		return p.RunTime
	}
	return fromLog(y)
}
