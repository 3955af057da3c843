package overseer

import (
	"math/rand/v2"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// shrinkBound is the time after which a smaller capacity of a worker counts: the contact time of the deployments and one
// heartbeat.
const shrinkBound = 4 * time.Second

// fakeCapacities are the capacities of a worker that does not guard them.
type fakeCapacities struct {
	changes []capacityChange
	// sentAt is when the order that is carried out was sent, or zero for an order that is carried out at once.
	sentAt time.Time
	// heartbeatsLost and ordersLost are true while no heartbeat leaves the worker, and while no order reaches it.
	heartbeatsLost bool
	ordersLost     bool
}

// capacityChange is a capacity and when it began to apply.
type capacityChange struct {
	at       time.Time
	capacity scheduler.Resources
}

// trackCapacity begins to record the capacities of a worker that does not guard them. The mutex must be held.
func (worker *fakeWorker) trackCapacity() {
	if worker.fleet.unguarded {
		worker.capacities = &fakeCapacities{changes: []capacityChange{{at: time.Now(), capacity: worker.capacity}}}
	}
}

func (capacities *fakeCapacities) losesHeartbeats() bool {
	return capacities != nil && capacities.heartbeatsLost
}

func (capacities *fakeCapacities) losesOrders() bool {
	return capacities != nil && capacities.ordersLost
}

// lateStart returns a function that carries out a start order some time after it was sent.
func lateStart(order scheduler.StartOrder, sentAt time.Time) func(worker *fakeWorker) {
	return func(worker *fakeWorker) {
		if capacities := worker.capacities; capacities != nil {
			capacities.sentAt = sentAt
			defer func() { capacities.sentAt = time.Time{} }()
		}
		worker.start(order)
	}
}

// checkCapacity reports a start that brings the worker over every capacity that it has had within shrinkBound before the
// order was sent. The mutex must be held.
func (worker *fakeWorker) checkCapacity(order scheduler.StartOrder) {
	capacities := worker.capacities
	if capacities == nil {
		return
	}
	from := time.Now().Add(-shrinkBound)
	if !capacities.sentAt.IsZero() {
		from = capacities.sentAt.Add(-shrinkBound)
	}
	used := worker.used.Plus(oneCore)
	for position, change := range capacities.changes {
		replaced := position+1 < len(capacities.changes) && capacities.changes[position+1].at.Before(from)
		if !replaced && used.FitsIn(change.capacity) {
			return
		}
	}
	worker.fleet.reportViolation("%v brings %s to %d of %d millicores, its capacity for %v: %v", order.Run, worker.name,
		used.MilliCores, worker.capacity.MilliCores, time.Since(capacities.changes[len(capacities.changes)-1].at),
		worker.fleet.history[order.Run.Task])
}

// changeCapacity changes the number of cores of the current instance of a worker.
func (simulation *simulation) changeCapacity(name scheduler.WorkerName, cores int64) {
	simulation.changeWorker(name, func(worker *fakeWorker) {
		worker.capacity.MilliCores = cores * oneCore.MilliCores
		worker.capacities.changes = append(worker.capacities.changes, capacityChange{at: time.Now(), capacity: worker.capacity})
	})
}

// changeWorker changes the current instance of a worker.
func (simulation *simulation) changeWorker(name scheduler.WorkerName, change func(worker *fakeWorker)) {
	simulation.fleet.mutex.Lock()
	defer simulation.fleet.mutex.Unlock()
	if worker := simulation.fleet.workers["10.0.0.1:"+string(name)]; worker != nil && worker.capacities != nil {
		change(worker)
	}
}

// changeCapacities changes random capacities for a time, and loses heartbeats of single workers meanwhile. At the end all
// workers have their full capacity.
func (simulation *simulation) changeCapacities(random *rand.Rand, duration time.Duration) {
	for until := time.Now().Add(duration); time.Now().Before(until); {
		time.Sleep(time.Duration(random.Int64N(int64(600 * time.Millisecond))))
		name := simulation.names[random.IntN(len(simulation.names))]
		if random.IntN(4) == 0 {
			lost := random.IntN(2) == 0
			simulation.changeWorker(name, func(worker *fakeWorker) { worker.capacities.heartbeatsLost = lost })
			continue
		}
		simulation.changeCapacity(name, random.Int64N(4))
	}
	for _, name := range simulation.names {
		simulation.changeWorker(name, func(worker *fakeWorker) { worker.capacities.heartbeatsLost = false })
		simulation.changeCapacity(name, 8)
	}
}

// relayOldHeartbeats relays heartbeats to the leader up to 2 s after they were sent, in any order.
func (simulation *simulation) relayOldHeartbeats(random *rand.Rand, duration time.Duration) {
	for until := time.Now().Add(duration); time.Now().Before(until); {
		time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
		var heartbeat scheduler.WorkerHeartbeat
		found := false
		name := simulation.names[random.IntN(len(simulation.names))]
		simulation.fleet.mutex.Lock()
		worker := simulation.fleet.workers["10.0.0.1:"+string(name)]
		simulation.fleet.mutex.Unlock()
		if worker != nil {
			heartbeat, found = worker.heartbeat()
		}
		if !found {
			continue
		}
		received := time.Now()
		age := time.Duration(random.Int64N(int64(2 * time.Second)))
		go func() {
			time.Sleep(age)
			for _, overseer := range simulation.overseers {
				relayed := []RelayedHeartbeat{{Heartbeat: heartbeat, Age: time.Since(received)}}
				if _, err := overseer.HandleRelayedHeartbeats(nil, relayed); err == nil {
					return
				}
			}
		}()
	}
}

// runningOn counts the attempts in the log on a worker.
func (simulation *simulation) runningOn(name scheduler.WorkerName) int {
	count := 0
	simulation.domain.keeper.View(func(state *jobkeeper.State) {
		state.VisitRuns(name, func(*jobkeeper.Run) { count++ })
	})
	return count
}
