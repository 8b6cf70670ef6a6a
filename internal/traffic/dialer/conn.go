package dialer

import (
	"net"
	"sync"
	"time"
)

// progressConn is a net.Conn that fails when a request makes no progress for
// stallTimeout. It also counts the bytes handed to the connection, so that it is
// known whether a request can have reached the backend server.
type progressConn struct {
	net.Conn
	stallTimeout time.Duration

	lock    sync.Mutex
	written int64 // bytes of all writes that were started
	sealed  bool  // further writes fail
	busy    bool  // a request is in progress
	paused  bool  // the request waits for its caller's body, so the timeout does not apply
	broken  bool  // closed, or a read or write failed
}

// startRequest starts the stall timeout for a request. It returns the number of
// bytes written so far, for seal. A nil connection, not dialed yet, has written
// none.
func (c *progressConn) startRequest() int64 {
	if c == nil {
		return 0
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	c.busy = true
	c.resetDeadline()
	return c.written
}

// endRequest stops the stall timeout while the connection is idle.
func (c *progressConn) endRequest() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.busy = false
	c.resetDeadline()
}

func (c *progressConn) pauseTimeout()  { c.setPaused(true) }
func (c *progressConn) resumeTimeout() { c.setPaused(false) }

// setPaused stops or restarts the stall timeout during a request.
func (c *progressConn) setPaused(paused bool) {
	if c == nil {
		return
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	c.paused = paused
	c.resetDeadline()
}

// seal makes further writes fail and reports whether any was started since
// startRequest returned start.
func (c *progressConn) seal(start int64) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.sealed = true
	return c.written > start
}

// isClosed reports whether the connection can't carry another request.
func (c *progressConn) isClosed() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.broken || c.sealed
}

// resetDeadline restarts the stall timeout for reads if it applies. The lock must
// be held.
func (c *progressConn) resetDeadline() {
	if !c.busy || c.paused {
		_ = c.SetReadDeadline(time.Time{})
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(c.stallTimeout))
}

func (c *progressConn) Read(p []byte) (int, error) {
	c.recordProgress(nil)
	n, err := c.Conn.Read(p)
	c.recordProgress(err)
	return n, err
}

func (c *progressConn) Write(p []byte) (int, error) {
	c.lock.Lock()
	if c.sealed {
		c.lock.Unlock()
		return 0, net.ErrClosed
	}
	c.written += int64(len(p))
	_ = c.SetWriteDeadline(time.Now().Add(c.stallTimeout))
	c.lock.Unlock()
	n, err := c.Conn.Write(p)
	c.recordProgress(err)
	return n, err
}

// recordProgress restarts the stall timeout, or notes that the connection failed.
func (c *progressConn) recordProgress(err error) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if err != nil {
		c.broken = true
		return
	}
	c.resetDeadline()
}

// Close closes the connection.
func (c *progressConn) Close() error {
	c.lock.Lock()
	c.broken = true
	c.lock.Unlock()
	return c.Conn.Close()
}
