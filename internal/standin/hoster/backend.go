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

// Headers that the backend server reads and writes.
const (
	HeaderRequestID      = "Dotterel-Request"     // the caller's id of the request, echoed
	HeaderServiceTime    = "Dotterel-Work"        // service time, duration text
	HeaderResponseSize   = "Dotterel-Answer-Size" // bytes of answer
	HeaderVerdict        = "Dotterel-Verdict"
	HeaderWorker         = "Dotterel-Worker" // that answered
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderIdempotent     = "Dotterel-Idempotent" // true: a POST or PATCH that may be repeated
)

// leaveGrace is how long a leaving worker may still get requests.
const leaveGrace = 5 * time.Second

// backend is the worker's backend server.
type backend struct {
	worker *Worker
	slots  chan struct{}
	open   atomic.Int64
	cut    atomic.Int64 // next answers that end half way

	mu    sync.Mutex
	conns map[*conn]bool
}

type overLimit struct{}

func newBackend(w *Worker) *backend {
	return &backend{
		worker: w,
		slots:  make(chan struct{}, w.options.Host.Slots),
		conns:  make(map[*conn]bool),
	}
}

// server builds the HTTP server that serves one listener.
func (b *backend) server() *http.Server {
	return &http.Server{
		Handler: http.HandlerFunc(b.serve),
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			if b.open.Add(1) > int64(b.worker.options.Host.Connections) {
				return context.WithValue(ctx, overLimit{}, true)
			}
			return ctx
		},
		ConnState: func(_ net.Conn, s http.ConnState) {
			if s == http.StateClosed || s == http.StateHijacked {
				b.open.Add(-1)
			}
		},
	}
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	b.worker.waitResumed(r.Context())
	if r.Context().Value(overLimit{}) != nil {
		w.Header().Set("Connection", "close")
		b.refuse(w, &b.worker.Counts.RefusedForConnections)
		return
	}
	if r.Method == http.MethodHead {
		w.WriteHeader(http.StatusNoContent) // a probe is no work and takes no slot
		return
	}
	select {
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	default:
		b.refuse(w, &b.worker.Counts.RefusedForSlots)
		return
	}
	b.execute(w, r)
}

func (b *backend) refuse(w http.ResponseWriter, count *atomic.Int64) {
	count.Add(1)
	w.Header().Set(HeaderVerdict, "not-run")
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(w, `{"code":"full","message":"no free slot or connection","verdict":"not-run"}`)
}

func (b *backend) execute(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the request never arrived whole
	}
	id := r.Header.Get(HeaderRequestID)
	key := r.Header.Get(HeaderIdempotencyKey)
	if key == "" {
		key = id
	}
	b.worker.executed(key, isIdempotent(r))
	took := b.serviceTime(r)
	time.Sleep(took)
	b.worker.agent.Load().meter.add(b.service(), began, time.Since(began))
	w.Header().Set(HeaderRequestID, id)
	w.Header().Set(HeaderWorker, b.worker.options.Host.Name)
	b.answer(w, ResponseBody(id, body, r.Header.Get(HeaderResponseSize)))
}

func isIdempotent(r *http.Request) bool {
	switch r.Method {
	case http.MethodPost, http.MethodPatch:
		return r.Header.Get(HeaderIdempotent) == "true" && r.Header.Get(HeaderIdempotencyKey) == ""
	}
	return true
}

// ResponseBody is the body that a request's answer must have: the request's body,
// or its id if it has none, repeated up to the size.
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

func (b *backend) answer(w http.ResponseWriter, data []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if b.cut.Load() > 0 && b.cut.Add(-1) >= 0 {
		_, _ = w.Write(data[:len(data)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}

// serviceTime grows with the processor share of batch runs.
func (b *backend) serviceTime(r *http.Request) time.Duration {
	base := b.worker.options.ServiceTime
	if d, err := time.ParseDuration(r.Header.Get(HeaderServiceTime)); err == nil {
		base = d
	}
	_, shares := b.worker.agent.Load().Grants()
	slow := 1.0
	for class, share := range shares {
		slow += b.worker.options.Interference[class] * share
	}
	return time.Duration(float64(base) * slow)
}

func (b *backend) service() string {
	if s := b.worker.options.Host.Services; len(s) > 0 {
		return s[0]
	}
	return ""
}

// silence lets every open connection go silent for good.
func (b *backend) silence() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		c.silent.Store(true)
	}
}

// tracked is a net.Listener whose connections can go silent.
type tracked struct {
	net.Listener
	backend *backend
}

func (t tracked) Accept() (net.Conn, error) {
	inner, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, backend: t.backend}
	t.backend.mu.Lock()
	defer t.backend.mu.Unlock()
	t.backend.conns[c] = true
	return c, nil
}

// conn loses all bytes both ways once it is silent.
type conn struct {
	net.Conn
	backend *backend
	silent  atomic.Bool
}

func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *conn) Close() error {
	c.backend.mu.Lock()
	delete(c.backend.conns, c)
	c.backend.mu.Unlock()
	return c.Conn.Close()
}
