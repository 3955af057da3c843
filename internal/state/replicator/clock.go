package replicator

import (
	"time"

	"github.com/crocusplank/crocusplank/internal/basics/stopwatch"
)

// clock measures time since its creation by a clock that the steps of the wall clock do not move. Tests
// set a rate other than 1 to model drift.
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

// now starts at one minute, so that zero can mean "never".
func (clock clock) now() time.Duration {
	elapsed := clock.stopwatch.Elapsed()
	if clock.rate != 1 {
		elapsed = time.Duration(float64(elapsed) * clock.rate)
	}
	return time.Minute + elapsed
}

// newTicker returns a ticker whose interval is measured by this clock.
func (clock clock) newTicker(interval time.Duration) *time.Ticker {
	return time.NewTicker(time.Duration(float64(interval) / clock.rate))
}
