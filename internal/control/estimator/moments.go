package estimator

import (
	"math"
	"time"
)

// Moments are the weighted moments of observations with x = log(estimate) and
// r = log(run time) - x, both by seconds. Means and variances need fewer digits
// than sums.
type Moments struct {
	Weight float64 `json:"w"`  // steps
	X      float64 `json:"x"`  // mean of x
	R      float64 `json:"r"`  // mean of r
	XX     float64 `json:"xx"` // variance of x
	XR     float64 `json:"xr"` // covariance
	RR     float64 `json:"rr"` // variance of r
	At     int64   `json:"at"` // time of the last observation, Unix milliseconds
}

// add adds one observation.
func (m *Moments) add(x, r, weight float64) {
	m.merge(Moments{Weight: weight, X: x, R: r})
}

// merge adds the observations of other, as they are weighted there.
func (m *Moments) merge(other Moments) {
	total := m.Weight + other.Weight
	if total <= 0 {
		return
	}
	share := other.Weight / total
	dx, dr := other.X-m.X, other.R-m.R
	between := share * (1 - share)
	m.XX += (other.XX-m.XX)*share + dx*dx*between
	m.XR += (other.XR-m.XR)*share + dx*dr*between
	m.RR += (other.RR-m.RR)*share + dr*dr*between
	m.X += dx * share
	m.R += dr * share
	m.Weight = total
	m.At = max(m.At, other.At)
}

// age reduces the weight for the time since the last observation.
func (m *Moments) age(now time.Time) { m.ageTo(now.UnixMilli()) }

func (m *Moments) ageTo(at int64) {
	elapsed := float64(at-m.At) / float64(halfLife.Milliseconds())
	if elapsed <= 0 {
		return
	}
	if m.Weight > minAgedWeight {
		m.Weight = max(m.Weight*math.Exp2(-elapsed), minAgedWeight)
	}
	m.At = at
}

// slope returns the change of r with x, -1 to 0.
func (m *Moments) slope() float64 {
	b := m.Weight * m.XR / (m.Weight*m.XX + priorWeight*priorVarianceX)
	return min(max(b, -1), 0)
}

// predict returns the expected log run time.
func (m *Moments) predict(x float64) float64 {
	if m.Weight == 0 {
		return x
	}
	return x + m.R*m.Weight/(m.Weight+m.levelPrior()) + m.slope()*(x-m.X)
}

// levelPrior returns the weight of the prior of the level, in steps. It falls with the
// variance of the observations, as that of a normal prior does: evidence that agrees with
// itself soon prevails.
func (m *Moments) levelPrior() float64 {
	return priorWeight * m.variance() / (priorDeviation * priorDeviation)
}

// variance returns the variance of log run times around the expectation.
func (m *Moments) variance() float64 {
	b := m.slope()
	seen := max(m.RR-2*b*m.XR+b*b*m.XX, 0)
	return (priorWeight*priorDeviation*priorDeviation + m.Weight*seen) / (priorWeight + m.Weight)
}

// clip limits a residual, so that a few very long runs don't shift the expectation.
func (m *Moments) clip(residual float64) float64 {
	limit := clipDeviations * math.Sqrt(m.variance())
	return min(max(residual, -limit), limit)
}

// Predict returns the expected run time of a task with the given estimate.
func (m *Moments) Predict(estimate time.Duration) Prediction {
	if m.Weight <= 0 {
		return withoutEvidence(estimate)
	}
	x := logEstimate(estimate)
	y := m.predict(x)
	p := Prediction{
		RunTime: estimate, Evidence: m.Weight, Slope: 1 + m.slope(),
		Deviation: math.Sqrt(m.variance() * (1 + 1/(m.Weight+m.levelPrior()))),
	}
	if estimate <= 0 || math.Abs(y-x) > tolerance {
		p.RunTime = fromLog(y)
	}
	return p
}

// Ratio returns the expected run time as a multiple of the estimate, for a typical
// estimate.
func (m *Moments) Ratio() float64 { return math.Exp(m.predict(m.X) - m.X) }

// maxLog is the largest log of seconds in a record: 12 days.
const maxLog = 14

// fromLog returns the duration of a logarithm of seconds.
func fromLog(y float64) time.Duration {
	return time.Duration(math.Exp(min(max(y, -maxLog), maxLog)) * float64(time.Second))
}

// isValid reports whether the moments are possible ones. Records come from other
// hosts, perhaps of another version.
func (m *Moments) isValid() bool {
	inRange := func(v, limit float64) bool { return math.Abs(v) <= limit } // false for NaN
	return m.Weight > 0 && inRange(m.Weight, 1e6) && inRange(m.X, 2*maxLog) && inRange(m.R, 4*maxLog) &&
		m.XX >= 0 && inRange(m.XX, 1e3) && m.RR >= 0 && inRange(m.RR, 1e4) && inRange(m.XR, 1e4)
}

// rounded returns the moments with few digits, for summaries.
func (m *Moments) rounded() Moments {
	r := func(v float64) float64 { return math.Round(v*1e4) / 1e4 }
	return Moments{Weight: max(r(m.Weight), 1e-4), X: r(m.X), R: r(m.R), XX: r(m.XX), XR: r(m.XR), RR: r(m.RR), At: m.At}
}
