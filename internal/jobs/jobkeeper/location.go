package jobkeeper

import (
	"maps"
	"slices"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Location is where an instance of a worker with attempts runs. A new leader needs it to tell that a worker of another name
// has taken over there. It is a wire type and, unlike others, a map, so that it can get further fields.
type Location struct {
	Worker   scheduler.WorkerName  `cbor:"1,keyasint"`
	Instance scheduler.Incarnation `cbor:"2,keyasint"`
	Address  string                `cbor:"3,keyasint"`
	// VM is empty if the worker does not report it.
	VM scheduler.VMName `cbor:"4,keyasint,omitempty"`
}

// Location returns where the latest instance of a worker with attempts runs. The result is false if that is not known.
func (state *State) Location(worker scheduler.WorkerName) (Location, bool) {
	location, found := state.locations[worker]
	return location, found
}

// locate records the locations of instances. One of a worker without attempts is ignored, which bounds their number, and so
// is one of an earlier instance.
func (state *State) locate(locations []Location) {
	for _, location := range locations {
		known, found := state.locations[location.Worker]
		if state.runs[location.Worker] == nil || found && known.Instance > location.Instance {
			continue
		}
		state.locations[location.Worker] = location
	}
}

// storeLocations returns the locations in a fixed order.
func (state *State) storeLocations() []Location {
	var stored []Location
	for _, worker := range slices.Sorted(maps.Keys(state.locations)) {
		stored = append(stored, state.locations[worker])
	}
	return stored
}
