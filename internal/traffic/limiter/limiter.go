// Package limiter admits requests to a limited number of slots. Tenants share the
// slots in weighted fair order, and requests that would miss their deadline are
// refused early.
//
// # Model
//
// A slot is whatever Request.Take returns, such as a slot of a backend server. A
// request that finds none waits in the queue of its tenant and class. When a slot
// comes free, it goes to the tenant that has received least in proportion to its
// weight; within a tenant, the classes take turns.
//
//	slot, err := l.Acquire(ctx, limiter.Request[*router.Slot]{
//		Service: "desk", Tenant: "minara", Class: "hold", Deadline: t,
//		Take: func(bool) (*router.Slot, error) { return r.Take(table, q) },
//	})
//	...
//	l.Release("desk", held)
//
// # Refusal
//
// A request is refused on arrival when its queue is full, or when the expected
// wait plus the mean time for which a slot is held goes beyond its deadline. A
// waiting request is refused as soon as its remaining time is shorter than that
// mean. All refusals have verdict NotRun and a RetryAfter.
package limiter

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// ErrBusy is returned, possibly wrapped, by Request.Take when no slot is free now
// but waiting may help.
var ErrBusy = errors.New("limiter: no slot is free")

// Request asks for a slot.
type Request[T any] struct {
	Service  string
	Tenant   string
	Class    string
	Weight   int // relative share of the service when tenants compete, at least 1
	Deadline time.Time
	// Take returns a free slot, or ErrBusy if there is none now. Any other
	// error ends the request. late means that the request would otherwise be
	// refused, so a costlier slot is acceptable. Take must not block and must
	// not call the limiter.
	Take func(late bool) (T, error)
}

// Options configure a Limiter.
type Options struct {
	MaxQueue int              // most waiting requests of each tenant and class; 0 means that none waits
	Now      func() time.Time // nil means time.Now
}

// Limiter admits requests of all services.
type Limiter[T any] struct {
	Options Options

	lock     sync.Mutex
	services map[string]*service[T]
}

// New returns an empty limiter.
func New[T any](o Options) *Limiter[T] {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Limiter[T]{Options: o, services: make(map[string]*service[T])}
}

// Acquire returns a slot, waiting in the queue if necessary. The caller must call
// Release when it gives the slot back. Errors are those of ctx, errors of Take, or
// *classifier.Error values with verdict NotRun.
func (l *Limiter[T]) Acquire(ctx context.Context, r Request[T]) (T, error) {
	w, slot, err := l.acquireOrQueue(&r)
	if w == nil {
		return slot, err
	}
	timer := time.NewTimer(w.refuseAt.Sub(l.Options.Now()))
	defer timer.Stop()
	for {
		select {
		case <-w.done:
			return w.slot, w.err
		case <-ctx.Done():
			return l.cancel(w, context.Cause(ctx))
		case <-timer.C:
			if l.tryLate(w) {
				continue
			}
			slot, err := l.cancel(w, l.refusalError(&r, "late", "the deadline would be missed"))
			return slot, err
		}
	}
}

// TryAcquire returns a slot if one is free and no request waits, otherwise
// ErrBusy.
func (l *Limiter[T]) TryAcquire(r Request[T]) (T, error) {
	l.lock.Lock()
	defer l.lock.Unlock()
	s := l.service(r.Service)
	if s.waiting > 0 {
		var zero T
		return zero, ErrBusy
	}
	slot, err := r.Take(false)
	s.recordAcquire(s.tenant(r.Tenant, r.Weight), err)
	return slot, err
}

// acquireOrQueue returns a slot, an error, or the waiter that it queued.
func (l *Limiter[T]) acquireOrQueue(r *Request[T]) (*waiter[T], T, error) {
	l.lock.Lock()
	defer l.lock.Unlock()
	now := l.Options.Now()
	s := l.service(r.Service)
	t := s.tenant(r.Tenant, r.Weight)
	if s.waiting == 0 {
		slot, err := r.Take(false)
		if !errors.Is(err, ErrBusy) {
			s.recordAcquire(t, err)
			return nil, slot, err
		}
	}
	wait := s.expectedWait(t)
	if now.Add(wait + s.holdTime()).After(r.Deadline) {
		slot, err := r.Take(true)
		if err == nil {
			s.recordAcquire(t, nil)
			return nil, slot, nil
		}
		return nil, slot, s.refusalError("late", "the deadline would be missed", wait)
	}
	queue := t.queue(r.Class)
	if len(queue.waiters) >= l.Options.MaxQueue {
		var zero T
		return nil, zero, s.refusalError("overloaded", "the queue of the tenant and class is full", wait)
	}
	w := &waiter[T]{request: r, queue: queue, tenant: t, done: make(chan struct{}), refuseAt: r.Deadline.Add(-s.holdTime())}
	queue.waiters = append(queue.waiters, w)
	t.waiting++
	s.waiting++
	var zero T
	return w, zero, nil
}

// Release tells the limiter that a slot of the service came free, and how long it
// was held; 0 means that it was not used. Waiting requests get the free slots.
func (l *Limiter[T]) Release(service string, held time.Duration) {
	l.lock.Lock()
	defer l.lock.Unlock()
	s := l.service(service)
	s.inUse--
	s.observeHold(held)
	l.dispatchAll()
}

// Dispatch gives free slots to waiting requests. It is for slots that came free
// without a call of Release, such as newly leased ones.
func (l *Limiter[T]) Dispatch() {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.dispatchAll()
}

// dispatchAll serves the queues of all services, since services can share
// backend servers. The lock must be held.
func (l *Limiter[T]) dispatchAll() {
	for _, s := range l.services {
		for s.waiting > 0 && s.dispatchOne() {
		}
	}
}

// tryLate tries the costlier slots for a request that is about to be refused. It
// reports whether the request is finished.
func (l *Limiter[T]) tryLate(w *waiter[T]) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	if w.finished {
		return true
	}
	slot, err := w.request.Take(true)
	if err != nil {
		return false
	}
	s := l.services[w.request.Service]
	s.finish(w, slot, nil)
	return true
}

// cancel removes the waiter with the error, unless it has got a slot meanwhile.
func (l *Limiter[T]) cancel(w *waiter[T], err error) (T, error) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if !w.finished {
		var zero T
		l.services[w.request.Service].finish(w, zero, err)
	}
	return w.slot, w.err
}

// refusalError returns the error for a waiting request that is refused.
func (l *Limiter[T]) refusalError(r *Request[T], code, message string) error {
	l.lock.Lock()
	defer l.lock.Unlock()
	s := l.services[r.Service]
	return s.refusalError(code, message, s.expectedWait(s.tenant(r.Tenant, r.Weight)))
}

// service returns the queues of the service; the lock must be held.
func (l *Limiter[T]) service(name string) *service[T] {
	s := l.services[name]
	if s == nil {
		s = &service[T]{tenants: make(map[string]*tenant[T])}
		l.services[name] = s
	}
	return s
}

func (s *service[T]) refusalError(code, message string, wait time.Duration) error {
	return &classifier.Error{
		Verdict:    classifier.NotRun,
		Status:     http.StatusServiceUnavailable,
		Code:       code,
		Message:    message,
		RetryAfter: max(wait, minRetryAfter),
	}
}

const minRetryAfter = 100 * time.Millisecond
