package router

import (
	"sync"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// FixedShare is a SlotSource that gives each of Hosts entry hosts the same fixed
// share of every worker.
type FixedShare struct {
	Hosts int // number of entry hosts

	lock  sync.Mutex
	inUse map[string]int
}

// Limit implements SlotSource.
func (f *FixedShare) Limit(b describer.Backend) int { return b.Slots / max(f.Hosts, 1) }

// Acquire implements SlotSource.
func (f *FixedShare) Acquire(b describer.Backend, _ time.Time) (func(), bool) {
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.inUse == nil {
		f.inUse = make(map[string]int)
	}
	if f.inUse[b.Worker] >= f.Limit(b) {
		return nil, false
	}
	f.inUse[b.Worker]++
	return func() { f.release(b.Worker) }, true
}

func (f *FixedShare) release(worker string) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.inUse[worker]--
}
