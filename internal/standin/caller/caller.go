// Package caller generates the load of a deployment's interactive callers and
// checks the responses.
//
// # Model
//
// Callers send requests to the load balancer of their failure domain at random
// times, as a Poisson process. Three in ten requests are charges, which aren't
// idempotent and carry an idempotency key. A request that may have run is sent
// once more, a charge under the same key.
//
// Each response must be complete and belong to its request, and a request that
// was refused as not run must not have been executed.
//
//	g := caller.New(deployment, rand.New(rand.NewPCG(1, 1)), 60)
//	g.Run(ctx)
//	report := g.Report() // after all responses
package caller

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dotterelcart.dev/dotterelcart/internal/standin/deployer"
)

const (
	callDeadline     = 2 * time.Second // deadline that each request asks entry hosts to meet
	callTimeout      = 4 * time.Second // timeout of an attempt, set on the HTTP client
	chargeShare      = 0.3             // share of requests that are charges, 0 to 1
	maxResponseSize  = 20_000          // largest response asked for, in bytes
	maxLatencyMicros = 60_000_000      // highest latency that the histogram holds, in microseconds
	idleConnsPerHost = 16
)

// Generator sends the requests of the callers of all failure domains. It is safe
// for concurrent use.
type Generator struct {
	// ServiceTime is the time that workers are asked to spend on each request; 0
	// leaves it to the worker.
	ServiceTime time.Duration

	deployment *deployer.Deployment
	rate       float64 // mean requests per second in each domain

	mu       sync.Mutex
	random   *rand.Rand
	latency  *hdrhistogram.Histogram   // latencies of answered requests, in microseconds
	attempts map[string]*attemptCounts // keyed by request id
	counts   Report
	serial   int // number of the latest request, part of its id
}

// Report holds the counts since the generator was created. Times are in
// milliseconds.
type Report struct {
	Requests         int64
	Failed           int64 // requests without a complete response of status 200, refusals included
	ConnectionErrors int64 // attempts whose connection broke before a complete response
	Mismatched       int64 // responses with status 200 that did not belong to their request
	CutByStop        int64 // attempts cut off by the planned stop of an entry host
	FalseDenials     int64 // requests that were refused as not run, though they had been executed
	P50              float64
	P99              float64
	FailuresByCode   map[string]int // failed attempts by code and verdict
	Violations       []string       // descriptions of all violations
}

// New returns a generator for the deployment's callers that sends nothing until
// Run or Call. The rate is the mean number of requests per second in each failure
// domain.
func New(d *deployer.Deployment, random *rand.Rand, rate float64) *Generator {
	return &Generator{
		deployment: d, rate: rate, random: random,
		latency:  hdrhistogram.New(1, maxLatencyMicros, 3),
		attempts: make(map[string]*attemptCounts),
		counts:   Report{FailuresByCode: make(map[string]int)},
	}
}

// Run sends requests until ctx ends, and returns once all of them have ended.
func (g *Generator) Run(ctx context.Context) {
	var callers sync.WaitGroup
	for _, domain := range g.deployment.Domains {
		client := NewClient()
		callers.Go(func() {
			defer client.CloseIdleConnections()
			var calls sync.WaitGroup
			defer calls.Wait()
			for deployer.Sleep(ctx, g.nextInterval()) {
				q := g.nextRequest(domain)
				calls.Go(func() { g.Call(client, domain, q) })
			}
		})
	}
	callers.Wait()
}

// NewClient returns an HTTP client for the callers of one failure domain.
func NewClient() *http.Client {
	return &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: idleConnsPerHost}}
}

// nextInterval returns the time until the next request of a domain, which is
// exponentially distributed.
func (g *Generator) nextInterval() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Duration(g.random.ExpFloat64() / g.rate * float64(time.Second))
}

// nextRequest returns a random request of the domain's callers.
func (g *Generator) nextRequest(domain *deployer.Domain) Request {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.serial++
	q := Request{
		ID:           fmt.Sprintf("%s-%d", domain.Name, g.serial),
		Charge:       g.random.Float64() < chargeShare,
		Tenant:       "owners",
		Class:        "menu",
		ResponseSize: 1 + g.random.IntN(maxResponseSize),
		ServiceTime:  g.ServiceTime,
	}
	if g.random.IntN(4) == 0 {
		q.Tenant = "tourism"
	}
	if q.Charge {
		q.Class = "charge"
		q.Body = strings.Repeat(q.ID+" ", 1+g.random.IntN(40))
	}
	return q
}

