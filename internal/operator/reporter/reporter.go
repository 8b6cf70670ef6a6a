// Package reporter keeps a daemon's metrics and health.
//
// Metrics are recorded through a tally scope and shown in the Prometheus text
// format; histograms carry the tags tenant and class.
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

// flushInterval is the time between flushes of the scope to the text format.
const flushInterval = time.Second

// Reporter holds the metrics of one daemon.
type Reporter struct {
	Scope   tally.Scope  // records metrics
	Metrics http.Handler // shows them
	Ready   atomic.Bool  // whether the daemon may be sent requests

	closer io.Closer
}

// New starts a reporter; Close flushes and stops it.
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

// Register adds /live, /ready and /metrics to mux.
func (r *Reporter) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /ready", r.ServeReady)
	mux.Handle("GET /metrics", r.Metrics)
}

// ServeReady answers 200 while the daemon may be sent requests, otherwise 503.
func (r *Reporter) ServeReady(w http.ResponseWriter, _ *http.Request) {
	if !r.Ready.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Close stops the flushing.
func (r *Reporter) Close() error { return r.closer.Close() }
