package overseer

import (
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// A worker's capacity may change while it runs, see docs/design/changing-capacity.md.

// occupied returns what the attempts reserve that run on the worker, are being stopped, or are to be started. An attempt
// whose end is being recorded occupies nothing any more.
func (worker *worker) occupied() scheduler.Resources {
	var occupied scheduler.Resources
	for _, attempt := range worker.attempts {
		if !attempt.recordingEnd {
			occupied = occupied.Plus(attempt.spec.Reserved())
		}
	}
	return occupied
}

// exceedsCapacity reports whether the attempts on the worker would exceed its capacity if all of them ran. The worker has
// shrunk since they were placed.
func (worker *worker) exceedsCapacity() bool {
	return !worker.occupied().FitsIn(worker.heartbeat.Capacity)
}

// recordStartOverCapacity records that a start was not sent because its worker has shrunk.
func (leadership *leadership) recordStartOverCapacity(instance *worker, id scheduler.RunID) {
	leadership.overseer.metrics.overCapacity.Inc(1)
	occupied, capacity := instance.occupied(), instance.heartbeat.Capacity
	leadership.logger.Info().Str("event", "startOverCapacity").Stringer("run", id).Str("worker", string(instance.name)).
		Int64("occupiedMilliCores", occupied.MilliCores).Int64("milliCores", capacity.MilliCores).
		Int64("occupiedBytes", occupied.MemoryBytes).Int64("memoryBytes", capacity.MemoryBytes).
		Msg("start withheld because the worker has become smaller; the task is placed elsewhere")
}
