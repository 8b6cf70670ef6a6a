package escalator

import "time"

// Budget is a token bucket of evictions that refills with the time that its
// callers state. A zero Budget allows none.
type Budget struct {
	Burst  float64 // most evictions at once
	Hourly float64 // evictions an hour in the long run
	Tokens float64
	At     time.Time // of Tokens
}

// NewBudget returns a full bucket.
func NewBudget(burst, hourly float64, now time.Time) *Budget {
	return &Budget{Burst: burst, Hourly: hourly, Tokens: burst, At: now}
}

// Available returns how many evictions are allowed at once now.
func (b *Budget) Available(now time.Time) int {
	b.refill(now)
	return int(b.Tokens)
}

// Take uses one eviction and reports whether there was one left.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	if b.Tokens < 1 {
		return false
	}
	b.Tokens--
	return true
}

func (b *Budget) refill(now time.Time) {
	if passed := now.Sub(b.At); passed > 0 {
		b.Tokens = min(b.Burst, b.Tokens+b.Hourly*passed.Hours())
		b.At = now
	}
}
