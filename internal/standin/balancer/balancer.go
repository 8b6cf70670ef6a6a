// Package balancer is a stand-in for the platform's load balancer, for tests and
// the demo.
//
// It forwards TCP connections round robin to the entry hosts that passed their
// latest readiness check, and doesn't interpret the bytes:
//
//	b, err := balancer.New("127.0.0.1:0", targets, 200*time.Millisecond)
//	defer b.Close()
package balancer

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Target is an entry host to which connections are forwarded.
type Target struct {
	Address  string `json:"address"` // ip:port at which the entry host serves callers
	CheckURL string `json:"check"`   // URL that returns status 200 while the entry host is ready
}

// Balancer forwards connections to entry hosts that are ready.
type Balancer struct {
	Address string        // ip:port
	Done    chan struct{} // closed once Close has ended all connections

	listener net.Listener
	cancel   context.CancelFunc

	mu          sync.Mutex
	ready       []Target          // targets that passed the latest check
	next        int               // advances with each connection; modulo len(ready), the index of its target
	conns       map[net.Conn]bool // open connections on both sides; nil after Close
	lastTargets map[string]string // address of the entry host by the caller's address
}

// New listens on address and balances over the targets, all of which it checks at
// once and then at each interval.
func New(address string, targets []Target, interval time.Duration) (*Balancer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	b := &Balancer{
		Address:     listener.Addr().String(),
		Done:        make(chan struct{}),
		listener:    listener,
		cancel:      cancel,
		conns:       make(map[net.Conn]bool),
		lastTargets: make(map[string]string),
	}
	var running sync.WaitGroup
	running.Go(func() { b.checkTargets(ctx, targets, interval) })
	running.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			running.Go(func() { b.relay(c) })
		}
	})
	go func() {
		running.Wait()
		close(b.Done)
	}()
	return b, nil
}

// Close stops listening, closes all connections and waits until they have ended.
func (b *Balancer) Close() error {
	b.cancel()
	err := b.listener.Close()
	b.mu.Lock()
	for c := range b.conns {
		c.Close()
	}
	b.conns = nil
	b.mu.Unlock()
	<-b.Done
	return err
}

// ReadyCount returns how many entry hosts passed the latest check.
func (b *Balancer) ReadyCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.ready)
}

// LastTarget returns the address of the entry host to which the latest connection
// from the caller's address was forwarded, or an empty string.
func (b *Balancer) LastTarget(caller string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lastTargets[caller]
}

// checkTargets updates the ready targets at each interval until ctx ends.
func (b *Balancer) checkTargets(ctx context.Context, targets []Target, interval time.Duration) {
	client := &http.Client{Timeout: max(interval, time.Second), Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		ready := readyTargets(ctx, client, targets)
		b.mu.Lock()
		b.ready = ready
		b.mu.Unlock()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// readyTargets checks all targets concurrently and returns those that are ready, in
// their order.
func readyTargets(ctx context.Context, client *http.Client, targets []Target) []Target {
	ok := make([]bool, len(targets))
	var checks sync.WaitGroup
	for i, t := range targets {
		checks.Go(func() { ok[i] = isReady(ctx, client, t.CheckURL) })
	}
	checks.Wait()
	var out []Target
	for i, t := range targets {
		if ok[i] {
			out = append(out, t)
		}
	}
	return out
}

// isReady reports whether the URL returns status 200.
func isReady(ctx context.Context, client *http.Client, url string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := client.Do(r)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// relay forwards a client's connection to an entry host until both directions
// have ended.
func (b *Balancer) relay(client net.Conn) {
	defer client.Close()
	if !b.track(client) {
		return
	}
	defer b.untrack(client)
	upstream := b.dialTarget(client.RemoteAddr().String())
	if upstream == nil {
		return
	}
	defer upstream.Close()
	if !b.track(upstream) {
		return
	}
	defer b.untrack(upstream)
	var directions sync.WaitGroup
	directions.Go(func() { copyHalf(upstream, client) })
	directions.Go(func() { copyHalf(client, upstream) })
	directions.Wait()
}

// dialTarget connects to the next ready entry host and tries as many in turn as
// are ready. It returns nil if none accepts.
func (b *Balancer) dialTarget(caller string) net.Conn {
	for range b.ReadyCount() {
		t, ok := b.nextTarget()
		if !ok {
			return nil
		}
		c, err := net.DialTimeout("tcp", t.Address, time.Second)
		if err == nil {
			b.mu.Lock()
			b.lastTargets[caller] = t.Address
			b.mu.Unlock()
			return c
		}
	}
	return nil
}

// nextTarget returns the next ready target in round-robin order, if there is one.
func (b *Balancer) nextTarget() (Target, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return Target{}, false
	}
	b.next++
	return b.ready[b.next%len(b.ready)], true
}

// track records an open connection so that Close can close it. It reports false
// after Close.
func (b *Balancer) track(c net.Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.conns == nil {
		return false
	}
	b.conns[c] = true
	return true
}

// untrack removes a connection that its owner closes.
func (b *Balancer) untrack(c net.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.conns, c)
}

// copyHalf copies src to dst and then closes dst for writing, or as a whole after
// an error.
func copyHalf(dst, src net.Conn) {
	_, err := io.Copy(dst, src)
	if t, ok := dst.(*net.TCPConn); ok && err == nil {
		_ = t.CloseWrite()
		return
	}
	dst.Close()
}
