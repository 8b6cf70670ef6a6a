package reducer

import "time"

// timerKind says what a timer is for.
type timerKind uint8

const (
	timerSync        timerKind = iota // next inventory of a worker
	timerLapse                        // a silent worker's leases may have lapsed
	timerProbe                        // a worker that was set aside gets one task
	timerReopen                       // a worker that refused a start may be asked again
	timerRetry                        // a failed task may start again
	timerRepeatStart                  // repeat a start without an answer
	timerRepeatStop                   // repeat a stop without an answer
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

func (t *timers) add(added timer) {
	t.sequence++
	added.sequence = t.sequence
	t.heap = append(t.heap, added)
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
	t.siftDown()
	return first
}

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

// run fires all timers that are due. One that is added meanwhile fires in the
// next run at the earliest.
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

// after adds a timer of the shard.
func (sh *shard) addTimer(wait time.Duration, t timer) {
	t.at = sh.state.now.Add(wait)
	t.shard = sh
	t.epoch = sh.epoch
	sh.state.timers.add(t)
}

func (sh *shard) fireTimer(t timer) {
	switch t.kind {
	case timerSync:
		if t.at.Equal(t.worker.nextSyncAt) {
			t.worker.nextSyncAt = time.Time{}
			sh.sendSync(t.worker)
		}
	case timerLapse:
		sh.releaseLapsed(t.worker)
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
