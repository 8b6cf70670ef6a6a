package forwarder

import (
	"slices"
	"sync"
	"time"
)

// responseStats estimates the latency and size of each service's responses.
type responseStats struct {
	lock     sync.Mutex
	services map[string]*serviceStats
}

// serviceStats holds the latest times to response headers in a ring buffer and
// a moving average of the body size.
type serviceStats struct {
	recent   [256]time.Duration // ring buffer
	count    int                // observations since start
	p50      time.Duration
	p95      time.Duration
	meanSize float64            // moving average, in bytes
	scratch  [256]time.Duration // sorted copy of recent
}

const (
	sortInterval     = 32 // observations between updates of the quantiles
	slowFactor       = 10 // slowThreshold is this multiple of the median latency
	minHedgeDelay    = time.Millisecond
	minSlowThreshold = 100 * time.Millisecond
	initialSize      = 16 << 10 // bytes, assumed before the first response
)

// service returns the statistics of the service; the lock must be held.
func (r *responseStats) service(service string) *serviceStats {
	if r.services == nil {
		r.services = make(map[string]*serviceStats)
	}
	s := r.services[service]
	if s == nil {
		s = &serviceStats{meanSize: initialSize}
		r.services[service] = s
	}
	return s
}

// observeLatency records the time to the response headers. The quantiles are
// recomputed once per sortInterval observations.
func (r *responseStats) observeLatency(service string, took time.Duration) {
	r.lock.Lock()
	defer r.lock.Unlock()
	s := r.service(service)
	s.recent[s.count%len(s.recent)] = took
	s.count++
	if s.count%sortInterval != 0 {
		return
	}
	sorted := s.scratch[:min(s.count, len(s.recent))]
	copy(sorted, s.recent[:])
	slices.Sort(sorted)
	s.p50 = sorted[len(sorted)/2]
	s.p95 = sorted[len(sorted)*95/100]
}

// observeSize records the size of a response body in bytes.
func (r *responseStats) observeSize(service string, n int64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	s := r.service(service)
	s.meanSize += 0.1 * (float64(n) - s.meanSize)
}

// hedgeDelay returns the 95th percentile of the latency, after which a second
// attempt is sent, or 0 while it is unknown.
func (r *responseStats) hedgeDelay(service string) time.Duration {
	r.lock.Lock()
	defer r.lock.Unlock()
	s := r.service(service)
	if s.p95 == 0 {
		return 0
	}
	return max(s.p95, minHedgeDelay)
}

// slowThreshold returns the time after which a cancelled request without a
// response counts as a failure of its backend server.
func (r *responseStats) slowThreshold(service string) time.Duration {
	r.lock.Lock()
	defer r.lock.Unlock()
	return max(slowFactor*r.service(service).p50, minSlowThreshold)
}

// expectedBytes returns the average size of a response body.
func (r *responseStats) expectedBytes(service string) int64 {
	r.lock.Lock()
	defer r.lock.Unlock()
	return int64(r.service(service).meanSize)
}
