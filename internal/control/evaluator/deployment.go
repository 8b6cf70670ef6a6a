package evaluator

import (
	"math"
	"math/rand/v2"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// Deployment is a set of workers with its service and its batch demand.
type Deployment struct {
	Name    string
	Service string
	Workers int
	RackSize    int                 // workers for each rack
	WorkerSize    describer.Resources // of a worker
	Target  time.Duration
	IdleP99    time.Duration // 99th percentile of an idle worker
	Rate    float64       // requests a second and worker at full load
	Weights describer.Weights
	Demand  float64 // batch work as a share of all processors that are not reserved
	TaskCores    float64 // cores of a typical batch task
}

// Deployments returns both deployments at today's size.
func Deployments() []Deployment {
	return []Deployment{{
		Name: "queensland", Service: "menu-desk", Workers: 48, RackSize: 8,
		WorkerSize:   describer.Resources{CPU: 64000, Memory: 250000},
		Target: 120 * time.Millisecond, IdleP99: 40 * time.Millisecond, Rate: 60,
		Weights: describer.Weights{Latency: 1, Throughput: 2, Evictions: 1},
		Demand:  0.65, TaskCores: 4,
	}, {
		Name: "minara", Service: "keepdesk", Workers: 65, RackSize: 8,
		WorkerSize:   describer.Resources{CPU: 16000, Memory: 60000},
		Target: 150 * time.Millisecond, IdleP99: 50 * time.Millisecond, Rate: 40,
		Weights: describer.Weights{Latency: 3, Throughput: 1, Evictions: 1},
		Demand:  0.55, TaskCores: 1,
	}}
}

const (
	reservedShare = 0.25 // of a service worker's processors, for its backend server
	batchOnly     = 4    // every n-th worker has no service
	classes       = 6
	hidden        = 2 // resources that interference comes from
)

// batchClass is the truth about a class of batch tasks.
type batchClass struct {
	name     string
	cores    float64
	memory   float64 // MiB
	run      float64 // seconds at full speed
	sizeOff  float64 // declared over true size
	timeOff  float64 // declared over true run time
	pressure [hidden]float64
}

// truth is what policies can't see.
type truth struct {
	classes     []batchClass
	sensitivity [hidden]float64
	knee        [hidden]float64
	own         [hidden]float64 // pressure of the service itself at full load
	linear      float64
}

func newTruth(d Deployment, r *rand.Rand) truth {
	t := truth{linear: 0.05 + 0.1*r.Float64()}
	for i := range hidden {
		t.sensitivity[i] = 3 + 5*r.Float64()
		t.knee[i] = 0.25 + 0.15*r.Float64()
		t.own[i] = 0.1 + 0.2*r.Float64()
	}
	for i := range classes {
		c := batchClass{
			name:    string(rune('a' + i)),
			cores:   d.TaskCores * math.Exp(0.5*r.NormFloat64()),
			run:     300 * math.Exp(0.5*r.NormFloat64()),
			sizeOff: factor(r),
			timeOff: factor(r),
		}
		c.memory = c.cores * 2500 * math.Exp(0.3*r.NormFloat64())
		for k := range hidden {
			c.pressure[k] = math.Pow(r.Float64(), 2) * 2 // most classes are harmless
		}
		t.classes = append(t.classes, c)
	}
	return t
}

// drift changes the classes' pressure a little: new inputs, new releases.
func (t *truth) drift(r *rand.Rand) {
	for c := range t.classes {
		for k := range hidden {
			t.classes[c].pressure[k] *= math.Exp(0.2 * r.NormFloat64())
		}
	}
}

// factor returns how far off a declaration is, at most tenfold.
func factor(r *rand.Rand) float64 {
	return min(max(math.Exp(0.9*r.NormFloat64()), 0.1), 10)
}

// slowdown returns the factor on latency when classes use the given shares of
// a worker's processors.
func (t *truth) slowdown(shares []float64, load float64) float64 {
	slow, total := 1.0, 0.0
	for k := range hidden {
		pressure := t.own[k] * load
		for c, share := range shares {
			pressure += share * t.classes[c].pressure[k]
		}
		slow += t.sensitivity[k] * math.Pow(max(0, pressure-t.knee[k]), 2)
	}
	for _, share := range shares {
		total += share
	}
	return slow + t.linear*total*load
}

// latency returns the 99th percentile on a worker in seconds.
func (t *truth) latency(d Deployment, shares []float64, load float64) float64 {
	queue := 1 + 0.25*load/(1-min(load, 0.92))
	return d.IdleP99.Seconds() * queue * t.slowdown(shares, load)
}
