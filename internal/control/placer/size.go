package placer

import (
	"math"

	"dotterelcart.dev/dotterelcart/internal/control/accountant"
	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// Usage is the measured resource use of tasks by team and class. Its zero value
// is ready to use.
type Usage struct {
	Classes map[ClassKey]*ClassUsage
}

// ClassKey identifies tasks that are expected to need similar resources.
type ClassKey struct {
	Team  string
	Class string
}

// ClassUsage is the exponentially weighted use of one class.
type ClassUsage struct {
	CPU    Moments // millicores
	Memory Moments // MiB
	Count  int     // number of reports
}

// Moments are a weighted mean and variance.
type Moments struct {
	Mean     float64
	Variance float64
}

const (
	usageWeight         = 0.05 // weight of the newest report
	trustedCount        = 20   // number of reports from which the declaration is ignored
	margin              = 1.15 // factor on the upper bound of use
	deviations          = 2.0  // standard deviations from the mean to the upper bound of use
	fullGrant           = 0.95 // used share of a grant from which the task may need more than it got
	growth              = 1.5  // assumed need of such a task, as a multiple of its grant
	minCPU              = 100  // millicores
	minMemory           = 64   // MiB
	maxDeclarationError = 10   // factor by which a declaration may be too high or too low
)

// Observe adds the latest report of a running task. Use that reaches the grant
// is limited by it, so it counts as a multiple of the grant. Tasks that the
// escalator has throttled are ignored, since their use doesn't show their need.
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
	c.CPU.add(estimatedNeed(g.Used.CPU, g.Resources.CPU), c.Count)
	c.Memory.add(estimatedNeed(g.Used.Memory, g.Resources.Memory), c.Count)
	c.Count++
}

// SizeGrant returns the grant for a task of the job: the declaration as long as
// its class has no reports, the measured use with a margin once there are
// enough, and a mix of both in between. It never exceeds capacity. Accelerators
// are granted as declared. u may be nil.
func SizeGrant(u *Usage, job *describer.Job, capacity describer.Resources) describer.Resources {
	size := job.Declared
	if u != nil {
		if c := u.Classes[ClassKey{job.Team, job.Class}]; c != nil {
			size.CPU = mixed(job.Declared.CPU, c.CPU, c.Count)
			size.Memory = mixed(job.Declared.Memory, c.Memory, c.Count)
		}
	}
	size.CPU = min(max(size.CPU, minCPU), capacity.CPU)
	size.Memory = min(max(size.Memory, minMemory), capacity.Memory)
	size.Accelerators = min(size.Accelerators, capacity.Accelerators)
	return size
}

// ResizeGrant returns the grant that a running task should have by its own use:
// a larger one if it uses all of its grant, a smaller one if it uses little of
// it, and the same otherwise, so that small changes cause no calls. It grows by
// at most free, and a task that the escalator has throttled gets no more
// processors.
func ResizeGrant(g accountant.Grant, free describer.Resources) describer.Resources {
	if g.ThrottledTo > 0 {
		free.CPU = 0
	}
	to := g.Resources
	to.CPU = resized(g.Used.CPU, g.Resources.CPU, free.CPU, minCPU)
	to.Memory = resized(g.Used.Memory, g.Resources.Memory, free.Memory, minMemory)
	return to
}

// resized returns the new grant of one resource, in its unit.
func resized(used, granted, free, minimum int64) int64 {
	const idle = 0.5 // used share of the grant, with margin, below which it is reduced
	switch {
	case used <= 0:
		return granted
	case float64(used) >= fullGrant*float64(granted):
		return granted + max(0, min(free, int64(float64(granted)*(growth-1))))
	case float64(used)*margin < idle*float64(granted):
		return min(granted, max(minimum, int64(float64(used)*margin*1.2)))
	}
	return granted
}

// mixed returns the grant of one resource from its declaration and the measured
// use, in its unit. The mix is geometric because declarations are wrong by
// factors.
func mixed(declared int64, m Moments, count int) int64 {
	measured := margin * (m.Mean + deviations*math.Sqrt(m.Variance))
	trust := min(1, float64(count)/trustedCount)
	measured = min(max(measured, float64(declared)/maxDeclarationError), float64(declared)*maxDeclarationError)
	return int64(math.Exp((1-trust)*math.Log(float64(max(declared, 1))) + trust*math.Log(max(measured, 1))))
}

// estimatedNeed returns the need that a use shows. Use close to the grant hides a
// higher need.
func estimatedNeed(used, granted int64) float64 {
	if granted > 0 && float64(used) >= fullGrant*float64(granted) {
		return growth * float64(granted)
	}
	return float64(used)
}

// add updates the moments with a value; count is the number of values before it.
func (m *Moments) add(v float64, count int) {
	weight := max(usageWeight, 1/float64(count+1))
	d := v - m.Mean
	m.Mean += weight * d
	m.Variance = (1 - weight) * (m.Variance + weight*d*d)
}
