package limiter

import (
	"errors"
	"time"
)

// service holds the queues of one service. Tenants are scheduled by start-time
// fair queueing: each slot has a start tag and a finish tag in virtual time, and
// the tenant with the smallest start tag is next.
type service[T any] struct {
	tenants     map[string]*tenant[T]
	waiting     int     // requests in all queues
	inUse       int     // slots in use
	meanHold    float64 // seconds a slot is held, moving average
	virtualTime float64 // start tag of the slot given last
}

// tenant holds the waiting requests of one tenant, in one queue per class.
type tenant[T any] struct {
	weight    int
	finishTag float64 // virtual time, grows by 1/weight with each slot
	waiting   int     // requests in all queues of the tenant
	queues    map[string]*queue[T]
	order     []*queue[T] // queues of the classes, least recently served first
}

// queue holds the waiting requests of one class in order of arrival.
type queue[T any] struct{ waiters []*waiter[T] }

// waiter is a waiting request.
type waiter[T any] struct {
	request  *Request[T]
	queue    *queue[T]
	tenant   *tenant[T]
	refuseAt time.Time     // the remaining time is too short from then on
	done     chan struct{} // closed when finished
	finished bool
	slot     T
	err      error
}

const holdWeight = 0.1 // weight of the newest observation in meanHold

// observeHold records how long a slot was held; 0 means that it was not used.
func (s *service[T]) observeHold(held time.Duration) {
	if held == 0 {
		return
	}
	if s.meanHold == 0 {
		s.meanHold = held.Seconds()
		return
	}
	s.meanHold += holdWeight * (held.Seconds() - s.meanHold)
}

// holdTime returns the mean time for which a slot is held.
func (s *service[T]) holdTime() time.Duration {
	return time.Duration(s.meanHold * float64(time.Second))
}

// expectedWait returns how long a request of the tenant that arrives now would
// wait: the number of the tenant's requests up to it, divided by the tenant's share
// of the rate at which slots come free.
func (s *service[T]) expectedWait(t *tenant[T]) time.Duration {
	if s.meanHold == 0 || s.inUse == 0 {
		return 0
	}
	weights := t.weight
	for _, o := range s.tenants {
		if o != t && o.waiting > 0 {
			weights += o.weight
		}
	}
	rate := float64(s.inUse) / s.meanHold * float64(t.weight) / float64(weights)
	return time.Duration(float64(t.waiting+1) / rate * float64(time.Second))
}

// recordAcquire charges a slot to the tenant, if err is nil.
func (s *service[T]) recordAcquire(t *tenant[T], err error) {
	if err != nil {
		return
	}
	t.finishTag = max(t.finishTag, s.virtualTime)
	s.virtualTime = t.finishTag
	t.finishTag += 1 / float64(t.weight)
	s.inUse++
}

// dispatchOne gives a slot, or the error of Take, to one waiting request and
// reports whether it did. A tenant whose next request finds no slot does not block
// the others.
func (s *service[T]) dispatchOne() bool {
	tried := make(map[*tenant[T]]bool)
	for {
		t := s.nextTenant(tried)
		if t == nil {
			return false
		}
		tried[t] = true
		w := t.nextWaiter()
		slot, err := w.request.Take(false)
		if errors.Is(err, ErrBusy) {
			continue
		}
		s.finish(w, slot, err)
		return true
	}
}

// nextTenant returns the tenant with waiting requests and the smallest start tag,
// except those in tried, or nil.
func (s *service[T]) nextTenant(tried map[*tenant[T]]bool) *tenant[T] {
	var best *tenant[T]
	for _, t := range s.tenants {
		if t.waiting == 0 || tried[t] {
			continue
		}
		if best == nil || max(t.finishTag, s.virtualTime) < max(best.finishTag, s.virtualTime) {
			best = t
		}
	}
	return best
}

// finish removes the waiter from its queue and wakes its goroutine.
func (s *service[T]) finish(w *waiter[T], slot T, err error) {
	w.queue.remove(w)
	w.tenant.waiting--
	s.waiting--
	s.recordAcquire(w.tenant, err)
	w.slot, w.err, w.finished = slot, err, true
	close(w.done)
}

// tenant returns the tenant of that name and updates its weight.
func (s *service[T]) tenant(name string, weight int) *tenant[T] {
	t := s.tenants[name]
	if t == nil {
		t = &tenant[T]{queues: make(map[string]*queue[T])}
		s.tenants[name] = t
	}
	t.weight = max(weight, 1)
	return t
}

// queue returns the queue of the class.
func (t *tenant[T]) queue(class string) *queue[T] {
	q := t.queues[class]
	if q == nil {
		q = new(queue[T])
		t.queues[class] = q
		t.order = append(t.order, q)
	}
	return q
}

// nextWaiter returns the waiter whose turn it is, taking the classes in turn. At
// least one must be waiting.
func (t *tenant[T]) nextWaiter() *waiter[T] {
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
