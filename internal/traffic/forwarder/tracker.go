package forwarder

import (
	"context"
	"sync"
)

// requestTracker counts the requests in flight so that a planned stop can wait
// for them and cancel the rest.
type requestTracker struct {
	lock     sync.Mutex
	cancels  map[int64]context.CancelCauseFunc // by request id, one per request in flight
	lastID   int64
	draining bool
	drained  chan struct{} // closed when draining and no request is in flight
}

func (t *requestTracker) init() {
	t.cancels = make(map[int64]context.CancelCauseFunc)
	t.drained = make(chan struct{})
}

// begin registers a request and returns a context that is cancelled with cause
// errStopped if the request outlasts the drain. It returns false when draining.
// The caller must call end exactly once.
func (t *requestTracker) begin(parent context.Context) (ctx context.Context, end func(), ok bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.draining {
		return nil, nil, false
	}
	ctx, cancel := context.WithCancelCause(parent)
	t.lastID++
	id := t.lastID
	t.cancels[id] = cancel
	return ctx, func() {
		cancel(nil)
		t.end(id)
	}, true
}

// end removes a request.
func (t *requestTracker) end(id int64) {
	t.lock.Lock()
	defer t.lock.Unlock()
	delete(t.cancels, id)
	if t.draining && len(t.cancels) == 0 {
		close(t.drained)
	}
}

// drain refuses new requests and waits until none is in flight. When ctx ends
// first, it cancels the remaining requests and returns their number.
func (t *requestTracker) drain(ctx context.Context) (aborted int) {
	t.startDraining()
	select {
	case <-t.drained:
		return 0
	case <-ctx.Done():
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	for _, cancel := range t.cancels {
		cancel(errStopped)
	}
	return len(t.cancels)
}

// startDraining refuses new requests from now on.
func (t *requestTracker) startDraining() {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.draining {
		return
	}
	t.draining = true
	if len(t.cancels) == 0 {
		close(t.drained)
	}
}
