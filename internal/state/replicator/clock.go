package replicator

import "time"

// clock measures time since its creation by the runtime's monotonic clock, so that steps of the wall
// clock have no effect. Tests set a rate other than 1 to model drift.
type clock struct {
	base time.Time
	rate float64
}

func newClock(rate float64) clock { return clock{base: time.Now(), rate: rate} }

// now starts at one minute, so that zero can mean "never".
func (clock clock) now() time.Duration {
	elapsed := time.Since(clock.base)
	if clock.rate != 1 {
		elapsed = time.Duration(float64(elapsed) * clock.rate)
	}
	return time.Minute + elapsed
}

// newTicker returns a ticker whose interval is measured by this clock.
func (clock clock) newTicker(interval time.Duration) *time.Ticker {
	return time.NewTicker(time.Duration(float64(interval) / clock.rate))
}
