package keeper

import (
	"maps"
	"math/rand/v2"
	"time"
)

// faults are the switches.
type faults struct {
	Outage      bool          `json:"outage"`      // connections are cut, nothing takes effect
	Slow        time.Duration `json:"slow"`        // added before each effect
	Lose        int           `json:"lose"`        // next writes that take effect without an answer
	Probability float64       `json:"probability"` // of losing a write's answer, 0 to 1
	Seed        uint64        `json:"seed"`        // for Probability
	random      *rand.Rand
}

// Counts are the calls that arrived, those during an outage included.
type Counts struct {
	Calls            map[string]int64 `json:"calls"`   // by kind
	DroppedResponses int64            `json:"lost"`    // writes that took effect and had no answer
	WaitingWatches   int64            `json:"waiting"` // watches waiting now
	PeakWatches      int64            `json:"watches"` // most that waited at once
	PeakCalls        int64            `json:"peak"`    // most calls in one second
}

// SetOutage switches an outage on or off. Leases go on lapsing during it.
func (k *Keeper) SetOutage(on bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults.Outage = on
	if on {
		close(k.changed) // waiting watches notice
		k.changed = make(chan struct{})
	}
}

// SetDelay delays every call by d; a call whose caller gave up still takes effect.
func (k *Keeper) SetDelay(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults.Slow = d
}

// DropResponses lets the next n writes, and later ones with the probability,
// take effect without an answer.
func (k *Keeper) DropResponses(n int, probability float64, seed uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults.Lose = n
	k.faults.Probability = probability
	k.faults.random = rand.New(rand.NewPCG(seed, 0))
}

// Counts returns the counts so far.
func (k *Keeper) Counts() Counts {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := k.counts
	out.Calls = maps.Clone(k.counts.Calls)
	return out
}

// loses decides whether this write's answer is lost.
func (k *Keeper) loses() bool {
	lost := false
	if k.faults.Lose > 0 {
		k.faults.Lose--
		lost = true
	} else if k.faults.Probability > 0 {
		lost = k.faults.random.Float64() < k.faults.Probability
	}
	if lost {
		k.counts.DroppedResponses++
	}
	return lost
}

func (k *Keeper) count(kind string) {
	k.counts.Calls[kind]++
	second := time.Now().Truncate(time.Second)
	if !second.Equal(k.second) {
		k.second, k.calls = second, 0
	}
	k.calls++
	k.counts.PeakCalls = max(k.counts.PeakCalls, k.calls)
}
