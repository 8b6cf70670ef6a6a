// Package learner estimates how much batch tasks slow down a service.
//
// # Model
//
// For each service and band of load, the logarithm of the 99th percentile of
// latency is taken as a baseline, linear in load, plus, for each class of batch tasks, a
// coefficient times the share of the worker's processors that the class held.
// Each band is a Bayesian linear regression: coefficients without evidence
// stay at the prior, evidence ages because uncertainty grows with time, and
// the upper bound is the mean plus a multiple of the standard deviation.
//
//	l := learner.New(learner.Options{})
//	l.Observe(sample)
//	mean, upper := l.Estimate("menu-desk", "translate", 0.6)
//
// Reports are late: a [Timeline] keeps what ran on each worker, so that a
// sample holds what ran in the interval that it measures.
package learner

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/platform/runner"
)

// Bands is the number of load bands, of equal width.
const Bands = 4

// Options set the prior and the speed of forgetting. Zero fields take defaults.
type Options struct {
	Prior       float64       // coefficient of a class without evidence
	Deviation   float64       // standard deviation of the prior
	Noise       float64       // standard deviation of one report's log latency
	UpperSigmas float64       // standard deviations from mean to upper bound
	HalfLife    time.Duration // in which a coefficient's evidence loses half of its weight
	MaxClasses     int           // classes for each service and band; later ones share one coefficient
}

// Sample is one report with what ran on the worker during its interval.
type Sample struct {
	Worker  string
	Latency runner.Latency
	Shares  map[string]float64 // share of the worker's processors by class, averaged over the interval
}

// Learner holds the estimates. It is not safe for concurrent use.
type Learner struct {
	Options Options
	Models  map[ModelKey]*Model
	LoadHistograms    map[string]*LoadHistogram // by service
}

// ModelKey names one regression.
type ModelKey struct {
	Service string
	Band    int
}

// New returns a Learner without evidence.
func New(o Options) *Learner {
	o.Prior = orDefault(o.Prior, 0.4)
	o.Deviation = orDefault(o.Deviation, 0.6)
	o.Noise = orDefault(o.Noise, 0.25)
	o.UpperSigmas = orDefault(o.UpperSigmas, 1)
	o.HalfLife = orDefault(o.HalfLife, 2*time.Hour)
	o.MaxClasses = orDefault(o.MaxClasses, 24)
	return &Learner{Options: o, Models: make(map[ModelKey]*Model), LoadHistograms: make(map[string]*LoadHistogram)}
}

// Band returns the band of a load, 0 to Bands-1.
func Band(load float64) int {
	return min(max(int(load*Bands), 0), Bands-1)
}

// Observe takes in a sample. Samples without requests are ignored.
func (l *Learner) Observe(s Sample) {
	if s.Latency.P99 <= 0 || s.Latency.Count <= 0 {
		return
	}
	key := ModelKey{s.Latency.Service, Band(s.Latency.Load)}
	m := l.Models[key]
	if m == nil {
		m = newModel(s.Latency.P99.Seconds())
		l.Models[key] = m
	}
	m.observe(l.Options, s)
	b := l.LoadHistograms[key.Service]
	if b == nil {
		b = &LoadHistogram{}
		l.LoadHistograms[key.Service] = b
	}
	b.add(s.Latency.Load, s.Latency.Count, s.Latency.To)
}

// Coefficient returns the coefficient of a class for a service at a load: the
// logarithm of the slow-down if the class held all of the worker's processors.
func (l *Learner) Coefficient(service, class string, load float64) (mean, upper float64) {
	m := l.Models[ModelKey{service, Band(load)}]
	if m == nil {
		return l.Options.Prior, l.Options.Prior + l.Options.UpperSigmas*l.Options.Deviation
	}
	return m.estimate(l.Options, map[string]float64{class: 1})
}

// noEvidence is the model of a service without reports. It is only read.
var noEvidence = newModel(1)

// Slowdown returns the expected relative slow-down, 0.1 being 10 %, of a
// service by classes that hold the given shares of processors.
func (l *Learner) Slowdown(service string, shares map[string]float64, load float64) (mean, upper float64) {
	m := l.Models[ModelKey{service, Band(load)}]
	if m == nil {
		m = noEvidence
	}
	mean, upper = m.estimate(l.Options, shares)
	return math.Expm1(max(mean, 0)), math.Expm1(max(upper, 0))
}

// Baseline returns the 99th percentile of latency expected without batch
// tasks, and false without evidence.
func (l *Learner) Baseline(service string, load float64) (time.Duration, bool) {
	m := l.Models[ModelKey{service, Band(load)}]
	if m == nil {
		return 0, false
	}
	return time.Duration(math.Exp(m.baseline(load)) * float64(time.Second)), true
}

// Explain returns one line on each load band in which the service was seen
// beside the class.
func (l *Learner) Explain(service, class string) []string {
	var out []string
	for band := range Bands {
		m := l.Models[ModelKey{service, band}]
		if m == nil || m.Seen[class] == 0 {
			continue
		}
		mean, upper := m.estimate(l.Options, map[string]float64{class: 0.5})
		out = append(out, fmt.Sprintf(
			"%s beside %s at load %d-%d %%: half of the worker slows it by %.0f %%, at most %.0f %%, from %d reports",
			service, class, band*100/Bands, (band+1)*100/Bands,
			100*math.Expm1(mean), 100*math.Expm1(upper), m.Seen[class]))
	}
	return out
}

// Classes returns the classes that a service was seen beside, in order.
func (l *Learner) Classes(service string) []string {
	seen := make(map[string]bool)
	for key, m := range l.Models {
		if key.Service != service {
			continue
		}
		for class := range m.Seen {
			seen[class] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

func orDefault[T comparable](v, otherwise T) T {
	var zero T
	if v == zero {
		return otherwise
	}
	return v
}
