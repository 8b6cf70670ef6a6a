// Package retrier decides whether and when a failed request is tried again.
//
// # Budget
//
// A [Budget] lets retries be a share of first attempts, so that they cannot
// multiply an overload:
//
//	budget.First()
//	...
//	if r.May(err, idempotent) && budget.Take() {
//		// wait for r.Next(deadline), then try again
//	}
package retrier

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// Budget bounds retries to a share of first attempts, with a small reserve
// for quiet times.
type Budget struct {
	Ratio   float64 // 0 to 1
	Reserve float64 // most retries that can be saved up

	lock   sync.Mutex
	tokens float64
}

// NewBudget returns a budget with a full reserve.
func NewBudget(share, reserve float64) *Budget {
	return &Budget{Ratio: share, Reserve: reserve, tokens: reserve}
}

// Deposit counts a first attempt.
func (b *Budget) Deposit() {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.tokens = min(b.tokens+b.Ratio, b.Reserve)
}

// TryWithdraw uses up one retry and reports whether there was one.
func (b *Budget) TryWithdraw() bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff bounds, before jitter.
const (
	firstDelay = 5 * time.Millisecond
	lastDelay  = 250 * time.Millisecond

	maxAttempts = 3 // of one request, hedges aside
)

// Retrier follows one request through its attempts.
type Retrier struct {
	Attempts int // made so far, first one included

	delay *backoff.ExponentialBackOff
}

// New returns a retrier for one request.
func New() *Retrier {
	delay := &backoff.ExponentialBackOff{
		InitialInterval:     firstDelay,
		RandomizationFactor: 0.5,
		Multiplier:          2,
		MaxInterval:         lastDelay,
	}
	return &Retrier{Attempts: 1, delay: delay}
}

// IsRetryable reports whether the verdict of err allows another attempt.
func IsRetryable(err error, idempotent bool) bool {
	switch classifier.VerdictOf(err) {
	case classifier.NotRun:
		return true
	case classifier.MayHaveRun:
		return idempotent
	}
	return false
}

// Wait sleeps before the next attempt. It returns false at once if there were
// enough or the deadline of ctx leaves no time for it.
func (r *Retrier) Wait(ctx context.Context) bool {
	if r.Attempts >= maxAttempts {
		return false
	}
	delay := r.delay.NextBackOff()
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= delay {
		return false
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		r.Attempts++
		return true
	case <-ctx.Done():
		return false
	}
}
