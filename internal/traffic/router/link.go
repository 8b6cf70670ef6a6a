package router

import (
	"time"

	"golang.org/x/time/rate"
)

// LinkBudget is this entry host's byte budget to other regions. Bytes that were
// sent are charged also when the budget is used up; the debt keeps later
// requests off the link until it is paid.
type LinkBudget struct{ limiter *rate.Limiter }

// NewLinkBudget returns a budget in bytes a second; a second's worth may be used
// at once. 0 forbids the link.
func NewLinkBudget(bytes int64) *LinkBudget {
	if bytes <= 0 {
		return nil
	}
	return &LinkBudget{limiter: rate.NewLimiter(rate.Limit(bytes), int(bytes))}
}

// Allow reports whether the budget covers the expected bytes. It charges
// nothing.
func (l *LinkBudget) Allow(bytes int64, now time.Time) bool {
	return l != nil && l.limiter.TokensAt(now) >= float64(max(bytes, 1))
}

// Charge takes n bytes from the budget.
func (l *LinkBudget) Charge(n int64, now time.Time) {
	if l == nil {
		return
	}
	for n > 0 {
		part := min(n, int64(l.limiter.Burst()))
		l.limiter.ReserveN(now, int(part))
		n -= part
	}
}
