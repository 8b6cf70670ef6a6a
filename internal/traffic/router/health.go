package router

import (
	"math"
	"time"
)

// Health holds the bounds of outlier ejection, slow start and the learnt
// limit of requests in flight. Zero fields take defaults.
type Health struct {
	MaxFailures int           // in a row that eject a backend server
	Ejection    time.Duration // first ejection; doubles up to 16 times this
	MinOpen     float64       // share of a service's open backend servers that stays in use
	SlowFactor  float64       // times the median latency of the others that counts as an outlier
	SlowStart   time.Duration // slow start after an ejection
}

// DefaultEjection is the first ejection's time.
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

// limit returns how many requests the server may have in flight: the slots
// lent, bounded by the learnt window and by slow start, but at least one as
// long as a slot is lent.
func (s *server) limit(slots int, h *Health, now time.Time) int {
	if slots <= 0 {
		return 0
	}
	out := float64(slots)
	if s.window > 0 {
		out = min(out, s.window)
	}
	if since := now.Sub(s.returned); !s.returned.IsZero() && since < h.SlowStart {
		out = min(out, float64(slots)*float64(since)/float64(h.SlowStart))
	}
	return max(1, int(out))
}

const (
	latencyWeight = 0.1  // of the newest answer in the mean
	windowGrowth  = 0.05 // per answer
	windowCut     = 0.75 // on overload

	enough = 30 // answers before a mean latency counts in ejection
)

// learn updates the server after a request; the lock is held.
func (r *Router) learn(p *Slot, o Outcome) {
	s := p.server
	now := r.Options.Now()
	switch o {
	case Answered:
		s.failures = 0
		s.observe(now.Sub(p.since).Seconds())
		s.seen = now
		s.grow(r.Slots.Limit(s.backend))
	case Failed:
		s.failures++
	case Overloaded:
		s.shrink()
	}
	if s.failures >= r.Options.Health.MaxFailures || o == Answered && r.isOutlier(p) {
		r.eject(p, now)
	}
}

func (s *server) observe(seconds float64) {
	s.answers++
	if s.latency == 0 {
		s.latency = seconds
		return
	}
	s.latency += latencyWeight * (seconds - s.latency)
}

func (s *server) shrink() {
	s.window = max(1, min(orInfinity(s.window), float64(s.flight+1))*windowCut)
}

func (s *server) grow(slots int) {
	if s.window == 0 {
		return
	}
	s.window += windowGrowth
	if s.window > float64(slots) {
		s.window = 0
	}
}

func orInfinity(x float64) float64 {
	if x == 0 {
		return math.Inf(1)
	}
	return x
}

// isOutlier reports whether the server is far slower than the mean of the
// other ones at its distance.
func (r *Router) isOutlier(p *Slot) bool {
	if p.server.answers < enough {
		return false
	}
	row := r.row(p)
	sum, n := 0.0, 0
	for _, s := range row {
		if s != p.server && s.answers >= enough {
			sum += s.latency
			n++
		}
	}
	return n >= 3 && p.server.latency > r.Options.Health.SlowFactor*sum/float64(n)
}

// eject takes the server out of use unless too few would remain.
func (r *Router) eject(p *Slot, now time.Time) {
	s := p.server
	s.failures = 0
	if s.isEjected(now) || !r.mayEject(p, now) {
		return
	}
	if now.Sub(s.returned) > 10*r.Options.Health.Ejection {
		s.ejects = 0
	}
	s.ejected = now.Add(r.Options.Health.Ejection << min(s.ejects, 4))
	s.returned = s.ejected
	s.ejects++
	s.latency = 0
	s.answers = 0
}

func (r *Router) mayEject(p *Slot, now time.Time) bool {
	open, used := 0, 0
	for _, s := range r.row(p) {
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

func (r *Router) row(p *Slot) []*server {
	rows := r.view[p.service]
	if rows == nil {
		return nil
	}
	return rows[r.distance(p.Backend)]
}
