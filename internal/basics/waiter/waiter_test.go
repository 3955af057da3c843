package waiter

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a Sleep that continues after its context is done.
func TestSleep(t *testing.T) {
	tests := map[string]struct {
		limit     time.Duration
		want      bool
		wantAfter time.Duration
	}{
		"full duration":      {limit: time.Hour, want: true, wantAfter: time.Minute},
		"context ends early": {limit: time.Second, want: false, wantAfter: time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), test.limit)
				defer cancel()
				start := time.Now()
				if got := Sleep(ctx, time.Minute); got != test.want {
					t.Errorf("got %v, want %v", got, test.want)
				}
				if got := time.Since(start); got != test.wantAfter {
					t.Errorf("returned after %v, want %v", got, test.wantAfter)
				}
			})
		})
	}
}

// Guards against a wait for a goroutine that hangs.
func TestJoin(t *testing.T) {
	tests := map[string]struct {
		runs      time.Duration
		want      error
		wantAfter time.Duration
	}{
		"goroutine ends":     {runs: time.Second, wantAfter: time.Second},
		"context ends first": {runs: time.Hour, want: context.DeadlineExceeded, wantAfter: time.Minute},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				var group sync.WaitGroup
				group.Go(func() { time.Sleep(test.runs) })
				start := time.Now()
				if got := Join(ctx, &group); !errors.Is(got, test.want) {
					t.Errorf("got %v, want %v", got, test.want)
				}
				if got := time.Since(start); got != test.wantAfter {
					t.Errorf("returned after %v, want %v", got, test.wantAfter)
				}
				group.Wait()
			})
		})
	}
}
