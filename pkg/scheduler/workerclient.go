package scheduler

import (
	"context"
	"time"
)

// WorkerPhase is the lifecycle phase of a called worker. A called worker is one to which the scheduler sends
// orders, in contrast to a worker that polls for commands with a SyncRequest.
type WorkerPhase string

// Values of WorkerPhase.
const (
	// WorkerReady means that the worker accepts new attempts.
	WorkerReady WorkerPhase = "ready"
	// WorkerDraining means that the worker is about to shut down and accepts no new attempts.
	WorkerDraining WorkerPhase = "draining"
)

// WorkerHeartbeat is the state that a called worker reports periodically. It is a wire type.
type WorkerHeartbeat struct {
	Worker WorkerName `cbor:"1,keyasint"`
	// Instance distinguishes the process instances of a worker that keeps its name across restarts. A
	// higher value is a later instance.
	Instance Incarnation `cbor:"2,keyasint"`
	// VM is the machine on which the worker runs. It is the same for all instances of the worker.
	VM         VMName         `cbor:"3,keyasint,omitempty"`
	Pool       PoolName       `cbor:"4,keyasint"`
	Address    string         `cbor:"5,keyasint"`
	DataCentre DataCentreName `cbor:"6,keyasint"`
	Phase      WorkerPhase    `cbor:"7,keyasint"`
	// DrainRemaining is the minimum time until a draining worker shuts down.
	DrainRemaining time.Duration `cbor:"8,keyasint,omitempty"`
	Capacity       Resources     `cbor:"9,keyasint"`
	Labels         []string      `cbor:"10,keyasint,omitempty"`
	// Clock is the reading of the worker's own clock when it sent the heartbeat.
	Clock time.Duration `cbor:"11,keyasint"`
	// Sequence increases with each heartbeat of an instance, so that the receiver can discard reordered ones.
	Sequence uint64 `cbor:"12,keyasint"`
	// ColdRemaining is how much longer the worker remains slow after its start. It is zero for a warm worker.
	ColdRemaining time.Duration `cbor:"13,keyasint,omitempty"`
}

// WorkerRef identifies one instance of a called worker and the address at which it is reached. It is a wire type.
type WorkerRef struct {
	_        struct{} `cbor:",toarray"`
	Worker   WorkerName
	Instance Incarnation
	Address  string
}

// OrderResult is the result of an order that was sent to a called worker.
type OrderResult string

// Values of OrderResult. Every value other than OrderAccepted and OrderAcceptedUnreadable means that this transmission of
// the order had no effect.
const (
	OrderAccepted OrderResult = "accepted"
	// OrderAcceptedUnreadable means that a renewal was accepted, but that the report contains attempts that cannot be read.
	// They are left out, so that an attempt that the report does not list may be running or have ended.
	OrderAcceptedUnreadable OrderResult = "acceptedUnreadable"
	// OrderFenced means that the worker has seen a higher fencing token.
	OrderFenced OrderResult = "fenced"
	// OrderStaleAttempt means that the worker has already ended or stopped this attempt or a later one.
	OrderStaleAttempt OrderResult = "outdated"
	// OrderLeaseExpired means that the lease of the order had expired when the order arrived.
	OrderLeaseExpired OrderResult = "late"
	// OrderInsufficientCapacity means that the task does not fit into the worker's free capacity.
	OrderInsufficientCapacity OrderResult = "noRoom"
	// OrderNotApproved means that the approval is missing or has expired.
	OrderNotApproved OrderResult = "notApproved"
	// OrderInvalid means that the worker cannot decode the order.
	OrderInvalid OrderResult = "invalid"
	// OrderWorkerUnhealthy means that the worker accepts no orders at the moment.
	OrderWorkerUnhealthy OrderResult = "unhealthy"
	// OrderIncarnationMismatch means that a different instance of a worker responds at the address.
	OrderIncarnationMismatch OrderResult = "otherLife"
)

// OrderResponse is the response to an order. It is a wire type.
type OrderResponse struct {
	_      struct{} `cbor:",toarray"`
	Result OrderResult
	// Clock is the worker's clock when it responded. It is zero if the response does not carry one.
	Clock time.Duration
}

// StartOrder tells a called worker to run an attempt of a task. It is a wire type.
type StartOrder struct {
	_       struct{} `cbor:",toarray"`
	Run     RunID
	Payload string
	// LeaseEnd is when the lease of the worker expires, on the worker's clock.
	LeaseEnd   time.Duration
	Token      Term
	Checkpoint string
	// Approval is the proof that the approval service issued. It is empty if no approval is required.
	Approval string
}

