// Package loader sends requests to entry hosts at a fixed rate and reports what
// became of them.
//
// # Open loop
//
// Requests are sent at times that are drawn before the run, whether or not
// earlier ones were answered, and each latency counts from the time at which
// the request was due. A stall of the system or of the loader thus shows in
// every request that was due meanwhile, and none is omitted.
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

// Options are what Run needs.
type Options struct {
	Settings Settings
	Client   *http.Client // nil takes one with enough kept connections
}

// maxKept bounds idle connections to each target.
const maxKept = 1024

// Run sends the load and waits for all answers. It ends early, with the report
// so far, when ctx is done.
func Run(ctx context.Context, o Options) (Report, error) {
	var faults parser.FaultErrors
	o.Settings.check(func(path, format string, args ...any) {
		faults = append(faults, parser.Fault{Path: path, Message: fmt.Sprintf(format, args...)})
	})
	if len(faults) > 0 {
		return Report{}, faults
	}
	client := o.Client
	if client == nil {
		client = newClient()
		defer client.CloseIdleConnections()
	}
	r := &run{options: o, client: client, rows: newRows(o.Settings.Mix)}
	start := time.Now()
	r.send(ctx, start)
	r.wait.Wait()
	return r.report(time.Since(start)), nil
}

func newClient() *http.Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConns:        maxKept,
		MaxIdleConnsPerHost: maxKept,
		DisableCompression:  true,
	}
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// run is one run's state.
type run struct {
	options Options
	client  *http.Client
	rows    []*KindReport
	wait    sync.WaitGroup

	lock   sync.Mutex
	flight int
}

// send draws the due times of a Poisson process and starts each request at its
// time.
func (r *run) send(ctx context.Context, start time.Time) {
	s := &r.options.Settings
	random := rand.New(rand.NewPCG(uint64(s.Seed), 1))
	due := start
	end := start.Add(time.Duration(s.Duration))
	for n := 0; ; n++ {
		due = due.Add(time.Duration(random.ExpFloat64() / s.Rate * float64(time.Second)))
		kind := pick(s.Mix, random.Float64())
		if due.After(end) || !sleep(ctx, time.Until(due)) {
			return
		}
		if !r.enter() {
			r.rows[kind].count(unsent, 0)
			continue
		}
		target := s.Targets[n%len(s.Targets)]
		at := due
		r.wait.Go(func() {
			defer r.leave()
			r.request(kind, target, at)
		})
	}
}

func (r *run) enter() bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.flight >= r.options.Settings.MaxInFlight {
		return false
	}
	r.flight++
	return true
}

func (r *run) leave() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.flight--
}

// request sends one request and counts its end. The answer is read whole.
func (r *run) request(kind int, target string, due time.Time) {
	k := &r.options.Settings.Mix[kind]
	ctx, cancel := context.WithDeadline(context.Background(), due.Add(time.Duration(k.Deadline)+patience))
	defer cancel()
	end, err := r.exchange(ctx, k, target)
	took := time.Since(due)
	if err != nil {
		end = lost
	}
	if end == answered && took > time.Duration(k.Deadline) {
		end = late
	}
	r.rows[kind].count(end, took)
}

// patience is how long after its deadline an answer is still awaited.
const patience = 2 * time.Second

func (r *run) exchange(ctx context.Context, k *Kind, target string) (outcome, error) {
	url := strings.TrimSuffix(target, "/") + forwarder.PathPrefix + k.Service + "/" + strings.TrimPrefix(k.Path, "/")
	request, err := http.NewRequestWithContext(ctx, k.Method, url, bytes.NewReader(make([]byte, k.Body)))
	if err != nil {
		return lost, err
	}
	request.Header.Set(forwarder.TenantHeader, k.Tenant)
	request.Header.Set(forwarder.ClassHeader, k.Class)
	request.Header.Set(forwarder.DeadlineHeader, time.Duration(k.Deadline).String())
	answer, err := r.client.Do(request)
	if err != nil {
		return lost, err
	}
	defer answer.Body.Close()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return lost, err
	}
	switch {
	case answer.StatusCode < http.StatusBadRequest:
		return answered, nil
	case answer.Header.Get(forwarder.VerdictHeader) == classifier.NotRun.String():
		return refused, nil
	}
	return failed, nil
}

// pick maps x, 0 to 1, to a kind by the kinds' shares.
func pick(mix []Kind, x float64) int {
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
