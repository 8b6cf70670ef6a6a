package specifier

import (
	"strings"
	"time"
)

// Catalog is one version of the operators' configuration: the queues that
// take jobs and the services whose workers run them. The zero value knows
// nothing.
type Catalog struct {
	Version  int64
	Queues   []Queue
	Services []Service
	Limits   Limits
}

// Queue takes the jobs of one host name and path prefix.
type Queue struct {
	Name       string
	Hostname   string
	Prefix     string // of the path
	Service    string // whose workers run its tasks
	Priority   int    // 0 goes first
	Attempts   int    // failed runs of a task after which its job has failed
	Slack      float64
	Completion time.Duration // added to Slack times the longest chain: the objective
	Timeout    time.Duration // of a call
	Advice     Advice        // zero: every worker may run its steps
}

// Advice is how the service answers that knows which workers may run a step.
type Advice struct {
	Needed        bool
	RequestTime   time.Duration // of one call
	PerWorkerTime time.Duration // more for each worker named
	Validity      time.Duration // of a ticket
}

// Service is a pool of workers.
type Service struct {
	Name            string
	RejectsOverload bool // its workers refuse what exceeds their capacity
	Standby         bool // its hosts are off
}

// Limits bound callers' connections. Zero is no limit.
type Limits struct {
	Header     int           // bytes
	Body       int           // bytes
	HeaderTime time.Duration // to send the header
	IdleTime   time.Duration // between requests
}

// Match finds the queue with the longest prefix for a request.
func (c *Catalog) Match(hostname, path string) (Queue, bool) {
	best := -1
	for i, q := range c.Queues {
		if q.Hostname != hostname || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if best < 0 || len(q.Prefix) > len(c.Queues[best].Prefix) {
			best = i
		}
	}
	if best < 0 {
		return Queue{}, false
	}
	return c.Queues[best], true
}

// Queue finds a queue by name.
func (c *Catalog) Queue(name string) (Queue, bool) {
	for _, q := range c.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return Queue{}, false
}
