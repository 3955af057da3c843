package dispatcher

import (
	"maps"
	"slices"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// WorkerStates returns what the log knows of each worker of the inventory, in the order of their names.
// Usable is false for a drained one.
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

// notThrottled stands for the throttling, which only the leader's engine knows.
func notThrottled(scheduler.LeaseNumber) bool { return false }
