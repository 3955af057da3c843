package handler

import (
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/overseer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Request is a request of a caller, an operator or a worker to a domain. It is a wire type; exactly one of the
// pointers is set.
type Request struct {
	Submit             *SubmitRequest                `cbor:"1,keyasint,omitempty"`
	Cancel             *JobRequest                   `cbor:"2,keyasint,omitempty"`
	JobState           *JobRequest                   `cbor:"3,keyasint,omitempty"`
	QueueLength        *QueueRoute                   `cbor:"4,keyasint,omitempty"`
	Configure          *scheduler.QueueConfiguration `cbor:"5,keyasint,omitempty"`
	ReadConfiguration  *ReadConfigurationRequest     `cbor:"6,keyasint,omitempty"`
	Heartbeat          *scheduler.WorkerHeartbeat    `cbor:"7,keyasint,omitempty"`
	Leave              *LeaveRequest                 `cbor:"8,keyasint,omitempty"`
	Status             *StatusRequest                `cbor:"9,keyasint,omitempty"`
	Heartbeats         *HeartbeatBatch               `cbor:"10,keyasint,omitempty"`
	SubmitWave         *scheduler.Wave               `cbor:"11,keyasint,omitempty"`
	WaveStatus         *WaveStatusRequest            `cbor:"12,keyasint,omitempty"`
	Evacuate           *EvacuateRequest              `cbor:"13,keyasint,omitempty"`
	EvacuationRevision *EvacuationRevisionRequest    `cbor:"14,keyasint,omitempty"`
	Explain            *ExplainRequest               `cbor:"20,keyasint,omitempty"`
	ExplainWait        *ExplainWaitRequest           `cbor:"21,keyasint,omitempty"`
	// Timeout is the total time for which the caller retries, or zero if it is unknown. No sender sets it yet.
	Timeout time.Duration `cbor:"15,keyasint,omitempty"`
}

// QueueRoute holds the host and path of a caller's request, which select the queue.
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

// JobRequest identifies a job.
type JobRequest struct {
	_     struct{} `cbor:",toarray"`
	Route QueueRoute
	Job   scheduler.JobID
}

// ReadConfigurationRequest reads the current configuration.
type ReadConfigurationRequest struct {
	_ struct{} `cbor:",toarray"`
}

// StatusRequest checks that the leader is available and reads the request limits and the members of the domain.
type StatusRequest struct {
	_ struct{} `cbor:",toarray"`
}

// LeaveRequest deregisters a worker that is shutting down.
type LeaveRequest struct {
	_      struct{} `cbor:",toarray"`
	Worker scheduler.WorkerName
}

// WaveStatusRequest reads whether a maintenance wave is completed.
type WaveStatusRequest struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
}

// HeartbeatBatch forwards heartbeats that another VM has received.
type HeartbeatBatch struct {
	_ struct{} `cbor:",toarray"`
	// Repeated holds the workers whose heartbeats only repeat content that the leader has received before.
	Repeated []overseer.HeartbeatDelta
	// Full holds heartbeats with their whole content.
	Full []overseer.RelayedHeartbeat
}

// Status is the result of a request.
type Status string

// Values of Status.
const (
	// StatusDone means that the request took effect, now or earlier.
	StatusDone Status = "done"
	// StatusRefused means that the request had no effect because the domain currently lacks the capacity for it.
	StatusRefused Status = "refused"
	// StatusUnavailable means that the request had no effect because the domain is currently unavailable.
	StatusUnavailable Status = "unavailable"
	// StatusOutcomeUnknown means that the request may or may not have had an effect.
	StatusOutcomeUnknown Status = "unknown"
	// StatusNoQueue means that no queue is configured for the host and path of the request.
	StatusNoQueue Status = "noQueue"
	// StatusNoJob means that the job, or the task of an ExplainWaitRequest, does not exist.
	StatusNoJob Status = "noJob"
	// StatusEnded means that the job or the task of an ExplainWaitRequest has ended.
	StatusEnded Status = "ended"
	// StatusNoWave means that the maintenance wave does not exist.
	StatusNoWave Status = "noWave"
	// StatusSuperseded means that this copy of the request had no effect because another request was accepted since its
	// sender read the state. An earlier copy may have had an effect.
	StatusSuperseded Status = "superseded"
	// StatusInvalid means that the request is invalid and had no effect.
	StatusInvalid Status = "invalid"
	// StatusNotLeader means that the VM is not the leader; the request had no effect.
	StatusNotLeader Status = "notLeader"
)

// Response is the response to a Request. It is a wire type.
type Response struct {
	Status Status `cbor:"1,keyasint"`
	// Reason is the error message for any status except StatusDone.
	Reason string `cbor:"2,keyasint,omitempty"`
	// RetryAfter is the recommended delay before a retry, zero if there is none.
	RetryAfter time.Duration           `cbor:"3,keyasint,omitempty"`
	JobState   scheduler.WorkflowState `cbor:"4,keyasint,omitempty"`
	// QueuedJobs is the number of accepted jobs in a queue that have not started.
	QueuedJobs int `cbor:"5,keyasint,omitempty"`
	// Leader is the leader of the domain, empty if it is not known.
	Leader scheduler.VMName `cbor:"6,keyasint,omitempty"`
	// Source is the configuration document as the operator sent it.
	Source []byte `cbor:"7,keyasint,omitempty"`
	// Limits holds the limits for requests of callers. It is set in the response to a StatusRequest.
	Limits scheduler.RequestLimits `cbor:"8,keyasint,omitempty"`
	// Members are the VMs that hold the replicated state. They are set in the response to a StatusRequest.
	Members []scheduler.VMName `cbor:"9,keyasint,omitempty"`
	// Version is the version of the current configuration, 0 if there is none.
	Version uint64 `cbor:"10,keyasint,omitempty"`
	// UnknownWorkers are the workers of a HeartbeatBatch whose heartbeats the leader needs in full.
	UnknownWorkers []scheduler.WorkerName `cbor:"11,keyasint,omitempty"`
	// Completed is true if the maintenance wave is completed.
	Completed bool `cbor:"12,keyasint,omitempty"`
	// EvacuationRevision is the revision of the evacuation state of a data centre, see EvacuationRevisionRequest.
	EvacuationRevision uint64 `cbor:"13,keyasint,omitempty"`
	// FailureReason is why a job has failed. It is set beside JobState.
	FailureReason string `cbor:"14,keyasint,omitempty"`
	// Explanation is set in the response to an ExplainRequest.
	Explanation *overseer.PlacementExplanation `cbor:"20,keyasint,omitempty"`
	// WaitExplanation is set in the response to an ExplainWaitRequest.
	WaitExplanation *overseer.WaitExplanation `cbor:"21,keyasint,omitempty"`
}

// errorResponse returns a response with an error. retryAfter is zero if no retry delay is recommended.
func errorResponse(status Status, reason string, retryAfter time.Duration) Response {
	return Response{Status: status, Reason: reason, RetryAfter: retryAfter}
}
