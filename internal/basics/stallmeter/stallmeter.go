// Package stallmeter measures for how long something has stood still while this process was running.
package stallmeter

import "time"

// Meter measures a standstill by observations at regular intervals. A pause of the whole process, during which nothing of it
// can make progress, counts for two intervals at most.
type Meter struct {
	interval time.Duration
	last     time.Duration
	stood    time.Duration
	started  bool
}

// New returns a Meter for observations at the given interval.
func New(interval time.Duration) *Meter { return &Meter{interval: interval} }

// Observe records at time now whether there was progress since the last observation, and returns for how long there has been
// none.
func (meter *Meter) Observe(now time.Duration, progress bool) time.Duration {
	since := min(now-meter.last, 2*meter.interval)
	if progress || !meter.started {
		meter.stood = 0
	} else {
		meter.stood += since
	}
	meter.last, meter.started = now, true
	return meter.stood
}
