package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/operator/parser"
	"dotterelcart.dev/dotterelcart/internal/traffic/forwarder"
	"dotterelcart.dev/dotterelcart/internal/traffic/loader"
	"dotterelcart.dev/dotterelcart/internal/traffic/router"
)

// The simulated fleet can serve 800 requests a second: 32 slots, each
// held for 40 ms on average.
const (
	fleetSize      = 4 // servers
	slots          = 8 // per server
	meanWork       = 40 * time.Millisecond
	fleetRate      = 800.0 // requests a second
	runTime        = 4 * time.Second
	callerDeadline = 400 * time.Millisecond
)

// testServer is a backend server that works on a limited number of requests at a
// time and queues the others.
type testServer struct {
	*httptest.Server
	slots     chan struct{}
	slow      float64     // factor on the work
	thrash    bool        // requests take longer when more than half of the slots are in use
	stallNext atomic.Bool // the connection of the next request stalls
	stalled   sync.Map    // stalled connections by remote address

	lock   sync.Mutex
	random *rand.Rand
}

func newTestServer(seed uint64) *testServer {
	s := &testServer{slots: make(chan struct{}, slots), slow: 1, random: rand.New(rand.NewPCG(seed, 3))}
	s.Server = httptest.NewServer(s)
	return s
}

func (s *testServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.stallNext.CompareAndSwap(true, false) {
		s.stalled.Store(r.RemoteAddr, true)
	}
	if _, ok := s.stalled.Load(r.RemoteAddr); ok {
		<-r.Context().Done()
		return
	}
	if r.Method == http.MethodHead {
		return
	}
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.slots }()
	s.lock.Lock()
	factor := s.slow
	if busy := 2 * float64(len(s.slots)) / slots; s.thrash && busy > 1 {
		factor *= busy * busy
	}
	work := time.Duration(s.random.ExpFloat64() * factor * float64(meanWork))
	s.lock.Unlock()
	select {
	case <-time.After(work):
	case <-r.Context().Done():
	}
	io.WriteString(w, "held")
}

// thrash makes each server reach its full rate with half of its slots in use,
// and slow down beyond that.
func thrash(all []*testServer) {
	for _, s := range all {
		s.slow = 0.5
		s.thrash = true
	}
}

// variant is a configuration of the forwarder.
type variant struct {
	name       string
	policy     router.Policy
	hedge      float64 // HedgeRatio
	noLimits   bool    // every request is sent at once
	noEjection bool
}

var variants = []variant{
	{name: "dotterelcart"},
	{name: "random", policy: router.Random{}, hedge: -1, noEjection: true},
	{name: "roundrobin", policy: new(router.RoundRobin), hedge: -1, noEjection: true},
	{name: "nolimits", hedge: -1, noEjection: true, noLimits: true},
	{name: "nohedging", hedge: -1},
}

var situations = []struct {
	name    string
	load    float64 // as a multiple of fleetRate
	disturb func(all []*testServer)
}{
	{"steady", 0.6, func([]*testServer) {}},
	{"noisy", 0.6, func(all []*testServer) { all[0].slow = 4 }},
	{"silent", 0.6, func(all []*testServer) { all[0].stallNext.Store(true) }},
	{"thrash", 1.5, thrash},
	{"overload1.5", 1.5, func([]*testServer) {}},
	{"overload3", 3, func([]*testServer) {}},
}

// BenchmarkCompare runs every variant in every situation with the same seed:
//
//	go test -run xxx -bench Compare -benchtime 1x ./internal/traffic/forwarder
func BenchmarkCompare(b *testing.B) {
	for _, s := range situations {
		for _, v := range variants {
			b.Run(s.name+"/"+v.name, func(b *testing.B) {
				for b.Loop() {
					report := compare(b, v, s.load, s.disturb, []loader.Kind{kind("minara", 1)})
					reportMetrics(b, report.Kinds[0])
					b.ReportMetric(report.Goodput(), "good/s")
				}
			})
		}
	}
}

