package forwarder

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// Buckets of the histograms.
var (
	timeBuckets  = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 1.5, 30) // up to 64 s
	countBuckets = tally.ValueBuckets{0, 1, 2, 3, 5, 10}
	byteBuckets  = tally.MustMakeExponentialValueBuckets(256, 4, 12) // up to 1 GB
)

const (
	maxClassesPerTenant = 16 // further classes share otherClass
	otherClass          = "other"
)

// metrics holds the metrics of every tenant and class.
type metrics struct {
	scope tally.Scope

	lock    sync.RWMutex
	tenants map[string]map[string]*classMetrics // by tenant and class
}

// classMetrics are the metrics of one tenant and class.
type classMetrics struct {
	latency          tally.Histogram // time from the arrival of a request to its end
	queueing         tally.Histogram // time in the queue for a slot
	retries          tally.Histogram // retries of one request
	crossRegionSize  tally.Histogram // bytes of one request that crossed regions
	refusals         tally.Counter   // failures with verdict NotRun
	hedges           tally.Counter   // second attempts
	truncated        tally.Counter   // responses that were aborted
	crossRegionBytes tally.Counter   // sum of crossRegionSize
}

func newMetrics(scope tally.Scope) *metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	return &metrics{scope: scope.SubScope("traffic"), tenants: make(map[string]map[string]*classMetrics)}
}

// boundedClass returns the class under which the request is queued and counted:
// otherClass when the tenant has too many. Callers choose class names, so their
// number must be bounded.
func (m *metrics) boundedClass(tenant, class string) string {
	m.lock.RLock()
	classes := m.tenants[tenant]
	full := classes[class] == nil && len(classes) >= maxClassesPerTenant
	m.lock.RUnlock()
	if full {
		return otherClass
	}
	return class
}

// classMetrics returns the metrics of the call's tenant and class.
func (m *metrics) classMetrics(c *call) *classMetrics {
	m.lock.RLock()
	series := m.tenants[c.tenant][c.class]
	m.lock.RUnlock()
	if series != nil {
		return series
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.create(c.tenant, c.class)
}

// create adds the metrics of the tenant and class; the lock must be held.
func (m *metrics) create(tenant, class string) *classMetrics {
	classes := m.tenants[tenant]
	if classes == nil {
		classes = make(map[string]*classMetrics)
		m.tenants[tenant] = classes
	}
	if series := classes[class]; series != nil {
		return series
	}
	scope := m.scope.Tagged(map[string]string{"tenant": tenant, "class": class})
	series := &classMetrics{
		latency:          scope.Histogram("latency", timeBuckets),
		queueing:         scope.Histogram("queueing", timeBuckets),
		retries:          scope.Histogram("retries", countBuckets),
		crossRegionSize:  scope.Histogram("afar", byteBuckets),
		refusals:         scope.Counter("refusals"),
		hedges:           scope.Counter("hedges"),
		truncated:        scope.Counter("truncated"),
		crossRegionBytes: scope.Counter("afar_bytes"),
	}
	classes[class] = series
	return series
}

// countRefusal counts a failure with verdict NotRun. Unknown tenants are counted
// together, since callers can make up any number of names.
func (m *metrics) countRefusal(c *call) {
	if c.weight == 0 {
		m.classMetrics(&call{tenant: "unknown", class: defaultClass}).refusals.Inc(1)
		return
	}
	m.classMetrics(c).refusals.Inc(1)
}

func (m *metrics) countHedge(c *call)      { m.classMetrics(c).hedges.Inc(1) }
func (m *metrics) countTruncation(c *call) { m.classMetrics(c).truncated.Inc(1) }

// recordRequest records the durations, retries and bytes of a finished request.
func (m *metrics) recordRequest(c *call, took time.Duration) {
	series := m.classMetrics(c)
	series.latency.RecordDuration(took)
	series.queueing.RecordDuration(c.queueTime)
	series.retries.RecordValue(float64(c.retries))
	if c.crossRegionBytes > 0 {
		series.crossRegionSize.RecordValue(float64(c.crossRegionBytes))
		series.crossRegionBytes.Inc(c.crossRegionBytes)
	}
}
