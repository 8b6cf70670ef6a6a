package router

import (
	"sync"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// FixedShare is the simplest Slots: every one of Hosts entry hosts uses the
// same share of each worker.
type FixedShare struct {
	Hosts int

	lock sync.Mutex
	used map[string]int
}

// Limit implements Slots.
func (f *FixedShare) Limit(b describer.Backend) int { return b.Slots / max(f.Hosts, 1) }

// Acquire implements Slots.
func (f *FixedShare) Acquire(b describer.Backend, _ time.Time) (func(), bool) {
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.used == nil {
		f.used = make(map[string]int)
	}
	if f.used[b.Worker] >= f.Limit(b) {
		return nil, false
	}
	f.used[b.Worker]++
	return func() { f.release(b.Worker) }, true
}

func (f *FixedShare) release(worker string) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.used[worker]--
}
