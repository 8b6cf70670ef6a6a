// Package estimator learns how long tasks run, compared with what their callers
// estimate.
//
// # Load
//
// Callers' estimates are biased by up to five times in either direction and noisy
// by a factor of two and a half. A few percent of the tasks take seven times as
// long as the others, and the mix of tasks changes within ten seconds. A predicted
// end that is computed from such estimates refuses jobs that would end in time, and
// accepts others that can't.
//
// # Model
//
// For each queue and image, log run time is a linear function of log estimate. The
// prior is the caller's estimate. The more the estimates prove to be noise, the
// lower is the slope, down to 0, where the expectation is the typical run time. One
// step of a job is one observation, however many tasks it has.
//
//	e := estimator.New()
//	e.Observe(key, estimator.Sample{Estimate: estimate, RunTime: runTime, Weight: 1.0 / count}, now)
//	expected := e.Predict(key, estimate)
//
// Records of several shards can be merged, see [Merge].
package estimator

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	maxKeys        = 64              // keys in a model
	maxRecords     = 24              // records of a summary, which all hosts receive
	halfLifeSteps  = 48              // steps after which an observation has lost half of its weight
	halfLife       = 5 * time.Second // time after which it has done so against newer ones, as a mix may change within 10 s
	startWeight    = 12              // steps; upper limit of the evidence from which a new model starts
	minAgedWeight  = 6               // steps; the passing of time doesn't reduce evidence below this weight
	priorWeight    = 3               // steps that the prior weighs
	priorDeviation = 0.8             // prior standard deviation of log run time around the expectation; a factor of 2.2
	priorVarianceX = 0.5             // variance of log estimates in the prior's observations
	clipDeviations = 2               // standard deviations; larger residuals are clipped
	changeRate     = 1.0 / 3         // weight of one step in the average of clipped residuals' signs
	changeShare    = 0.6             // average from which the load is taken for changed: three steps in a row
	changedWeight  = 0.5             // steps; what older evidence weighs after a change
	tolerance      = 0.1             // log; an expectation that is closer to the estimate is the estimate
	usageDecay     = 0.002           // share by which the highest usage decreases with each observation
)

// Key identifies a kind of task.
type Key struct {
	Queue string
	Image string
}

// Sample is the end of one run.
type Sample struct {
	Estimate time.Duration // by the caller; 0 without one
	RunTime  time.Duration // at full pace
	Weight   float64       // 1 / number of tasks in the step
}

// Prediction is an expected run time.
type Prediction struct {
	RunTime   time.Duration // median
	Deviation float64       // standard deviation of the logarithm
	Evidence  float64       // number of steps that it is based on; 0 if it is the caller's estimate
	Slope     float64       // exponent of the estimate, 0 to 1
}

// Estimator learns run times. It isn't safe for concurrent use.
type Estimator struct {
	entries map[Key]*entry
	uses    int64 // number of observations and predictions
}

// entry is the state of one key.
type entry struct {
	moments  Moments
	lastUse  int64
	side     float64 // average of the signs of clipped residuals, -1 to 1
	maxUsage float64 // highest share of the requested CPU that runs have used lately
}

// New returns an Estimator without evidence.
func New() *Estimator { return &Estimator{entries: make(map[Key]*entry)} }

// IsEmpty reports whether nothing was observed.
func (e *Estimator) IsEmpty() bool { return len(e.entries) == 0 }

// use returns the entry of a key. If there is none, it creates one and evicts the least
// recently used entry if there are too many.
func (e *Estimator) use(key Key) *entry {
	found := e.entries[key]
	if found == nil {
		if len(e.entries) >= maxKeys {
			e.evict()
		}
		found = &entry{}
		e.entries[key] = found
	}
	e.uses++
	found.lastUse = e.uses
	return found
}

// evict removes the least recently used entry.
func (e *Estimator) evict() {
	var oldest Key
	first := int64(math.MaxInt64)
	for key, x := range e.entries {
		if x.lastUse < first {
			oldest, first = key, x.lastUse
		}
	}
	delete(e.entries, oldest)
}

// logSeconds returns the logarithm of a duration in seconds. Values below a
// millisecond count as one.
func logSeconds(d time.Duration) float64 { return math.Log(max(d, time.Millisecond).Seconds()) }

// logEstimate returns the logarithm of an estimate. A missing one counts as a second.
func logEstimate(d time.Duration) float64 {
	if d <= 0 {
		return 0
	}
	return logSeconds(d)
}

// Observe adds the end of a run. Samples without a run time are ignored.
func (e *Estimator) Observe(key Key, s Sample, now time.Time) {
	if s.RunTime <= 0 || !(s.Weight > 0) || s.Weight > 1 {
		return
	}
	n := e.use(key)
	m := &n.moments
	m.age(now)
	m.Weight *= math.Exp2(-s.Weight / halfLifeSteps)
	x := logEstimate(s.Estimate)
	residual := logSeconds(s.RunTime) - m.predict(x)
	clipped := m.clip(residual)
	side := 0.0
	if clipped != residual {
		side = math.Copysign(1, residual)
	}
	n.side += (side - n.side) * (1 - math.Exp(-s.Weight*changeRate))
	if math.Abs(n.side) > changeShare {
		m.Weight = min(m.Weight, changedWeight)
		clipped, n.side = residual, 0
	}
	m.add(x, m.predict(x)+clipped-x, s.Weight)
}

// Predict returns the expected run time of a task with the given estimate.
func (e *Estimator) Predict(key Key, estimate time.Duration) Prediction {
	if e.entries[key] == nil {
		return withoutEvidence(estimate)
	}
	return e.use(key).moments.Predict(estimate)
}

// ObserveUsage returns the speed of a run that may use only a part of its worker's
// CPU, 0 to 1. usage is the CPU that it used lately as a share of what it has
// requested, pace the share of it that it may use. Runs may need less than they request, so
// usage is compared with the highest of the key.
func (e *Estimator) ObserveUsage(key Key, usage, pace float64) float64 {
	if !(usage > 0) || !(pace > 0) {
		return max(pace, 0)
	}
	n := e.use(key)
	n.maxUsage = max(n.maxUsage*(1-usageDecay), min(usage/pace, 1))
	return min(pace, usage/n.maxUsage)
}

// Summary returns the records of the most recently used keys with evidence, ordered
// by key.
func (e *Estimator) Summary() Records {
	keys := make([]Key, 0, len(e.entries))
	for key, x := range e.entries {
		if x.moments.Weight > 0 {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b Key) int { return cmp.Compare(e.entries[b].lastUse, e.entries[a].lastUse) })
	keys = keys[:min(len(keys), maxRecords)]
	slices.SortFunc(keys, compareKeys)
	out := make(Records, 0, len(keys))
	for _, key := range keys {
		out = append(out, Record{Queue: key.Queue, Image: key.Image, Moments: e.entries[key].moments.rounded()})
	}
	return out
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Image, b.Image))
}

// Start sets the evidence of a key to that of a record, limited to startWeight, so that
// own observations soon prevail.
func (e *Estimator) Start(r Record) {
	if !r.isValid() {
		return
	}
	m := r.Moments
	m.Weight = min(m.Weight, startWeight)
	e.use(Key{r.Queue, r.Image}).moments = m
}

// withoutEvidence returns the prediction without evidence.
func withoutEvidence(estimate time.Duration) Prediction {
	return Prediction{RunTime: estimate, Deviation: priorDeviation, Slope: 1}
}