// RenewOrder extends the lease of a called worker and acknowledges ended attempts. It is a wire type.
type RenewOrder struct {
	_ struct{} `cbor:",toarray"`
	// LeaseEnd is when the lease expires, on the worker's clock. Zero does not extend it.
	LeaseEnd time.Duration
	Token    Term
	// Acknowledged is the highest AttemptEnd.Number that has been recorded.
	Acknowledged uint64
	// Wait is how long the worker may delay its response until an attempt ends (long polling).
	Wait time.Duration
}

// RunningAttempt is the status of an attempt that is running on a called worker. It is a wire type.
type RunningAttempt struct {
	_          struct{} `cbor:",toarray"`
	Run        RunID
	Checkpoint string
	// Progress is the percentage of the work that is done. For a long-running task it is 100 as soon as the
	// task is operational.
	Progress int
	// LoadSample is an approximate measurement over the last 500 ms: the tail latency in milliseconds for a
	// serving task, and the CPU usage in millicores for any other task.
	LoadSample float64
}

// EndKind is the reason why an attempt on a called worker ended.
type EndKind string

// Values of EndKind.
const (
	EndFinished EndKind = "finished"
	// EndFailed means that the task or the worker failed.
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	// EndLeaseExpired means that the lease of the worker expired.
	EndLeaseExpired EndKind = "expired"
	// EndGangBroken means that another member of the gang ended first.
	EndGangBroken EndKind = "broken"
	// EndGangIncomplete means that the other members of the gang did not start in time.
	EndGangIncomplete EndKind = "alone"
	// EndLost means that the worker instance is gone or has no record of the attempt.
	EndLost EndKind = "lost"
	// EndRefused means that the worker never ran the attempt.
	EndRefused EndKind = "refused"
	// EndCrashedStarting means that the worker crashed shortly after it had accepted the attempt, which is a likely cause.
	EndCrashedStarting EndKind = "crashedStarting"
	// EndCrashedRunning means that the worker crashed and that the attempt is a possible cause, but not a likely one: it
	// was accepted earlier, its start was not answered, or many workers crashed at once.
	EndCrashedRunning EndKind = "crashedRunning"
)

// AttemptEnd reports the end of an attempt on a called worker. It is a wire type.
type AttemptEnd struct {
	_ struct{} `cbor:",toarray"`
	// Number numbers the attempt ends of a worker instance consecutively from 1.
	Number     uint64
	Run        RunID
	Kind       EndKind
	Checkpoint string
}

// WorkerReport is the response to a RenewOrder. It is a wire type.
type WorkerReport struct {
	_        struct{} `cbor:",toarray"`
	Result   OrderResult
	Instance Incarnation
	Clock    time.Duration
	Running  []RunningAttempt
	Ended    []AttemptEnd
}

// WorkerClient sends orders to called workers. An order takes effect only on the instance that the WorkerRef
// identifies: a later instance, which may have the same name and address, returns OrderIncarnationMismatch. An
// error of class ErrNotRun means that the order did not reach the worker; after any other error it may still
// take effect, even seconds later. An error of class ErrConnectionClosed means that the worker's side ended the
// connection, as it does when its process exits. It is safe for concurrent use.
type WorkerClient interface {
	// Start runs an attempt. It is idempotent: a repeated order is accepted while the attempt is running.
	Start(ctx context.Context, worker WorkerRef, order StartOrder) (OrderResponse, error)
	// Stop ends an attempt. If the start order of the attempt arrives only later, the worker rejects it.
	Stop(ctx context.Context, worker WorkerRef, run RunID, token Term) (OrderResponse, error)
	// Renew extends the lease and returns the running attempts and those that ended after the acknowledged
	// one.
	Renew(ctx context.Context, worker WorkerRef, order RenewOrder) (WorkerReport, error)
	// Throttle limits an attempt to a percentage of its full speed. 100 removes the limit.
	Throttle(ctx context.Context, worker WorkerRef, run RunID, percent int, token Term) (OrderResponse, error)
}

// ApprovedWorker is a worker on which the approval service allows a step to run.
type ApprovedWorker struct {
	Worker WorkerName
	// Proof is sent with each StartOrder for as long as the approval is valid.
	Proof string
}

// Approver asks the approval service which workers may run a step. It is safe for concurrent use.
type Approver interface {
	// Approve returns the candidates that may run the step, and for how long the approval is valid.
	Approve(
		ctx context.Context, job JobID, occurrence, step int, candidates []WorkerName,
	) (approved []ApprovedWorker, valid time.Duration, err error)
}
