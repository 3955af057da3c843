// Package stopwatch measures elapsed time, if wanted with the time for which the VM was suspended.
package stopwatch

import (
	"time"

	"golang.org/x/sys/unix"
)

// Stopwatch measures the time since it was started. The zero value is not usable. It is safe for
// concurrent use.
type Stopwatch struct {
	start time.Time
	// boot is the reading of the boot clock at the start, zero if the runtime's clock is used.
	boot int64
}

// Start returns a Stopwatch that runs by the runtime's clock, which tests pause and advance. That clock
// stands still while the VM is suspended.
func Start() Stopwatch { return Stopwatch{start: time.Now()} }

// StartBootTime returns a Stopwatch that also counts the time for which the VM is suspended. A lease that is
// measured without that time outlives its end when the VM wakes up. Where the boot clock cannot be read,
// it is the same as Start.
func StartBootTime() Stopwatch {
	boot, _ := readBoot()
	return Stopwatch{start: time.Now(), boot: boot}
}

// Elapsed returns the time since the start.
func (stopwatch Stopwatch) Elapsed() time.Duration {
	if stopwatch.boot != 0 {
		if now, ok := readBoot(); ok {
			return time.Duration(now - stopwatch.boot)
		}
	}
	return time.Since(stopwatch.start)
}

func readBoot() (nanoseconds int64, ok bool) {
	var reading unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading) != nil {
		return 0, false
	}
	return reading.Nano(), true
}
