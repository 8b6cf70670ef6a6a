// Package learner estimates by how much batch tasks slow down the services on
// the same worker.
//
// # Model
//
// Every batch task belongs to an interference class, whose tasks are expected
// to slow down a service alike. For each service and band of load, the
// logarithm of the 99th percentile of latency is modelled as a baseline,
// linear in load, plus for each class a coefficient times the share of the
// worker's processors that the class held. Each band is a Bayesian linear
// regression: coefficients of classes without reports keep the prior, old
// reports lose weight because uncertainty grows with time, and the upper bound
// of an estimate is its mean plus a multiple of its standard deviation.
//
//	l := learner.New(learner.Options{})
//	l.Observe(sample)
//	mean, upper := l.Coefficient("menu-desk", "translate", 0.6)
//
// Reports arrive late. A [Timeline] keeps what ran on each worker, so that a
// sample contains what ran during the interval that its report covers.
package learner

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/platform/runner"
)

// Bands is the number of load bands. They have equal width and cover loads from
// 0 to 1.
const Bands = 4

// Options set the prior and how fast reports lose weight. Zero fields take
// defaults.
type Options struct {
	Prior       float64       // coefficient of a class without reports
	Deviation   float64       // standard deviation of the prior
	Noise       float64       // standard deviation of one report's log latency
	UpperSigmas float64       // standard deviations from the mean to the upper bound
	HalfLife    time.Duration // time in which reports lose half of their weight
	// MaxClasses is the number of classes with a coefficient of their own in each
	// service and band. All further classes share the last of them.
	MaxClasses int
}

// Sample is one latency report with what ran on the worker during its interval.
type Sample struct {
	Worker  string
	Latency runner.LatencyReport
	Shares  map[string]float64 // mean share of the worker's processors by class, 0 to 1
}

// Learner holds the estimates. It is not safe for concurrent use.
type Learner struct {
	Options        Options
	Models         map[ModelKey]*Model
	LoadHistograms map[string]*LoadHistogram // distribution of the load that each service met
}

// ModelKey identifies one regression.
type ModelKey struct {
	Service string
	Band    int
}

// New returns a Learner without reports.
func New(o Options) *Learner {
	o.Prior = orDefault(o.Prior, 0.4)
	o.Deviation = orDefault(o.Deviation, 0.6)
	o.Noise = orDefault(o.Noise, 0.25)
	o.UpperSigmas = orDefault(o.UpperSigmas, 1)
	o.HalfLife = orDefault(o.HalfLife, 2*time.Hour)
	o.MaxClasses = orDefault(o.MaxClasses, 24)
	return &Learner{Options: o, Models: make(map[ModelKey]*Model), LoadHistograms: make(map[string]*LoadHistogram)}
}

// Band returns the index of the band that contains a load from 0 to 1.
func Band(load float64) int {
	return min(max(int(load*Bands), 0), Bands-1)
}

// Observe updates the estimates with a sample. Samples without requests are
// ignored.
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
	h := l.LoadHistograms[key.Service]
	if h == nil {
		h = &LoadHistogram{}
		l.LoadHistograms[key.Service] = h
	}
	h.add(s.Latency.Load, s.Latency.Count, s.Latency.To)
}

// Coefficient returns the coefficient of a class for a service at a load, with
// its upper bound: the logarithm of the slowdown if the class held all of the
// worker's processors.
func (l *Learner) Coefficient(service, class string, load float64) (mean, upper float64) {
	m := l.Models[ModelKey{service, Band(load)}]
	if m == nil {
		return l.Options.Prior, l.Options.Prior + l.Options.UpperSigmas*l.Options.Deviation
	}
	return m.estimate(l.Options, map[string]float64{class: 1})
}

// emptyModel is the model of a service without reports. It must not be changed.
var emptyModel = newModel(1)

// Slowdown returns the expected relative slowdown of a service, 0.1 being 10 %,
// and its upper bound, when classes hold the given shares of the worker's
// processors.
func (l *Learner) Slowdown(service string, shares map[string]float64, load float64) (mean, upper float64) {
	m := l.Models[ModelKey{service, Band(load)}]
	if m == nil {
		m = emptyModel
	}
	mean, upper = m.estimate(l.Options, shares)
	return math.Expm1(max(mean, 0)), math.Expm1(max(upper, 0))
}

// Baseline returns the 99th percentile of latency expected without batch
// tasks, and false if there are no reports at this band of load.
func (l *Learner) Baseline(service string, load float64) (time.Duration, bool) {
	m := l.Models[ModelKey{service, Band(load)}]
	if m == nil {
		return 0, false
	}
	return time.Duration(math.Exp(m.baseline(load)) * float64(time.Second)), true
}

// Explain returns one line for operators on each load band with reports of the
// service while the class ran on the same worker.
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

// Classes returns the sorted classes that ran on a worker while the service
// reported from it.
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

// orDefault returns v, or fallback if v is zero.
func orDefault[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}
