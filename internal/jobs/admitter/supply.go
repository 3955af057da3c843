package admitter

import "time"

// minDrainFraction is the minimum drain rate as a fraction of the room. Tasks that run for longer than averagingTime end
// in waves, between which the measured rate is too low.
const minDrainFraction = 0.5

// supply measures the rate at which one kind of capacity drains work while more work is waiting than fits.
type supply struct {
	room Room
	// finished is the work of the tasks that have finished since the last observation.
	finished int64
	// drain is the average work finished per second, averageTotal the average of the room in which it was measured.
	drain        float64
	averageTotal float64
	// measuredFor is the total time over which drain was measured, measuredAt the time of the last measurement.
	measuredFor time.Duration
	measuredAt  time.Duration
	// overloaded is true while jobs may be refused. overloadedSince is when the overload began. changingSince is since
	// when the opposite of overloaded has been observed.
	overloaded      bool
	overloadedSince time.Duration
	changing        bool
	changingSince   time.Duration
}

// observe records the room at time now. waiting is the request of all tasks that are ready to start. continuous is
// false if nothing is known about the time since the last observation.
func (supply *supply) observe(now, elapsed time.Duration, room Room, waiting int64, continuous bool) {
	saturated := waiting > room.Free
	if continuous && saturated {
		supply.measure(now, elapsed, room.Total)
	}
	supply.finished, supply.room = 0, room
	if !continuous {
		supply.changing = false
		return
	}
	supply.updateOverload(now, saturated)
}

func (supply *supply) measure(now, elapsed time.Duration, total int64) {
	if now-supply.measuredAt > maxRateAge {
		supply.measuredFor = 0
	}
	supply.measuredFor += elapsed
	// The gain starts high, so that the first measurements count equally.
	gain := max(float64(elapsed)/float64(supply.measuredFor), min(1, float64(elapsed)/float64(averagingTime)))
	supply.drain += gain * (float64(supply.finished)/elapsed.Seconds() - supply.drain)
	supply.averageTotal += gain * (float64(total) - supply.averageTotal)
	supply.measuredAt = now
}

func (supply *supply) updateOverload(now time.Duration, saturated bool) {
	if saturated == supply.overloaded {
		supply.changing = false
		return
	}
	if !supply.changing {
		supply.changing, supply.changingSince = true, now
	}
	limit := overloadEntry
	if supply.overloaded {
		limit = overloadExit
	}
	if now-supply.changingSince >= limit {
		supply.overloaded, supply.changing, supply.overloadedSince = saturated, false, supply.changingSince
	}
}

// isReliable reports whether a forecast may rely on the drain rate.
func (supply *supply) isReliable(now time.Duration) bool {
	return supply.overloaded && supply.measuredFor >= minMeasuringTime && now-supply.measuredAt < maxRateAge
}

// rate returns the drain rate in the present room, which differs from the measured one when workers come or go.
func (supply *supply) rate() float64 {
	total := float64(supply.room.Total)
	minimum := minDrainFraction * total * float64(time.Second/time.Millisecond)
	if supply.averageTotal <= 0 {
		return minimum
	}
	return max(minimum, supply.drain*total/supply.averageTotal)
}
