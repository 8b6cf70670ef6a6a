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

// The compared fleet serves 800 requests a second.
const (
	fleetSize  = 4
	slots      = 8
	meanWork   = 40 * time.Millisecond
	fleetRate  = 800.0
	runTime    = 4 * time.Second
	callerTime = 400 * time.Millisecond
)

// machine is a backend server whose requests queue for its real slots.
type machine struct {
	*httptest.Server
	slots  chan struct{}
	slow   float64
	thrash bool        // work takes longer with more than half of the slots in use
	silent atomic.Bool // the next request's connection falls silent
	dead   sync.Map    // silent connections by remote address

	lock   sync.Mutex
	random *rand.Rand
}

func newMachine(seed uint64) *machine {
	m := &machine{slots: make(chan struct{}, slots), slow: 1, random: rand.New(rand.NewPCG(seed, 3))}
	m.Server = httptest.NewServer(m)
	return m
}

func (m *machine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if m.silent.CompareAndSwap(true, false) {
		m.dead.Store(r.RemoteAddr, true)
	}
	if _, ok := m.dead.Load(r.RemoteAddr); ok {
		<-r.Context().Done()
		return
	}
	if r.Method == http.MethodHead {
		return
	}
	select {
	case m.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-m.slots }()
	m.lock.Lock()
	factor := m.slow
	if busy := 2 * float64(len(m.slots)) / slots; m.thrash && busy > 1 {
		factor *= busy * busy
	}
	work := time.Duration(m.random.ExpFloat64() * factor * float64(meanWork))
	m.lock.Unlock()
	select {
	case <-time.After(work):
	case <-r.Context().Done():
	}
	io.WriteString(w, "held")
}

// thrash lets half of the declared slots serve what all should, and work take
// longer beyond that.
func thrash(all []*machine) {
	for _, m := range all {
		m.slow = 0.5
		m.thrash = true
	}
}

// variant is a way of forwarding that is compared.
type variant struct {
	name   string
	policy router.Policy
	hedge  float64
	open   bool // no limits: every request is sent at once
	plain  bool // no outlier ejection
}

var variants = []variant{
	{name: "dotterelcart"},
	{name: "random", policy: router.Random{}, hedge: -1, plain: true},
	{name: "roundrobin", policy: new(router.RoundRobin), hedge: -1, plain: true},
	{name: "nolimits", hedge: -1, plain: true, open: true},
	{name: "nohedging", hedge: -1},
}

var situations = []struct {
	name string
	load float64 // times what the fleet can serve
	harm func(all []*machine)
}{
	{"steady", 0.6, func([]*machine) {}},
	{"noisy", 0.6, func(all []*machine) { all[0].slow = 4 }},
	{"silent", 0.6, func(all []*machine) { all[0].silent.Store(true) }},
	{"thrash", 1.5, thrash},
	{"overload1.5", 1.5, func([]*machine) {}},
	{"overload3", 3, func([]*machine) {}},
}

// BenchmarkCompare runs every variant in every situation on the same seed:
//
//	go test -run xxx -bench Compare -benchtime 1x ./internal/traffic/forwarder
func BenchmarkCompare(b *testing.B) {
	for _, s := range situations {
		for _, v := range variants {
			b.Run(s.name+"/"+v.name, func(b *testing.B) {
				for b.Loop() {
					report := compare(b, v, s.load, s.harm, []loader.Kind{kind("minara", 1)})
					show(b, report.Rows[0])
					b.ReportMetric(report.Goodput(), "good/s")
				}
			})
		}
	}
}

// BenchmarkTenants shows the tenant with a tenth of its share beside one with
// ten times its share.
func BenchmarkTenants(b *testing.B) {
	for _, v := range variants {
		b.Run(v.name, func(b *testing.B) {
			for b.Loop() {
				mix := []loader.Kind{kind("minara", 0.05), kind("council", 5)}
				report := compare(b, v, 5.05, func([]*machine) {}, mix)
				show(b, report.Rows[0])
				b.ReportMetric(float64(report.Rows[1].Answered)/runTime.Seconds(), "council-good/s")
			}
		})
	}
}

func kind(tenant string, share float64) loader.Kind {
	return loader.Kind{Tenant: tenant, Service: "desk", Share: share, Deadline: parser.Duration(callerTime)}
}

func compare(b *testing.B, v variant, load float64, harm func([]*machine), mix []loader.Kind) loader.Report {
	var all []*machine
	table := &describer.RoutingTable{Ready: true, Services: map[string][]describer.Backend{}}
	for i := range fleetSize {
		m := newMachine(uint64(i))
		defer m.Close()
		defer m.CloseClientConnections()
		all = append(all, m)
		lent := slots
		if v.open {
			lent = 10000
		}
		table.Services["desk"] = append(table.Services["desk"], describer.Backend{
			Worker: fmt.Sprint(i), Address: m.Listener.Addr().String(), Domain: "d", Region: "r", Slots: lent, Connections: 8 * lent,
		})
	}
	harm(all)
	options := forwarder.Options{
		Domain: "d", Region: "r", Policy: v.policy, HedgeRatio: v.hedge, Slots: &router.FixedShare{Hosts: 1},
		Traffic: parser.Traffic{Silence: parser.Duration(300 * time.Millisecond)},
	}
	if v.plain {
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

func show(b *testing.B, row *loader.KindReport) {
	b.ReportMetric(float64(row.Quantile(0.5).Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(row.Quantile(0.99).Microseconds())/1000, "p99-ms")
	b.ReportMetric(float64(row.Quantile(0.999).Microseconds())/1000, "p99.9-ms")
	b.ReportMetric(float64(row.Refused), "refused")
	b.ReportMetric(float64(row.Failed+row.Lost+row.Late+row.Unsent), "failed")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkHop measures what forwarding adds to a bare request.
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
				answer, err := http.DefaultClient.Do(r)
				if err != nil {
					b.Fatal(err)
				}
				io.Copy(io.Discard, answer.Body)
				answer.Body.Close()
			}
		})
	}
}
