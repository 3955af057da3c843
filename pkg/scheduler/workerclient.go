package scheduler

import (
	"context"
	"time"
)

// WorkerPhase tells whether a called worker takes new work.
type WorkerPhase string

// Values of WorkerPhase.
const (
	// WorkerReady means that the worker takes new work.
	WorkerReady WorkerPhase = "ready"
	// WorkerDraining means that the worker leaves soon and takes no new work.
	WorkerDraining WorkerPhase = "draining"
)

// WorkerHeartbeat is what a called worker states about itself. It is a wire type.
type WorkerHeartbeat struct {
	Worker WorkerName `cbor:"1,keyasint"`
	// Instance distinguishes the lives of a worker that keeps its name; a higher one is the later life.
	Instance Incarnation `cbor:"2,keyasint"`
	// VM names the machine that the worker runs on, which stays the same from one life to the next.
	VM         VMName         `cbor:"3,keyasint,omitempty"`
	Pool       PoolName       `cbor:"4,keyasint"`
	Address    string         `cbor:"5,keyasint"`
	DataCentre DataCentreName `cbor:"6,keyasint"`
	Phase      WorkerPhase    `cbor:"7,keyasint"`
	// DrainRemaining is how long a draining worker stays at least.
	DrainRemaining time.Duration `cbor:"8,keyasint,omitempty"`
	Capacity       Resources     `cbor:"9,keyasint"`
	Labels         []string      `cbor:"10,keyasint,omitempty"`
	// Clock is the worker's own clock when it sent the beat.
	Clock time.Duration `cbor:"11,keyasint"`
	// Sequence rises with each beat of a life, so that a late one is recognised.
	Sequence uint64 `cbor:"12,keyasint"`
}

// WorkerRef names one life of a called worker and where it is reached. It is a wire type.
type WorkerRef struct {
	_        struct{} `cbor:",toarray"`
	Worker   WorkerName
	Instance Incarnation
	Address  string
}

// OrderResult is how a called worker has answered an order.
type OrderResult string

// Values of OrderVerdict. All but OrderAccepted mean that this copy of the order had no effect.
const (
	OrderAccepted OrderResult = "accepted"
	// OrderFenced means that the worker has seen a higher fencing token.
	OrderFenced OrderResult = "fenced"
	// OrderStaleAttempt means that the worker has ended or stopped this attempt or a later one.
	OrderStaleAttempt OrderResult = "outdated"
	// OrderLeaseExpired means that the lease of the order had ended when it arrived.
	OrderLeaseExpired OrderResult = "late"
	// OrderInsufficientCapacity means that the task does not fit.
	OrderInsufficientCapacity OrderResult = "noRoom"
	// OrderNotApproved means that the approval is missing or has ended.
	OrderNotApproved OrderResult = "notApproved"
	// OrderInvalid means that the worker cannot read the order.
	OrderInvalid OrderResult = "invalid"
	// OrderWorkerUnhealthy means that the worker takes no orders now.
	OrderWorkerUnhealthy OrderResult = "unhealthy"
	// OrderIncarnationMismatch means that another life of a worker answers at the address.
	OrderIncarnationMismatch OrderResult = "otherLife"
)

// OrderResponse is the answer to an order. It is a wire type.
type OrderResponse struct {
	_      struct{} `cbor:",toarray"`
	Result OrderResult
	// Clock is the worker's clock at the answer, zero if the answer has none.
	Clock time.Duration
}

// StartOrder asks a called worker to run an attempt of a task. It is a wire type.
type StartOrder struct {
	_       struct{} `cbor:",toarray"`
	Run     RunID
	Payload string
	// LeaseEnd is the time on the worker's clock at which the lease of the worker ends.
	LeaseEnd   time.Duration
	Token      Term
	Checkpoint string
	// Approval is the proof of the approval service, empty without one.
	Approval string
}

// RenewOrder extends the lease of a called worker and acknowledges the ends of attempts. It is a wire type.
type RenewOrder struct {
	_        struct{} `cbor:",toarray"`
	LeaseEnd time.Duration
	Token    Term
	// Acknowledged is the number of the last end that has been recorded.
	Acknowledged uint64
	// Wait is for how long the worker may hold the answer back until an attempt ends.
	Wait time.Duration
}

// RunningAttempt is an attempt that a called worker runs. It is a wire type.
type RunningAttempt struct {
	_          struct{} `cbor:",toarray"`
	Run        RunID
	Checkpoint string
	// Progress is the percentage of its work that the attempt has done; that of a long-running task is 100
	// once it is at work.
	Progress int
	// LoadSample is a rough figure of the last half second: the tail latency of a serving task in milliseconds,
	// and for any other one the processor time in use in thousandths of a core.
	LoadSample float64
}

// EndKind tells how an attempt on a called worker ended.
type EndKind string

// Values of EndKind.
const (
	EndFinished EndKind = "finished"
	// EndFailed means that the task or the worker failed.
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	// EndLeaseExpired means that the lease ran out.
	EndLeaseExpired EndKind = "expired"
	// EndGangBroken means that another member of the gang ended.
	EndGangBroken EndKind = "broken"
	// EndGangIncomplete means that the other members of the gang did not start in time.
	EndGangIncomplete EndKind = "alone"
	// EndLost means that the life of the worker is over, or that it does not know the attempt.
	EndLost EndKind = "lost"
	// EndRefused means that the worker never ran the attempt.
	EndRefused EndKind = "refused"
)

// AttemptEnd is the end of an attempt on a called worker. It is a wire type.
type AttemptEnd struct {
	_ struct{} `cbor:",toarray"`
	// Number counts the ends of a life of the worker from 1.
	Number     uint64
	Run        RunID
	Kind       EndKind
	Checkpoint string
}

// WorkerReport is the answer to a RenewOrder. It is a wire type.
type WorkerReport struct {
	_        struct{} `cbor:",toarray"`
	Result   OrderResult
	Instance Incarnation
	Clock    time.Duration
	Running  []RunningAttempt
	Ended    []AttemptEnd
}

// WorkerClient sends orders to called workers. An order reaches the life that the WorkerRef names or none: a later life
// of the worker, which may have its name and address, answers OrderOtherLife. An error of class ErrNotRun means that the order did not
// reach the worker; after any other error it may take effect, even seconds later. It is safe for
// concurrent use.
type WorkerClient interface {
	// Start is idempotent: it is accepted again while the attempt runs.
	Start(ctx context.Context, worker WorkerRef, order StartOrder) (OrderResponse, error)
	// Stop ends an attempt. An attempt that has not arrived yet will be refused.
	Stop(ctx context.Context, worker WorkerRef, run RunID, token Term) (OrderResponse, error)
	// Renew extends the lease and returns what runs and what has ended since the acknowledged end.
	Renew(ctx context.Context, worker WorkerRef, order RenewOrder) (WorkerReport, error)
	// Throttle lets an attempt work at a percentage, 100 for full speed.
	Throttle(ctx context.Context, worker WorkerRef, run RunID, percent int, token Term) (OrderResponse, error)
}

// ApprovedWorker is a worker on which a step may run.
type ApprovedWorker struct {
	Worker WorkerName
	// Proof is passed on with each start until Until.
	Proof string
}

// Approver asks which workers may run a step. It is safe for concurrent use.
type Approver interface {
	// Approve returns those of the candidates that may run the step and for how long the answer may
	// be used.
	Approve(ctx context.Context, job JobID, occurrence, step int, candidates []WorkerName) (approved []ApprovedWorker, valid time.Duration, err error)
}
