// Package delayer emulates the network links between failure domains: it relays TCP
// connections with a delay and a limited rate, and can cut them.
//
// # Model
//
// A [Link] has two directions, up and down, each with its own rate limit. All
// relays over a link share its rates and are cut together. A [Relay] listens on a
// loopback port and forwards connections to one address:
//
//	link := delayer.NewLink(30*time.Millisecond, 30e6/8)
//	relay, err := delayer.New("127.0.0.1:0", target, link)
//	link.Cut(delayer.Blackhole) // data is held until Heal, as if TCP retransmitted it
//
// A [Hub] offers links and relays to other processes over HTTP.
package delayer

import (
	"net"
	"sync"
	"time"
)

// chunkSize is the most that is read from a connection at once, in bytes.
const chunkSize = 16 << 10

// maxChunksInFlight is the maximum number of chunks on the link in one direction of a
// connection.
const maxChunksInFlight = 256

// dialTimeout bounds how long connecting to the target may take.
const dialTimeout = 5 * time.Second

// Relay forwards the connections to one port over a link to one address.
type Relay struct {
	Address string        // ip:port that it listens on
	Done    chan struct{} // closed once the relay and its connections have ended

	target   string
	link     *Link
	listener net.Listener
	closing  chan struct{} // closed by Close

	mu     sync.Mutex
	conns  map[net.Conn]bool // open connections on both sides
	closed bool
}

// New listens on address, such as 127.0.0.1:0, and relays to target over the link.
func New(address, target string, link *Link) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{
		Address:  listener.Addr().String(),
		Done:     make(chan struct{}),
		target:   target,
		link:     link,
		listener: listener,
		closing:  make(chan struct{}),
		conns:    make(map[net.Conn]bool),
	}
	link.addRelay(r)
	go func() {
		defer close(r.Done)
		var handlers sync.WaitGroup
		for {
			c, err := listener.Accept()
			if err != nil {
				break
			}
			handlers.Go(func() { r.relay(c) })
		}
		handlers.Wait()
	}()
	return r, nil
}

// Close stops listening, closes all connections and waits until they have ended.
func (r *Relay) Close() error {
	err := r.listener.Close()
	r.mu.Lock()
	if !r.closed {
		r.closed = true
		close(r.closing)
	}
	r.mu.Unlock()
	r.closeConns()
	<-r.Done
	return err
}

// closeConns closes all open connections.
func (r *Relay) closeConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.Close()
	}
}

// track records an open connection so that the relay can close it. It reports
// false after Close.
func (r *Relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.conns[c] = true
	return true
}

// closeConn closes a connection and removes it from the open ones.
func (r *Relay) closeConn(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	c.Close()
}

// relay connects a client to the target and copies both directions until both have
// ended.
func (r *Relay) relay(client net.Conn) {
	defer r.closeConn(client)
	if !r.track(client) || !r.crossLink() {
		resetOnClose(client)
		return
	}
	upstream, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		resetOnClose(client)
		return
	}
	defer r.closeConn(upstream)
	if !r.track(upstream) {
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { r.copyDirection(upstream, client, r.link.up) })
	directions.Go(func() { r.copyDirection(client, upstream, r.link.down) })
	directions.Wait()
}

// resetOnClose makes the Close of a TCP connection send a reset, so that its peer
// sees an error in place of the end of the stream.
func resetOnClose(c net.Conn) {
	var t *net.TCPConn
	if t, _ = c.(*net.TCPConn); t != nil {
		_ = t.SetLinger(0)
	}
}

// crossLink models the delay of opening a connection: it waits until the link isn't
// a blackhole and then for the one-way delay. It reports false if the link refuses
// connections or the relay closes.
func (r *Relay) crossLink() bool {
	if !r.waitOpen() {
		return false
	}
	time.Sleep(r.link.delay)
	return true
}

// waitOpen waits while the link is a blackhole. It reports false if the link is cut
// by Drop or the relay closes.
func (r *Relay) waitOpen() bool {
	for {
		mode, changed := r.link.cutMode()
		if mode != Blackhole {
			return mode == None
		}
		select {
		case <-changed:
		case <-r.closing:
			return false
		}
	}
}

// chunk is data on its way over the link.
type chunk struct {
	data []byte
	due  time.Time // when the last byte reaches the other end
}

// copyDirection copies src to dst over one direction of the link.
func (r *Relay) copyDirection(dst, src net.Conn, d *direction) {
	chunks := make(chan chunk, maxChunksInFlight)
	failed := make(chan struct{}) // closed when no more chunks are written
	var writer sync.WaitGroup
	writer.Go(func() {
		defer close(failed)
		r.writeChunks(dst, chunks)
	})
	defer writer.Wait()
	defer close(chunks)
	for {
		data := make([]byte, chunkSize)
		n, err := src.Read(data)
		if n > 0 {
			select {
			case chunks <- chunk{data[:n], d.reserve(n, r.link.rate).Add(r.link.delay)}:
			case <-failed:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// writeChunks writes each chunk when it is due, and closes dst for writing once
// chunks is closed.
func (r *Relay) writeChunks(dst net.Conn, chunks <-chan chunk) {
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		ok := r.waitOpen()
		if ok {
			_, err := dst.Write(c.data)
			ok = err == nil
		}
		if !ok {
			resetOnClose(dst)
			dst.Close()
			return
		}
	}
	if t, ok := dst.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}
