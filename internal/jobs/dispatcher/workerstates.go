package dispatcher

import (
	"maps"
	"slices"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// WorkerStates returns the replicated state of each worker in the inventory, sorted by name. Schedulable is false for
// drained workers. Throttled is always false, because throttling is not part of the replicated state.
func (machine *Machine) WorkerStates() []scheduler.WorkerState {
	machine.mutex.RLock()
	names := slices.Sorted(maps.Keys(machine.workers))
	machine.mutex.RUnlock()
	var states []scheduler.WorkerState
	for _, name := range names {
		if state, ok := machine.workerState(name, nil, notThrottled); ok {
			states = append(states, state)
		}
	}
	return states
}

// notThrottled is used where the throttling is unknown; only the engine of the leader knows it.
func notThrottled(scheduler.LeaseNumber) bool { return false }
