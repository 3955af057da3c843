// Package waiter provides a sleep that a context can cancel.
package waiter

import (
	"context"
	"time"
)

// Sleep blocks for a duration or until ctx is done, and reports whether the full duration has elapsed.
func Sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
