package scheduler

import "time"

// Lease is the right of one incarnation of a worker to run one attempt of a task. It is a wire type. Term is the
// term of the leader that granted the lease.
type Lease struct {
	Number      LeaseNumber   `json:"number" cbor:"number"`
	Task        TaskID        `json:"task" cbor:"task"`
	Attempt     AttemptNumber `json:"attempt" cbor:"attempt"`
	Worker      WorkerName    `json:"worker" cbor:"worker"`
	Incarnation Incarnation   `json:"incarnation" cbor:"incarnation"`
	Term        Term          `json:"term" cbor:"term"`
}

// AttemptOutcome is the result of an attempt.
type AttemptOutcome string

// Values of AttemptOutcome. Workers report only the first three; the scheduler determines the others.
const (
	AttemptFinished AttemptOutcome = "finished"
	AttemptFailed   AttemptOutcome = "failed"
	// AttemptStopped means that the worker stopped the attempt because of a command or because it could not
	// renew the lease.
	AttemptStopped AttemptOutcome = "stopped"
	// AttemptExpired means that the lease expired before the worker reported an end.
	AttemptExpired AttemptOutcome = "expired"
	// AttemptLost means that a later incarnation of the worker has no record of the attempt.
	AttemptLost AttemptOutcome = "lost"
	// AttemptCrashedStarting means that the worker crashed shortly after the start of the attempt, which may be the cause.
	AttemptCrashedStarting AttemptOutcome = "crashedStarting"
	// AttemptCrashedRunning means that the worker crashed and that the attempt may be the cause, but less likely.
	AttemptCrashedRunning AttemptOutcome = "crashedRunning"
)

// SyncRequest is the request of a worker in each sync exchange. It is a wire type. Attempts are identified by their
// lease numbers, which are unique within a data centre.
type SyncRequest struct {
	Worker      WorkerName  `json:"worker" cbor:"worker"`
	Incarnation Incarnation `json:"incarnation" cbor:"incarnation"`
	// Sequence increases with each exchange of an incarnation, so that the scheduler can discard late requests.
	Sequence uint64 `json:"sequence" cbor:"sequence"`
	// Running lists all attempts that are running on the worker.
	Running   []LeaseNumber `json:"running,omitempty" cbor:"running,omitempty"`
	Throttled []LeaseNumber `json:"throttled,omitempty" cbor:"throttled,omitempty"`
	// Ended and Checkpoints are resent until a response acknowledges them.
	Ended       []EndedAttempt `json:"ended,omitempty" cbor:"ended,omitempty"`
	Checkpoints []Checkpoint   `json:"checkpoints,omitempty" cbor:"checkpoints,omitempty"`
	Usage       []AttemptUsage `json:"usage,omitempty" cbor:"usage,omitempty"`
}

// EndedAttempt reports the end of an attempt. It is a wire type. If Checkpoint is empty, the last reported
// checkpoint remains valid.
type EndedAttempt struct {
	Lease      LeaseNumber    `json:"lease" cbor:"lease"`
	Outcome    AttemptOutcome `json:"outcome" cbor:"outcome"`
	Checkpoint string         `json:"checkpoint,omitempty" cbor:"checkpoint,omitempty"`
	Message    string         `json:"message,omitempty" cbor:"message,omitempty"`
}

// Checkpoint reports a checkpoint of a running attempt. It is a wire type. Name is an opaque value with which the
// task finds its saved state. Number numbers the checkpoints of the lease consecutively from 1, so that a late
// report does not replace a newer checkpoint.
type Checkpoint struct {
	Lease  LeaseNumber `json:"lease" cbor:"lease"`
	Number uint32      `json:"number" cbor:"number"`
	Name   string      `json:"name" cbor:"name"`
}

// AttemptUsage is the resource usage of one attempt in an interval that may be far in the past. It is a wire type.
// The interval is given by its length and its age at the time of the exchange.
type AttemptUsage struct {
	Lease    LeaseNumber   `json:"lease" cbor:"lease"`
	Age      time.Duration `json:"age" cbor:"age"`
	Interval time.Duration `json:"interval" cbor:"interval"`
	Used     Resources     `json:"used" cbor:"used"`
	// Latency is the 99th percentile of the response latency. It is zero for batch tasks and for services
	// that got no requests in the interval.
	Latency time.Duration `json:"latency,omitempty" cbor:"latency,omitempty"`
	// Load is the fraction of the task's capacity in use, from 0 to 1. It is zero for batch tasks.
	Load float64 `json:"load,omitempty" cbor:"load,omitempty"`
}

// SyncResponse is the response to a SyncRequest. It is a wire type. The worker ignores a response whose term is lower
// than one that it has seen, or whose sequence is not that of its last request.
type SyncResponse struct {
	Sequence uint64 `json:"sequence" cbor:"sequence"`
	Term     Term   `json:"term" cbor:"term"`
	// Renewed lists the leases that are valid for LeaseDuration from the moment at which the worker sent the
	// request.
	Renewed       []LeaseNumber `json:"renewed,omitempty" cbor:"renewed,omitempty"`
	LeaseDuration time.Duration `json:"leaseDuration,omitempty" cbor:"leaseDuration,omitempty"`
	// Acknowledged lists the leases whose reported end has been recorded.
	Acknowledged []LeaseNumber   `json:"acknowledged,omitempty" cbor:"acknowledged,omitempty"`
	Commands     []WorkerCommand `json:"commands,omitempty" cbor:"commands,omitempty"`
}

// CommandKind is the action of a WorkerCommand.
type CommandKind string

// Values of CommandKind.
const (
	// CommandStart starts an attempt. The worker ignores it if it has already received this lease or a higher
	// one of the task.
	CommandStart CommandKind = "start"
	// CommandThrottle slows a task down. CommandUnthrottle restores its full speed.
	CommandThrottle   CommandKind = "throttle"
	CommandUnthrottle CommandKind = "unthrottle"
	// CommandCheckpoint saves a checkpoint without stopping the attempt.
	CommandCheckpoint CommandKind = "checkpoint"
	// CommandStop saves a checkpoint and stops the attempt within the grace period. A worker that has no
	// record of the attempt reports it as stopped and never starts it.
	CommandStop CommandKind = "stop"
)

// WorkerCommand is a command for one attempt. It is a wire type. Its term is that of the SyncResponse.
type WorkerCommand struct {
	Kind  CommandKind `json:"kind" cbor:"kind"`
	Lease LeaseNumber `json:"lease" cbor:"lease"`
	// Task, Attempt, Spec and Checkpoint are set for CommandStart.
	Task       TaskID        `json:"task,omitempty" cbor:"task,omitempty"`
	Attempt    AttemptNumber `json:"attempt,omitempty" cbor:"attempt,omitempty"`
	Spec       *TaskSpec     `json:"spec,omitempty" cbor:"spec,omitempty"`
	Checkpoint string        `json:"checkpoint,omitempty" cbor:"checkpoint,omitempty"`
	// Grace is set for CommandStop.
	Grace time.Duration `json:"grace,omitempty" cbor:"grace,omitempty"`
}
