// Package hoster is a stand-in for the platform's workers, for tests and the demo.
//
// # Model
//
// A [Worker] listens on two ports. At Host.Control it serves the worker interface of
// package runner, which its [Agent] implements: runs of tasks under leases and
// fencing tokens. At Host.Address its backend server serves requests, at most one
// for each slot, and more slowly while tasks run on the worker. Runs and requests
// are reported to an [auditor.Auditor] that all workers share. By default a start
// that exceeds the worker's capacity is not refused but reported.
//
//	w, err := hoster.New(hoster.Options{Host: host}, audit)
//	defer w.Close()
//	w.SilenceConnections() // data on its open connections is lost from now on
//
// A [Fleet] holds several workers and injects faults into them over HTTP.
package hoster

import (
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

// Options describes a worker.
type Options struct {
	Host        describer.Host // an empty address is replaced by one on a free loopback port
	ServiceTime time.Duration  // service time of a request that doesn't set its own
	ReportDelay time.Duration  // time until usage and latency are reported

	// Interference is the slowdown of requests by each class of tasks, if such tasks
	// hold the whole CPU. A value of 1 doubles the service time.
	Interference map[string]float64

	EnforceCapacity bool // refuse starts that exceed the capacity
}

// Worker is one stand-in worker.
type Worker struct {
	Host describer.Host // entry in the host list, with the addresses in use
	Done chan struct{}  // closed once Close has ended the worker

	Counts Counts

	options Options
	audit   *auditor.Auditor
	agent   atomic.Pointer[Agent]
	backend *backend

	mu           sync.Mutex
	control      *listener.Listener // server of the worker interface; nil while the worker is dead
	server       *http.Server       // server of the backend
	served       chan struct{}      // closed once server has ended
	closed       bool
	dropNext     int           // number of next calls to the worker interface that get no response
	paused       chan struct{} // nil unless paused; closed when the pause ends
	leavingSince time.Time     // zero unless leaving
}

// Counts holds the counts since the worker was made, across restarts.
type Counts struct {
	RefusedForSlots       atomic.Int64 // requests refused because no slot was free
	RefusedForConnections atomic.Int64 // requests refused because too many connections were open
	Requests              atomic.Int64 // requests executed
	Runs                  atomic.Int64 // runs of tasks started
}

// New starts a worker. Slots default to 8 and connections to 64.
func New(o Options, audit *auditor.Auditor) (*Worker, error) {
	if o.Host.Slots == 0 {
		o.Host.Slots = 8
	}
	if o.Host.Connections == 0 {
		o.Host.Connections = 64
	}
	w := &Worker{options: o, audit: audit, Done: make(chan struct{})}
	if err := w.Restart(); err != nil {
		return nil, err
	}
	return w, nil
}

// Restart starts a killed worker again on the same addresses, without its earlier
// runs, tokens, results and latencies. Counts continue, and DropResponses and
// MarkLeaving stay in effect. New uses it for the first start.
func (w *Worker) Restart() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.control != nil || w.closed {
		return errors.New("hoster: worker is not dead")
	}
	h := &w.options.Host
	backendListener, err := net.Listen("tcp", orLoopback(h.Address))
	if err != nil {
		return err
	}
	w.agent.Store(NewAgent(w.options, w.audit))
	control, err := listener.New(orLoopback(h.Control), w.routes())
	if err != nil {
		backendListener.Close()
		return err
	}
	h.Address, h.Control = backendListener.Addr().String(), control.Address
	w.Host = *h
	w.control = control
	w.backend = newBackend(w)
	server, served := w.backend.server(), make(chan struct{})
	w.server, w.served = server, served
	tracking := trackingListener{backendListener, w.backend}
	go func() {
		defer close(served)
		_ = server.Serve(tracking)
	}()
	return nil
}

// orLoopback returns address, or a free loopback address if it is empty.
func orLoopback(address string) string {
	if address == "" {
		return listener.FreeLoopback()
	}
	return address
}

