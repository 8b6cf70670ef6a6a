// Package delayer relays TCP connections over a link with a delay, a limited
// rate and a switch, as between failure domains.
//
// # Model
//
// A [Link] has two directions; all relays that lead over it share its rate
// and its cut. A [Relay] listens on a loopback port and forwards to one
// address:
//
//	link := delayer.NewLink(30*time.Millisecond, 30e6/8)
//	relay, err := delayer.New("127.0.0.1:0", target, link)
//	link.Cut(delayer.Blackhole) // bytes wait until Heal, as TCP sends them again
package delayer

import (
	"net"
	"sync"
	"time"
)

// chunk is the most that is read at once, in bytes.
const chunk = 16 << 10

// window bounds the bytes in flight in one direction of a connection, in chunks.
const window = 256

// dialTimeout bounds the connection to the target.
const dialTimeout = 5 * time.Second

// Relay forwards one port to one address.
type Relay struct {
	Address string        // ip:port that it listens on
	Done    chan struct{} // closed when it has ended

	target string
	link   *Link
	inner  net.Listener
	stop   chan struct{}

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

// New relays from address, such as 127.0.0.1:0, to target over the link.
func New(address, target string, link *Link) (*Relay, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{
		Address: inner.Addr().String(),
		Done:    make(chan struct{}),
		target:  target,
		link:    link,
		inner:   inner,
		stop:    make(chan struct{}),
		conns:   make(map[net.Conn]bool),
	}
	link.add(r)
	go func() {
		defer close(r.Done)
		var relays sync.WaitGroup
		for {
			c, err := inner.Accept()
			if err != nil {
				break
			}
			relays.Go(func() { r.relay(c) })
		}
		relays.Wait()
	}()
	return r, nil
}

// Close ends the relay and its connections.
func (r *Relay) Close() error {
	err := r.inner.Close()
	r.mu.Lock()
	if !r.closed {
		r.closed = true
		close(r.stop)
	}
	r.mu.Unlock()
	r.drop()
	<-r.Done
	return err
}

func (r *Relay) drop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.Close()
	}
}

// keep registers a connection, so that it can be dropped.
func (r *Relay) keep(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.conns[c] = true
	return true
}

func (r *Relay) forget(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	c.Close()
}

func (r *Relay) relay(near net.Conn) {
	defer r.forget(near)
	if !r.keep(near) || !r.passes() {
		reset(near)
		return
	}
	far, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		reset(near)
		return
	}
	defer r.forget(far)
	if !r.keep(far) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { r.copy(far, near, r.link.up) })
	both.Go(func() { r.copy(near, far, r.link.down) })
	both.Wait()
}

// reset ends a connection so that its peer sees an error.
func reset(c net.Conn) {
	var t *net.TCPConn
	if t, _ = c.(*net.TCPConn); t != nil {
		_ = t.SetLinger(0)
	}
}

// passes waits for a way over the link. It reports false if there is none.
func (r *Relay) passes() bool {
	if !r.await() {
		return false
	}
	time.Sleep(r.link.delay)
	return true
}

// await waits while the link swallows everything. It reports false if the
// link refuses or the relay ends.
func (r *Relay) await() bool {
	for {
		cut, changed := r.link.present()
		if cut != Blackhole {
			return cut == None
		}
		select {
		case <-changed:
		case <-r.stop:
			return false
		}
	}
}

type packet struct {
	data []byte
	due  time.Time
}

// copy moves bytes from src to dst over one direction of the link.
func (r *Relay) copy(dst, src net.Conn, d *direction) {
	packets := make(chan packet, window)
	stop := make(chan struct{})
	var writer sync.WaitGroup
	writer.Go(func() {
		defer close(stop)
		r.deliver(dst, packets)
	})
	defer writer.Wait()
	defer close(packets)
	for {
		data := make([]byte, chunk)
		n, err := src.Read(data)
		if n > 0 {
			select {
			case packets <- packet{data[:n], d.reserve(n, r.link.rate).Add(r.link.delay)}:
			case <-stop:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// deliver writes packets when they are due and closes the direction at the
// end.
func (r *Relay) deliver(dst net.Conn, packets <-chan packet) {
	for p := range packets {
		time.Sleep(time.Until(p.due))
		ok := r.await()
		if ok {
			_, err := dst.Write(p.data)
			ok = err == nil
		}
		if !ok {
			reset(dst)
			dst.Close()
			return
		}
	}
	if t, ok := dst.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}
