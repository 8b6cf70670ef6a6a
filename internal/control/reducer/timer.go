package reducer

import "time"

// timerKind says what a timer is for.
type timerKind uint8

const (
	timerSync  timerKind = iota // next inventory of a worker
	timerLapse                  // a silent worker's leases may have lapsed
	timerProbe                  // a worker that was set aside gets one task
	timerOpen                   // a worker that refused a start may be asked again
	timerRetry                  // a failed task may start again
	timerStart                  // repeat a start without an answer
	timerStop                   // repeat a stop without an answer
)

// timer is data, so that a State has no callbacks to lose. It is void once
// its shard is owned under another epoch.
type timer struct {
	at       time.Time
	sequence uint64 // breaks ties in the order of creation
	kind     timerKind
	shard    *shard
	epoch    int64
	worker   *worker
	task     *task
}

func (t *timer) before(o *timer) bool {
	if !t.at.Equal(o.at) {
		return t.at.Before(o.at)
	}
	return t.sequence < o.sequence
}

// timers is a binary heap by time, so that a tick costs what is due.
type timers struct {
	heap     []timer
	sequence uint64
}

func (t *timers) add(one timer) {
	t.sequence++
	one.sequence = t.sequence
	t.heap = append(t.heap, one)
	i := len(t.heap) - 1
	for i > 0 {
		up := (i - 1) / 2
		if !t.heap[i].before(&t.heap[up]) {
			return
		}
		t.heap[i], t.heap[up] = t.heap[up], t.heap[i]
		i = up
	}
}

func (t *timers) pop() timer {
	first := t.heap[0]
	last := len(t.heap) - 1
	t.heap[0] = t.heap[last]
	t.heap[last] = timer{}
	t.heap = t.heap[:last]
	t.sink()
	return first
}

func (t *timers) sink() {
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

// run fires all timers that are due. One that is added meanwhile fires in the
// next run at the earliest.
func (t *timers) run(now time.Time) {
	var due []timer
	for len(t.heap) > 0 && !t.heap[0].at.After(now) {
		due = append(due, t.pop())
	}
	for _, one := range due {
		if one.shard.book != nil && one.shard.epoch == one.epoch {
			one.shard.fire(one)
		}
	}
}

// after adds a timer of the shard.
func (h *shard) after(wait time.Duration, one timer) {
	one.at = h.state.now.Add(wait)
	one.shard = h
	one.epoch = h.epoch
	h.state.timers.add(one)
}

func (h *shard) fire(one timer) {
	switch one.kind {
	case timerSync:
		if one.at.Equal(one.worker.due) {
			one.worker.due = time.Time{}
			h.sync(one.worker)
		}
	case timerLapse:
		h.lapse(one.worker)
	case timerProbe:
		h.probe(one.worker)
	case timerOpen:
		h.refresh(one.worker)
	case timerRetry:
		h.retry(one.task)
	case timerStart:
		h.repeatStart(one.task)
	case timerStop:
		h.repeatStop(one.task)
	}
}
