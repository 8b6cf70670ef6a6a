package learner

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Model is the regression of one service and band. Coefficient 0 is the log
// latency without batch tasks in the middle of the band, coefficient 1 its slope
// by load within the band. The others belong to classes in order of appearance;
// the last one is shared by all classes beyond Options.MaxClasses.
type Model struct {
	Classes    []string       // classes in order of appearance
	Index      map[string]int // index of the coefficient of each class
	Seen       map[string]int // number of reports while each class ran
	Mean       []float64      // expected value of each coefficient
	Covariance [][]float64    // covariance matrix of the coefficients
	Updated    time.Time      // end of the latest report
}

const baseCoefficients = 2 // number of coefficients that belong to no class

const (
	baselineDeviation = 1.0  // standard deviation of the first baseline, which is the first report's log latency
	baselineDrift     = 0.3  // approximate standard deviation that the baseline gains in a half-life
	slopePrior        = 1.0  // growth of log latency from load 0 to 1
	slopeDeviation    = 1.0  // standard deviation of slopePrior
	minShare          = 0.01 // share of processors below which a class does not count as seen
	maxResidual       = 2.5  // standard deviations; larger residuals are clipped
)

// newModel returns a model without classes whose baseline is the given latency.
func newModel(seconds float64) *Model {
	m := &Model{Index: make(map[string]int), Seen: make(map[string]int)}
	m.addCoefficient(math.Log(seconds), baselineDeviation*baselineDeviation)
	m.addCoefficient(slopePrior, slopeDeviation*slopeDeviation)
	return m
}

// observe updates the coefficients, which are the state of a Kalman filter, with
// one sample.
func (m *Model) observe(o Options, s Sample) {
	m.age(o, s.Latency.To)
	x := m.regressors(o, s)
	px := m.covarianceTimes(x)
	predicted, variance := 0.0, reportVariance(o, s.Latency.Count)
	for i, xi := range x {
		predicted += xi * m.Mean[i]
		variance += xi * px[i]
	}
	residual := math.Log(s.Latency.P99.Seconds()) - predicted
	limit := maxResidual * math.Sqrt(variance)
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

// age reduces the weight of earlier reports: the classes' means decay towards
// the prior and their variances grow towards the prior's. The baseline keeps
// its mean and only becomes less certain.
func (m *Model) age(o Options, now time.Time) {
	elapsed := now.Sub(m.Updated)
	if m.Updated.IsZero() {
		elapsed = 0
	}
	if elapsed < 0 {
		return // reports can arrive out of order
	}
	m.Updated = now
	keep := math.Exp2(-elapsed.Seconds() / o.HalfLife.Seconds())
	scale := math.Sqrt(keep)
	decay := func(i int) float64 {
		if i < baseCoefficients {
			return 1
		}
		return scale
	}
	for i := range m.Covariance {
		for j := range m.Covariance[i] {
			m.Covariance[i][j] *= decay(i) * decay(j)
		}
		prior := o.Deviation * o.Deviation
		if i < baseCoefficients {
			prior = baselineDrift * baselineDrift
		} else {
			m.Mean[i] = o.Prior + scale*(m.Mean[i]-o.Prior)
		}
		m.Covariance[i][i] += (1 - keep) * prior
	}
}

// regressors returns the regressors of a sample and adds a coefficient for each
// class that is new.
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
		if len(m.Mean) < o.MaxClasses+baseCoefficients {
			m.addCoefficient(o.Prior, o.Deviation*o.Deviation)
		}
		m.Index[class] = len(m.Mean) - 1
		m.Classes = append(m.Classes, class)
	}
	x := make([]float64, len(m.Mean))
	x[0] = 1
	x[1] = bandOffset(s.Latency.Load)
	for _, class := range slices.Sorted(maps.Keys(shares)) {
		if i, ok := m.Index[class]; ok {
			x[i] += shares[class]
		}
	}
	return x
}

// estimate returns the mean and the upper bound of the log slowdown by classes
// with the given shares of processors.
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
		mean, variance = m.unseenClasses(o, shares)
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

// unseenClasses returns the prior's contribution of the classes without reports.
func (m *Model) unseenClasses(o Options, shares map[string]float64) (mean, variance float64) {
	for _, class := range slices.Sorted(maps.Keys(shares)) {
		if _, ok := m.Index[class]; !ok {
			mean += shares[class] * o.Prior
			variance += shares[class] * shares[class] * o.Deviation * o.Deviation
		}
	}
	return mean, variance
}

// baseline returns the log latency, in seconds, without batch tasks.
func (m *Model) baseline(load float64) float64 { return m.Mean[0] + m.Mean[1]*bandOffset(load) }

// bandOffset returns how far a load is from the middle of its band.
func bandOffset(load float64) float64 { return load - (float64(Band(load))+0.5)/Bands }

// covarianceTimes returns the product of the covariance matrix and x.
func (m *Model) covarianceTimes(x []float64) []float64 {
	out := make([]float64, len(x))
	for i, row := range m.Covariance {
		for j, v := range row {
			out[i] += v * x[j]
		}
	}
	return out
}

// addCoefficient appends a coefficient that is independent of the others.
func (m *Model) addCoefficient(mean, variance float64) {
	for i := range m.Covariance {
		m.Covariance[i] = append(m.Covariance[i], 0)
	}
	m.Mean = append(m.Mean, mean)
	row := make([]float64, len(m.Mean))
	row[len(row)-1] = variance
	m.Covariance = append(m.Covariance, row)
}

// reportVariance returns the variance of a report's log latency, which is higher
// the fewer requests the report covers.
func reportVariance(o Options, count int64) float64 {
	const enough = 200 // requests; more do not make the 99th percentile more precise
	factor := max(1, enough/float64(count))
	return o.Noise * o.Noise * min(factor, 20)
}
