package forwarder

import (
	"context"
	"sync"
)

// gate holds the requests in flight and closes for a planned stop.
type gate struct {
	lock   sync.Mutex
	flight map[int64]context.CancelCauseFunc
	serial int64
	closed bool
	empty  chan struct{} // closed when the gate is closed and nothing is in flight
}

func (g *gate) init() {
	g.flight = make(map[int64]context.CancelCauseFunc)
	g.empty = make(chan struct{})
}

// enter lets a request in. Its context ends with cause errStopped when the
// request is cut off.
func (g *gate) enter(parent context.Context) (ctx context.Context, leave func(), ok bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.closed {
		return nil, nil, false
	}
	ctx, cancel := context.WithCancelCause(parent)
	g.serial++
	id := g.serial
	g.flight[id] = cancel
	return ctx, func() {
		cancel(nil)
		g.leave(id)
	}, true
}

func (g *gate) leave(id int64) {
	g.lock.Lock()
	defer g.lock.Unlock()
	delete(g.flight, id)
	if g.closed && len(g.flight) == 0 {
		close(g.empty)
	}
}

// drain closes the gate, waits until nothing is in flight, and cuts off what
// still is when ctx is done.
func (g *gate) drain(ctx context.Context) (cut int) {
	g.shut()
	select {
	case <-g.empty:
		return 0
	case <-ctx.Done():
	}
	g.lock.Lock()
	defer g.lock.Unlock()
	for _, cancel := range g.flight {
		cancel(errStopped)
	}
	return len(g.flight)
}

func (g *gate) shut() {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.closed {
		return
	}
	g.closed = true
	if len(g.flight) == 0 {
		close(g.empty)
	}
}
