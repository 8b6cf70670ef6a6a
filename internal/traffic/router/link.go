package router

import (
	"time"

	"golang.org/x/time/rate"
)

// LinkBudget limits the bytes that this entry host exchanges with other regions.
// Bytes already sent are charged even if the budget is used up; the debt blocks
// later requests until it is paid off.
type LinkBudget struct{ limiter *rate.Limiter }

// NewLinkBudget returns a budget of bytes per second, of which one second's worth
// can be used at once. For 0 it returns nil, which allows no traffic.
func NewLinkBudget(bytes int64) *LinkBudget {
	if bytes <= 0 {
		return nil
	}
	return &LinkBudget{limiter: rate.NewLimiter(rate.Limit(bytes), int(bytes))}
}

// Allow reports whether the budget covers the expected bytes. It does not charge
// them.
func (l *LinkBudget) Allow(bytes int64, now time.Time) bool {
	return l != nil && l.limiter.TokensAt(now) >= float64(max(bytes, 1))
}

// Charge takes n bytes from the budget, even if they are not available.
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
