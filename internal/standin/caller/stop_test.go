package caller

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"testing"
	"time"

	"dotterelcart.dev/dotterelcart/internal/standin/auditor"
	"dotterelcart.dev/dotterelcart/internal/standin/balancer"
	"dotterelcart.dev/dotterelcart/internal/standin/deployer"
	"dotterelcart.dev/dotterelcart/internal/standin/hoster"
)

// newStoppingDomain returns a generator for a domain with the worker, whose only entry host
// is in a planned stop. The entry host forwards requests and changes responses with modify.
func newStoppingDomain(t *testing.T, audit *auditor.Auditor, w *hoster.Worker, modify func(*http.Response) error) (*Generator, *deployer.Domain) {
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: w.Host.Address})
	proxy.ModifyResponse = modify
	mux := http.NewServeMux()
	mux.HandleFunc("/ready", func(http.ResponseWriter, *http.Request) {})
	mux.Handle("/", proxy)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	b, err := balancer.New("127.0.0.1:0", []balancer.Target{{Address: address, CheckURL: server.URL + "/ready"}}, 10*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = b.Close() })
	for b.ReadyCount() == 0 {
		time.Sleep(time.Millisecond)
	}
	entry := &deployer.Entry{}
	entry.Settings.Listen.Callers = address
	entry.Stop(context.Background())
	domain := &deployer.Domain{Name: "seq-bne", Balancer: b, Entries: []*deployer.Entry{entry}, Workers: []*hoster.Worker{w}}
	d := &deployer.Deployment{Domains: []*deployer.Domain{domain}, Audit: audit}
	return New(d, rand.New(rand.NewPCG(1, 1)), 0), domain
}

// newWorker returns a worker that reports to audit.
func newWorker(t *testing.T, audit *auditor.Auditor) *hoster.Worker {
	w, err := hoster.New(hoster.TypicalWorkers("seq", "seq-bne", deployer.Service, 1)[0], audit)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = w.Close() })
	return w
}

// TestWorkerCutsResponse guards against a response that the worker breaks off being counted
// as cut by the planned stop of the entry host that forwards it.
func TestWorkerCutsResponse(t *testing.T) {
	audit := auditor.New()
	w := newWorker(t, audit)
	g, domain := newStoppingDomain(t, audit, w, nil)
	w.TruncateResponses(1)
	client := NewClient()
	defer client.CloseIdleConnections()
	g.Call(client, domain, Request{ID: "r", Tenant: "owners", Class: "menu", ResponseSize: maxResponseSize, Deadline: time.Hour})
	if r := g.Report(); r.ConnectionErrors != 1 || r.CutByStop != 0 {
		t.Fatalf("report %+v", r)
	}
}

// TestEntryCutsResponse guards against the opposite: a response that the entry host breaks
// off counts, also if the worker has broken off that to an attempt before.
func TestEntryCutsResponse(t *testing.T) {
	audit := auditor.New()
	w := newWorker(t, audit)
	responses := 0
	g, domain := newStoppingDomain(t, audit, w, func(r *http.Response) error {
		responses++
		if responses == 2 {
			r.Body = io.NopCloser(strings.NewReader("part")) // shorter than the announced length
		}
		return nil
	})
	client := NewClient()
	defer client.CloseIdleConnections()
	w.TruncateResponses(1)
	g.Call(client, domain, Request{ID: "r", Tenant: "owners", Class: "menu", ResponseSize: maxResponseSize, Deadline: time.Hour})
	if r := g.Report(); r.ConnectionErrors != 2 || r.CutByStop != 1 {
		t.Fatalf("report %+v", r)
	}
}

// TestDeadlineCutsResponse guards against a response that breaks off at the request's
// deadline being counted as cut by the planned stop. The entry host must end it then.
func TestDeadlineCutsResponse(t *testing.T) {
	audit := auditor.New()
	g, domain := newStoppingDomain(t, audit, newWorker(t, audit), func(r *http.Response) error {
		r.Body = io.NopCloser(strings.NewReader("part")) // shorter than the announced length
		return nil
	})
	client := NewClient()
	defer client.CloseIdleConnections()
	// The deadline has passed for certain when the response breaks off.
	q := Request{ID: "r", Tenant: "owners", Class: "menu", ResponseSize: maxResponseSize, Deadline: time.Nanosecond}
	g.Call(client, domain, q)
	if r := g.Report(); r.ConnectionErrors != 2 || r.CutByStop != 0 {
		t.Fatalf("report %+v", r)
	}
}
