package evaluator

import (
	"math"
	"math/rand/v2"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// Deployment is a set of equal workers with a service and a demand of batch work.
type Deployment struct {
	Name       string
	Service    string
	Workers    int
	RackSize   int                 // workers per rack
	WorkerSize describer.Resources // capacity of a worker
	Target     time.Duration       // upper bound of the 99th percentile of latency
	IdleP99    time.Duration       // 99th percentile of latency on a worker without load
	Rate       float64             // requests per second on one worker at full load
	Weights    describer.Weights
	Demand     float64 // batch work as a share of what the processors not reserved for the service can do
	TaskCores  float64 // cores that a typical batch task uses
}

// Deployments returns the two deployments at their current size.
func Deployments() []Deployment {
	return []Deployment{{
		Name: "queensland", Service: "menu-desk", Workers: 48, RackSize: 8,
		WorkerSize: describer.Resources{CPU: 64000, Memory: 250000},
		Target:     120 * time.Millisecond, IdleP99: 40 * time.Millisecond, Rate: 60,
		Weights: describer.Weights{Latency: 1, Throughput: 2, Evictions: 1},
		Demand:  0.65, TaskCores: 4,
	}, {
		Name: "minara", Service: "keepdesk", Workers: 65, RackSize: 8,
		WorkerSize: describer.Resources{CPU: 16000, Memory: 60000},
		Target:     150 * time.Millisecond, IdleP99: 50 * time.Millisecond, Rate: 40,
		Weights: describer.Weights{Latency: 3, Throughput: 1, Evictions: 1},
		Demand:  0.55, TaskCores: 1,
	}}
}

const (
	reservedShare   = 0.25 // share of a worker's processors that is reserved for its backend server
	batchOnlyEvery  = 4    // one worker in this many has no service and runs batch tasks only
	classCount      = 6    // number of batch classes
	sharedResources = 2    // number of resources that cause interference, such as memory bandwidth
)

// batchClass holds the true properties of a class of batch tasks.
type batchClass struct {
	name      string
	cores     float64                  // cores that one task uses at full speed
	memory    float64                  // MiB
	run       float64                  // seconds at full speed
	sizeError float64                  // ratio of the declared size to the true one
	timeError float64                  // ratio of the declared run time to the true one
	pressure  [sharedResources]float64 // pressure on each shared resource if the class held all processors of a worker
}

// groundTruth holds the true interference, which the policies can't see.
type groundTruth struct {
	classes     []batchClass
	sensitivity [sharedResources]float64 // slowdown by the square of the pressure above the knee
	knee        [sharedResources]float64 // pressure below which there is no interference
	own         [sharedResources]float64 // pressure of the service itself at full load
	linear      float64                  // slowdown by all batch classes' share of processors at full load
}

// newGroundTruth draws the interference of a deployment.
func newGroundTruth(d Deployment, r *rand.Rand) groundTruth {
	t := groundTruth{linear: 0.05 + 0.1*r.Float64()}
	for i := range sharedResources {
		t.sensitivity[i] = 3 + 5*r.Float64()
		t.knee[i] = 0.25 + 0.15*r.Float64()
		t.own[i] = 0.1 + 0.2*r.Float64()
	}
	for i := range classCount {
		c := batchClass{
			name:      string(rune('a' + i)),
			cores:     d.TaskCores * math.Exp(0.5*r.NormFloat64()),
			run:       300 * math.Exp(0.5*r.NormFloat64()),
			sizeError: declarationError(r),
			timeError: declarationError(r),
		}
		c.memory = c.cores * 2500 * math.Exp(0.3*r.NormFloat64())
		for k := range sharedResources {
			c.pressure[k] = math.Pow(r.Float64(), 2) * 2 // the square makes most classes interfere little
		}
		t.classes = append(t.classes, c)
	}
	return t
}

// drift changes the classes' pressure a little, as new inputs and releases of
// their programs do.
func (t *groundTruth) drift(r *rand.Rand) {
	for c := range t.classes {
		for k := range sharedResources {
			t.classes[c].pressure[k] *= math.Exp(0.2 * r.NormFloat64())
		}
	}
}

// declarationError returns the factor by which a declaration is wrong, from 0.1
// to 10.
func declarationError(r *rand.Rand) float64 {
	return min(max(math.Exp(0.9*r.NormFloat64()), 0.1), 10)
}

// slowdown returns the factor by which latency increases when the classes use the
// given shares of a worker's processors.
func (t *groundTruth) slowdown(shares []float64, load float64) float64 {
	slowdown, total := 1.0, 0.0
	for k := range sharedResources {
		pressure := t.own[k] * load
		for c, share := range shares {
			pressure += share * t.classes[c].pressure[k]
		}
		slowdown += t.sensitivity[k] * math.Pow(max(0, pressure-t.knee[k]), 2)
	}
	for _, share := range shares {
		total += share
	}
	return slowdown + t.linear*total*load
}

// latency returns the true 99th percentile of latency on a worker in seconds.
func (t *groundTruth) latency(d Deployment, shares []float64, load float64) float64 {
	queue := 1 + 0.25*load/(1-min(load, 0.92))
	return d.IdleP99.Seconds() * queue * t.slowdown(shares, load)
}
