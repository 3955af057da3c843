package stopwatch

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a Stopwatch that uses real time in tests with a fake clock.
func TestStartUsesTheRuntimeClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stopwatch := Start()
		time.Sleep(time.Hour)
		if got, want := stopwatch.Elapsed(), time.Hour; got != want {
			t.Errorf("got %v, want %v", got, want)
		}
	})
}

// Guards against StartBootTime not reading CLOCK_BOOTTIME, which advances in real time while the fake clock of the test
// skips an hour.
func TestStartBootTimeIgnoresTheFakeClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stopwatch := StartBootTime()
		time.Sleep(time.Hour)
		if got, limit := stopwatch.Elapsed(), time.Hour; got >= limit {
			t.Errorf("got %v, want less than %v", got, limit)
		}
	})
}
