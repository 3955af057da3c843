package replicator

import (
	"time"

	"github.com/crocusplank/crocusplank/internal/basics/stopwatch"
)

// clock measures the time since its creation with a monotonic clock, which steps of the wall clock do not
// affect. Tests set a rate other than 1 to simulate clock drift.
type clock struct {
	stopwatch stopwatch.Stopwatch
	rate      float64
}

func newClock(rate float64, countSuspension bool) clock {
	if countSuspension {
		return clock{stopwatch: stopwatch.StartBootTime(), rate: rate}
	}
	return clock{stopwatch: stopwatch.Start(), rate: rate}
}

// now returns the elapsed time plus one minute, so that zero can mean "never".
func (clock clock) now() time.Duration {
	elapsed := clock.stopwatch.Elapsed()
	if clock.rate != 1 {
		elapsed = time.Duration(float64(elapsed) * clock.rate)
	}
	return time.Minute + elapsed
}

// newTicker returns a ticker with the interval scaled to the rate of this clock.
func (clock clock) newTicker(interval time.Duration) *time.Ticker {
	return time.NewTicker(time.Duration(float64(interval) / clock.rate))
}
