// Package stopwatch measures elapsed time, optionally including the time for which the VM was suspended.
package stopwatch

import (
	"time"

	"golang.org/x/sys/unix"
)

// Stopwatch measures the time since its start. The zero value is not usable. It is safe for concurrent use.
type Stopwatch struct {
	start time.Time
	// boot is the boot-time clock at the start in nanoseconds, zero if the clock of the runtime is used.
	boot int64
}

// Start returns a Stopwatch that uses the clock of the runtime, which tests can control with testing/synctest. That clock
// does not advance while the VM is suspended.
func Start() Stopwatch { return Stopwatch{start: time.Now()} }

// StartBootTime returns a Stopwatch that uses CLOCK_BOOTTIME, which includes the time for which the VM is suspended. A
// lease that is measured without that time would still count as valid after its expiry when the VM resumes. If
// CLOCK_BOOTTIME cannot be read, StartBootTime is equivalent to Start.
func StartBootTime() Stopwatch {
	boot, _ := readBootTime()
	return Stopwatch{start: time.Now(), boot: boot}
}

// Elapsed returns the time since the start.
func (stopwatch Stopwatch) Elapsed() time.Duration {
	if stopwatch.boot != 0 {
		if now, ok := readBootTime(); ok {
			return time.Duration(now - stopwatch.boot)
		}
	}
	return time.Since(stopwatch.start)
}

func readBootTime() (nanoseconds int64, ok bool) {
	var reading unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading) != nil {
		return 0, false
	}
	return reading.Nano(), true
}
