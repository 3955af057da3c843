package handler

import (
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/overseer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Request is what callers, operators and workers ask of a domain. It is a wire type; exactly one of the
// pointers is set.
type Request struct {
	Submit            *SubmitRequest                `cbor:"1,keyasint,omitempty"`
	Cancel            *JobRequest                   `cbor:"2,keyasint,omitempty"`
	JobState          *JobRequest                   `cbor:"3,keyasint,omitempty"`
	QueueLength       *QueueRoute                   `cbor:"4,keyasint,omitempty"`
	Configure         *scheduler.QueueConfiguration `cbor:"5,keyasint,omitempty"`
	ReadConfiguration *ReadConfigurationRequest     `cbor:"6,keyasint,omitempty"`
	Heartbeat         *scheduler.WorkerHeartbeat    `cbor:"7,keyasint,omitempty"`
	Leave             *LeaveRequest                 `cbor:"8,keyasint,omitempty"`
	Status            *StatusRequest                `cbor:"9,keyasint,omitempty"`
	Heartbeats        *HeartbeatBatch               `cbor:"10,keyasint,omitempty"`
	SubmitWave        *scheduler.Wave               `cbor:"11,keyasint,omitempty"`
	WaveStatus        *WaveStatusRequest            `cbor:"12,keyasint,omitempty"`
}

// QueueRoute names the place at which a request arrived; it selects the queue.
type QueueRoute struct {
	_    struct{} `cbor:",toarray"`
	Host string
	Path string
}

// SubmitRequest submits a job.
type SubmitRequest struct {
	_        struct{} `cbor:",toarray"`
	Route    QueueRoute
	Job      scheduler.JobID
	Workflow scheduler.Workflow
}

// JobRequest names a job.
type JobRequest struct {
	_     struct{} `cbor:",toarray"`
	Route QueueRoute
	Job   scheduler.JobID
}

// ReadConfigurationRequest reads the configuration in force.
type ReadConfigurationRequest struct {
	_ struct{} `cbor:",toarray"`
}

// StatusRequest asks whether the domain can be served.
type StatusRequest struct {
	_ struct{} `cbor:",toarray"`
}

// LeaveRequest tells that a worker ends now.
type LeaveRequest struct {
	_      struct{} `cbor:",toarray"`
	Worker scheduler.WorkerName
}

// WaveStatusRequest asks how far a wave of maintenance has come.
type WaveStatusRequest struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
}

// HeartbeatBatch passes on beats that another VM has taken.
type HeartbeatBatch struct {
	_ struct{} `cbor:",toarray"`
	// Repeated are those that have only repeated what the leader was told of them.
	Repeated []overseer.HeardWorker
	// Full are told in full.
	Full []overseer.AgedBeat
}

// Status tells what became of a request.
type Status string

// Values of Status.
const (
	// StatusDone means that the request took effect, or had done so before.
	StatusDone Status = "done"
	// StatusRefused means that the request had no effect and that the domain has no room for it now.
	StatusRefused Status = "refused"
	// StatusUnavailable means that the request had no effect because the domain cannot be served now.
	StatusUnavailable Status = "unavailable"
	// StatusOutcomeUnknown means that the request may or may not have had an effect.
	StatusOutcomeUnknown Status = "unknown"
	// StatusNoQueue means that no queue is configured for the place.
	StatusNoQueue Status = "noQueue"
	// StatusNoJob means that there is no such job.
	StatusNoJob Status = "noJob"
	// StatusNoWave means that there is no such wave of maintenance.
	StatusNoWave Status = "noWave"
	// StatusInvalid means that the request is not valid and had no effect.
	StatusInvalid Status = "invalid"
	// StatusNotLeader means that another VM leads; the request had no effect.
	StatusNotLeader Status = "notLeader"
)

// Response is the answer to a Request. It is a wire type.
type Response struct {
	Status Status `cbor:"1,keyasint"`
	// Reason explains any status but StatusDone.
	Reason string `cbor:"2,keyasint,omitempty"`
	// RetryAfter is when the caller should try again, zero for no advice.
	RetryAfter time.Duration           `cbor:"3,keyasint,omitempty"`
	JobState   scheduler.WorkflowState `cbor:"4,keyasint,omitempty"`
	// QueuedJobs is the number of accepted jobs of a queue that have not begun.
	QueuedJobs int `cbor:"5,keyasint,omitempty"`
	// Leader is the VM that leads the domain, if it is known.
	Leader scheduler.VMName `cbor:"6,keyasint,omitempty"`
	// Source is the configuration as the operator sent it.
	Source []byte `cbor:"7,keyasint,omitempty"`
	// Limits bounds what callers may send; it is set in the answer to a StatusRequest.
	Limits scheduler.RequestLimits `cbor:"8,keyasint,omitempty"`
	// Members are the VMs that hold the state; they are set in the answer to a StatusRequest.
	Members []scheduler.VMName `cbor:"9,keyasint,omitempty"`
	// Version is that of the configuration in force, 0 without one.
	Version uint64 `cbor:"10,keyasint,omitempty"`
	// UnknownWorkers are the workers of a HeardRequest of which the leader has to be told in full.
	UnknownWorkers []scheduler.WorkerName `cbor:"11,keyasint,omitempty"`
	// Completed tells that a wave is completed.
	Completed bool `cbor:"12,keyasint,omitempty"`
}

// refusal returns an answer that tells why a request had no effect.
func refusal(status Status, reason string, retryAfter time.Duration) Response {
	return Response{Status: status, Reason: reason, RetryAfter: retryAfter}
}
