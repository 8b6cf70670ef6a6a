package learner

import (
	"math"
	"time"
)

const (
	busyBins     = 50             // of load
	busyQuantile = 0.7            // of requests, ordered by the load they met
	busyMemory   = 12 * time.Hour // in which a report loses half of its weight
)

// LoadHistogram is the load that a service's requests meet, weighted by their number.
type LoadHistogram struct {
	Weights [busyBins]float64
	Updated time.Time
}

// add takes in a report.
func (b *LoadHistogram) add(load float64, count int64, now time.Time) {
	if passed := now.Sub(b.Updated); !b.Updated.IsZero() && passed > 0 {
		keep := math.Exp2(-passed.Seconds() / busyMemory.Seconds())
		for i := range b.Weights {
			b.Weights[i] *= keep
		}
	}
	if now.After(b.Updated) {
		b.Updated = now
	}
	b.Weights[min(max(int(load*busyBins), 0), busyBins-1)] += float64(count)
}

// load returns the load that three tenths of the requests exceed.
func (b *LoadHistogram) load() float64 {
	total := 0.0
	for _, w := range b.Weights {
		total += w
	}
	below := 0.0
	for i, w := range b.Weights {
		if below += w; below >= busyQuantile*total {
			return (float64(i) + 0.5) / busyBins
		}
	}
	return 1
}

// BusyLatency returns the 99th percentile of latency that the service has
// without batch tasks at its busy times, and false without evidence. Batch
// tasks that bring a quiet worker no further do not change the service's
// overall percentile much.
func (l *Learner) BusyLatency(service string) (time.Duration, bool) {
	b := l.LoadHistograms[service]
	if b == nil {
		return 0, false
	}
	return l.Baseline(service, b.load())
}
