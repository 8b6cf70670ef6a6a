package forwarder

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// Bounds of the histograms.
var (
	timeBuckets  = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 1.5, 30) // to 64 s
	countBuckets = tally.ValueBuckets{0, 1, 2, 3, 5, 10}
	byteBuckets  = tally.MustMakeExponentialValueBuckets(256, 4, 12) // to 1 GB
)

const (
	maxClasses = 16 // with histograms of their own, for each tenant
	otherClass = "other"
)

// metrics holds the histograms of every tenant and class.
type metrics struct {
	scope tally.Scope

	lock    sync.RWMutex
	tenants map[string]map[string]*series
}

// series are the metrics of one tenant and class.
type series struct {
	latency   tally.Histogram
	queueing  tally.Histogram
	retries   tally.Histogram
	afar      tally.Histogram
	refusals  tally.Counter
	hedges    tally.Counter
	truncated tally.Counter
	bytes     tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	return &metrics{scope: scope.SubScope("traffic"), tenants: make(map[string]map[string]*series)}
}

// class returns the name under which the class is queued and counted. Callers
// choose class names, so their number is bounded for each tenant.
func (m *metrics) class(tenant, class string) string {
	m.lock.RLock()
	known := m.tenants[tenant]
	full := known[class] == nil && len(known) >= maxClasses
	m.lock.RUnlock()
	if full {
		return otherClass
	}
	return class
}

func (m *metrics) of(c *call) *series {
	m.lock.RLock()
	s := m.tenants[c.tenant][c.class]
	m.lock.RUnlock()
	if s != nil {
		return s
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.add(c.tenant, c.class)
}

func (m *metrics) add(tenant, class string) *series {
	classes := m.tenants[tenant]
	if classes == nil {
		classes = make(map[string]*series)
		m.tenants[tenant] = classes
	}
	if s := classes[class]; s != nil {
		return s
	}
	scope := m.scope.Tagged(map[string]string{"tenant": tenant, "class": class})
	s := &series{
		latency:   scope.Histogram("latency", timeBuckets),
		queueing:  scope.Histogram("queueing", timeBuckets),
		retries:   scope.Histogram("retries", countBuckets),
		afar:      scope.Histogram("afar", byteBuckets),
		refusals:  scope.Counter("refusals"),
		hedges:    scope.Counter("hedges"),
		truncated: scope.Counter("truncated"),
		bytes:     scope.Counter("afar_bytes"),
	}
	classes[class] = s
	return s
}

// refused counts a failure with verdict NotRun. Requests without a configured
// tenant count together, since anybody could make names up.
func (m *metrics) refused(c *call) {
	if c.weight == 0 {
		m.of(&call{tenant: "unknown", class: defaultClass}).refusals.Inc(1)
		return
	}
	m.of(c).refusals.Inc(1)
}

func (m *metrics) hedged(c *call)    { m.of(c).hedges.Inc(1) }
func (m *metrics) truncated(c *call) { m.of(c).truncated.Inc(1) }

func (m *metrics) finished(c *call, took time.Duration) {
	s := m.of(c)
	s.latency.RecordDuration(took)
	s.queueing.RecordDuration(c.queued)
	s.retries.RecordValue(float64(c.retries))
	if c.afar > 0 {
		s.afar.RecordValue(float64(c.afar))
		s.bytes.Inc(c.afar)
	}
}
