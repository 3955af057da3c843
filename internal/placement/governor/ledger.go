package governor

import (
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// keptLeases is how long a lease that has ended is remembered, so that late reports are credited to
// the task that ran. Reports arrive tens of seconds late; 10 minutes also cover a worker that was cut off.
const keptLeases = 10 * time.Minute

// ledger holds what runs and what has run. It is bounded by the live leases and those that ended
// within keptLeases.
type ledger struct {
	states map[scheduler.WorkerName]scheduler.WorkerState
	leases map[scheduler.LeaseNumber]*entry
	// live holds the lease of each task that occupies a worker.
	live map[scheduler.TaskID]scheduler.LeaseNumber
	// ended holds the leases that have ended, oldest first.
	ended []scheduler.LeaseNumber
	// surveyed is when the live leases were last searched for attempts that have survived.
	surveyed time.Time
}

// entry is one lease.
type entry struct {
	task   scheduler.PlacedTask
	worker scheduler.WorkerName
	first  time.Time
	// until is when the lease was seen to have ended, zero while it is live.
	until time.Time
	// survived is true once the attempt has counted in favour of its worker.
	survived bool
}

func newLedger() ledger {
	return ledger{
		states: map[scheduler.WorkerName]scheduler.WorkerState{},
		leases: map[scheduler.LeaseNumber]*entry{}, live: map[scheduler.TaskID]scheduler.LeaseNumber{},
	}
}

// record compares a worker's state with the last one.
func (governor *Governor) record(state scheduler.WorkerState) {
	ledger, now := &governor.ledger, time.Now()
	old := ledger.states[state.Worker.Name]
	ledger.states[state.Worker.Name] = state
	governor.quotas.resize(old.Worker.Capacity, state.Worker.Capacity)
	for _, task := range state.Tasks {
		known := ledger.leases[task.Lease]
		if known == nil {
			known = &entry{worker: state.Worker.Name, first: now, until: now}
			ledger.leases[task.Lease] = known
		}
		known.task = task
		if !known.until.IsZero() {
			known.until = time.Time{}
			ledger.live[task.Task] = task.Lease
			governor.quotas.charge(now, task.Task, task.Team, task.Spec.Request)
		}
	}
	for _, task := range old.Tasks {
		listed := func(other scheduler.PlacedTask) bool { return other.Lease == task.Lease }
		if !slices.ContainsFunc(state.Tasks, listed) {
			governor.close(task, now)
		}
	}
	governor.quotas.settle(state.Worker.Name, ledger.live)
}

// close notes the end of a lease.
func (governor *Governor) close(task scheduler.PlacedTask, now time.Time) {
	ledger := &governor.ledger
	known := ledger.leases[task.Lease]
	if known == nil || !known.until.IsZero() {
		return
	}
	known.until = now
	ledger.ended = append(ledger.ended, task.Lease)
	if ledger.live[task.Task] == task.Lease {
		delete(ledger.live, task.Task)
		governor.quotas.refund(task.Task)
	}
	governor.removed(known, now)
}

// sweep forgets the leases that ended too long ago.
func (ledger *ledger) sweep(now time.Time) {
	for len(ledger.ended) > 0 {
		known := ledger.leases[ledger.ended[0]]
		if known != nil && !known.until.IsZero() {
			if now.Sub(known.until) < keptLeases {
				return
			}
			delete(ledger.leases, ledger.ended[0])
		}
		ledger.ended = ledger.ended[1:]
	}
}