// Kill ends the worker abruptly, as a power failure does.
func (w *Worker) Kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.control == nil {
		return
	}
	w.agent.Load().Kill()
	w.resumeLocked()
	_ = w.control.Close()
	_ = w.server.Close()
	<-w.served
	w.control = nil
}

// Close kills the worker, which can't be restarted afterwards.
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

// Pause freezes the worker until Resume: neither its runs nor its responses proceed.
func (w *Worker) Pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.paused == nil {
		w.paused = make(chan struct{})
		w.agent.Load().SetPaused(true)
	}
}

// Resume ends a pause.
func (w *Worker) Resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.resumeLocked()
}

// resumeLocked ends a pause. The caller holds the lock.
func (w *Worker) resumeLocked() {
	if w.paused != nil {
		close(w.paused)
		w.paused = nil
		w.agent.Load().SetPaused(false)
	}
}

// SilenceConnections makes the backend server's open connections lose all data from
// now on. New connections work.
func (w *Worker) SilenceConnections() { w.backend.silenceConns() }

// TruncateResponses makes the backend server end the next n responses half way.
func (w *Worker) TruncateResponses(n int) { w.backend.truncations.Store(int64(n)) }

// SetFailing sets whether runs that start from now on fail at once.
func (w *Worker) SetFailing(on bool) { w.agent.Load().SetFailing(on) }

// DropResponses makes the next n calls of the worker interface take effect without a
// response.
func (w *Worker) DropResponses(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropNext = n
}

// MarkLeaving records that the worker begins to leave. Requests that it receives more
// than leaveGrace later are reported as late.
func (w *Worker) MarkLeaving() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leavingSince = time.Now()
}

// Running returns the number of runs in progress.
func (w *Worker) Running() int { return w.agent.Load().Running() }

// recordRequest reports the execution of a request that arrived at a time to the
// auditor. The id is the idempotency key, if the request has one.
func (w *Worker) recordRequest(id string, arrived time.Time, idempotent bool) {
	w.Counts.Requests.Add(1)
	w.audit.RequestExecuted(id, w.options.Host.Name, idempotent)
	w.mu.Lock()
	late := !w.leavingSince.IsZero() && arrived.Sub(w.leavingSince) > leaveGrace
	w.mu.Unlock()
	if late {
		w.audit.LateRequest(w.options.Host.Name)
	}
}

// waitResumed returns once the worker isn't paused. It doesn't end with the context of a
// call: a frozen process carries out a call whose caller has given up once it is resumed.
func (w *Worker) waitResumed() {
	w.mu.Lock()
	paused := w.paused
	w.mu.Unlock()
	if paused != nil {
		<-paused
	}
}

// dropsResponse decides whether the response to a call of the worker interface is
// dropped.
func (w *Worker) dropsResponse() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dropNext == 0 {
		return false
	}
	w.dropNext--
	return true
}

// routes returns the handler of the worker interface.
func (w *Worker) routes() http.Handler {
	a := w.agent.Load()
	start := func(in runner.StartRequest) (struct{}, error) {
		started, err := a.Start(in)
		if started {
			w.Counts.Runs.Add(1)
		}
		return struct{}{}, err
	}
	mux := http.NewServeMux()
	mux.Handle("POST /v1/start", serve(w, start))
	mux.Handle("POST /v1/stop", serve(w, a.Stop))
	mux.Handle("POST /v1/throttle", serve(w, func(in runner.ThrottleRequest) (struct{}, error) { return struct{}{}, a.Throttle(in) }))
	mux.Handle("POST /v1/sync", serve(w, a.Sync))
	return mux
}

// serve returns a handler for one call of the worker interface. It waits while the
// worker is paused, and drops responses as DropResponses says.
func serve[In, Out any](w *Worker, call func(In) (Out, error)) http.Handler {
	return listener.Handle(func(_ *http.Request, in In) (Out, error) {
		w.waitResumed()
		out, err := call(in)
		if err == nil && w.dropsResponse() {
			err = listener.ErrDropResponse
		}
		return out, err
	})
}
