package stopwatch

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a stopwatch of tests that runs by real time.
func TestStartFollowsTheRuntime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stopwatch := Start()
		time.Sleep(time.Hour)
		if got, want := stopwatch.Elapsed(), time.Hour; got != want {
			t.Errorf("got %v, want %v", got, want)
		}
	})
}

// Guards against a boot clock that is not read at all: under a paused runtime it goes on.
func TestStartBootIgnoresThePausedRuntime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stopwatch := StartBootTime()
		time.Sleep(time.Hour)
		if got, limit := stopwatch.Elapsed(), time.Hour; got >= limit {
			t.Errorf("got %v, want less than %v", got, limit)
		}
	})
}
