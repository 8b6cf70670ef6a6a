// Package hoster is a stand-in for the platform's workers, for tests and the
// demo.
//
// # Model
//
// A [Worker] has two ports. On Control it answers the worker interface of
// package runner, carried out by its [Agent]: runs under leases and fences,
// whose grants are added up. On Address its backend server answers requests,
// at most one for each slot, slower while batch tasks run beside it. What
// happens is reported to an [auditor.Auditor] that all workers share; the
// stand-in does not refuse an overfull grant but counts it.
//
//	w, err := hoster.New(hoster.Options{Host: host}, audit)
//	defer w.Close()
//	w.Silence() // its open connections get no more bytes
//
// A [Fleet] holds the workers of a deployment and is switched over HTTP.
package hoster

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
	"dotterelcart.dev/dotterelcart/internal/standin/auditor"
	"dotterelcart.dev/dotterelcart/internal/standin/listener"
)

// Options of a worker.
type Options struct {
	Host            describer.Host     // empty addresses mean loopback ports of its own
	ServiceTime     time.Duration      // service time of a request that states none
	ReportDelay     time.Duration      // of usage and latency reports
	Interference    map[string]float64 // slow-down by a class at full processor share; 1 doubles
	EnforceCapacity bool               // refuse overfull starts in place of counting them
}

// Worker is one stand-in worker.
type Worker struct {
	Host describer.Host // with its addresses
	Done chan struct{}  // closed when it has ended for good

	Counts Counts

	options Options
	audit   *auditor.Auditor
	agent   atomic.Pointer[Agent]
	backend *backend

	mu      sync.Mutex
	control *listener.Listener // nil while dead
	server  *http.Server
	served  chan struct{}
	closed  bool
	lose    int
	paused  chan struct{} // nil unless paused; closed on resumption
	leaving time.Time
}

// Counts of a worker's lifetime, restarts included.
type Counts struct {
	RefusedForSlots       atomic.Int64 // requests refused for want of a slot
	RefusedForConnections atomic.Int64 // requests refused for want of a connection
	Requests              atomic.Int64 // executed
	Runs                  atomic.Int64 // begun
}

// New starts a worker.
func New(o Options, a *auditor.Auditor) (*Worker, error) {
	if o.Host.Slots == 0 {
		o.Host.Slots = 8
	}
	if o.Host.Connections == 0 {
		o.Host.Connections = 64
	}
	w := &Worker{options: o, audit: a, Done: make(chan struct{})}
	if err := w.Restart(); err != nil {
		return nil, err
	}
	return w, nil
}

// Restart starts a killed worker, which remembers nothing, on its addresses.
func (w *Worker) Restart() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.control != nil || w.closed {
		return errors.New("hoster: worker is not dead")
	}
	h := &w.options.Host
	inner, err := net.Listen("tcp", orLoopback(h.Address))
	if err != nil {
		return err
	}
	w.agent.Store(NewAgent(w.options, w.audit))
	control, err := listener.New(orLoopback(h.Control), w.routes())
	if err != nil {
		inner.Close()
		return err
	}
	h.Address, h.Control = inner.Addr().String(), control.Address
	w.Host = *h
	w.control = control
	w.backend = newBackend(w)
	server, served := w.backend.server(), make(chan struct{})
	w.server, w.served = server, served
	tracker := tracked{inner, w.backend}
	go func() {
		defer close(served)
		_ = server.Serve(tracker)
	}()
	return nil
}

func orLoopback(address string) string {
	if address == "" {
		return "127.0.0.1:0"
	}
	return address
}

// Kill ends the worker as a power failure does.
func (w *Worker) Kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.control == nil {
		return
	}
	w.agent.Load().Kill()
	w.resume()
	_ = w.control.Close()
	_ = w.server.Close()
	<-w.served
	w.control = nil
}

// Close ends the worker for good.
func (w *Worker) Close() error {
	w.Kill()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		w.closed = true
		close(w.Done)
	}
	return nil
}

// Pause freezes the whole worker until Resume.
func (w *Worker) Pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.paused == nil {
		w.paused = make(chan struct{})
		w.agent.Load().SetPaused(true)
	}
}

// Resume ends a Pause.
func (w *Worker) Resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.resume()
}

func (w *Worker) resume() {
	if w.paused != nil {
		close(w.paused)
		w.paused = nil
		w.agent.Load().SetPaused(false)
	}
}

// SilenceConnections lets the backend server's open connections go silent for good.
func (w *Worker) SilenceConnections() { w.backend.silence() }

// TruncateResponses ends the next n answers half way.
func (w *Worker) TruncateResponses(n int) { w.backend.cut.Store(int64(n)) }

// SetFailing lets every later run fail at once, or ends that.
func (w *Worker) SetFailing(on bool) { w.agent.Load().SetFailing(on) }

// DropResponses lets the next n calls of the worker interface take effect
// without an answer.
func (w *Worker) DropResponses(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lose = n
}

// MarkLeaving marks the time after which requests to the worker are counted as late.
func (w *Worker) MarkLeaving() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = time.Now()
}

// Running returns the number of runs in progress.
func (w *Worker) Running() int { return w.agent.Load().Running() }

func (w *Worker) executed(id string, idempotent bool) {
	w.Counts.Requests.Add(1)
	w.audit.RequestExecuted(id, w.options.Host.Name, idempotent)
	w.mu.Lock()
	late := !w.leaving.IsZero() && time.Since(w.leaving) > leaveGrace
	w.mu.Unlock()
	if late {
		w.audit.LateRequest(w.options.Host.Name)
	}
}

func (w *Worker) waitResumed(ctx context.Context) {
	w.mu.Lock()
	paused := w.paused
	w.mu.Unlock()
	if paused == nil {
		return
	}
	select {
	case <-paused:
	case <-ctx.Done():
	}
}

func (w *Worker) loses() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lose == 0 {
		return false
	}
	w.lose--
	return true
}

func (w *Worker) routes() http.Handler {
	m := w.agent.Load()
	start := func(in runner.StartRequest) (struct{}, error) {
		began, err := m.Start(in)
		if began {
			w.Counts.Runs.Add(1)
		}
		return struct{}{}, err
	}
	mux := http.NewServeMux()
	mux.Handle("POST /v1/start", serve(w, start))
	mux.Handle("POST /v1/stop", serve(w, m.Stop))
	mux.Handle("POST /v1/throttle", serve(w, func(in runner.ThrottleRequest) (struct{}, error) { return struct{}{}, m.Throttle(in) }))
	mux.Handle("POST /v1/sync", serve(w, m.Sync))
	return mux
}

// serve waits while the worker is paused, and loses answers.
func serve[In, Out any](w *Worker, call func(In) (Out, error)) http.Handler {
	return listener.Handle(func(r *http.Request, in In) (Out, error) {
		w.waitResumed(r.Context())
		out, err := call(in)
		if err == nil && w.loses() {
			err = listener.ErrDropResponse
		}
		return out, err
	})
}
