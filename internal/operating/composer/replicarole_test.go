package composer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a daemon that does not stop while its disk hangs.
func TestStopWhilePartHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		role := &replicaRole{}
		disk := make(chan struct{})
		role.goroutines.Go(func() { <-disk })
		defer close(disk)
		start := time.Now()
		if err := role.Stop(ctx); err == nil {
			t.Error("Stop: got none, want an error")
		}
		if got, want := time.Since(start), 5*time.Second; got != want {
			t.Errorf("stopped after %v, want %v", got, want)
		}
	})
}
