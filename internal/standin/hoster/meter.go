package hoster

import (
	"slices"
	"sync"
	"time"

	"dotterelcart.dev/dotterelcart/internal/platform/runner"
)

// interval is the time that one latency report covers.
const interval = time.Second

// meter collects the latency of requests and reports it with a lag.
type meter struct {
	lag   time.Duration
	slots int

	mu      sync.Mutex
	service string
	from    time.Time
	taken   []time.Duration
	ready   []runner.LatencyReport
}

func (m *meter) add(service string, now time.Time, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.close(now)
	m.service = service
	m.taken = append(m.taken, took)
}

// close ends the interval if it is over.
func (m *meter) close(now time.Time) {
	from := now.Truncate(interval)
	if from.Equal(m.from) {
		return
	}
	if len(m.taken) > 0 {
		m.ready = append(m.ready, m.summary())
	}
	m.from, m.taken = from, nil
}

func (m *meter) summary() runner.LatencyReport {
	slices.Sort(m.taken)
	var busy time.Duration
	for _, t := range m.taken {
		busy += t
	}
	return runner.LatencyReport{
		Service: m.service,
		From:    m.from,
		To:      m.from.Add(interval),
		P99:     m.taken[(len(m.taken)*99-1)/100],
		Count:   int64(len(m.taken)),
		Load:    min(1, float64(busy)/float64(interval)/float64(max(1, m.slots))),
	}
}

// take returns the reports whose lag has passed, once.
func (m *meter) take(now time.Time) []runner.LatencyReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.close(now)
	n := 0
	for n < len(m.ready) && !m.ready[n].To.Add(m.lag).After(now) {
		n++
	}
	out := slices.Clone(m.ready[:n])
	m.ready = m.ready[n:]
	return out
}
