package overseer

import (
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
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

// dipTime is how long a worker's former capacity counts in forecasts, so that jobs that run much longer are not refused
// because a worker has shrunk for a moment.
const dipTime = 5 * time.Second

// formerCapacity is a capacity that a worker had until a time.
type formerCapacity struct {
	capacity scheduler.Resources
	until    time.Duration
}

// dip returns by how many millicores the worker is smaller than it was within dipTime.
func (worker *worker) dip(now time.Duration) int64 {
	dip := int64(0)
	for _, former := range worker.formerCapacities {
		if now < former.until+dipTime {
			dip = max(dip, former.capacity.MilliCores-worker.heartbeat.Capacity.MilliCores)
		}
	}
	return dip
}

// recordFormerCapacity records the present capacity, which is about to change, and drops those older than dipTime.
func (worker *worker) recordFormerCapacity(now time.Duration) {
	worker.formerCapacities = slices.DeleteFunc(worker.formerCapacities, func(former formerCapacity) bool {
		return now >= former.until+dipTime
	})
	worker.formerCapacities = append(worker.formerCapacities, formerCapacity{capacity: worker.heartbeat.Capacity, until: now})
}

// recordCapacityChange records that a worker has become larger or smaller, and requests a planning cycle. The mutex must be held.
func (leadership *leadership) recordCapacityChange(instance *worker, capacity scheduler.Resources) {
	former, occupied := instance.heartbeat.Capacity, instance.occupied()
	instance.recordFormerCapacity(leadership.now())
	leadership.overseer.metrics.capacityChanges.Inc(1)
	leadership.logger.Info().Str("event", "workerCapacityChanged").Str("worker", string(instance.name)).
		Int64("formerMilliCores", former.MilliCores).Int64("milliCores", capacity.MilliCores).
		Int64("occupiedMilliCores", occupied.MilliCores).
		Int64("formerBytes", former.MemoryBytes).Int64("memoryBytes", capacity.MemoryBytes).
		Int64("occupiedBytes", occupied.MemoryBytes).
		Int64("formerAccelerators", former.Accelerators).Int64("accelerators", capacity.Accelerators).
		Int64("occupiedAccelerators", occupied.Accelerators).Int("attempts", len(instance.attempts)).
		Bool("exceeded", !occupied.FitsIn(capacity)).Msg("capacity of a worker changed")
	leadership.replan()
}

// heartbeatAge returns the time since the worker sent the heartbeat that its capacity is known from. The worker's clock
// shows it even if the heartbeat waited in the socket of a suspended VM.
func (worker *worker) heartbeatAge(now time.Duration) time.Duration {
	age := now - worker.lastHeartbeat
	if worker.clock > 0 && worker.heartbeat.Clock > 0 {
		age = max(age, worker.clock+(now-worker.clockReadAt)-worker.heartbeat.Clock)
	}
	return age
}

// observePools reads which pools guard their capacity.
func (leadership *leadership) observePools() {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	clear(leadership.guardedPools)
	leadership.overseer.keeper.View(func(state *jobkeeper.State) {
		configuration := state.Configuration()
		if configuration == nil {
			return
		}
		for _, pool := range configuration.Pools {
			if pool.GuardsCapacity {
				leadership.guardedPools[pool.Name] = true
			}
		}
	})
}

// isCapacityOutdated reports whether a worker may have shrunk without the leader's knowledge: it does not reject what
// exceeds its capacity, and its last heartbeat is too old. A worker can answer orders while its heartbeats are lost. The
// mutex must be held.
func (leadership *leadership) isCapacityOutdated(instance *worker, now time.Duration) bool {
	return !leadership.guardedPools[instance.heartbeat.Pool] && instance.heartbeatAge(now) >= leadership.heartbeatTimeout()
}

// hasUnknownLoad reports whether attempts that are not in the log occupy a worker that does not guard its capacity. How much
// they occupy is not known. The mutex must be held.
func (leadership *leadership) hasUnknownLoad(instance *worker) bool {
	return !leadership.guardedPools[instance.heartbeat.Pool] && instance.unknownAttempts > 0
}

// mayExceedCapacity reports whether the attempts on a worker might exceed its capacity if all of them ran. The mutex must
// be held.
func (leadership *leadership) mayExceedCapacity(instance *worker) bool {
	return instance.exceedsCapacity() || leadership.isCapacityOutdated(instance, leadership.now()) ||
		leadership.hasUnknownLoad(instance)
}

// recordStartOverCapacity records that a start was not sent because its worker has shrunk, or may have.
func (leadership *leadership) recordStartOverCapacity(instance *worker, id scheduler.RunID) {
	leadership.overseer.metrics.overCapacity.Inc(1)
	occupied, capacity := instance.occupied(), instance.heartbeat.Capacity
	leadership.logger.Info().Str("event", "startOverCapacity").Stringer("run", id).Str("worker", string(instance.name)).
		Int64("occupiedMilliCores", occupied.MilliCores).Int64("milliCores", capacity.MilliCores).
		Int64("occupiedBytes", occupied.MemoryBytes).Int64("memoryBytes", capacity.MemoryBytes).
		Dur("heartbeatAge", instance.heartbeatAge(leadership.now())).
		Msg("start withheld because the worker has or may have become smaller; the task is placed elsewhere")
}
