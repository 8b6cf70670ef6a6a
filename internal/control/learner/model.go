package learner

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Model is the regression of one service and band. Index 0 is the baseline in
// the middle of the band, index 1 the slope by load within the band, the
// others are classes in order of appearance; the last possible one is shared
// by all further classes.
type Model struct {
	Classes    []string // in order of appearance
	Index      map[string]int
	Seen       map[string]int // reports beside each class
	Mean       []float64
	Covariance [][]float64
	Updated    time.Time
}

const fixed = 2 // coefficients that are not classes

const (
	baselineDeviation = 1.0 // of the first report's log latency
	baselineDrift     = 0.3 // standard deviation that the baseline gains in a half-life
	slopePrior        = 1.0 // growth of log latency over the whole range of load
	slopeDeviation    = 1.0
	minShare          = 0.01 // a class below this share of processors is not counted as seen
	clip              = 2.5  // standard deviations beyond which a residual is cut
)

func newModel(seconds float64) *Model {
	m := &Model{Index: make(map[string]int), Seen: make(map[string]int)}
	m.grow(math.Log(seconds), baselineDeviation*baselineDeviation)
	m.grow(slopePrior, slopeDeviation*slopeDeviation)
	return m
}

// observe is one step of a Kalman filter whose state is the coefficients.
func (m *Model) observe(o Options, s Sample) {
	m.age(o, s.Latency.To)
	x := m.regressors(o, s)
	px := m.times(x)
	predicted, variance := 0.0, noise(o, s.Latency.Count)
	for i, xi := range x {
		predicted += xi * m.Mean[i]
		variance += xi * px[i]
	}
	residual := math.Log(s.Latency.P99.Seconds()) - predicted
	limit := clip * math.Sqrt(variance)
	residual = min(max(residual, -limit), limit)
	for i := range m.Mean {
		m.Mean[i] += px[i] / variance * residual
	}
	for i := range m.Covariance {
		for j := range m.Covariance[i] {
			m.Covariance[i][j] -= px[i] * px[j] / variance
		}
	}
}

// age lets evidence lose its weight: means decay towards the prior and
// variances grow towards the prior's. The baseline only becomes less certain.
func (m *Model) age(o Options, now time.Time) {
	passed := now.Sub(m.Updated)
	if m.Updated.IsZero() {
		passed = 0
	}
	if passed < 0 {
		return // a report later than a newer one
	}
	m.Updated = now
	keep := math.Exp2(-passed.Seconds() / o.HalfLife.Seconds())
	scale := math.Sqrt(keep)
	decay := func(i int) float64 {
		if i < fixed {
			return 1
		}
		return scale
	}
	for i := range m.Covariance {
		for j := range m.Covariance[i] {
			m.Covariance[i][j] *= decay(i) * decay(j)
		}
		prior := o.Deviation * o.Deviation
		if i < fixed {
			prior = baselineDrift * baselineDrift
		} else {
			m.Mean[i] = o.Prior + scale*(m.Mean[i]-o.Prior)
		}
		m.Covariance[i][i] += (1 - keep) * prior
	}
}

// regressors returns the vector of a report and adds unknown classes.
func (m *Model) regressors(o Options, s Sample) []float64 {
	shares := s.Shares
	for _, class := range slices.Sorted(maps.Keys(shares)) {
		if shares[class] < minShare {
			continue
		}
		m.Seen[class]++
		if _, ok := m.Index[class]; ok {
			continue
		}
		if len(m.Mean) < o.MaxClasses+fixed {
			m.grow(o.Prior, o.Deviation*o.Deviation)
		}
		m.Index[class] = len(m.Mean) - 1
		m.Classes = append(m.Classes, class)
	}
	x := make([]float64, len(m.Mean))
	x[0] = 1
	x[1] = offset(s.Latency.Load)
	for _, class := range slices.Sorted(maps.Keys(shares)) {
		if i, ok := m.Index[class]; ok {
			x[i] += shares[class]
		}
	}
	return x
}

// estimate returns mean and upper bound of the log slow-down.
func (m *Model) estimate(o Options, shares map[string]float64) (mean, upper float64) {
	x := make([]float64, len(m.Mean))
	known := 0
	for _, class := range m.Classes {
		if share, ok := shares[class]; ok {
			x[m.Index[class]] += share
			known++
		}
	}
	variance := 0.0
	if known < len(shares) {
		mean, variance = m.unknown(o, shares)
	}
	for i, xi := range x {
		if xi == 0 {
			continue
		}
		mean += xi * m.Mean[i]
		for j, xj := range x {
			variance += xi * xj * m.Covariance[i][j]
		}
	}
	return mean, mean + o.UpperSigmas*math.Sqrt(max(variance, 0))
}

// unknown returns the prior's part for classes that were never seen.
func (m *Model) unknown(o Options, shares map[string]float64) (mean, variance float64) {
	for _, class := range slices.Sorted(maps.Keys(shares)) {
		if _, ok := m.Index[class]; !ok {
			mean += shares[class] * o.Prior
			variance += shares[class] * shares[class] * o.Deviation * o.Deviation
		}
	}
	return mean, variance
}

// baseline returns the log latency without batch tasks.
func (m *Model) baseline(load float64) float64 { return m.Mean[0] + m.Mean[1]*offset(load) }

// offset returns how far a load is from the middle of its band.
func offset(load float64) float64 { return load - (float64(Band(load))+0.5)/Bands }

func (m *Model) times(x []float64) []float64 {
	out := make([]float64, len(x))
	for i, row := range m.Covariance {
		for j, v := range row {
			out[i] += v * x[j]
		}
	}
	return out
}

func (m *Model) grow(mean, variance float64) {
	for i := range m.Covariance {
		m.Covariance[i] = append(m.Covariance[i], 0)
	}
	m.Mean = append(m.Mean, mean)
	row := make([]float64, len(m.Mean))
	row[len(row)-1] = variance
	m.Covariance = append(m.Covariance, row)
}

// noise returns the variance of a report; few requests make it noisier.
func noise(o Options, count int64) float64 {
	const enough = 200 // requests from which a 99th percentile is as good as it gets
	scarce := max(1, enough/float64(count))
	return o.Noise * o.Noise * min(scarce, 20)
}