// BenchmarkTenants measures a tenant that uses a tenth of its share beside one that
// offers ten times its share.
func BenchmarkTenants(b *testing.B) {
	for _, v := range variants {
		b.Run(v.name, func(b *testing.B) {
			for b.Loop() {
				mix := []loader.Kind{kind("minara", 0.05), kind("council", 5)}
				report := compare(b, v, 5.05, func([]*testServer) {}, mix)
				reportMetrics(b, report.Kinds[0])
				b.ReportMetric(float64(report.Kinds[1].Answered)/runTime.Seconds(), "council-good/s")
			}
		})
	}
}

func kind(tenant string, share float64) loader.Kind {
	return loader.Kind{Tenant: tenant, Service: "desk", Share: share, Deadline: parser.Duration(callerDeadline)}
}

func compare(b *testing.B, v variant, load float64, disturb func([]*testServer), mix []loader.Kind) loader.Report {
	var all []*testServer
	table := &describer.RoutingTable{Ready: true, Services: map[string][]describer.Backend{}}
	for i := range fleetSize {
		s := newTestServer(uint64(i))
		defer s.Close()
		defer s.CloseClientConnections()
		all = append(all, s)
		workerSlots := slots
		if v.noLimits {
			workerSlots = 10000
		}
		table.Services["desk"] = append(table.Services["desk"], describer.Backend{
			Worker: fmt.Sprint(i), Address: s.Listener.Addr().String(), Domain: "d", Region: "r", Slots: workerSlots, Connections: 8 * workerSlots,
		})
	}
	disturb(all)
	options := forwarder.Options{
		Domain: "d", Region: "r", Policy: v.policy, HedgeRatio: v.hedge, Slots: &router.FixedShare{Hosts: 1},
		Traffic: parser.Traffic{StallTimeout: parser.Duration(300 * time.Millisecond)},
	}
	if v.noEjection {
		options.Health = router.Health{MaxFailures: 1 << 30, SlowFactor: 1 << 30}
	}
	teams := []describer.Team{{Name: "minara", Weight: 1}, {Name: "council", Weight: 1}}
	f := forwarder.New(options, func() *describer.RoutingTable { return table }, func() []describer.Team { return teams }, nil, nil, zerolog.Nop())
	defer f.Close()
	front := httptest.NewServer(f)
	defer front.Close()
	report, err := loader.Run(context.Background(), loader.Options{Settings: loader.Settings{
		Targets: []string{front.URL}, Rate: load * fleetRate, Duration: parser.Duration(runTime), Seed: 7,
		Mix: mix,
	}})
	if err != nil {
		b.Fatal(err)
	}
	return report
}

func reportMetrics(b *testing.B, report *loader.KindReport) {
	b.ReportMetric(float64(report.Quantile(0.5).Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(report.Quantile(0.99).Microseconds())/1000, "p99-ms")
	b.ReportMetric(float64(report.Quantile(0.999).Microseconds())/1000, "p99.9-ms")
	b.ReportMetric(float64(report.Refused), "refused")
	b.ReportMetric(float64(report.Failed+report.Lost+report.Late+report.Unsent), "failed")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkHop compares a forwarded request with a direct one.
func BenchmarkHop(b *testing.B) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "held") }))
	defer backend.Close()
	table := &describer.RoutingTable{Ready: true, Services: map[string][]describer.Backend{"desk": {{
		Worker: "w", Address: backend.Listener.Addr().String(), Domain: "d", Region: "r", Slots: 8, Connections: 64,
	}}}}
	teams := []describer.Team{{Name: "minara", Weight: 1}}
	f := forwarder.New(forwarder.Options{Domain: "d", Region: "r"}, func() *describer.RoutingTable { return table }, func() []describer.Team { return teams }, nil, nil, zerolog.Nop())
	defer f.Close()
	front := httptest.NewServer(f)
	defer front.Close()
	for name, url := range map[string]string{"bare": backend.URL, "forwarded": front.URL} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r, _ := http.NewRequest(http.MethodGet, url+"/svc/desk/", strings.NewReader(""))
				r.Header.Set(forwarder.TenantHeader, "minara")
				response, err := http.DefaultClient.Do(r)
				if err != nil {
					b.Fatal(err)
				}
				io.Copy(io.Discard, response.Body)
				response.Body.Close()
			}
		})
	}
}