// Call sends a request to the domain's balancer, and once more if the first
// attempt may have run.
func (g *Generator) Call(client *http.Client, domain *deployer.Domain, q Request) Outcome {
	start := time.Now()
	outcome := g.sendToBalancer(client, domain, q)
	if outcome == Unclear {
		outcome = g.sendToBalancer(client, domain, q)
		if outcome == Denied {
			outcome = Unclear // only the second attempt is known not to have run
		}
	}
	g.recordOutcome(q, outcome, time.Since(start))
	return outcome
}

// CallAt sends a request to an address once. The string is the code and verdict
// of a failed attempt.
func (g *Generator) CallAt(client *http.Client, address string, q Request) (Outcome, string) {
	start := time.Now()
	a := q.send(client, address)
	g.recordAttempt(q, a)
	g.recordOutcome(q, a.outcome, time.Since(start))
	return a.outcome, a.code
}

// recordOutcome counts the final outcome of a request and its latency.
func (g *Generator) recordOutcome(q Request, outcome Outcome, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counts.Requests++
	switch outcome {
	case Answered:
		_ = g.latency.RecordValue(min(took.Microseconds(), maxLatencyMicros))
	case Denied:
		g.counts.Failed++
	case Unclear:
		g.counts.Failed++
	}
	counts := g.attempts[q.ID]
	if counts == nil {
		counts = &attemptCounts{charge: q.Charge}
		g.attempts[q.ID] = counts
	}
	counts.add(outcome)
}

// attemptCounts counts the attempts of one request by their outcome. Generator.Call
// counts once, with its final outcome, even if it sends the request twice.
type attemptCounts struct {
	charge bool // the request is a charge, which runs at most once for each attempt
	denied int  // attempts refused as not run
	others int  // attempts that were answered or whose outcome is unclear
}

// add counts an attempt.
func (c *attemptCounts) add(outcome Outcome) {
	if outcome == Denied {
		c.denied++
		return
	}
	c.others++
}

// hasFalseDenial reports whether an attempt that was refused as not run must have
// run after all, given how often the request was executed. An idempotent attempt
// may run more than once, so only a charge's executions can be compared with its
// attempts.
func (c *attemptCounts) hasFalseDenial(executions int) bool {
	if c.denied == 0 {
		return false
	}
	if c.charge {
		return executions > c.others
	}
	return c.others == 0 && executions > 0
}

// sendToBalancer sends a request to the domain's balancer once. A connection
// error counts as a violation if the entry host of the connection is in a planned
// stop or last ended with one, unless the response broke off when its time was up, or
// the worker itself broke it off.
func (g *Generator) sendToBalancer(client *http.Client, domain *deployer.Domain, q Request) Outcome {
	a := q.send(client, domain.Balancer.Address)
	g.recordAttempt(q, a)
	host := domain.Balancer.LastTarget(a.localAddress)
	if a.code == "cut" && (a.took >= q.deadline() || g.deployment.Audit.TakeTruncation(q.ID)) {
		return a.outcome
	}
	if a.err != nil && g.deployment.IsStoppingAt(host) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.counts.CutByStop++
		g.addViolation("request %s was cut by the planned stop of %s after %v and %d of %d bytes: %v",
			q.ID, host, a.took, a.size, q.ResponseSize, a.err)
	}
	return a.outcome
}

// recordAttempt counts what was wrong with an attempt.
func (g *Generator) recordAttempt(q Request, a attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if a.code != "" {
		g.counts.FailuresByCode[a.code]++
	}
	if a.err != nil {
		g.counts.ConnectionErrors++
	}
	if a.mismatched {
		g.counts.Mismatched++
		g.addViolation("request %s got a response that does not belong to it", q.ID)
	}
}

// addViolation keeps the description of a violation. The caller holds the lock.
func (g *Generator) addViolation(format string, args ...any) {
	g.counts.Violations = append(g.counts.Violations, fmt.Sprintf(format, args...))
}

// Counts returns how many requests were sent and how many failed.
func (g *Generator) Counts() (requests, failed int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counts.Requests, g.counts.Failed
}

// Report compares the requests that were refused as not run with the executions
// that the auditor recorded, and returns all counts.
func (g *Generator) Report() Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := g.counts
	out.FailuresByCode = maps.Clone(g.counts.FailuresByCode)
	out.Violations = append([]string{}, g.counts.Violations...)
	for _, id := range slices.Sorted(maps.Keys(g.attempts)) {
		if g.attempts[id].hasFalseDenial(g.deployment.Audit.Executions(id)) {
			out.FalseDenials++
			out.Violations = append(out.Violations, "request "+id+" was refused as not run, but had been executed")
		}
	}
	out.P50 = float64(g.latency.ValueAtQuantile(50)) / 1000
	out.P99 = float64(g.latency.ValueAtQuantile(99)) / 1000
	return out
}
