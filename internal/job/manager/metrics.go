package manager

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"dotterelcart.dev/dotterelcart/internal/job/dispatcher"
	"dotterelcart.dev/dotterelcart/internal/job/recorder"
)

// latencyBuckets are the buckets of the latency histograms, 500 us to 33 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 17)

// metrics holds the metrics of the owned shards.
type metrics struct {
	scope      tally.Scope
	starts     tally.Histogram // duration of calls that start a run
	polls      tally.Histogram // duration of polls without a wait
	commits    tally.Histogram // duration of commits, from the first attempt to the known outcome
	reduce     tally.Histogram // duration of Shard.Reduce
	advice     tally.Histogram // duration of requests for placement advice, without the wait for earlier ones
	lostShards tally.Counter   // shards lost to another owner or released

	startedDuplicates tally.Counter // second runs that were started
	wonDuplicates     tally.Counter // second runs that were done first

	mu     sync.Mutex
	orders map[orderKey]tally.Counter // created on first use
}

// orderKey identifies a counter of orders.
type orderKey struct {
	order string
	fault dispatcher.Fault
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		scope:      scope,
		starts:     scope.Histogram("worker_start", latencyBuckets),
		polls:      scope.Histogram("worker_hold", latencyBuckets),
		commits:    scope.Histogram("shard_commit", latencyBuckets),
		reduce:     scope.Histogram("shard_reduce", tally.MustMakeExponentialDurationBuckets(time.Microsecond*10, 2, 16)),
		advice:     scope.Histogram("advice_request", latencyBuckets),
		lostShards: scope.Counter("shards_lost"),

		startedDuplicates: scope.Counter("duplicates_started"),
		wonDuplicates:     scope.Counter("duplicates_won"),

		orders: make(map[orderKey]tally.Counter),
	}
}

// countOrder counts an order to a worker by its outcome.
func (m *metrics) countOrder(order string, fault dispatcher.Fault) {
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

// countAdvice counts a request for placement advice by its outcome.
func (m *metrics) countAdvice(outcome dispatcher.AdviceOutcome, took time.Duration) {
	m.scope.Tagged(map[string]string{"outcome": outcome.String()}).Counter("advice_requests").Inc(1)
	m.advice.RecordDuration(took)
}

// countLostRuns counts runs that were lost with their worker.
func (m *metrics) countLostRuns(e dispatcher.RunsLost) {
	m.scope.Tagged(map[string]string{"cause": e.Cause.String()}).Counter("runs_lost").Inc(int64(e.Runs))
}

// setLoad updates the gauges of a shard.
func (m *metrics) setLoad(shard string, load recorder.Load) {
	scope := m.scope.Tagged(map[string]string{"shard": shard})
	scope.Gauge("shard_workers").Update(float64(load.Workers))
	scope.Gauge("shard_free_millicores").Update(float64(load.Free.CPU))
	scope.Gauge("shard_unused_millicores").Update(float64(load.UnusedCPU))
	setRunTimes(scope, load.RunTimes)
	for _, q := range load.Queues {
		scope.Tagged(map[string]string{"queue": q.Queue}).Gauge("queue_pending").Update(float64(q.Pending))
	}
}

// setWaiting updates the gauges of the long-running tasks of a shard that wait for
// one reason.
func (m *metrics) setWaiting(shard string, w dispatcher.Wait) {
	scope := m.scope.Tagged(map[string]string{"shard": shard, "reason": w.Reason.String()})
	scope.Gauge("longrunning_waiting").Update(float64(w.Tasks))
	scope.Gauge("longrunning_waiting_seconds").Update(w.Age.Seconds())
}
