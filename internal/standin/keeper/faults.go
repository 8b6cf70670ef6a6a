package keeper

import (
	"maps"
	"math/rand/v2"
	"time"
)

// faults are the faults that are injected now.
type faults struct {
	Outage          bool          `json:"outage"`      // connections are closed and nothing takes effect
	Delay           time.Duration `json:"slow"`        // wait before each call takes effect
	DropNext        int           `json:"lose"`        // number of next writes that take effect but aren't answered
	DropProbability float64       `json:"probability"` // share of later writes that aren't answered, 0 to 1
	Seed            uint64        `json:"seed"`        // seed of the random choice by DropProbability
	random          *rand.Rand
}

// Counts holds the calls that arrived since the store was made, including those
// during an outage.
type Counts struct {
	Calls            map[string]int64 `json:"calls"`   // calls by kind, such as get or swap
	DroppedResponses int64            `json:"lost"`    // writes that took effect but weren't answered
	WaitingWatches   int64            `json:"waiting"` // watches that wait now
	PeakWatches      int64            `json:"watches"` // highest number of watches that waited at once
	PeakCalls        int64            `json:"peak"`    // highest number of calls in one second
}

// SetOutage starts or ends an outage. Leases also expire during an outage.
func (k *Keeper) SetOutage(on bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults.Outage = on
	if on {
		close(k.changed) // wakes the waiting watches, which then fail
		k.changed = make(chan struct{})
	}
}

// SetDelay delays every call by d. A call whose client gave up meanwhile still takes
// effect.
func (k *Keeper) SetDelay(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults.Delay = d
}

// DropResponses makes the next n writes take effect without a response, and later
// ones with the given probability, 0 to 1.
func (k *Keeper) DropResponses(n int, probability float64, seed uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults.DropNext = n
	k.faults.DropProbability = probability
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

// dropsResponse decides whether the response to a write is dropped, and counts it if
// so.
func (k *Keeper) dropsResponse() bool {
	drop := false
	if k.faults.DropNext > 0 {
		k.faults.DropNext--
		drop = true
	} else if k.faults.DropProbability > 0 {
		drop = k.faults.random.Float64() < k.faults.DropProbability
	}
	if drop {
		k.counts.DroppedResponses++
	}
	return drop
}

// count counts a call of the kind.
func (k *Keeper) count(kind string) {
	k.counts.Calls[kind]++
	second := time.Now().Truncate(time.Second)
	if !second.Equal(k.countedSecond) {
		k.countedSecond, k.callsInSecond = second, 0
	}
	k.callsInSecond++
	k.counts.PeakCalls = max(k.counts.PeakCalls, k.callsInSecond)
}
