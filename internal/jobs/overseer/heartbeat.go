package overseer

import (
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// HeartbeatDelta reports that a worker's state is unchanged since its previous heartbeat, the one with the preceding
// sequence number. It is a wire type.
type HeartbeatDelta struct {
	_        struct{} `cbor:",toarray"`
	Worker   scheduler.WorkerName
	Instance scheduler.Incarnation
	Sequence uint64
	// Clock is the worker's clock reading in the heartbeat.
	Clock time.Duration
	// Age is the time since the relaying VM received the heartbeat.
	Age time.Duration
}

// RelayedHeartbeat is a heartbeat that another VM received and relays to the leader. Age is the time since it was
// received. It is a wire type.
type RelayedHeartbeat struct {
	_         struct{} `cbor:",toarray"`
	Heartbeat scheduler.WorkerHeartbeat
	Age       time.Duration
}

// HandleHeartbeat processes a worker's heartbeat. It returns an error of class scheduler.ErrNotRun when this VM does
// not lead.
func (overseer *Overseer) HandleHeartbeat(heartbeat scheduler.WorkerHeartbeat) error {
	leadership, err := overseer.activeLeadership()
	if err != nil {
		return err
	}
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	leadership.applyHeartbeat(heartbeat, 0)
	return nil
}

// HandleRelayedHeartbeats processes heartbeats that other VMs received. It returns the workers whose full heartbeat
// the leader needs. It returns the same error as HandleHeartbeat.
func (overseer *Overseer) HandleRelayedHeartbeats(
	deltas []HeartbeatDelta, heartbeats []RelayedHeartbeat,
) (unknown []scheduler.WorkerName, err error) {
	leadership, err := overseer.activeLeadership()
	if err != nil {
		return nil, err
	}
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	for position := range heartbeats {
		leadership.applyHeartbeat(heartbeats[position].Heartbeat, heartbeats[position].Age)
	}
	for position := range deltas {
		if !leadership.applyDelta(&deltas[position]) {
			unknown = append(unknown, deltas[position].Worker)
		}
	}
	return unknown, nil
}

// HandleShutdown processes the notification that a worker is shutting down. It returns the same error as
// HandleHeartbeat.
func (overseer *Overseer) HandleShutdown(worker scheduler.WorkerName) error {
	leadership, err := overseer.activeLeadership()
	if err != nil {
		return err
	}
	leadership.handleShutdown(worker)
	return nil
}

// activeLeadership returns the current leadership, or an error of class scheduler.ErrNotRun when this VM does not
// lead.
func (overseer *Overseer) activeLeadership() (*leadership, error) {
	leadership := overseer.current.Load()
	if leadership == nil || !overseer.group.HoldsLeaderLease() {
		return nil, scheduler.ErrNotRun.New("this VM does not lead the domain")
	}
	return leadership, nil
}

// applyDelta processes a heartbeat without state changes. It returns false if the state of the worker instance in its
// previous heartbeat is not known. The mutex must be held.
func (leadership *leadership) applyDelta(delta *HeartbeatDelta) bool {
	instance := leadership.instances[delta.Worker]
	if instance == nil || !instance.hasHeartbeat || instance.ended || instance.incarnation != delta.Instance ||
		instance.heartbeat.Phase != scheduler.WorkerReady {
		return false
	}
	if delta.Sequence <= instance.heartbeat.Sequence {
		return true
	}
	if delta.Sequence != instance.heartbeat.Sequence+1 {
		return false
	}
	now := leadership.now()
	instance.heartbeat.Sequence, instance.heartbeat.Clock = delta.Sequence, delta.Clock
	instance.lastHeartbeat = max(instance.lastHeartbeat, now-delta.Age)
	instance.updateClockFromHeartbeat(delta.Clock, now)
	leadership.ensureRenewal(instance)
	return true
}

// applyHeartbeat processes a heartbeat that was received age ago. One that is not later than the last one of its instance is
// ignored, and so is one of an earlier instance if the later one may run. One that displaces an instance that may be up is
// applied once its sender has answered. The mutex must be held.
func (leadership *leadership) applyHeartbeat(heartbeat scheduler.WorkerHeartbeat, age time.Duration) {
	instance := leadership.instances[heartbeat.Worker]
	if instance != nil && instance.hasHeartbeat && heartbeat.Instance == instance.incarnation &&
		heartbeat.Sequence <= instance.heartbeat.Sequence {
		return
	}
	if instance != nil && instance.contradicts(&heartbeat) && !leadership.correctsPool(instance, &heartbeat) {
		leadership.logContradiction(instance, &heartbeat)
		return
	}
	displaced, refuted := leadership.displacedBy(&heartbeat)
	switch {
	case refuted:
	case needsProof(displaced, &heartbeat):
		leadership.verifyClaim(&claim{heartbeat: heartbeat, receivedAt: leadership.now() - age, displaced: displaced})
	default:
		leadership.acceptHeartbeat(heartbeat, age)
	}
}

// acceptHeartbeat applies a heartbeat and ends the instances that it displaces. It returns the instance that sent it. The
// mutex must be held.
func (leadership *leadership) acceptHeartbeat(heartbeat scheduler.WorkerHeartbeat, age time.Duration) *worker {
	instance := leadership.instances[heartbeat.Worker]
	if instance != nil && instance.incarnation < heartbeat.Instance {
		instance = leadership.replaceInstance(instance, heartbeat.Instance)
	}
	if instance == nil {
		instance = newWorker(heartbeat.Worker, heartbeat.Instance)
		// No leader has sent orders to this instance; otherwise the log would contain its attempts.
		instance.synced = true
		leadership.instances[heartbeat.Worker] = instance
	}
	leadership.endSuperseded(&heartbeat)
	if !instance.hasHeartbeat || instance.heartbeat.Phase != heartbeat.Phase {
		leadership.logger.Info().Str("event", "workerHeard").Str("worker", string(heartbeat.Worker)).
			Uint64("life", uint64(heartbeat.Instance)).
			Str("phase", string(heartbeat.Phase)).Dur("remaining", heartbeat.DrainRemaining).Dur("age", age).
			Str("dataCentre", string(heartbeat.DataCentre)).
			Str("address", heartbeat.Address).Msg("worker state changed")
		leadership.replan()
	}
	if instance.hasHeartbeat && instance.heartbeat.Capacity != heartbeat.Capacity {
		leadership.recordCapacityChange(instance, heartbeat.Capacity)
	}
	now := leadership.now()
	if !instance.hasHeartbeat {
		instance.firstHeartbeat = now - age
	}
	instance.hasHeartbeat, instance.heartbeat, instance.lastHeartbeat = true, heartbeat,
		max(instance.lastHeartbeat, now-age)
	instance.fullMilliCores = max(instance.fullMilliCores, heartbeat.Capacity.MilliCores)
	leadership.failureTracker.quarantiner.Add(heartbeat.Worker)
	instance.updateClockFromHeartbeat(heartbeat.Clock, now)
	leadership.ensureRenewal(instance)
	return instance
}

// contradicts reports whether a heartbeat gives the instance another identity than the one under which it answers orders.
// An instance keeps its address, VM, pool and data centre, so that such a heartbeat comes from another writer.
func (worker *worker) contradicts(heartbeat *scheduler.WorkerHeartbeat) bool {
	if !worker.hasHeartbeat || worker.incarnation != heartbeat.Instance || !worker.responded ||
		worker.consecutiveFailures > 0 {
		return false
	}
	known := &worker.heartbeat
	return known.Address != heartbeat.Address || known.VM != heartbeat.VM || known.Pool != heartbeat.Pool ||
		known.DataCentre != heartbeat.DataCentre
}

// correctsPool reports whether a heartbeat names a pool of the configuration in place of one that does not exist, and nothing
// else has changed but what a worker may change. The earlier heartbeat was of another writer. The mutex must be held.
func (leadership *leadership) correctsPool(instance *worker, heartbeat *scheduler.WorkerHeartbeat) bool {
	known := &instance.heartbeat
	return known.Address == heartbeat.Address && known.VM == heartbeat.VM && known.DataCentre == heartbeat.DataCentre &&
		!leadership.isKnownPool(known.Pool) && leadership.isKnownPool(heartbeat.Pool)
}

func (leadership *leadership) logContradiction(instance *worker, heartbeat *scheduler.WorkerHeartbeat) {
	suppressed, allowed := leadership.repeatedWarnings.Allow("beatContradicts")
	if !allowed {
		return
	}
	leadership.logger.Warn().Str("event", "beatContradicts").Str("worker", string(instance.name)).
		Uint64("life", uint64(instance.incarnation)).Str("address", heartbeat.Address).
		Str("knownAddress", instance.heartbeat.Address).Str("pool", string(heartbeat.Pool)).
		Str("dataCentre", string(heartbeat.DataCentre)).Int("suppressed", suppressed).
		Msg("heartbeat gives a worker that answers another identity; ignored")
}

// isKnownPool reports whether the configuration has a pool. A worker of any other pool cannot be used, and does not displace
// one that can.
func (leadership *leadership) isKnownPool(name scheduler.PoolName) bool {
	known := false
	leadership.overseer.keeper.View(func(state *jobkeeper.State) {
		configuration := state.Configuration()
		known = configuration != nil && slices.ContainsFunc(configuration.Pools, func(pool scheduler.Pool) bool {
			return pool.Name == name
		})
	})
	return known
}

// endSuperseded ends the instances of other workers that started earlier at the same locations.
func (leadership *leadership) endSuperseded(heartbeat *scheduler.WorkerHeartbeat) {
	for _, location := range locationsOf(heartbeat) {
		others := leadership.othersAt(location, heartbeat.Worker)
		if len(others) > 0 && !leadership.isKnownPool(heartbeat.Pool) {
			continue
		}
		for _, other := range others {
			if other.isSupersededBy(heartbeat) {
				leadership.endInstance(other, "a later worker runs at the same location")
			}
		}
		leadership.occupants[location] = heartbeat.Worker
	}
}

// isSupersededBy reports whether a heartbeat of another worker at one of the instance's locations shows that the instance
// has ended. Without a heartbeat of its own, the instance is known by its recorded location, or only by a response from an
// address. If the other worker sends from that address, the response was its own or that of an earlier worker, so an equal
// incarnation counts too.
func (worker *worker) isSupersededBy(heartbeat *scheduler.WorkerHeartbeat) bool {
	if worker.hasHeartbeat || worker.isRecordedAt(heartbeat) {
		return worker.incarnation < heartbeat.Instance
	}
	return worker.respondedAt != "" && worker.respondedAt == heartbeat.Address && worker.incarnation <= heartbeat.Instance
}
