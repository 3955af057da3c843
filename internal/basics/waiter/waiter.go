// Package waiter provides waits that a context can cancel.
package waiter

import (
	"context"
	"fmt"
	"sync"
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

// Join waits until the goroutines of group have ended. It returns an error if ctx is done first.
func Join(ctx context.Context, group *sync.WaitGroup) error {
	finished := make(chan struct{})
	go func() {
		group.Wait()
		close(finished)
	}()
	select {
	case <-finished:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("a goroutine has not ended: %w", ctx.Err())
	}
}
