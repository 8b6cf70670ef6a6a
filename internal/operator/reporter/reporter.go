// Package reporter records a daemon's metrics and serves them together with its
// health. It also writes log lines without blocking.
//
// Metrics are recorded in a tally scope and served in the Prometheus text format.
// Histograms have the labels tenant and class.
package reporter

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

// flushInterval is how often recorded metrics are copied to the Prometheus
// registry.
const flushInterval = time.Second

// Reporter holds the metrics of one daemon.
type Reporter struct {
	Scope   tally.Scope  // records metrics; has the labels daemon and domain
	Metrics http.Handler // serves the metrics in the Prometheus text format
	Ready   atomic.Bool  // whether the daemon can take requests

	closer io.Closer
}

// New starts a reporter for the daemon with this name in this failure domain.
// Close flushes and stops it.
func New(daemon, domain string) *Reporter {
	registry := prometheus.NewRegistry()
	backend := promreporter.NewReporter(promreporter.Options{
		Registerer: registry,
		Gatherer:   registry,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "dotterelcart",
		Tags:            map[string]string{"daemon": daemon, "domain": domain},
		CachedReporter:  backend,
		Separator:       promreporter.DefaultSeparator,
		SanitizeOptions: &promreporter.DefaultSanitizerOpts,
	}, flushInterval)
	return &Reporter{Scope: scope, Metrics: backend.HTTPHandler(), closer: closer}
}

// Register adds the routes /live, /ready and /metrics to mux. /live responds with
// status 200 as long as the process serves requests at all.
func (r *Reporter) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /ready", r.ServeReady)
	mux.Handle("GET /metrics", r.Metrics)
}

// ServeReady responds with status 200 while the daemon can take requests, and with
// 503 otherwise.
func (r *Reporter) ServeReady(w http.ResponseWriter, _ *http.Request) {
	if !r.Ready.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Close flushes the metrics a last time and stops the reporter.
func (r *Reporter) Close() error { return r.closer.Close() }
