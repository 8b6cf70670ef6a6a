package escalator

import "time"

// Budget is a token bucket that limits evictions. It refills by the times that
// callers pass in. A zero Budget allows no evictions.
type Budget struct {
	Burst  float64   // capacity of the bucket, in evictions
	Hourly float64   // evictions per hour that refill it
	Tokens float64   // evictions left at the time At
	At     time.Time // time of the last refill
}

// NewBudget returns a full bucket.
func NewBudget(burst, hourly float64, now time.Time) *Budget {
	return &Budget{Burst: burst, Hourly: hourly, Tokens: burst, At: now}
}

// Available returns how many evictions are allowed now.
func (b *Budget) Available(now time.Time) int {
	b.refill(now)
	return int(b.Tokens)
}

// Take takes one eviction out of the bucket and reports whether there was one.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	if b.Tokens < 1 {
		return false
	}
	b.Tokens--
	return true
}

// refill adds the evictions gained since the last refill. Times in the past are
// ignored.
func (b *Budget) refill(now time.Time) {
	if elapsed := now.Sub(b.At); elapsed > 0 {
		b.Tokens = min(b.Burst, b.Tokens+b.Hourly*elapsed.Hours())
		b.At = now
	}
}
