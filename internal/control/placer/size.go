package placer

import (
	"math"

	"dotterelcart.dev/dotterelcart/internal/control/accountant"
	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// Usage is what tasks were measured to use, by team and class. Its zero value
// is ready to use.
type Usage struct {
	Classes map[ClassKey]*ClassUsage
}

// ClassKey names the tasks that are expected to be alike.
type ClassKey struct {
	Team  string
	Class string
}

// ClassUsage is the measured use of one class, exponentially weighted.
type ClassUsage struct {
	CPU    Moments // millicores
	Memory Moments // MiB
	Count  int
}

// Moments are a weighted mean and variance.
type Moments struct {
	Mean     float64
	Variance float64
}

const (
	usageWeight   = 0.05 // of the newest report
	trustedCount  = 20   // reports from which the measure replaces the declaration
	margin        = 1.15 // on top of the upper bound of use
	deviations    = 2.0  // from the mean to the upper bound
	fullGrant     = 0.95 // use of a grant above which the real need is not visible
	growth        = 1.5  // assumed need in that case
	minimalCPU    = 100  // millicores
	minimalMemory = 64   // MiB
	offBy         = 10   // factor by which declarations may be wrong
)

// Observe takes in the latest report of a running task. Use that reaches the
// grant is throttled use, so it counts as a multiple of the grant; a task that
// is throttled for a service's sake shows nothing about its need.
func (u *Usage) Observe(g accountant.Grant) {
	if g.Used.IsZero() || g.ThrottledTo > 0 {
		return
	}
	if u.Classes == nil {
		u.Classes = make(map[ClassKey]*ClassUsage)
	}
	key := ClassKey{g.Team, g.Class}
	c := u.Classes[key]
	if c == nil {
		c = &ClassUsage{}
		u.Classes[key] = c
	}
	c.CPU.add(uncensored(g.Used.CPU, g.Resources.CPU), c.Count)
	c.Memory.add(uncensored(g.Used.Memory, g.Resources.Memory), c.Count)
	c.Count++
}

// SizeGrant returns the grant for a task of the job: what its class was measured to
// use with a margin, the declaration until there are enough reports, and a mix
// between. It never exceeds capacity. Accelerators are granted as declared.
func SizeGrant(u *Usage, job *describer.Job, capacity describer.Resources) describer.Resources {
	size := job.Declared
	if u != nil {
		if c := u.Classes[ClassKey{job.Team, job.Class}]; c != nil {
			size.CPU = mixed(job.Declared.CPU, c.CPU, c.Count)
			size.Memory = mixed(job.Declared.Memory, c.Memory, c.Count)
		}
	}
	size.CPU = min(max(size.CPU, minimalCPU), capacity.CPU)
	size.Memory = min(max(size.Memory, minimalMemory), capacity.Memory)
	size.Accelerators = min(size.Accelerators, capacity.Accelerators)
	return size
}

// ResizeGrant returns the grant that a running task should have by its own use:
// more when it uses all of it, less when it leaves most of it unused, and the
// same otherwise, so that small changes cause no calls. It stays within free,
// and a task that is throttled for a service's sake gets no more processors.
func ResizeGrant(g accountant.Grant, free describer.Resources) describer.Resources {
	if g.ThrottledTo > 0 {
		free.CPU = 0
	}
	to := g.Resources
	to.CPU = resized(g.Used.CPU, g.Resources.CPU, free.CPU, minimalCPU)
	to.Memory = resized(g.Used.Memory, g.Resources.Memory, free.Memory, minimalMemory)
	return to
}

func resized(used, granted, free, minimal int64) int64 {
	const idle = 0.5 // use below this share of the grant shrinks it
	switch {
	case used <= 0:
		return granted
	case float64(used) >= fullGrant*float64(granted):
		return granted + max(0, min(free, int64(float64(granted)*(growth-1))))
	case float64(used)*margin < idle*float64(granted):
		return min(granted, max(minimal, int64(float64(used)*margin*1.2)))
	}
	return granted
}

func mixed(declared int64, m Moments, count int) int64 {
	measured := margin * (m.Mean + deviations*math.Sqrt(m.Variance))
	trust := min(1, float64(count)/trustedCount)
	measured = min(max(measured, float64(declared)/offBy), float64(declared)*offBy)
	// The mix is geometric: declarations are off by factors.
	return int64(math.Exp((1-trust)*math.Log(float64(max(declared, 1))) + trust*math.Log(max(measured, 1))))
}

func uncensored(used, granted int64) float64 {
	if granted > 0 && float64(used) >= fullGrant*float64(granted) {
		return growth * float64(granted)
	}
	return float64(used)
}

func (m *Moments) add(v float64, count int) {
	weight := max(usageWeight, 1/float64(count+1))
	d := v - m.Mean
	m.Mean += weight * d
	m.Variance = (1 - weight) * (m.Variance + weight*d*d)
}
