package learner

import (
	"math"
	"time"
)

const (
	loadBins     = 50             // number of bins of equal width for loads from 0 to 1
	busyQuantile = 0.7            // share of the requests that met at most the load of busy times
	loadHalfLife = 12 * time.Hour // time in which a report loses half of its weight
)

// LoadHistogram is the distribution of the load that a service's requests met,
// weighted by their number and age.
type LoadHistogram struct {
	Weights [loadBins]float64
	Updated time.Time // time of the latest report
}

// add counts the requests of one report in the bin of their load.
func (h *LoadHistogram) add(load float64, count int64, now time.Time) {
	if elapsed := now.Sub(h.Updated); !h.Updated.IsZero() && elapsed > 0 {
		keep := math.Exp2(-elapsed.Seconds() / loadHalfLife.Seconds())
		for i := range h.Weights {
			h.Weights[i] *= keep
		}
	}
	if now.After(h.Updated) {
		h.Updated = now
	}
	h.Weights[min(max(int(load*loadBins), 0), loadBins-1)] += float64(count)
}

// busyLoad returns the load at busy times: the busyQuantile of the distribution.
func (h *LoadHistogram) busyLoad() float64 {
	total := 0.0
	for _, w := range h.Weights {
		total += w
	}
	below := 0.0
	for i, w := range h.Weights {
		if below += w; below >= busyQuantile*total {
			return (float64(i) + 0.5) / loadBins
		}
	}
	return 1
}

// BusyLatency returns the 99th percentile of latency that the service has
// without batch tasks at its busy times, and false if there are no reports.
// Batch tasks that raise the latency of a quiet worker no higher than that
// hardly change the service's overall percentile.
func (l *Learner) BusyLatency(service string) (time.Duration, bool) {
	h := l.LoadHistograms[service]
	if h == nil {
		return 0, false
	}
	return l.Baseline(service, h.busyLoad())
}
