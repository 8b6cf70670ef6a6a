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

// VerdictHeader carries a verdict in answers. A backend server that sets it to
// "not-run" on an error status refuses the request explicitly.
const VerdictHeader = classifier.Header

// carrier is one connection with the transport that speaks HTTP over it.
type carrier struct {
	transport *http.Transport
	options   *Options
	address   string
	opened    time.Time
	used      time.Time // last returned to the pool

	lock   sync.Mutex
	conn   *conn // nil before the first request
	closed bool
}

func newCarrier(o *Options, address string) *carrier {
	c := &carrier{options: o, address: address, opened: time.Now()}
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

// dial opens the carrier's connection, once: over a second one the transport
// would repeat requests that may have run.
func (c *carrier) dial(ctx context.Context, network string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.ConnectTimeout)
	defer cancel()
	if c.isUsed() {
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
	c.conn = &conn{Conn: raw, silence: c.options.StallTimeout}
	c.conn.begin()
	return c.conn, nil
}

func (c *carrier) isUsed() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.conn != nil || c.closed
}

func (c *carrier) current() *conn {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.conn
}

// roundTrip sends the request and waits for the head of the answer. The
// transport repeats requests by itself that look replayable to it, such as a
// POST with an Idempotency-Key, but only over another connection, and dial
// allows no second one.
func (c *carrier) roundTrip(r *http.Request) (*http.Response, error) {
	before := c.current()
	mark := before.begin()
	out := r.WithContext(r.Context())
	out.GetBody = nil
	if out.Body != nil && out.Body != http.NoBody {
		out.Body = &upload{ReadCloser: out.Body, carrier: c}
	}
	answer, err := c.transport.RoundTrip(out)
	if err == nil {
		return answer, nil
	}
	return nil, c.failure(r.Context(), err, mark)
}

// failure gives the verdict. Sealing the connection first makes it final: a
// write that comes later fails.
func (c *carrier) failure(ctx context.Context, err error, mark int64) error {
	out := &classifier.Error{Status: http.StatusBadGateway, Code: "broken", Message: "connection to the backend server failed", Err: err}
	c.close()
	if conn := c.current(); conn == nil || !conn.seal(mark) {
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

// usable reports whether the carrier may take another request.
func (c *carrier) usable() bool {
	conn := c.current()
	return conn != nil && !conn.isBroken() && time.Since(c.opened) < c.options.MaxAge
}

func (c *carrier) probe(ctx context.Context) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodHead, "http://"+c.address+HealthPath, nil)
	if err != nil {
		return false
	}
	answer, err := c.roundTrip(r)
	if err != nil {
		return false
	}
	answer.Body.Close()
	c.current().end()
	return true
}

func (c *carrier) close() {
	c.lock.Lock()
	c.closed = true
	conn := c.conn
	c.lock.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
	c.transport.CloseIdleConnections()
}

// refused returns the failure for an explicit refusal, nil for other answers.
func refused(answer *http.Response) error {
	if answer.StatusCode < http.StatusBadRequest || answer.Header.Get(VerdictHeader) != classifier.NotRun.String() {
		return nil
	}
	seconds, _ := strconv.Atoi(answer.Header.Get("Retry-After"))
	return &classifier.Error{
		Verdict:    classifier.NotRun,
		Status:     http.StatusServiceUnavailable,
		Code:       "refused",
		Message:    "the backend server refused with status " + strconv.Itoa(answer.StatusCode),
		RetryAfter: time.Duration(max(seconds, 0)) * time.Second,
	}
}

// body gives the carrier back at the end of the answer.
type body struct {
	io.ReadCloser
	carrier *carrier
	pool    *Pool
	whole   bool
	last    bool // the backend server closes the connection
	once    sync.Once
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.whole = true
	}
	return n, err
}

// Close returns the connection after a whole answer and closes it otherwise.
func (b *body) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() {
		if !b.whole || b.last {
			b.pool.drop(b.carrier)
			return
		}
		b.carrier.current().end()
		b.pool.put(b.carrier)
	})
	return err
}

// upload suspends the silence bound while the caller's body is awaited.
type upload struct {
	io.ReadCloser
	carrier *carrier
}

func (u *upload) Read(p []byte) (int, error) {
	conn := u.carrier.current()
	conn.suspend()
	defer conn.resume()
	return u.ReadCloser.Read(p)
}
