package responder

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// While a shard changes its owner, it has none for a short time. A request that
// wasn't run for that reason is retried, with growing delays, for handoverTimeout
// at most.
const (
	handoverTimeout = 1500 * time.Millisecond
	minRetryDelay   = 20 * time.Millisecond
	maxRetryDelay   = 200 * time.Millisecond
)

// Error codes that a change of owner can cause.
const (
	codeNoOwner  = "no-owner"
	codeNotOwner = "not-owner"
)

// retryHandover calls do until it succeeds, fails for another reason than a
// missing owner, or handoverTimeout has passed.
func retryHandover[T any](ctx context.Context, do func() (T, error)) (T, error) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = minRetryDelay
	delay.MaxInterval = maxRetryDelay
	attempt := func() (T, error) {
		result, err := do()
		if err != nil && !lacksOwner(err) {
			return result, backoff.Permanent(err)
		}
		return result, err
	}
	result, err := backoff.Retry(ctx, attempt, backoff.WithBackOff(delay), backoff.WithMaxElapsedTime(handoverTimeout))
	var permanent *backoff.PermanentError
	if errors.As(err, &permanent) {
		return result, permanent.Unwrap()
	}
	return result, err
}

// lacksOwner reports whether a request was not run because the shard had no
// owner, or because the daemon that received it is not the owner.
func lacksOwner(err error) bool {
	var e *classifier.Error
	if !errors.As(err, &e) || e.Verdict != classifier.NotRun {
		return false
	}
	return e.Code == codeNoOwner || e.Code == codeNotOwner
}
