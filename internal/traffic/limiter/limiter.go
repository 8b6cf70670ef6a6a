// Package limiter admits requests to the places of a service in weighted fair
// order and refuses early those that would miss their deadline.
//
// # Model
//
// A place is whatever Request.Take returns, such as a slot of a backend server.
// A request that finds none waits in the queue of its tenant and class. When a
// place comes free the tenant that has had least for its weight is served;
// within a tenant its classes take turns.
//
//	place, err := l.Acquire(ctx, limiter.Request[*router.Place]{
//		Service: "desk", Tenant: "minara", Class: "hold", Deadline: t,
//		Take: func(bool) (*router.Place, error) { return r.Take(table, q) },
//	})
//	...
//	l.Release("desk", held)
//
// # Refusal
//
// A request is refused at once, never held back, when its queue is full or
// when the expected wait and the mean time for which places are held exceed
// its deadline. A waiting request is refused as soon as its remaining time no
// longer covers that mean. All refusals have verdict NotRun and say when to
// come back.
package limiter

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// ErrBusy is wrapped by errors of Request.Take that waiting may cure.
var ErrBusy = errors.New("limiter: no place is free")

// Request asks for a place.
type Request[T any] struct {
	Service  string
	Tenant   string
	Class    string
	Weight   int // share under contention, at least 1
	Deadline time.Time
	// Take returns a free place. It must not wait and must not call the
	// limiter. Late says that the request would otherwise be refused, so that
	// a costlier place will do. An error that is not ErrBusy ends the request.
	Take func(late bool) (T, error)
}

// Options bound the queues.
type Options struct {
	MaxQueue int              // waiting requests for each tenant and class; 0 lets none wait
	Now      func() time.Time // time.Now if nil
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

// Acquire returns a place, waiting for one if need be. Failures other than
// those of ctx are *classifier.Error values or errors of Take.
func (l *Limiter[T]) Acquire(ctx context.Context, q Request[T]) (T, error) {
	w, place, err := l.enter(&q)
	if w == nil {
		return place, err
	}
	timer := time.NewTimer(w.giveUp.Sub(l.Options.Now()))
	defer timer.Stop()
	for {
		select {
		case <-w.done:
			return w.place, w.err
		case <-ctx.Done():
			return l.abandon(w, context.Cause(ctx))
		case <-timer.C:
			if l.takeLate(w) {
				continue
			}
			place, err := l.abandon(w, l.refusal(&q, "late", "the deadline would be missed"))
			return place, err
		}
	}
}

// TryAcquire takes a place only if one is free and nobody waits. It returns ErrBusy
// otherwise.
func (l *Limiter[T]) TryAcquire(q Request[T]) (T, error) {
	l.lock.Lock()
	defer l.lock.Unlock()
	s := l.service(q.Service)
	if s.waiting > 0 {
		var none T
		return none, ErrBusy
	}
	place, err := q.Take(false)
	s.charge(s.tenant(q.Tenant, q.Weight), err)
	return place, err
}

// enter takes a place at once, or queues the request, or refuses it.
func (l *Limiter[T]) enter(q *Request[T]) (*waiter[T], T, error) {
	l.lock.Lock()
	defer l.lock.Unlock()
	now := l.Options.Now()
	s := l.service(q.Service)
	t := s.tenant(q.Tenant, q.Weight)
	if s.waiting == 0 {
		place, err := q.Take(false)
		if !errors.Is(err, ErrBusy) {
			s.charge(t, err)
			return nil, place, err
		}
	}
	wait := s.expectedWait(t)
	if now.Add(wait + s.held()).After(q.Deadline) {
		place, err := q.Take(true)
		if err == nil {
			s.charge(t, nil)
			return nil, place, nil
		}
		return nil, place, s.refusal("late", "the deadline would be missed", wait)
	}
	queue := t.queue(q.Class)
	if len(queue.waiters) >= l.Options.MaxQueue {
		var none T
		return nil, none, s.refusal("overloaded", "the queue of the tenant and class is full", wait)
	}
	w := &waiter[T]{request: q, queue: queue, tenant: t, done: make(chan struct{}), giveUp: q.Deadline.Add(-s.held())}
	queue.waiters = append(queue.waiters, w)
	t.waiting++
	s.waiting++
	var none T
	return w, none, nil
}

// Release says that a place of the service came free after it was held for
// some time, and gives it to who is next.
func (l *Limiter[T]) Release(name string, held time.Duration) {
	l.lock.Lock()
	defer l.lock.Unlock()
	s := l.service(name)
	s.flight--
	s.observe(held)
	l.dispatch()
}

// Dispatch looks for places anew, for instance after more slots were lent.
func (l *Limiter[T]) Dispatch() {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.dispatch()
}

// dispatch serves every service: services can share backend servers.
func (l *Limiter[T]) dispatch() {
	for _, s := range l.services {
		for s.waiting > 0 && s.serve() {
		}
	}
}

// takeLate tries the costlier places for a request about to be given up.
func (l *Limiter[T]) takeLate(w *waiter[T]) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	if w.ended {
		return true
	}
	place, err := w.request.Take(true)
	if err != nil {
		return false
	}
	s := l.services[w.request.Service]
	s.finish(w, place, nil)
	return true
}

// abandon removes a waiter with an error, unless it has its place by now.
func (l *Limiter[T]) abandon(w *waiter[T], err error) (T, error) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if !w.ended {
		var none T
		l.services[w.request.Service].finish(w, none, err)
	}
	return w.place, w.err
}

func (l *Limiter[T]) refusal(q *Request[T], code, message string) error {
	l.lock.Lock()
	defer l.lock.Unlock()
	s := l.services[q.Service]
	return s.refusal(code, message, s.expectedWait(s.tenant(q.Tenant, q.Weight)))
}

func (l *Limiter[T]) service(name string) *service[T] {
	s := l.services[name]
	if s == nil {
		s = &service[T]{tenants: make(map[string]*tenant[T])}
		l.services[name] = s
	}
	return s
}

func (s *service[T]) refusal(code, message string, wait time.Duration) error {
	return &classifier.Error{
		Verdict:    classifier.NotRun,
		Status:     http.StatusServiceUnavailable,
		Code:       code,
		Message:    message,
		RetryAfter: max(wait, minRetryAfter),
	}
}

const minRetryAfter = 100 * time.Millisecond
