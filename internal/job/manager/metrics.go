package manager

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"dotterelcart.dev/dotterelcart/internal/job/dispatcher"
	"dotterelcart.dev/dotterelcart/internal/job/recorder"
)

// durations are the bounds of the latency histograms, 500 us to 33 s.
var durations = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 17)

// metrics are the counters, gauges and histograms of the owned shards.
type metrics struct {
	scope  tally.Scope
	starts tally.Histogram // of calls that start a run
	holds  tally.Histogram // of inventories that do not wait
	writes tally.Histogram // of commits, from the first offer to the known outcome
	reduce tally.Histogram // of one round of the reducer
	lost   tally.Counter   // shards lost to another owner, or released

	mu     sync.Mutex
	orders map[orderKey]tally.Counter // made on first use
}

type orderKey struct {
	order string
	fault dispatcher.Fault
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		scope:  scope,
		starts: scope.Histogram("worker_start", durations),
		holds:  scope.Histogram("worker_hold", durations),
		writes: scope.Histogram("shard_commit", durations),
		reduce: scope.Histogram("shard_reduce", tally.MustMakeExponentialDurationBuckets(time.Microsecond*10, 2, 16)),
		lost:   scope.Counter("shards_lost"),
		orders: make(map[orderKey]tally.Counter),
	}
}

// fault counts an order to a worker by what came of it.
func (m *metrics) fault(order string, fault dispatcher.Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := orderKey{order, fault}
	counter := m.orders[key]
	if counter == nil {
		counter = m.scope.Tagged(map[string]string{"order": order, "fault": fault.String()}).Counter("worker_orders")
		m.orders[key] = counter
	}
	counter.Inc(1)
}

// load shows a shard's summary.
func (m *metrics) load(shard string, load recorder.Load) {
	scope := m.scope.Tagged(map[string]string{"shard": shard})
	scope.Gauge("shard_workers").Update(float64(load.Workers))
	scope.Gauge("shard_free_millicores").Update(float64(load.Free.CPU))
	scope.Gauge("shard_unused_millicores").Update(float64(load.UnusedCPU))
	for _, q := range load.Queues {
		scope.Tagged(map[string]string{"queue": q.Queue}).Gauge("queue_pending").Update(float64(q.Pending))
	}
}
