package jobkeeper

import (
	"time"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/internal/jobs/leaserecorder"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Command is one change of the replicated state. It is a wire type, in which exactly one field is set, besides Locations, which
// goes with Place, Evidence, which goes with Mark and End, and Begun, which may go with any.
type Command struct {
	Configure        *scheduler.QueueConfiguration `cbor:"1,keyasint,omitempty"`
	Submit           *Submit                       `cbor:"2,keyasint,omitempty"`
	Cancel           *scheduler.JobID              `cbor:"3,keyasint,omitempty"`
	StartOccurrence  *StartOccurrence              `cbor:"4,keyasint,omitempty"`
	Place            []Placement                   `cbor:"5,keyasint,omitempty"`
	End              []End                         `cbor:"6,keyasint,omitempty"`
	SubmitWave       *SubmitWave                   `cbor:"7,keyasint,omitempty"`
	MaintenanceSteps []MaintenanceStep             `cbor:"8,keyasint,omitempty"`
	Evacuate         *Evacuate                     `cbor:"9,keyasint,omitempty"`
	ClearBlame       []scheduler.RunID             `cbor:"10,keyasint,omitempty"`
	Mark             []Mark                        `cbor:"11,keyasint,omitempty"`
	Withdraw         *Withdraw                     `cbor:"12,keyasint,omitempty"`
	// Forget removes jobs that have ended.
	Forget []scheduler.JobID `cbor:"13,keyasint,omitempty"`
	// Locations are those of the instances in Place that the state does not hold yet. Earlier builds ignore them.
	Locations []Location `cbor:"14,keyasint,omitempty"`
	// RecordLeases is invalid for earlier builds, whose state it does not change.
	RecordLeases *leaserecorder.Record `cbor:"15,keyasint,omitempty"`
	// Begun holds jobs of which a task has started. Earlier builds ignore it; a command with nothing else is invalid for them
	// and does not change their state.
	Begun []scheduler.JobID `cbor:"16,keyasint,omitempty"`
	// Evidence is that of the crashes in Mark and End. Earlier builds ignore it and count points.
	Evidence []RunEvidence `cbor:"17,keyasint,omitempty"`
}

// Submit submits a job.
type Submit struct {
	_        struct{} `cbor:",toarray"`
	Job      scheduler.JobID
	Queue    scheduler.QueueName
	Workflow scheduler.Workflow
	// Accepted is the time of the submission by the leader's wall clock.
	Accepted time.Time
}

// StartOccurrence starts the next occurrence of a repeated job. It is ignored if Occurrence is not the next one.
type StartOccurrence struct {
	_          struct{} `cbor:",toarray"`
	Job        scheduler.JobID
	Occurrence int
}

// Placement places the next attempt of a task on an instance of a worker. The members of a gang that are placed by one
// command get the same attempt number.
type Placement struct {
	_        struct{} `cbor:",toarray"`
	Task     scheduler.StepTaskID
	Worker   scheduler.WorkerName
	Instance scheduler.Incarnation
	// Speculative is true for an additional attempt of a task that is already running.
	Speculative bool
}

// End records the end of an attempt.
type End struct {
	_          struct{} `cbor:",toarray"`
	Run        scheduler.RunID
	Kind       scheduler.EndKind
	Checkpoint string
}

// Status is the result status of a command.
type Status string

// Values of Status.
const (
	// StatusDone means that the command took effect, now or when it was applied before.
	StatusDone Status = "done"
	// StatusUnchanged means that the command had no effect because the state contained it already or was newer.
	StatusUnchanged Status = "unchanged"
	// StatusUnknownQueue means that the queue is not configured.
	StatusUnknownQueue Status = "unknownQueue"
	// StatusOtherQueue means that the id of a submitted job belongs to a job of another queue.
	StatusOtherQueue Status = "otherQueue"
	// StatusUnknownJob means that the job does not exist.
	StatusUnknownJob Status = "unknownJob"
	// StatusSuperseded means that the command had no effect because another one was accepted since its sender read the
	// state.
	StatusSuperseded Status = "superseded"
	// StatusInvalid means that the command could not be decoded or failed validation.
	StatusInvalid Status = "invalid"
)

// Result is the result of a command. It is a wire type.
type Result struct {
	_      struct{} `cbor:",toarray"`
	Status Status
	// Attempts holds the attempt number of each placement, or 0 if it was refused.
	Attempts []scheduler.AttemptNumber
}

// Encode returns the encoding of a command in the replicated log.
func (command Command) Encode() ([]byte, error) {
	data, err := encoder.Marshal(command)
	return data, Error.Wrap(err)
}

// DecodeResult decodes the result of a command.
func DecodeResult(data []byte) (Result, error) {
	var result Result
	err := encoder.Unmarshal(data, &result)
	return result, Error.Wrap(err)
}
