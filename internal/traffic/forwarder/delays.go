package forwarder

import (
	"slices"
	"sync"
	"time"
)

// delays keeps what each service's answers took lately.
type delays struct {
	lock     sync.Mutex
	services map[string]*delay
}

// delay holds the latest times to the head of an answer in a ring.
type delay struct {
	ring    [256]time.Duration
	n       int // observations ever
	p50     time.Duration
	p95     time.Duration
	answer  float64 // mean size, bytes
	scratch [256]time.Duration
}

const (
	refresh     = 32 // observations between two sorts of the ring
	slowFactor  = 10 // times the median after which a cancelled request counts as failed
	leastDelay  = time.Millisecond
	leastSlow   = 100 * time.Millisecond
	firstAnswer = 16 << 10 // assumed size in bytes while none is known
)

func (x *delays) of(service string) *delay {
	if x.services == nil {
		x.services = make(map[string]*delay)
	}
	d := x.services[service]
	if d == nil {
		d = &delay{answer: firstAnswer}
		x.services[service] = d
	}
	return d
}

func (x *delays) observe(service string, took time.Duration) {
	x.lock.Lock()
	defer x.lock.Unlock()
	d := x.of(service)
	d.ring[d.n%len(d.ring)] = took
	d.n++
	if d.n%refresh != 0 {
		return
	}
	sorted := d.scratch[:min(d.n, len(d.ring))]
	copy(sorted, d.ring[:])
	slices.Sort(sorted)
	d.p50 = sorted[len(sorted)/2]
	d.p95 = sorted[len(sorted)*95/100]
}

func (x *delays) size(service string, n int64) {
	x.lock.Lock()
	defer x.lock.Unlock()
	d := x.of(service)
	d.answer += 0.1 * (float64(n) - d.answer)
}

// hedge returns how long to wait before a second attempt, 0 while unknown.
func (x *delays) hedge(service string) time.Duration {
	x.lock.Lock()
	defer x.lock.Unlock()
	d := x.of(service)
	if d.p95 == 0 {
		return 0
	}
	return max(d.p95, leastDelay)
}

// slow returns the time after which a request without an answer speaks
// against its backend server.
func (x *delays) slow(service string) time.Duration {
	x.lock.Lock()
	defer x.lock.Unlock()
	return max(slowFactor*x.of(service).p50, leastSlow)
}

// bytes returns the expected size of an answer.
func (x *delays) bytes(service string) int64 {
	x.lock.Lock()
	defer x.lock.Unlock()
	return int64(x.of(service).answer)
}
