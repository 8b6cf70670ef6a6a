package hoster

import (
	"slices"
	"sync"
	"time"

	"dotterelcart.dev/dotterelcart/internal/platform/runner"
)

// reportInterval is the time that one latency report covers.
const reportInterval = time.Second

// latencyMeter collects the service times of requests and reports them by interval,
// with a delay. It is safe for concurrent use.
type latencyMeter struct {
	delay time.Duration // time from the end of an interval until its report is returned
	slots int           // number of requests that the worker serves at once

	mu        sync.Mutex
	service   string                 // service of the latest request
	from      time.Time              // start of the current interval
	durations []time.Duration        // service times in the current interval
	reports   []runner.LatencyReport // reports not taken yet, oldest first
}

// add records the service time of a request to the service that began at start, in
// the interval of start. An interval is reported in several parts if requests that
// began in different intervals end out of order.
func (m *latencyMeter) add(service string, start time.Time, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closeInterval(start)
	m.service = service
	m.durations = append(m.durations, took)
}

// closeInterval makes the report of the current interval if now is in another one,
// and begins that. The caller holds the lock.
func (m *latencyMeter) closeInterval(now time.Time) {
	from := now.Truncate(reportInterval)
	if from.Equal(m.from) {
		return
	}
	if len(m.durations) > 0 {
		m.reports = append(m.reports, m.currentReport())
	}
	m.from, m.durations = from, nil
}

// currentReport returns the report of the current interval, which has at least one
// request.
func (m *latencyMeter) currentReport() runner.LatencyReport {
	slices.Sort(m.durations)
	var busy time.Duration
	for _, d := range m.durations {
		busy += d
	}
	return runner.LatencyReport{
		Service: m.service,
		From:    m.from,
		To:      m.from.Add(reportInterval),
		P99:     m.durations[(len(m.durations)*99-1)/100],
		Count:   int64(len(m.durations)),
		Load:    min(1, float64(busy)/float64(reportInterval)/float64(max(1, m.slots))),
	}
}

// takeReports returns and removes the reports whose delay has passed.
func (m *latencyMeter) takeReports(now time.Time) []runner.LatencyReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closeInterval(now)
	n := 0
	for n < len(m.reports) && !m.reports[n].To.Add(m.delay).After(now) {
		n++
	}
	out := slices.Clone(m.reports[:n])
	m.reports = m.reports[n:]
	return out
}
