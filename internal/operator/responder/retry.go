package responder

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// A shard that changes its owner has none for a moment. A request that was not
// run for that reason is tried again for handoverTime at most.
const (
	handoverTime = 1500 * time.Millisecond
	retryFirst   = 20 * time.Millisecond
	retryLongest = 200 * time.Millisecond
)

// Codes of failures that a change of owner explains.
const (
	codeNoOwner  = "no-owner"
	codeNotOwner = "not-owner"
)

// acrossHandover repeats do while it fails for want of an owner.
func acrossHandover[T any](ctx context.Context, do func() (T, error)) (T, error) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = retryFirst
	delay.MaxInterval = retryLongest
	attempt := func() (T, error) {
		result, err := do()
		if err != nil && !lacksOwner(err) {
			return result, backoff.Permanent(err)
		}
		return result, err
	}
	result, err := backoff.Retry(ctx, attempt, backoff.WithBackOff(delay), backoff.WithMaxElapsedTime(handoverTime))
	var permanent *backoff.PermanentError
	if errors.As(err, &permanent) {
		return result, permanent.Unwrap()
	}
	return result, err
}

func lacksOwner(err error) bool {
	var e *classifier.Error
	if !errors.As(err, &e) || e.Verdict != classifier.NotRun {
		return false
	}
	return e.Code == codeNoOwner || e.Code == codeNotOwner
}
