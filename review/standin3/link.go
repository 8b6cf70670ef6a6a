//go:build review3

package main

import (
	"net"
	"sync"
	"time"
)

// userTimeout is the TCP_USER_TIMEOUT of the entry hosts' connections to the store.
const userTimeout = 2500 * time.Millisecond

// cutLink is a link between an entry host and the store that can be partitioned silently. It loses what a
// network would lose: what is sent on a connection that was opened during a cut, and all of a connection that
// has had bytes of the host outstanding for userTimeout.
type cutLink struct {
	listener net.Listener
	target   string

	mu      sync.Mutex // guards the fields below
	isCut   bool
	changed chan struct{} // closed and replaced at each cut, heal and close
	isOver  bool
}

// newCutLink starts to relay connections to the target.
func newCutLink(target string) (*cutLink, error) {
	listener, err := net.Listen("tcp", freeLoopback())
	if err != nil {
		return nil, err
	}
	l := &cutLink{listener: listener, target: target, changed: make(chan struct{})}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.relay(c)
		}
	}()
	return l, nil
}

func (l *cutLink) address() string { return l.listener.Addr().String() }

// set cuts or heals the link.
func (l *cutLink) set(isCut, isOver bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut, l.isOver = isCut, isOver
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *cutLink) cut()  { l.set(true, false) }
func (l *cutLink) heal() { l.set(false, false) }

// Close ends the link.
func (l *cutLink) Close() error {
	l.set(false, true)
	return l.listener.Close()
}

// await waits while the link is cut, and reports whether it was.
func (l *cutLink) await() (wasCut bool) {
	for {
		l.mu.Lock()
		isCut, changed := l.isCut, l.changed
		l.mu.Unlock()
		if !isCut {
			return wasCut
		}
		wasCut = true
		<-changed
	}
}

// hasEnded reports whether the link is closed.
func (l *cutLink) hasEnded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isOver
}

// relay relays a connection of the host. One that is opened during a cut is reset at its end, and nothing sent
// on it arrives.
func (l *cutLink) relay(host net.Conn) {
	defer reset(host)
	if l.await() {
		return
	}
	store, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer reset(store)
	go l.copy(host, store, 0)
	l.copy(store, host, userTimeout)
}

// copy copies from one connection to the other until one ends. Bytes that a cut holds up for longer than the limit are lost
// with the connection; 0 is no limit.
func (l *cutLink) copy(to, from net.Conn, limit time.Duration) {
	data := make([]byte, 1<<16)
	for {
		n, err := from.Read(data)
		read := time.Now()
		l.await()
		if l.hasEnded() || limit != 0 && time.Since(read) > limit {
			reset(to)
			return
		}
		if n > 0 {
			if _, err := to.Write(data[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if c, ok := to.(*net.TCPConn); ok {
				_ = c.CloseWrite()
			}
			return
		}
	}
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
