package retrier_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
	"dotterelcart.dev/dotterelcart/internal/traffic/retrier"
)

// TestBudget checks for random sequences of first attempts and retries that the
// retries never exceed the share of first attempts plus the reserve.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := retrier.NewBudget(0.25, 4)
		first, retries := 0, 0
		for _, isFirst := range rapid.SliceOf(rapid.Bool()).Draw(t, "order") {
			if isFirst {
				b.Deposit()
				first++
			} else if b.TryWithdraw() {
				retries++
			}
		}
		if float64(retries) > 4+0.25*float64(first) {
			t.Fatalf("%d retries for %d first attempts", retries, first)
		}
	})
}

// TestMay checks every verdict for idempotent and other requests.
func TestMay(t *testing.T) {
	for verdict, want := range map[classifier.Verdict][2]bool{
		classifier.NotRun:     {true, true},
		classifier.MayHaveRun: {true, false},
		classifier.Ran:        {false, false},
	} {
		err := &classifier.Error{Verdict: verdict}
		if got := [2]bool{retrier.IsRetryable(err, true), retrier.IsRetryable(err, false)}; got != want {
			t.Errorf("%s: %v", verdict, got)
		}
	}
	if retrier.IsRetryable(errors.New("unknown"), false) {
		t.Error("an error without a verdict may have run")
	}
}

// TestWait checks the number of attempts, and that no time is spent on a wait that
// goes beyond the deadline.
func TestWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := retrier.New()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		waits := 0
		for r.Wait(ctx) {
			waits++
		}
		if waits != 2 {
			t.Errorf("%d retries, want 2", waits)
		}
		short, stop := context.WithTimeout(context.Background(), time.Millisecond)
		defer stop()
		start := time.Now()
		if retrier.New().Wait(short) || time.Since(start) != 0 {
			t.Error("Wait must return at once if the delay goes beyond the deadline")
		}
	})
}
