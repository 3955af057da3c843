package scheduler

import "fmt"

// maxDataCentreNameBytes is the maximum length of the name of a data centre in an evacuation request.
const maxDataCentreNameBytes = 255

// EvacuationAction is what an operator requests for a data centre.
type EvacuationAction string

// Values of EvacuationAction.
const (
	// EvacuationBegin requests that no task is started in the data centre from now on.
	EvacuationBegin EvacuationAction = "begin"
	// EvacuationEnd allows starts in the data centre again.
	EvacuationEnd EvacuationAction = "end"
)

// Evacuation is an operator's request to begin or end the evacuation of a data centre. It is a wire type.
type Evacuation struct {
	_          struct{} `cbor:",toarray"`
	DataCentre DataCentreName
	Action     EvacuationAction
}

// Validate returns an error that describes the first invalid value of the request.
func (evacuation *Evacuation) Validate() error {
	switch {
	case evacuation.DataCentre == "":
		return fmt.Errorf("the name of the data centre is empty")
	case len(evacuation.DataCentre) > maxDataCentreNameBytes:
		return fmt.Errorf("the name of the data centre is longer than %d bytes", maxDataCentreNameBytes)
	case evacuation.Action != EvacuationBegin && evacuation.Action != EvacuationEnd:
		return fmt.Errorf("unknown evacuation action %q", evacuation.Action)
	}
	return nil
}
