// Package retrier decides whether and when a failed request is tried again.
//
// # Budget
//
// A [Budget] limits retries to a share of first attempts, so that retries do not
// multiply the load when backend servers are overloaded:
//
//	budget.Deposit()
//	r := retrier.New()
//	...
//	if retrier.IsRetryable(err, idempotent) && budget.TryWithdraw() && r.Wait(ctx) {
//		// try again
//	}
package retrier

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// Budget bounds retries to a share of first attempts. A reserve allows some
// retries when there are few requests.
type Budget struct {
	Ratio   float64 // retries per first attempt, 0 to 1
	Reserve float64 // most retries that can be saved up

	lock   sync.Mutex
	tokens float64 // retries available now
}

// NewBudget returns a budget with a full reserve.
func NewBudget(ratio, reserve float64) *Budget {
	return &Budget{Ratio: ratio, Reserve: reserve, tokens: reserve}
}

// Deposit adds the share of retries that one first attempt allows.
func (b *Budget) Deposit() {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.tokens = min(b.tokens+b.Ratio, b.Reserve)
}

// TryWithdraw takes one retry from the budget and reports whether there was one.
func (b *Budget) TryWithdraw() bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Bounds of the exponential backoff, before jitter.
const (
	minDelay = 5 * time.Millisecond
	maxDelay = 250 * time.Millisecond

	maxAttempts = 3 // limit for one request, not counting hedges
)

// Retrier paces the attempts of one request.
type Retrier struct {
	Attempts int // started so far, the first one included

	backoff *backoff.ExponentialBackOff
}

// New returns a Retrier for a request whose first attempt is about to start.
func New() *Retrier {
	delay := &backoff.ExponentialBackOff{
		InitialInterval:     minDelay,
		RandomizationFactor: 0.5,
		Multiplier:          2,
		MaxInterval:         maxDelay,
	}
	return &Retrier{Attempts: 1, backoff: delay}
}

// IsRetryable reports whether the verdict of err allows another attempt: always if
// the request has not run, and for an idempotent request also if it may have run.
func IsRetryable(err error, idempotent bool) bool {
	switch classifier.VerdictOf(err) {
	case classifier.NotRun:
		return true
	case classifier.MayHaveRun:
		return idempotent
	}
	return false
}

// Wait waits before the next attempt and reports whether to make it. It returns
// false at once if all attempts are used up or the deadline of ctx is too near, and
// when ctx ends.
func (r *Retrier) Wait(ctx context.Context) bool {
	if r.Attempts >= maxAttempts {
		return false
	}
	delay := r.backoff.NextBackOff()
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
