// Package waiter provides a sleep that the end of a context interrupts.
//
//	for waiter.Sleep(ctx, time.Second) {
//		... // once a second, until ctx ends
//	}
package waiter

import (
	"context"
	"time"
)

// Sleep waits for d. It returns false if ctx ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
