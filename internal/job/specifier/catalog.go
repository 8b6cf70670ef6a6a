package specifier

import (
	"strings"
	"time"
)

// Catalog is one version of the operators' configuration. The zero value has
// version 0 and no queues.
type Catalog struct {
	Version  int64
	Queues   []Queue
	Services []Service
	Limits   Limits
}

// Queue accepts the jobs that are submitted to one host name and path prefix.
type Queue struct {
	Name       string        `json:"name"`
	Hostname   string        `json:"host,omitempty"`
	Prefix     string        `json:"prefix,omitempty"`     // path prefix
	Service    string        `json:"service"`              // service whose workers run the tasks
	Priority   int           `json:"priority,omitempty"`   // 0 is the most urgent
	Attempts   int           `json:"attempts,omitempty"`   // failed runs of a task after which its job fails; 0 is no limit
	Slack      float64       `json:"slack,omitempty"`      // factor on the critical path in the completion target
	Completion time.Duration `json:"completion,omitempty"` // constant part of the completion target
	Timeout    time.Duration `json:"timeout,omitempty"`    // timeout of a request to the queue
	Advice     Advice        `json:"advice,omitzero"`      // zero if every worker may run its steps
}

// Advice describes the service that decides which workers may run a step, and
// issues tickets for them.
type Advice struct {
	Needed        bool          `json:"needed"`             // a start needs a ticket
	RequestTime   time.Duration `json:"request,omitempty"`  // constant duration of a request
	PerWorkerTime time.Duration `json:"each,omitempty"`     // additional duration for each worker in a request
	Validity      time.Duration `json:"validity,omitempty"` // lifetime of a ticket
}

// CallTime returns how long a request takes that names a number of workers. Negative times
// count as none.
func (a *Advice) CallTime(workers int) time.Duration {
	return max(a.RequestTime, 0) + time.Duration(workers)*max(a.PerWorkerTime, 0)
}

// AddTo returns the run times of a job's steps, each with the duration of one request about
// the given number of workers. They stay as they are if no advice is needed.
func (a *Advice) AddTo(runTimes []time.Duration, workers int) []time.Duration {
	if !a.Needed {
		return runTimes
	}
	out := make([]time.Duration, len(runTimes))
	for i, t := range runTimes {
		out[i] = t + a.CallTime(workers)
	}
	return out
}

// Numbers of workers in a request for advice.
const (
	ObjectiveAdviceWorkers = 30 // for each step in the critical path by which a job's objective is set
	TypicalAdviceWorkers   = 4  // that a step's first request is assumed to name
)

// Service is a pool of workers that run the same kind of tasks.
type Service struct {
	Name            string
	RejectsOverload bool // its workers refuse runs beyond their capacity
	Standby         bool // its hosts are switched off
}

// Limits apply to callers' connections. Zero is no limit.
type Limits struct {
	Header     int           // bytes
	Body       int           // bytes
	HeaderTime time.Duration // maximum time to send the header
	IdleTime   time.Duration // maximum time between requests
}

// Match returns the queue for a request: of those that match the host name and
// path, the one with the longest prefix.
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

// Queue returns the queue with a name.
func (c *Catalog) Queue(name string) (Queue, bool) {
	for _, q := range c.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return Queue{}, false
}
