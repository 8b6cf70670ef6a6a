package dialer

import (
	"net"
	"sync"
	"time"
)

// conn watches the progress of a connection and counts the bytes handed to it.
type conn struct {
	net.Conn
	silence time.Duration

	lock    sync.Mutex
	handed  int64 // bytes for which a write was begun
	sealed  bool  // no write may begin
	busy    bool  // a request is under way
	waiting bool  // for the caller's own body
	broken  bool
}

// begin starts the silence bound for a request and returns the mark for seal.
func (c *conn) begin() int64 {
	if c == nil {
		return 0
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	c.busy = true
	c.extend()
	return c.handed
}

// end lifts the bound: an idle connection has nothing to make progress with.
func (c *conn) end() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.busy = false
	c.extend()
}

func (c *conn) suspend() { c.setWaiting(true) }
func (c *conn) resume()  { c.setWaiting(false) }

func (c *conn) setWaiting(waiting bool) {
	if c == nil {
		return
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	c.waiting = waiting
	c.extend()
}

// seal forbids further writes and reports whether one began after mark.
func (c *conn) seal(mark int64) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.sealed = true
	return c.handed > mark
}

func (c *conn) isBroken() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.broken || c.sealed
}

// extend restarts the bound on reading; the lock is held.
func (c *conn) extend() {
	if !c.busy || c.waiting {
		_ = c.SetReadDeadline(time.Time{})
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(c.silence))
}

func (c *conn) Read(p []byte) (int, error) {
	c.progress(nil)
	n, err := c.Conn.Read(p)
	c.progress(err)
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	c.lock.Lock()
	if c.sealed {
		c.lock.Unlock()
		return 0, net.ErrClosed
	}
	c.handed += int64(len(p))
	_ = c.SetWriteDeadline(time.Now().Add(c.silence))
	c.lock.Unlock()
	n, err := c.Conn.Write(p)
	c.progress(err)
	return n, err
}

func (c *conn) progress(err error) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if err != nil {
		c.broken = true
		return
	}
	c.extend()
}

// Close closes the connection and forbids further writes.
func (c *conn) Close() error {
	c.lock.Lock()
	c.broken = true
	c.lock.Unlock()
	return c.Conn.Close()
}
