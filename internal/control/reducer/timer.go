package reducer

import "time"

// timerKind selects what happens when a timer fires.
type timerKind uint8

const (
	timerSync        timerKind = iota // sync with the worker
	timerLeaseExpiry                  // check whether all leases on the worker have expired
	timerProbe                        // allow one task on a quarantined worker
	timerReopen                       // place tasks again on a worker that refused a start
	timerRetry                        // queue a failed task again
	timerRepeatStart                  // repeat an unanswered start
	timerRepeatStop                   // repeat an unanswered stop
)

// timer is an action of a shard at a later time. It is plain data rather than a callback,
// so that it can be discarded: it is ignored if the shard is lost or owned under another
// epoch by then.
type timer struct {
	at       time.Time
	sequence uint64 // order of creation, to break ties
	kind     timerKind
	shard    *shard
	epoch    int64
	worker   *worker
	task     *task
}

// before reports whether t fires before o.
func (t *timer) before(o *timer) bool {
	if !t.at.Equal(o.at) {
		return t.at.Before(o.at)
	}
	return t.sequence < o.sequence
}

// timers is a binary heap by time, so that the cost of a tick depends on the timers that
// are due and not on all of them.
type timers struct {
	heap     []timer
	sequence uint64
}

// add adds a timer and restores the heap order.
func (t *timers) add(added timer) {
	t.sequence++
	added.sequence = t.sequence
	t.heap = append(t.heap, added)
	i := len(t.heap) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !t.heap[i].before(&t.heap[parent]) {
			return
		}
		t.heap[i], t.heap[parent] = t.heap[parent], t.heap[i]
		i = parent
	}
}

// pop removes and returns the earliest timer.
func (t *timers) pop() timer {
	first := t.heap[0]
	last := len(t.heap) - 1
	t.heap[0] = t.heap[last]
	t.heap[last] = timer{}
	t.heap = t.heap[:last]
	t.siftDown()
	return first
}

// siftDown moves the root to its place in the heap order.
func (t *timers) siftDown() {
	i := 0
	for {
		least := i
		for _, child := range [2]int{2*i + 1, 2*i + 2} {
			if child < len(t.heap) && t.heap[child].before(&t.heap[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		t.heap[i], t.heap[least] = t.heap[least], t.heap[i]
		i = least
	}
}

// fireDue fires all timers that are due. A timer that is added meanwhile fires at the
// next call at the earliest.
func (t *timers) fireDue(now time.Time) {
	var due []timer
	for len(t.heap) > 0 && !t.heap[0].at.After(now) {
		due = append(due, t.pop())
	}
	for _, expired := range due {
		if expired.shard.view != nil && expired.shard.epoch == expired.epoch {
			expired.shard.fireTimer(expired)
		}
	}
}

// addTimer adds a timer of the shard that fires after the given wait.
func (sh *shard) addTimer(wait time.Duration, t timer) {
	t.at = sh.state.now.Add(wait)
	t.shard = sh
	t.epoch = sh.epoch
	sh.state.timers.add(t)
}

// fireTimer performs the action of a timer.
func (sh *shard) fireTimer(t timer) {
	switch t.kind {
	case timerSync:
		if t.at.Equal(t.worker.nextSyncAt) {
			t.worker.nextSyncAt = time.Time{}
			sh.sendSync(t.worker)
		}
	case timerLeaseExpiry:
		sh.releaseExpired(t.worker)
	case timerProbe:
		sh.allowProbe(t.worker)
	case timerReopen:
		sh.updateClosed(t.worker)
	case timerRetry:
		sh.requeue(t.task)
	case timerRepeatStart:
		sh.repeatStart(t.task)
	case timerRepeatStop:
		sh.repeatStop(t.task)
	}
}
