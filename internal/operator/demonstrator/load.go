package demonstrator

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dotterelcart.dev/dotterelcart/internal/standin/hoster"
)

const (
	requestRate   = 60 // a second in each domain
	callDeadline  = 2 * time.Second
	callTimeout   = 4 * time.Second
	chargeShare   = 0.3 // requests that must not be repeated
	maxAnswer     = 20_000
	highestMicros = 60_000_000
)

// load is the interactive callers of all domains.
type load struct {
	d        *deployment
	requests atomic.Int64
	failed   atomic.Int64
	wrong    atomic.Int64
	cut      atomic.Int64

	mu      sync.Mutex
	random  *rand.Rand
	latency *hdrhistogram.Histogram // microseconds
	denied  []string                // ids said not to have run
	words   []string                // violations in words
}

// request is one request of a caller.
type request struct {
	id     string
	charge bool // not idempotent
	tenant string
	class  string
	body   string
	size   int
}

func newLoad(d *deployment, random *rand.Rand) *load {
	return &load{d: d, random: random, latency: hdrhistogram.New(1, highestMicros, 3)}
}

// run sends requests at random times until ctx ends, and waits for their
// answers.
func (l *load) run(ctx context.Context) {
	var callers sync.WaitGroup
	for _, m := range l.d.domains {
		client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
		callers.Go(func() {
			defer client.CloseIdleConnections()
			var calls sync.WaitGroup
			defer calls.Wait()
			for n := 0; pause(ctx, l.gap()); n++ {
				q := l.next(m, n)
				calls.Go(func() { l.call(client, m, q) })
			}
		})
	}
	callers.Wait()
}

func (l *load) gap() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.random.ExpFloat64() / requestRate * float64(time.Second))
}

func (l *load) next(m *domain, n int) request {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := request{
		id:     fmt.Sprintf("%s-%d-%d", m.name, l.d.options.Seed, n),
		charge: l.random.Float64() < chargeShare,
		tenant: "owners",
		class:  "menu",
	}
	if l.random.IntN(4) == 0 {
		q.tenant = "tourism"
	}
	if q.charge {
		q.class = "charge"
		q.body = strings.Repeat(q.id+" ", 1+l.random.IntN(40))
	}
	q.size = 1 + l.random.IntN(maxAnswer)
	return q
}

// call sends a request. One that may have run is sent once more with the same
// key, as a caller would do.
func (l *load) call(client *http.Client, m *domain, q request) {
	l.requests.Add(1)
	began := time.Now()
	outcome := l.try(client, m, q)
	if outcome == unclear {
		outcome = l.try(client, m, q)
	}
	switch outcome {
	case answered:
		l.mu.Lock()
		defer l.mu.Unlock()
		_ = l.latency.RecordValue(min(time.Since(began).Microseconds(), highestMicros))
	case denied:
		l.failed.Add(1)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.denied = append(l.denied, q.id)
	case unclear:
		l.failed.Add(1)
	}
}

// outcome is what a caller knows after an attempt.
type outcome uint8

const (
	unclear  outcome = iota // it may have run
	answered                // with the whole answer
	denied                  // it has not run
)

func (l *load) try(client *http.Client, m *domain, q request) outcome {
	r := q.build(m.balancer.Address)
	local := ""
	trace := &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) { local = c.Conn.LocalAddr().String() }}
	answer, err := client.Do(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		l.broken(m, q, local, err)
		return unclear
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		l.broken(m, q, local, err)
		return unclear
	}
	if answer.StatusCode != http.StatusOK {
		return denial(answer)
	}
	if !q.matches(answer, data) {
		l.wrong.Add(1)
		l.say("request %s had an answer of %d bytes that is not its own", q.id, len(data))
	}
	return answered
}

func denial(answer *http.Response) outcome {
	if answer.Header.Get(hoster.HeaderVerdict) == "not-run" {
		return denied
	}
	return unclear
}

// broken counts a connection that broke without an answer while its entry
// host was in a planned stop.
func (l *load) broken(m *domain, q request, local string, err error) {
	if host := m.balancer.Used(local); l.d.isStoppingAt(host) {
		l.cut.Add(1)
		l.say("request %s was cut by the planned stop of %s: %v", q.id, host, err)
	}
}

func (q request) build(address string) *http.Request {
	method := http.MethodGet
	if q.charge {
		method = http.MethodPost
	}
	r, err := http.NewRequest(method, "http://"+address+"/svc/"+service+"/menus", bytes.NewReader([]byte(q.body)))
	if err != nil {
		panic(err) // the address is of our own making
	}
	r.Header.Set("Dotterel-Tenant", q.tenant)
	r.Header.Set("Dotterel-Class", q.class)
	r.Header.Set("Dotterel-Deadline", callDeadline.String())
	r.Header.Set(hoster.HeaderRequest, q.id)
	r.Header.Set(hoster.HeaderSize, fmt.Sprint(q.size))
	if q.charge {
		r.Header.Set(hoster.HeaderKey, q.id)
	}
	return r
}

// matches reports whether the answer is whole and the request's own.
func (q request) matches(answer *http.Response, data []byte) bool {
	return answer.Header.Get(hoster.HeaderRequest) == q.id &&
		bytes.Equal(data, hoster.Answer(q.id, []byte(q.body), fmt.Sprint(q.size)))
}

func (l *load) say(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.words = append(l.words, violation(format, args...))
}

// fill adds the callers' counts to a report, after the load has ended.
func (l *load) fill(out *Report) {
	out.Requests, out.Failed = l.requests.Load(), l.failed.Load()
	out.Wrong, out.Cut = l.wrong.Load(), l.cut.Load()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range l.denied {
		if l.d.audit.Executions(id) > 0 {
			out.Untrue++
			l.words = append(l.words, violation("request %s ran and was said not to have run", id))
		}
	}
	out.P50 = float64(l.latency.ValueAtQuantile(50)) / 1000
	out.P99 = float64(l.latency.ValueAtQuantile(99)) / 1000
	out.Violations = append(out.Violations, l.words...)
}
