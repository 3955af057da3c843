package governor

import (
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// leaseRetention is how long ended leases are kept, so that late usage reports can be attributed to the right task.
// Reports arrive tens of seconds late; 10 minutes also cover a worker that was temporarily disconnected.
const leaseRetention = 10 * time.Minute

// leaseTable tracks the workers' states and leases. It holds only the live leases and those that ended within
// leaseRetention.
type leaseTable struct {
	states map[scheduler.WorkerName]scheduler.WorkerState
	leases map[scheduler.LeaseNumber]*leaseEntry
	// live maps each task that occupies a worker to its lease.
	live map[scheduler.TaskID]scheduler.LeaseNumber
	// ended lists the ended leases, oldest first.
	ended []scheduler.LeaseNumber
	// lastScan is when the live leases were last scanned for attempts that have run for minRunTime.
	lastScan time.Time
}

// leaseEntry describes one lease.
type leaseEntry struct {
	task      scheduler.PlacedTask
	worker    scheduler.WorkerName
	firstSeen time.Time
	// endedAt is when the lease was first missing from the worker's state. It is zero while the lease is live.
	endedAt time.Time
	// reportedRunning is true once the attempt has been reported to the quarantiner as running.
	reportedRunning bool
}

func newLeaseTable() leaseTable {
	return leaseTable{
		states: map[scheduler.WorkerName]scheduler.WorkerState{},
		leases: map[scheduler.LeaseNumber]*leaseEntry{}, live: map[scheduler.TaskID]scheduler.LeaseNumber{},
	}
}

// updateWorker records the leases that began or ended since the previous state of a worker.
func (governor *Governor) updateWorker(state scheduler.WorkerState) {
	leaseTable, now := &governor.leaseTable, time.Now()
	old := leaseTable.states[state.Worker.Name]
	leaseTable.states[state.Worker.Name] = state
	governor.quotas.updateCapacity(old.Worker.Capacity, state.Worker.Capacity)
	for _, task := range state.Tasks {
		entry := leaseTable.leases[task.Lease]
		if entry == nil {
			entry = &leaseEntry{worker: state.Worker.Name, firstSeen: now, endedAt: now}
			leaseTable.leases[task.Lease] = entry
		}
		entry.task = task
		if !entry.endedAt.IsZero() {
			entry.endedAt = time.Time{}
			leaseTable.live[task.Task] = task.Lease
			governor.quotas.charge(now, task.Task, task.Team, task.Spec.Request)
		}
	}
	for _, task := range old.Tasks {
		listed := func(other scheduler.PlacedTask) bool { return other.Lease == task.Lease }
		if !slices.ContainsFunc(state.Tasks, listed) {
			governor.endLease(task, now)
		}
	}
	governor.quotas.refundUnstarted(state.Worker.Name, leaseTable.live)
}

// endLease marks a lease as ended and refunds its quota.
func (governor *Governor) endLease(task scheduler.PlacedTask, now time.Time) {
	leaseTable := &governor.leaseTable
	entry := leaseTable.leases[task.Lease]
	if entry == nil || !entry.endedAt.IsZero() {
		return
	}
	entry.endedAt = now
	leaseTable.ended = append(leaseTable.ended, task.Lease)
	if leaseTable.live[task.Task] == task.Lease {
		delete(leaseTable.live, task.Task)
		governor.quotas.refund(task.Task)
	}
	governor.completeRemoval(entry, now)
}

// removeExpired removes the leases that ended at least leaseRetention ago.
func (leaseTable *leaseTable) removeExpired(now time.Time) {
	for len(leaseTable.ended) > 0 {
		entry := leaseTable.leases[leaseTable.ended[0]]
		if entry != nil && !entry.endedAt.IsZero() {
			if now.Sub(entry.endedAt) < leaseRetention {
				return
			}
			delete(leaseTable.leases, leaseTable.ended[0])
		}
		leaseTable.ended = leaseTable.ended[1:]
	}
}
