package router

import (
	"math"
	"time"
)

// Health configures outlier ejection, slow start and the learned limit of requests
// in flight. Zero fields take defaults.
type Health struct {
	MaxFailures int           // consecutive failures that eject a backend server
	Ejection    time.Duration // length of the first ejection; doubles with each further one, up to 16 times this
	MinOpen     float64       // share of a service's open backend servers at one distance that is never ejected
	SlowFactor  float64       // a backend server is an outlier above this multiple of the others' mean latency
	SlowStart   time.Duration // time after an ejection in which the limit rises to its normal value
}

// DefaultEjection is the default of Health.Ejection.
const DefaultEjection = 5 * time.Second

func (h Health) withDefaults() Health {
	if h.MaxFailures <= 0 {
		h.MaxFailures = 5
	}
	if h.Ejection <= 0 {
		h.Ejection = DefaultEjection
	}
	if h.MinOpen <= 0 {
		h.MinOpen = 0.7
	}
	if h.SlowFactor <= 0 {
		h.SlowFactor = 3
	}
	if h.SlowStart <= 0 {
		h.SlowStart = 20 * time.Second
	}
	return h
}

// limit returns how many requests the server may have in flight: the available
// slots, reduced by the learned limit and by slow start, but at least one if a slot
// is available.
func (s *server) limit(slots int, h *Health, now time.Time) int {
	if slots <= 0 {
		return 0
	}
	out := float64(slots)
	if s.learnedLimit > 0 {
		out = min(out, s.learnedLimit)
	}
	if since := now.Sub(s.slowStartFrom); !s.slowStartFrom.IsZero() && since < h.SlowStart {
		out = min(out, float64(slots)*float64(since)/float64(h.SlowStart))
	}
	return max(1, int(out))
}

const (
	latencyWeight = 0.1  // weight of the newest response in the mean latency
	limitGrowth   = 0.05 // added to the learned limit per response
	limitCut      = 0.75 // factor on the learned limit after a refusal

	minResponses = 30 // responses before a mean latency counts for ejection
)

// recordOutcome updates the server's state after a request and ejects the server
// if necessary. The lock must be held.
func (r *Router) recordOutcome(slot *Slot, o Outcome) {
	s := slot.server
	now := r.Options.Now()
	switch o {
	case Answered:
		s.failures = 0
		s.observeLatency(now.Sub(slot.taken).Seconds())
		s.lastResponse = now
		s.raiseLimit(r.Slots.Limit(s.backend))
	case Failed:
		s.failures++
	case Overloaded:
		s.lowerLimit()
	}
	if s.failures >= r.Options.Health.MaxFailures || o == Answered && r.isOutlier(slot) {
		r.eject(slot, now)
	}
}

// observeLatency adds a latency to the moving average.
func (s *server) observeLatency(seconds float64) {
	s.responses++
	if s.meanLatency == 0 {
		s.meanLatency = seconds
		return
	}
	s.meanLatency += latencyWeight * (seconds - s.meanLatency)
}

// lowerLimit lowers the learned limit after the server refused a request.
func (s *server) lowerLimit() {
	s.learnedLimit = max(1, min(orInfinity(s.learnedLimit), float64(s.inFlight+1))*limitCut)
}

// raiseLimit raises the learned limit after a response, and drops it when it
// reaches the available slots.
func (s *server) raiseLimit(slots int) {
	if s.learnedLimit == 0 {
		return
	}
	s.learnedLimit += limitGrowth
	if s.learnedLimit > float64(slots) {
		s.learnedLimit = 0
	}
}

// orInfinity returns x, or infinity for 0, which stands for no limit.
func orInfinity(x float64) float64 {
	if x == 0 {
		return math.Inf(1)
	}
	return x
}

// isOutlier reports whether the server's mean latency is far above that of the
// others at its distance. At least three others must have enough responses.
func (r *Router) isOutlier(slot *Slot) bool {
	if slot.server.responses < minResponses {
		return false
	}
	peers := r.peers(slot)
	sum, n := 0.0, 0
	for _, s := range peers {
		if s != slot.server && s.responses >= minResponses {
			sum += s.meanLatency
			n++
		}
	}
	return n >= 3 && slot.server.meanLatency > r.Options.Health.SlowFactor*sum/float64(n)
}

// eject takes the server out of use for a time, unless too few would remain. The
// count of ejections, which lengthens them, starts over when the last ejection
// ended more than ten times Health.Ejection ago.
func (r *Router) eject(slot *Slot, now time.Time) {
	s := slot.server
	s.failures = 0
	if s.isEjected(now) || !r.mayEject(slot, now) {
		return
	}
	if now.Sub(s.slowStartFrom) > 10*r.Options.Health.Ejection {
		s.ejections = 0
	}
	s.ejectedUntil = now.Add(r.Options.Health.Ejection << min(s.ejections, 4))
	s.slowStartFrom = s.ejectedUntil
	s.ejections++
	s.meanLatency = 0
	s.responses = 0
}

// mayEject reports whether enough servers at the slot's distance remain in use if
// this one is ejected.
func (r *Router) mayEject(slot *Slot, now time.Time) bool {
	open, used := 0, 0
	for _, s := range r.peers(slot) {
		if s.backend.Closed {
			continue
		}
		open++
		if !s.isEjected(now) {
			used++
		}
	}
	return float64(used-1) >= r.Options.Health.MinOpen*float64(open)
}

// peers returns the service's servers at the slot's distance, the slot's own
// included.
func (r *Router) peers(slot *Slot) []*server {
	byDistance := r.services[slot.service]
	if byDistance == nil {
		return nil
	}
	return byDistance[r.distance(slot.Backend)]
}
