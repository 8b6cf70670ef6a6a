// Package waiter waits for a time or the end of a context.
//
//	for waiter.Pause(ctx, time.Second) {
//		... // once a second, until ctx ends
//	}
package waiter

import (
	"context"
	"time"
)

// Sleep waits for d. It reports false when ctx ended first.
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
