package shedder

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	unprovenTime = time.Second // after which a connection without a request so far goes before others
	writeStall   = time.Second // a write that takes longer doesn't keep its connection; an ordinary response fits the socket's buffer
	socketBuffer = 64 << 10    // bytes received and not read, and written and not sent, of a connection
	closeTime    = time.Second // for an evicted connection's goroutine to end
)

// Listener is a bounded net.Listener.
type Listener struct {
	net.Listener
	shedder *Shedder
	max     int

	mu     sync.Mutex
	open   map[*conn]struct{}
	ending int           // evicted connections whose goroutine hasn't ended
	ended  chan struct{} // receives after the end of such a goroutine
}

// Listener returns a listener that keeps at most maxConnections open. What the system receives
// and sends ahead for each of them is bounded by socketBuffer.
func (s *Shedder) Listener(l net.Listener, maxConnections int) *Listener {
	if err := boundBuffers(l); err != nil {
		s.log.Warn().Err(err).Msg("socket buffers not bounded")
	}
	return &Listener{Listener: l, shedder: s, max: maxConnections, open: make(map[*conn]struct{}), ended: make(chan struct{}, 1)}
}

// boundBuffers sets the sizes of a listening socket's buffers, which its connections inherit.
func boundBuffers(l net.Listener) error {
	socket, ok := l.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var set error
	err = raw.Control(func(fd uintptr) {
		set = errors.Join(
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, socketBuffer),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, socketBuffer),
		)
	})
	return errors.Join(err, set)
}

// conn is a connection of a caller.
type conn struct {
	net.Conn
	listener *Listener

	progress atomic.Int64 // time when bytes were received or a request ended, see clock
	writing  atomic.Int64 // time when a write began that hasn't ended, or 0
	serving  atomic.Bool  // a request was received whole and is being carried out
	proven   atomic.Bool  // a request was received whole

	isEvicted bool // guarded by Listener.mu
	isClosed  bool // guarded by Listener.mu
}

// epoch is the beginning of clock.
var epoch = time.Now()

// clock returns the monotonic time in nanoseconds.
func clock() int64 { return int64(time.Since(epoch)) }

// Accept waits for the next connection. If there are too many then, it closes another one.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, listener: l}
		c.progress.Store(clock())
		if l.admit(c) {
			return c, nil
		}
		l.shedder.report(connectionRefused, raw.RemoteAddr().String())
		_ = raw.Close() // nothing was read from it
	}
}

// admit adds a connection, and makes room for it if necessary. It reports false if every other
// connection has a request in progress.
func (l *Listener) admit(c *conn) bool {
	l.awaitEnds()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) >= l.max {
		victim := l.victim(clock())
		if victim == nil {
			return false
		}
		victim.isEvicted = true
		delete(l.open, victim)
		l.ending++
		l.shedder.report(connectionEvicted, victim.RemoteAddr().String())
		_ = victim.Conn.Close() // its goroutine ends by the error of its read or write
	}
	l.open[c] = struct{}{}
	return true
}

// awaitEnds waits while many evicted connections still have goroutines, whose memory counts.
func (l *Listener) awaitEnds() {
	if l.hasFewEnding() {
		return
	}
	timeout := time.After(closeTime)
	for !l.hasFewEnding() {
		select {
		case <-l.ended:
		case <-timeout:
			return
		}
	}
}

func (l *Listener) hasFewEnding() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ending < l.max
}

// victim returns the connection to close: the one that has made no progress for longest. Those
// that never had a whole request go first once they are older than unprovenTime. A connection
// with a request in progress stays, unless its response isn't taken.
func (l *Listener) victim(now int64) *conn {
	var oldest, unproven *conn
	for c := range l.open {
		if c.isBusy(now) {
			continue
		}
		if oldest == nil || c.progress.Load() < oldest.progress.Load() {
			oldest = c
		}
		if !c.proven.Load() && (unproven == nil || c.progress.Load() < unproven.progress.Load()) {
			unproven = c
		}
	}
	if unproven != nil && now-unproven.progress.Load() >= int64(unprovenTime) {
		return unproven
	}
	return oldest
}

// isBusy reports whether the connection has a request in progress, and its response is taken.
func (c *conn) isBusy(now int64) bool {
	if begin := c.writing.Load(); begin != 0 {
		return now-begin < int64(writeStall)
	}
	return c.serving.Load()
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.progress.Store(clock())
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Store(clock())
	defer c.writing.Store(0)
	return c.Conn.Write(p)
}

// CloseWrite lets the server close a connection without a reset, so that the caller can read
// the response.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	l := c.listener
	l.mu.Lock()
	if !c.isClosed {
		c.isClosed = true
		delete(l.open, c)
		if c.isEvicted {
			l.ending--
		}
	}
	l.mu.Unlock()
	select {
	case l.ended <- struct{}{}:
	default:
	}
	return c.Conn.Close()
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// ConnContext is for http.Server, and lets handlers find the connection.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connOf returns the connection of a request, or one without effect.
func connOf(r *http.Request) *conn {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		return c
	}
	return &conn{}
}

// setServing notes whether a request that was received whole is being carried out.
func (c *conn) setServing(on bool) {
	c.progress.Store(clock())
	c.serving.Store(on)
	if on {
		c.proven.Store(true)
	}
}

// Handler returns a handler that keeps connections open while next serves their requests.
func (s *Shedder) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		c.setServing(true)
		defer c.setServing(false)
		next.ServeHTTP(w, r)
	})
}
