package balancer

import "time"

// Limits of the writes for balancing in one shard. All shards together must
// leave most of the store's write calls to acceptance and to ends of tasks.
const (
	writesPerSecond = 8
	maxBurst        = 8
)

// Budget limits the writes to the store. The zero value has a full burst.
type Budget struct {
	used float64 // writes that haven't been refilled
	at   time.Time
}

// Available returns how many writes are allowed at now.
func (b *Budget) Available(now time.Time) int {
	if elapsed := now.Sub(b.at).Seconds(); elapsed > 0 {
		b.used = max(b.used-elapsed*writesPerSecond, 0)
		b.at = now
	}
	return int(maxBurst - b.used)
}

// Use takes n writes, which Available has allowed.
func (b *Budget) Use(n int) { b.used += float64(n) }
