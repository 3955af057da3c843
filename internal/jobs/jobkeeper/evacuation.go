package jobkeeper

import (
	"maps"
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// maxEvacuations is the maximum number of data centres whose evacuation state is kept. It bounds the state if requests
// name data centres that do not exist.
const maxEvacuations = 1000

// Evacuate begins or ends the evacuation of a data centre. It has no effect if Revision is not the current one, so
// that a copy that arrives late does not undo a request that was accepted after it.
type Evacuate struct {
	_          struct{} `cbor:",toarray"`
	Evacuation scheduler.Evacuation
	Revision   uint64
	// Accepted is the time of the request by the leader's wall clock.
	Accepted time.Time
}

// Evacuation is the state of a data centre that is or was evacuated.
type Evacuation struct {
	active    bool
	revision  uint64
	changedAt time.Time
}

// Active reports whether the data centre is evacuated.
func (evacuation Evacuation) Active() bool { return evacuation.active }

// Revision returns the number of changes that were accepted for the data centre.
func (evacuation Evacuation) Revision() uint64 { return evacuation.revision }

// ChangedAt returns the wall-clock time at which the evacuation began or ended.
func (evacuation Evacuation) ChangedAt() time.Time { return evacuation.changedAt }

// Evacuation returns the evacuation state of a data centre. It is the zero value if the data centre was never
// evacuated.
func (state *State) Evacuation(dataCentre scheduler.DataCentreName) Evacuation {
	return state.evacuations[dataCentre]
}

// VisitEvacuations calls visit for every data centre that is or was evacuated, in the order of their names.
func (state *State) VisitEvacuations(visit func(dataCentre scheduler.DataCentreName, evacuation Evacuation)) {
	for _, dataCentre := range slices.Sorted(maps.Keys(state.evacuations)) {
		visit(dataCentre, state.evacuations[dataCentre])
	}
}

// evacuate begins or ends an evacuation. A request for the current state changes nothing, whatever its revision,
// because a request is repeated if its response was lost.
func (state *State) evacuate(evacuate *Evacuate) Status {
	if evacuate.Evacuation.Validate() != nil {
		return StatusInvalid
	}
	dataCentre, active := evacuate.Evacuation.DataCentre, evacuate.Evacuation.Action == scheduler.EvacuationBegin
	current, known := state.evacuations[dataCentre]
	switch {
	case current.active == active:
		return StatusUnchanged
	case current.revision != evacuate.Revision:
		return StatusSuperseded
	case !known && len(state.evacuations) >= maxEvacuations:
		return StatusInvalid
	}
	state.evacuations[dataCentre] = Evacuation{
		active: active, revision: current.revision + 1, changedAt: evacuate.Accepted,
	}
	return StatusDone
}

// storedEvacuation is the encoding of an evacuation in a snapshot.
type storedEvacuation struct {
	_          struct{} `cbor:",toarray"`
	DataCentre scheduler.DataCentreName
	Active     bool
	Revision   uint64
	ChangedAt  time.Time
}

func (state *State) storeEvacuations() []storedEvacuation {
	var stored []storedEvacuation
	state.VisitEvacuations(func(dataCentre scheduler.DataCentreName, evacuation Evacuation) {
		stored = append(stored, storedEvacuation{
			DataCentre: dataCentre, Active: evacuation.active, Revision: evacuation.revision, ChangedAt: evacuation.changedAt,
		})
	})
	return stored
}

func (state *State) restoreEvacuations(stored []storedEvacuation) {
	for _, evacuation := range stored {
		state.evacuations[evacuation.DataCentre] = Evacuation{
			active: evacuation.Active, revision: evacuation.Revision, changedAt: evacuation.ChangedAt,
		}
	}
}
