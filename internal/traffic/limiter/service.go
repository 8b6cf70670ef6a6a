package limiter

import (
	"errors"
	"time"
)

// service holds the tenants that use one service.
type service[T any] struct {
	tenants map[string]*tenant[T]
	waiting int
	flight  int     // places in use
	mean    float64 // time a place is held, seconds
	virtual float64 // start tag of the request served last
}

// tenant has one queue for each class. pass is what the tenant has been
// served, divided by its weight.
type tenant[T any] struct {
	weight  int
	pass    float64
	waiting int
	queues  map[string]*queue[T]
	order   []*queue[T] // classes take turns in this order
}

type queue[T any] struct{ waiters []*waiter[T] }

type waiter[T any] struct {
	request *Request[T]
	queue   *queue[T]
	tenant  *tenant[T]
	giveUp  time.Time
	done    chan struct{} // closed when ended
	ended   bool
	place   T
	err     error
}

const meanWeight = 0.1 // of the newest observation

// observe learns how long a place was held; 0 says that it was not used.
func (s *service[T]) observe(held time.Duration) {
	if held == 0 {
		return
	}
	if s.mean == 0 {
		s.mean = held.Seconds()
		return
	}
	s.mean += meanWeight * (held.Seconds() - s.mean)
}

func (s *service[T]) held() time.Duration {
	return time.Duration(s.mean * float64(time.Second))
}

// expectedWait returns how long a request of the tenant that comes now would
// wait: the requests ahead of it divided by the tenant's share of the rate at
// which places come free.
func (s *service[T]) expectedWait(t *tenant[T]) time.Duration {
	if s.mean == 0 || s.flight == 0 {
		return 0
	}
	weights := t.weight
	for _, o := range s.tenants {
		if o != t && o.waiting > 0 {
			weights += o.weight
		}
	}
	rate := float64(s.flight) / s.mean * float64(t.weight) / float64(weights)
	return time.Duration(float64(t.waiting+1) / rate * float64(time.Second))
}

// charge accounts a place to the tenant.
func (s *service[T]) charge(t *tenant[T], err error) {
	if err != nil {
		return
	}
	t.pass = max(t.pass, s.virtual)
	s.virtual = t.pass
	t.pass += 1 / float64(t.weight)
	s.flight++
}

// serve gives one place away and reports whether it did. A tenant whose first
// request finds no place does not hold up the others.
func (s *service[T]) serve() bool {
	tried := make(map[*tenant[T]]bool)
	for {
		t := s.next(tried)
		if t == nil {
			return false
		}
		tried[t] = true
		w := t.first()
		place, err := w.request.Take(false)
		if errors.Is(err, ErrBusy) {
			continue
		}
		s.finish(w, place, err)
		return true
	}
}

// next returns the tenant with waiting requests that has had least.
func (s *service[T]) next(tried map[*tenant[T]]bool) *tenant[T] {
	var best *tenant[T]
	for _, t := range s.tenants {
		if t.waiting == 0 || tried[t] {
			continue
		}
		if best == nil || max(t.pass, s.virtual) < max(best.pass, s.virtual) {
			best = t
		}
	}
	return best
}

// finish removes a waiter and wakes it.
func (s *service[T]) finish(w *waiter[T], place T, err error) {
	w.queue.remove(w)
	w.tenant.waiting--
	s.waiting--
	s.charge(w.tenant, err)
	w.place, w.err, w.ended = place, err, true
	close(w.done)
}

func (s *service[T]) tenant(name string, weight int) *tenant[T] {
	t := s.tenants[name]
	if t == nil {
		t = &tenant[T]{queues: make(map[string]*queue[T])}
		s.tenants[name] = t
	}
	t.weight = max(weight, 1)
	return t
}

func (t *tenant[T]) queue(class string) *queue[T] {
	q := t.queues[class]
	if q == nil {
		q = new(queue[T])
		t.queues[class] = q
		t.order = append(t.order, q)
	}
	return q
}

// first returns the waiter whose turn it is; there is one.
func (t *tenant[T]) first() *waiter[T] {
	for i, q := range t.order {
		if len(q.waiters) == 0 {
			continue
		}
		t.order = append(append(t.order[:i:i], t.order[i+1:]...), q)
		return q.waiters[0]
	}
	return nil
}

func (q *queue[T]) remove(w *waiter[T]) {
	for i, o := range q.waiters {
		if o == w {
			q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
			return
		}
	}
}
