package scheduler

import "time"

// Lease is the right of one life of a worker to run one attempt of a task. It is a wire type. Term is
// the term of the leader that granted it.
type Lease struct {
	Number      LeaseNumber   `json:"number" cbor:"number"`
	Task        TaskID        `json:"task" cbor:"task"`
	Attempt     AttemptNumber `json:"attempt" cbor:"attempt"`
	Worker      WorkerName    `json:"worker" cbor:"worker"`
	Incarnation Incarnation   `json:"incarnation" cbor:"incarnation"`
	Term        Term          `json:"term" cbor:"term"`
}

// AttemptOutcome tells how an attempt ended.
type AttemptOutcome string

// Values of AttemptOutcome. A worker reports the first three.
const (
	AttemptFinished AttemptOutcome = "finished"
	AttemptFailed   AttemptOutcome = "failed"
	// AttemptStopped means that the worker stopped the attempt because of a command or because
	// it could not renew the lease.
	AttemptStopped AttemptOutcome = "stopped"
	// AttemptExpired means that the lease ran out without a report.
	AttemptExpired AttemptOutcome = "expired"
	// AttemptLost means that a later life of the worker does not have the attempt.
	AttemptLost AttemptOutcome = "lost"
)

// SyncRequest is what a worker sends in each exchange. It is a wire type. Attempts are named by their
// lease numbers, which are unique in a data centre.
type SyncRequest struct {
	Worker      WorkerName  `json:"worker" cbor:"worker"`
	Incarnation Incarnation `json:"incarnation" cbor:"incarnation"`
	// Sequence rises with each exchange of an incarnation, so that late requests are recognised.
	Sequence uint64 `json:"sequence" cbor:"sequence"`
	// Running lists all attempts that the worker runs.
	Running   []LeaseNumber `json:"running,omitempty" cbor:"running,omitempty"`
	Throttled []LeaseNumber `json:"throttled,omitempty" cbor:"throttled,omitempty"`
	// Ended and Checkpoints are repeated until an answer acknowledges them.
	Ended       []EndedAttempt `json:"ended,omitempty" cbor:"ended,omitempty"`
	Checkpoints []Checkpoint   `json:"checkpoints,omitempty" cbor:"checkpoints,omitempty"`
	Usage       []AttemptUsage `json:"usage,omitempty" cbor:"usage,omitempty"`
}

// EndedAttempt reports the end of an attempt. It is a wire type. An empty Checkpoint means that the
// last reported one still holds.
type EndedAttempt struct {
	Lease      LeaseNumber    `json:"lease" cbor:"lease"`
	Outcome    AttemptOutcome `json:"outcome" cbor:"outcome"`
	Checkpoint string         `json:"checkpoint,omitempty" cbor:"checkpoint,omitempty"`
	Message    string         `json:"message,omitempty" cbor:"message,omitempty"`
}

// Checkpoint reports saved work of a running attempt. It is a wire type. Name is whatever the task
// needs to find its saved work again. Number counts the checkpoints of the lease from 1, so that a
// late report does not replace a newer checkpoint.
type Checkpoint struct {
	Lease  LeaseNumber `json:"lease" cbor:"lease"`
	Number uint32      `json:"number" cbor:"number"`
	Name   string      `json:"name" cbor:"name"`
}

// AttemptUsage is the usage of one attempt in an interval that may be long past. It is a wire type.
// The interval is given as its length and its age at the time of the exchange.
type AttemptUsage struct {
	Lease    LeaseNumber   `json:"lease" cbor:"lease"`
	Age      time.Duration `json:"age" cbor:"age"`
	Interval time.Duration `json:"interval" cbor:"interval"`
	Used     Resources     `json:"used" cbor:"used"`
	// Latency is the 99th percentile of the answers' latency, zero for batch tasks and for
	// services without requests in the interval.
	Latency time.Duration `json:"latency,omitempty" cbor:"latency,omitempty"`
	// Load is the share of the task's capacity in use, from 0 to 1. It is zero for batch tasks.
	Load float64 `json:"load,omitempty" cbor:"load,omitempty"`
}

// SyncResponse is the answer to an exchange. It is a wire type. The worker ignores it when the term is
// lower than one it has seen or when the sequence is not that of its last request.
type SyncResponse struct {
	Sequence uint64 `json:"sequence" cbor:"sequence"`
	Term     Term   `json:"term" cbor:"term"`
	// Renewed lists the leases that run for LeaseDuration from the moment the worker sent the
	// request.
	Renewed       []LeaseNumber `json:"renewed,omitempty" cbor:"renewed,omitempty"`
	LeaseDuration time.Duration `json:"leaseDuration,omitempty" cbor:"leaseDuration,omitempty"`
	// Acknowledged lists the leases whose reported end is recorded.
	Acknowledged []LeaseNumber   `json:"acknowledged,omitempty" cbor:"acknowledged,omitempty"`
	Commands     []WorkerCommand `json:"commands,omitempty" cbor:"commands,omitempty"`
}

// CommandKind is what a worker is told to do with an attempt.
type CommandKind string

// Values of CommandKind.
const (
	// CommandStart starts an attempt; the worker ignores it when it has had the lease or a
	// higher one of the task before.
	CommandStart CommandKind = "start"
	// CommandThrottle slows a task down, CommandUnthrottle ends that.
	CommandThrottle   CommandKind = "throttle"
	CommandUnthrottle CommandKind = "unthrottle"
	// CommandCheckpoint saves work without stopping.
	CommandCheckpoint CommandKind = "checkpoint"
	// CommandStop saves work and stops within the grace period. A worker that does not have the
	// attempt reports it as stopped and never starts it.
	CommandStop CommandKind = "stop"
)

// WorkerCommand is a command about one attempt. It is a wire type. The term is that of the answer.
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
