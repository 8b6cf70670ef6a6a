// Package loader is a load generator: it sends requests to entry hosts at a fixed
// mean rate and reports their outcomes and latencies.
//
// # Open loop
//
// The times at which requests are due are drawn at random, and each request is sent
// when it is due, whether or not earlier ones have been answered. Its latency
// counts from that time. So a stall of the system or of the loader shows in the
// latency of every request that was due during the stall.
//
//	settings, err := loader.Parse(data)
//	report, err := loader.Run(ctx, loader.Options{Settings: settings})
//	fmt.Print(report.Table())
package loader

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"dotterelcart.dev/dotterelcart/internal/operator/parser"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
	"dotterelcart.dev/dotterelcart/internal/traffic/forwarder"
)

// Options are the inputs of Run.
type Options struct {
	Settings Settings
	Client   *http.Client // nil means one that keeps enough idle connections
}

// maxIdleConns bounds the idle connections to each target.
const maxIdleConns = 1024

// Run sends the load and waits for all responses. When ctx ends, it stops sending
// and returns the report so far. An error means that the settings are invalid; it
// is of type parser.Errors.
func Run(ctx context.Context, o Options) (Report, error) {
	var faults parser.Errors
	o.Settings.validate(func(path, format string, args ...any) {
		faults = append(faults, parser.Error{Path: path, Message: fmt.Sprintf(format, args...)})
	})
	if len(faults) > 0 {
		return Report{}, faults
	}
	client := o.Client
	if client == nil {
		client = newClient()
		defer client.CloseIdleConnections()
	}
	r := &loadRun{options: o, client: client, kinds: newKindReports(o.Settings.Mix)}
	start := time.Now()
	r.sendAll(ctx, start)
	r.requests.Wait()
	return r.report(time.Since(start)), nil
}

func newClient() *http.Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		DisableCompression:  true,
	}
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// loadRun is the state of one call of Run.
type loadRun struct {
	options  Options
	client   *http.Client
	kinds    []*KindReport
	requests sync.WaitGroup

	lock     sync.Mutex
	inFlight int
}

// sendAll draws the due times of a Poisson process and starts each request when it
// is due.
func (r *loadRun) sendAll(ctx context.Context, start time.Time) {
	s := &r.options.Settings
	random := rand.New(rand.NewPCG(uint64(s.Seed), 1))
	due := start
	end := start.Add(time.Duration(s.Duration))
	for n := 0; ; n++ {
		due = due.Add(time.Duration(random.ExpFloat64() / s.Rate * float64(time.Second)))
		kind := pickKind(s.Mix, random.Float64())
		if due.After(end) || !sleep(ctx, time.Until(due)) {
			return
		}
		if !r.begin() {
			r.kinds[kind].count(unsent, 0)
			continue
		}
		target := s.Targets[n%len(s.Targets)]
		at := due
		r.requests.Go(func() {
			defer r.end()
			r.sendAndCount(kind, target, at)
		})
	}
}

// begin counts a request as in flight. It returns false if there are too many.
func (r *loadRun) begin() bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.inFlight >= r.options.Settings.MaxInFlight {
		return false
	}
	r.inFlight++
	return true
}

func (r *loadRun) end() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.inFlight--
}

// sendAndCount sends one request, reads the complete response and counts the outcome.
func (r *loadRun) sendAndCount(kind int, target string, due time.Time) {
	k := &r.options.Settings.Mix[kind]
	ctx, cancel := context.WithDeadline(context.Background(), due.Add(time.Duration(k.Deadline)+lateGrace))
	defer cancel()
	result, err := r.send(ctx, k, target)
	took := time.Since(due)
	if err != nil {
		result = lost
	}
	if result == answered && took > time.Duration(k.Deadline) {
		result = late
	}
	r.kinds[kind].count(result, took)
}

// lateGrace is how long after its deadline a response is still awaited.
const lateGrace = 2 * time.Second

// send sends one request and reads the complete response.
func (r *loadRun) send(ctx context.Context, k *Kind, target string) (outcome, error) {
	url := strings.TrimSuffix(target, "/") + forwarder.PathPrefix + k.Service + "/" + strings.TrimPrefix(k.Path, "/")
	request, err := http.NewRequestWithContext(ctx, k.Method, url, bytes.NewReader(make([]byte, k.Body)))
	if err != nil {
		return lost, err
	}
	request.Header.Set(forwarder.TenantHeader, k.Tenant)
	request.Header.Set(forwarder.ClassHeader, k.Class)
	request.Header.Set(forwarder.DeadlineHeader, time.Duration(k.Deadline).String())
	response, err := r.client.Do(request)
	if err != nil {
		return lost, err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return lost, err
	}
	switch {
	case response.StatusCode < http.StatusBadRequest:
		return answered, nil
	case response.Header.Get(forwarder.VerdictHeader) == classifier.NotRun.String():
		return refused, nil
	}
	return failed, nil
}

// pickKind returns the index of a kind for x, a random number from 0 to 1, in
// proportion to the shares.
func pickKind(mix []Kind, x float64) int {
	sum := 0.0
	for i := range mix {
		sum += mix[i].Share
	}
	x *= sum
	for i := range mix {
		x -= mix[i].Share
		if x < 0 {
			return i
		}
	}
	return len(mix) - 1
}

// sleep waits for d and returns true, or false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
