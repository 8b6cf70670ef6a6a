// Package caller plays the interactive callers of a deployment and checks
// what they get.
//
// # Model
//
// Callers send requests at random times to their domain's balancer. A third
// are charges, which are not idempotent and carry a key. Each answer must be
// whole and the request's own; a request that was said not to have run must
// not have. A charge that may have run is sent once more with its key.
//
//	l := caller.New(deployment, rand.New(rand.NewPCG(1, 1)), 60)
//	l.Run(ctx)
//	report := l.Report() // after all answers
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
	callDeadline  = 2 * time.Second
	callTimeout   = 4 * time.Second
	chargeShare   = 0.3 // of requests
	maxAnswer     = 20_000
	highestMicros = 60_000_000
	idleHosts     = 16
)

// Generator is the callers of all failure domains.
type Generator struct {
	ServiceTime time.Duration // service time asked for; the worker's own if 0

	d    *deployer.Deployment
	rate float64 // requests a second in each domain

	mu      sync.Mutex
	random  *rand.Rand
	latency *hdrhistogram.Histogram // microseconds
	tries   map[string]*outcomes    // by request id
	counts  Report
	serial  int
}

// Report holds the counts so far. Times are in milliseconds.
type Report struct {
	Requests         int64
	Failed           int64 // without an answer of their own, refusals included
	ConnectionErrors int64 // of these, connections that ended without a whole answer
	Mismatched       int64 // answers that were not the request's own
	CutByStop        int64 // in flight at an entry host when its planned stop cut them
	FalseDenials     int64 // said not to have run, though they had
	P50              float64
	P99              float64
	FailuresByCode   map[string]int // failed attempts by code and verdict
	Violations       []string       // violations
}

// New returns callers that are still silent.
func New(d *deployer.Deployment, random *rand.Rand, rate float64) *Generator {
	return &Generator{
		d: d, rate: rate, random: random,
		latency: hdrhistogram.New(1, highestMicros, 3),
		tries:   make(map[string]*outcomes),
		counts:  Report{FailuresByCode: make(map[string]int)},
	}
}

// Run sends requests until ctx ends, and returns when all have ended.
func (l *Generator) Run(ctx context.Context) {
	var callers sync.WaitGroup
	for _, m := range l.d.Domains {
		client := NewClient()
		callers.Go(func() {
			defer client.CloseIdleConnections()
			var calls sync.WaitGroup
			defer calls.Wait()
			for deployer.Sleep(ctx, l.gap()) {
				q := l.next(m)
				calls.Go(func() { l.Call(client, m, q) })
			}
		})
	}
	callers.Wait()
}

// NewClient returns the HTTP client of a domain's callers.
func NewClient() *http.Client {
	return &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: idleHosts}}
}

func (l *Generator) gap() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.random.ExpFloat64() / l.rate * float64(time.Second))
}

func (l *Generator) next(m *deployer.Domain) Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.serial++
	q := Request{
		ID:     fmt.Sprintf("%s-%d", m.Name, l.serial),
		Charge: l.random.Float64() < chargeShare,
		Tenant: "owners",
		Class:  "menu",
		ResponseSize:   1 + l.random.IntN(maxAnswer),
		ServiceTime:   l.ServiceTime,
	}
	if l.random.IntN(4) == 0 {
		q.Tenant = "tourism"
	}
	if q.Charge {
		q.Class = "charge"
		q.Body = strings.Repeat(q.ID+" ", 1+l.random.IntN(40))
	}
	return q
}

// Call sends a request to the domain's balancer, and once more if it may have
// run.
func (l *Generator) Call(client *http.Client, m *deployer.Domain, q Request) Outcome {
	began := time.Now()
	outcome := l.try(client, m, q)
	if outcome == Unclear {
		outcome = l.try(client, m, q)
		if outcome == Denied {
			outcome = Unclear // what is denied is the second attempt only
		}
	}
	l.count(q, outcome, time.Since(began))
	return outcome
}

// CallAt sends a request to an address, once. The text says why it failed.
func (l *Generator) CallAt(client *http.Client, address string, q Request) (Outcome, string) {
	began := time.Now()
	a := q.send(client, address)
	l.check(q, a)
	l.count(q, a.outcome, time.Since(began))
	return a.outcome, a.code
}

func (l *Generator) count(q Request, outcome Outcome, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Requests++
	switch outcome {
	case Answered:
		_ = l.latency.RecordValue(min(took.Microseconds(), highestMicros))
	case Denied:
		l.counts.Failed++
	case Unclear:
		l.counts.Failed++
	}
	one := l.tries[q.ID]
	if one == nil {
		one = &outcomes{charge: q.Charge}
		l.tries[q.ID] = one
	}
	one.add(outcome)
}

// outcomes counts how the attempts of one request ended.
type outcomes struct {
	charge bool // runs once for each attempt at most
	denied int  // said not to have run
	others int  // answered or unclear
}

func (o *outcomes) add(outcome Outcome) {
	if outcome == Denied {
		o.denied++
		return
	}
	o.others++
}

// isUntrue reports whether one of the denied attempts must have run, given
// how often the request was executed. An attempt that is idempotent may run
// more than once, so only a charge's executions can be set against attempts.
func (o *outcomes) isUntrue(executions int) bool {
	if o.denied == 0 {
		return false
	}
	if o.charge {
		return executions > o.others
	}
	return o.others == 0 && executions > 0
}

func (l *Generator) try(client *http.Client, m *deployer.Domain, q Request) Outcome {
	a := q.send(client, m.Balancer.Address)
	l.check(q, a)
	if host := m.Balancer.LastTarget(a.local); a.err != nil && l.d.IsStoppingAt(host) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.counts.CutByStop++
		l.say("request %s was cut by the planned stop of %s: %v", q.ID, host, a.err)
	}
	return a.outcome
}

func (l *Generator) check(q Request, a attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.code != "" {
		l.counts.FailuresByCode[a.code]++
	}
	if a.err != nil {
		l.counts.ConnectionErrors++
	}
	if a.wrong {
		l.counts.Mismatched++
		l.say("request %s had an answer that is not its own", q.ID)
	}
}

func (l *Generator) say(format string, args ...any) {
	l.counts.Violations = append(l.counts.Violations, fmt.Sprintf(format, args...))
}

// Counts returns how many requests were sent and how many failed.
func (l *Generator) Counts() (requests, failed int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts.Requests, l.counts.Failed
}

// Report checks the requests that were said not to have run, and returns all
// counts.
func (l *Generator) Report() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.counts
	out.FailuresByCode = maps.Clone(l.counts.FailuresByCode)
	out.Violations = append([]string{}, l.counts.Violations...)
	for _, id := range slices.Sorted(maps.Keys(l.tries)) {
		if l.tries[id].isUntrue(l.d.Audit.Executions(id)) {
			out.FalseDenials++
			out.Violations = append(out.Violations, "request "+id+" ran and was said not to have run")
		}
	}
	out.P50 = float64(l.latency.ValueAtQuantile(50)) / 1000
	out.P99 = float64(l.latency.ValueAtQuantile(99)) / 1000
	return out
}
