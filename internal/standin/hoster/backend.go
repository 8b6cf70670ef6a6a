package hoster

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Headers of requests to the backend server and of its responses.
const (
	HeaderRequestID      = "Dotterel-Request"     // request id set by the caller; copied to the response
	HeaderServiceTime    = "Dotterel-Work"        // service time of the request, as duration text
	HeaderResponseSize   = "Dotterel-Answer-Size" // size of the response body, in bytes
	HeaderVerdict        = "Dotterel-Verdict"     // whether a refused request has run
	HeaderWorker         = "Dotterel-Worker"      // name of the worker that responded
	HeaderIdempotencyKey = "Idempotency-Key"      // key shared by the attempts of one request that isn't idempotent
	HeaderIdempotent     = "Dotterel-Idempotent"  // "true" if a POST or PATCH may be repeated
)

// leaveGrace is how long a leaving worker may still receive requests.
const leaveGrace = 5 * time.Second

// backend is the backend server of a worker.
type backend struct {
	worker      *Worker
	slots       chan struct{} // holds a value for each request being served
	openConns   atomic.Int64
	truncations atomic.Int64 // number of next responses to end half way

	mu    sync.Mutex
	conns map[*conn]bool // open connections
}

// overLimit is the context key that marks the connections beyond the worker's limit.
type overLimit struct{}

// connKey is the context key of a request's *conn.
type connKey struct{}

// newBackend returns the backend server of the worker, which doesn't listen yet.
func newBackend(w *Worker) *backend {
	return &backend{
		worker: w,
		slots:  make(chan struct{}, w.options.Host.Slots),
		conns:  make(map[*conn]bool),
	}
}

// server returns an HTTP server for one listener. It counts open connections and
// marks those beyond the worker's limit, so that their requests are refused.
func (b *backend) server() *http.Server {
	return &http.Server{
		Handler: http.HandlerFunc(b.serve),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			ctx = context.WithValue(ctx, connKey{}, c)
			if b.openConns.Add(1) > int64(b.worker.options.Host.Connections) {
				return context.WithValue(ctx, overLimit{}, true)
			}
			return ctx
		},
		ConnState: func(_ net.Conn, s http.ConnState) {
			if s == http.StateClosed || s == http.StateHijacked {
				b.openConns.Add(-1)
			}
		},
	}
}

// serve executes a request, or refuses it if the worker has no free connection or
// slot.
func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		c.begin(r.Header.Get(HeaderRequestID))
	}
	b.worker.waitResumed()
	if r.Context().Value(overLimit{}) != nil {
		w.Header().Set("Connection", "close")
		b.refuse(w, &b.worker.Counts.RefusedForConnections)
		return
	}
	if r.Method == http.MethodHead {
		w.WriteHeader(http.StatusNoContent) // a probe, which takes no slot
		return
	}
	select {
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	default:
		b.refuse(w, &b.worker.Counts.RefusedForSlots)
		return
	}
	b.execute(w, r, arrived)
}

// refuse responds that the request has not run, and increments count.
func (b *backend) refuse(w http.ResponseWriter, count *atomic.Int64) {
	count.Add(1)
	w.Header().Set(HeaderVerdict, "not-run")
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(w, `{"code":"full","message":"no free slot or connection","verdict":"not-run"}`)
}

// execute runs a request that arrived at a time, and responds to it.
func (b *backend) execute(w http.ResponseWriter, r *http.Request, arrived time.Time) {
	start := time.Now()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the connection broke before the whole request arrived
	}
	id := r.Header.Get(HeaderRequestID)
	key := r.Header.Get(HeaderIdempotencyKey)
	if key == "" {
		key = id
	}
	b.worker.recordRequest(key, arrived, isIdempotent(r))
	duration := b.serviceTime(r)
	time.Sleep(duration)
	b.worker.agent.Load().latency.add(b.serviceName(), start, time.Since(start))
	w.Header().Set(HeaderRequestID, id)
	w.Header().Set(HeaderWorker, b.worker.options.Host.Name)
	b.respond(w, id, ResponseBody(id, body, r.Header.Get(HeaderResponseSize)))
}

// isIdempotent reports whether the request may be executed more than once.
func isIdempotent(r *http.Request) bool {
	switch r.Method {
	case http.MethodPost, http.MethodPatch:
		return r.Header.Get(HeaderIdempotent) == "true" && r.Header.Get(HeaderIdempotencyKey) == ""
	}
	return true
}

// ResponseBody returns the response body that a request must get: its own body, or
// its id if that is empty, repeated up to the size in bytes. If size is not a
// number, it is not repeated.
func ResponseBody(id string, body []byte, size string) []byte {
	unit := body
	if len(unit) == 0 {
		unit = []byte(id + "\n")
	}
	n, err := strconv.Atoi(size)
	if err != nil {
		return unit
	}
	out := make([]byte, n)
	for i := range out {
		out[i] = unit[i%len(unit)]
	}
	return out
}

// respond writes the response to the request with this id, or half of it and breaks the connection if it is to be
// truncated.
func (b *backend) respond(w http.ResponseWriter, id string, data []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if b.truncations.Load() > 0 && b.truncations.Add(-1) >= 0 {
		b.worker.audit.ResponseTruncated(id)
		_, _ = w.Write(data[:len(data)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}

// serviceTime returns the time to spend on the request. It grows with the CPU shares
// of the runs on the worker, by the interference of their classes.
func (b *backend) serviceTime(r *http.Request) time.Duration {
	base := b.worker.options.ServiceTime
	if d, err := time.ParseDuration(r.Header.Get(HeaderServiceTime)); err == nil {
		base = d
	}
	_, shares := b.worker.agent.Load().Grants()
	slowdown := 1.0
	for class, share := range shares {
		slowdown += b.worker.options.Interference[class] * share
	}
	return time.Duration(float64(base) * slowdown)
}

// serviceName returns the name of the worker's first service, if it has any.
func (b *backend) serviceName() string {
	if s := b.worker.options.Host.Services; len(s) > 0 {
		return s[0]
	}
	return ""
}

// silenceConns makes all open connections silent until they are closed.
func (b *backend) silenceConns() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		c.silent.Store(true)
	}
}

// trackingListener records the accepted connections in the backend.
type trackingListener struct {
	net.Listener
	backend *backend
}

// Accept implements net.Listener.
func (l trackingListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, backend: l.backend}
	l.backend.mu.Lock()
	defer l.backend.mu.Unlock()
	l.backend.conns[c] = true
	return c, nil
}

// conn is a connection that loses all data in both directions once it is silent.
type conn struct {
	net.Conn
	backend *backend
	silent  atomic.Bool

	mu        sync.Mutex
	request   string // id of the latest request
	responded bool   // whether a part of its response was written
}

// begin notes the id of the request that the connection carries from now on.
func (c *conn) begin(request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request, c.responded = request, false
}

// Read implements net.Conn. On a silent connection it discards all data until an
// error.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn. On a silent connection it discards the data, and reports to
// the auditor that the response is truncated if a part of it was written before.
func (c *conn) Write(p []byte) (int, error) {
	if !c.silent.Load() {
		c.mu.Lock()
		c.responded = true
		c.mu.Unlock()
		return c.Conn.Write(p)
	}
	c.mu.Lock()
	truncated, request := c.responded, c.request
	c.responded = false
	c.mu.Unlock()
	if truncated {
		c.backend.worker.audit.ResponseTruncated(request)
	}
	return len(p), nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.backend.mu.Lock()
	delete(c.backend.conns, c)
	c.backend.mu.Unlock()
	return c.Conn.Close()
}
