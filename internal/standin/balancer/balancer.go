// Package balancer is a stand-in for the platform's balancer, for tests and
// the demo.
//
// It passes each TCP connection to the next entry host in turn that its
// regular check found ready, and never looks into the bytes:
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

// Target is an entry host.
type Target struct {
	Address  string `json:"address"` // for callers, ip:port
	CheckURL string `json:"check"`   // URL that answers 200 while it may be used
}

// Balancer spreads connections.
type Balancer struct {
	Address string        // ip:port
	Done    chan struct{} // closed when it has ended

	inner  net.Listener
	cancel context.CancelFunc

	mu    sync.Mutex
	ready []Target
	next  int
	conns map[net.Conn]bool
	used  map[string]string // entry host by the caller's address
}

// New balances over the targets; each is checked at every interval.
func New(address string, targets []Target, interval time.Duration) (*Balancer, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	b := &Balancer{
		Address: inner.Addr().String(),
		Done:    make(chan struct{}),
		inner:   inner,
		cancel:  cancel,
		conns:   make(map[net.Conn]bool),
		used:    make(map[string]string),
	}
	var parts sync.WaitGroup
	parts.Go(func() { b.check(ctx, targets, interval) })
	parts.Go(func() {
		for {
			c, err := inner.Accept()
			if err != nil {
				return
			}
			parts.Go(func() { b.relay(c) })
		}
	})
	go func() {
		parts.Wait()
		close(b.Done)
	}()
	return b, nil
}

// Close ends the balancer and its connections.
func (b *Balancer) Close() error {
	b.cancel()
	err := b.inner.Close()
	b.mu.Lock()
	for c := range b.conns {
		c.Close()
	}
	b.conns = nil
	b.mu.Unlock()
	<-b.Done
	return err
}

// ReadyCount returns how many entry hosts are in use.
func (b *Balancer) ReadyCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.ready)
}

// LastTarget returns the address of the entry host that the latest connection from
// the caller's address was passed to, or an empty string.
func (b *Balancer) LastTarget(caller string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used[caller]
}

func (b *Balancer) check(ctx context.Context, targets []Target, interval time.Duration) {
	client := &http.Client{Timeout: max(interval, time.Second), Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		ready := probe(ctx, client, targets)
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

// probe checks all targets at once and keeps their order.
func probe(ctx context.Context, client *http.Client, targets []Target) []Target {
	ok := make([]bool, len(targets))
	var all sync.WaitGroup
	for i, t := range targets {
		all.Go(func() { ok[i] = isReady(ctx, client, t.CheckURL) })
	}
	all.Wait()
	var out []Target
	for i, t := range targets {
		if ok[i] {
			out = append(out, t)
		}
	}
	return out
}

func isReady(ctx context.Context, client *http.Client, url string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	answer, err := client.Do(r)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

func (b *Balancer) relay(near net.Conn) {
	defer near.Close()
	if !b.keep(near) {
		return
	}
	defer b.forget(near)
	far := b.dial(near.RemoteAddr().String())
	if far == nil {
		return
	}
	defer far.Close()
	if !b.keep(far) {
		return
	}
	defer b.forget(far)
	var both sync.WaitGroup
	both.Go(func() { pipe(far, near) })
	both.Go(func() { pipe(near, far) })
	both.Wait()
}

// dial tries each ready entry host once, in turn.
func (b *Balancer) dial(caller string) net.Conn {
	for range b.ReadyCount() {
		t, ok := b.pick()
		if !ok {
			return nil
		}
		c, err := net.DialTimeout("tcp", t.Address, time.Second)
		if err == nil {
			b.mu.Lock()
			b.used[caller] = t.Address
			b.mu.Unlock()
			return c
		}
	}
	return nil
}

func (b *Balancer) pick() (Target, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return Target{}, false
	}
	b.next++
	return b.ready[b.next%len(b.ready)], true
}

func (b *Balancer) keep(c net.Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.conns == nil {
		return false
	}
	b.conns[c] = true
	return true
}

func (b *Balancer) forget(c net.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.conns, c)
}

func pipe(dst, src net.Conn) {
	_, err := io.Copy(dst, src)
	if t, ok := dst.(*net.TCPConn); ok && err == nil {
		_ = t.CloseWrite()
		return
	}
	dst.Close()
}
