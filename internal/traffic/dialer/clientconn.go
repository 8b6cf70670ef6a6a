package dialer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// VerdictHeader is the response header with the verdict. A backend server that sets
// it to "not-run" on an error status thereby states that it has not run the
// request.
const VerdictHeader = classifier.Header

// clientConn is one connection to a backend server, with the HTTP transport that
// uses it.
type clientConn struct {
	transport *http.Transport
	options   *Options
	address   string
	createdAt time.Time // shortly before the connection is opened
	idleSince time.Time // time of the last return to the pool

	lock   sync.Mutex
	conn   *progressConn // nil before the first request
	closed bool          // close was called, so dial fails
}

// newClientConn returns a connection that is opened by its first request.
func newClientConn(o *Options, address string) *clientConn {
	c := &clientConn{options: o, address: address, createdAt: time.Now()}
	c.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			return c.dial(ctx, network)
		},
		MaxConnsPerHost:    1,
		DisableCompression: true,
		Protocols:          new(http.Protocols),
	}
	c.transport.Protocols.SetHTTP1(true)
	return c
}

// dial opens the connection for the transport. It fails the second time: over a
// second connection the transport would resend requests that may have run.
func (c *clientConn) dial(ctx context.Context, network string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.ConnectTimeout)
	defer cancel()
	if c.hasDialed() {
		return nil, errors.New("dialer: connection was closed by the backend server")
	}
	raw, err := c.options.Dial(ctx, network, c.address)
	if err != nil {
		return nil, err
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.closed {
		raw.Close()
		return nil, net.ErrClosed
	}
	c.conn = &progressConn{Conn: raw, stallTimeout: c.options.StallTimeout}
	c.conn.startRequest() // roundTrip began before the connection existed
	return c.conn, nil
}

// hasDialed reports whether the connection was opened or closed before.
func (c *clientConn) hasDialed() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.conn != nil || c.closed
}

// netConn returns the connection, nil before the first request.
func (c *clientConn) netConn() *progressConn {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.conn
}

// roundTrip sends the request and waits for the response headers. The transport
// resends some failed requests by itself, such as a POST with an Idempotency-Key,
// but only over a new connection, which dial refuses.
func (c *clientConn) roundTrip(r *http.Request) (*http.Response, error) {
	conn := c.netConn()
	start := conn.startRequest()
	out := r.WithContext(r.Context())
	out.GetBody = nil
	if out.Body != nil && out.Body != http.NoBody {
		out.Body = &requestBody{ReadCloser: out.Body, conn: c}
	}
	response, err := c.transport.RoundTrip(out)
	if err == nil {
		return response, nil
	}
	return nil, c.requestError(r.Context(), err, start)
}

// requestError returns the error of a failed request, with its verdict. It seals
// the connection first, so that no byte can be written after the verdict.
func (c *clientConn) requestError(ctx context.Context, err error, start int64) error {
	out := &classifier.Error{Status: http.StatusBadGateway, Code: "broken", Message: "connection to the backend server failed", Err: err}
	c.close()
	if conn := c.netConn(); conn == nil || !conn.seal(start) {
		out.Verdict = classifier.NotRun
		out.Status = http.StatusServiceUnavailable
		out.Code = "unreachable"
		out.Message = "no byte of the request was sent"
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		out.Status = http.StatusGatewayTimeout
		out.Code = "deadline"
		out.Message = "the deadline passed before the answer"
	case ctx.Err() != nil:
		out.Code = "cancelled"
		out.Message = "the request was cancelled before the answer"
		out.Err = context.Cause(ctx)
	case errors.Is(err, os.ErrDeadlineExceeded):
		out.Status = http.StatusGatewayTimeout
		out.Code = "silent"
		out.Message = "the connection made no progress"
	}
	return out
}

// isUsable reports whether the connection can carry another request.
func (c *clientConn) isUsable() bool {
	conn := c.netConn()
	return conn != nil && !conn.isClosed() && time.Since(c.createdAt) < c.options.MaxAge
}

// probe reports whether the backend server responds over the connection.
func (c *clientConn) probe(ctx context.Context) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodHead, "http://"+c.address+HealthPath, nil)
	if err != nil {
		return false
	}
	response, err := c.roundTrip(r)
	if err != nil {
		return false
	}
	response.Body.Close()
	c.netConn().endRequest()
	return true
}

// close closes the connection, or keeps it from being opened.
func (c *clientConn) close() {
	c.lock.Lock()
	c.closed = true
	conn := c.conn
	c.lock.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
	c.transport.CloseIdleConnections()
}

// refusalError returns the error for a response by which the backend server
// refuses the request, and nil for any other response.
func refusalError(response *http.Response) error {
	if response.StatusCode < http.StatusBadRequest || response.Header.Get(VerdictHeader) != classifier.NotRun.String() {
		return nil
	}
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	return &classifier.Error{
		Verdict:    classifier.NotRun,
		Status:     http.StatusServiceUnavailable,
		Code:       "refused",
		Message:    "the backend server refused with status " + strconv.Itoa(response.StatusCode),
		RetryAfter: time.Duration(max(seconds, 0)) * time.Second,
	}
}

// responseBody returns the connection to the pool when the response is closed.
type responseBody struct {
	io.ReadCloser
	conn       *clientConn
	pool       *Pool
	complete   bool // read to the end
	closeAfter bool // the backend server closes the connection after the response
	once       sync.Once
}

func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.complete = true
	}
	return n, err
}

// Close returns the connection to the pool after a complete response. Otherwise it
// closes the connection.
func (b *responseBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() {
		if !b.complete || b.closeAfter {
			b.pool.drop(b.conn)
			return
		}
		b.conn.netConn().endRequest()
		b.pool.put(b.conn)
	})
	return err
}

// requestBody is the body of a request. It pauses the stall timeout while it
// waits for data from the caller.
type requestBody struct {
	io.ReadCloser
	conn *clientConn
}

func (b *requestBody) Read(p []byte) (int, error) {
	conn := b.conn.netConn()
	conn.pauseTimeout()
	defer conn.resumeTimeout()
	return b.ReadCloser.Read(p)
}
