// Package waiter waits for a time that can be cut short.
package waiter

import (
	"context"
	"time"
)

// Sleep waits for a duration or until ctx ends, and reports whether the whole duration has passed.
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
