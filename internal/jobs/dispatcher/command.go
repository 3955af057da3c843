// Package dispatcher holds the life cycle of jobs, tasks and attempts: the state machine of a data
// centre's group and the engine that its leader runs.
package dispatcher

import (
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
	"github.com/zeebo/errs"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("dispatcher")

// Command is a batch of operations for the state machine. It is a wire type. The operations have
// their effects one after another; one that is refused does not affect the others.
type Command struct {
	AtUnixMilli int64       `cbor:"at"`
	Operations  []Operation `cbor:"operations"`
}

// Operation is one operation. It is a wire type. Exactly one of the pointers is set. Term is the term
// of the leader whose engine decided on it; the state machine refuses it once a later leader has
// taken over. It is 0 for operations of users.
type Operation struct {
	Term        scheduler.Term   `cbor:"term,omitempty"`
	TakeOver    *TakeOver        `cbor:"takeOver,omitempty"`
	Submit      *Submission      `cbor:"submit,omitempty"`
	Cancel      *Cancellation    `cbor:"cancel,omitempty"`
	Release     *Release         `cbor:"release,omitempty"`
	Accept      *Accept          `cbor:"accept,omitempty"`
	ConfirmMove *ConfirmMove     `cbor:"forget,omitempty"`
	Drain       *Drain           `cbor:"drain,omitempty"`
	Inventory   *Inventory       `cbor:"inventory,omitempty"`
	Assign      *Assign          `cbor:"assign,omitempty"`
	Started     *Started         `cbor:"started,omitempty"`
	Checkpoint  *CheckpointSaved `cbor:"checkpoint,omitempty"`
	Evict       *Evict           `cbor:"evict,omitempty"`
	End         *End             `cbor:"end,omitempty"`
	WaitReason  *WaitReason      `cbor:"wait,omitempty"`
	Purge       *Purge           `cbor:"purge,omitempty"`
}

// TakeOver is the first operation of a new leader's engine. Operations of lower terms that commit
// after it are refused, because a lease that the old engine saw expire may have been renewed since.
type TakeOver struct {
	VM scheduler.VMName `cbor:"vm,omitempty"`
}

// Submission asks for a job. It is a wire type. At least one of Job and Key is set; a resend with the
// same one returns the first job.
type Submission struct {
	Job  scheduler.JobID    `json:"job,omitempty" cbor:"job,omitempty"`
	Key  string             `json:"key,omitempty" cbor:"key,omitempty"`
	Team scheduler.TeamName `json:"team" cbor:"team"`
	// Urgent work may evict other work.
	Urgent            bool  `json:"urgent,omitempty" cbor:"urgent,omitempty"`
	DeadlineUnixMilli int64 `json:"deadline,omitempty" cbor:"deadline,omitempty"`
	// MaxFailures is the number of failed attempts of a task after which it is given up; 0 means
	// never.
	MaxFailures uint32      `json:"maxFailures,omitempty" cbor:"maxFailures,omitempty"`
	Tasks       []TaskGroup `json:"tasks" cbor:"tasks"`
}

// TaskGroup is a number of equal tasks of a job. It is a wire type.
type TaskGroup struct {
	Count int                `json:"count" cbor:"count"`
	Spec  scheduler.TaskSpec `json:"spec" cbor:"spec"`
}

// Cancellation ends jobs that have not ended yet. It is a wire type.
type Cancellation struct {
	Jobs     []scheduler.JobID `json:"jobs" cbor:"jobs"`
	Operator string            `json:"operator" cbor:"operator"`
	Reason   string            `json:"reason,omitempty" cbor:"reason,omitempty"`
}

// Drain takes a worker out of use, or back into it when Off is set. It is a wire type.
type Drain struct {
	Worker   scheduler.WorkerName `json:"worker" cbor:"worker"`
	Off      bool                 `json:"off,omitempty" cbor:"off,omitempty"`
	Operator string               `json:"operator" cbor:"operator"`
	Reason   string               `json:"reason,omitempty" cbor:"reason,omitempty"`
}

// Inventory turns the workers of revision Base into those of a higher Revision.
type Inventory struct {
	Base     scheduler.Revision     `cbor:"base"`
	Revision scheduler.Revision     `cbor:"revision"`
	Put      []scheduler.Worker     `cbor:"put,omitempty"`
	Remove   []scheduler.WorkerName `cbor:"remove,omitempty"`
}

// Assign grants a lease for the pending attempt of a task.
type Assign struct {
	Task        scheduler.TaskID        `cbor:"task"`
	Attempt     scheduler.AttemptNumber `cbor:"attempt"`
	Worker      scheduler.WorkerName    `cbor:"worker"`
	Incarnation scheduler.Incarnation   `cbor:"incarnation"`
}

// Started records that a worker has started an attempt.
type Started struct {
	Lease scheduler.LeaseNumber `cbor:"lease"`
}

// CheckpointSaved records a checkpoint. One with a lower number than the last of the lease has no effect.
type CheckpointSaved struct {
	Lease  scheduler.LeaseNumber `cbor:"lease"`
	Number uint32                `cbor:"number"`
	Name   string                `cbor:"name"`
}

// Evict marks an attempt as one that must stop. The next attempt is created by the End operation.
type Evict struct {
	Task    scheduler.TaskID        `cbor:"task"`
	Attempt scheduler.AttemptNumber `cbor:"attempt"`
	Reason  string                  `cbor:"reason"`
}

// End ends an attempt. Unless the task has ended or is given up, it creates the next attempt. It has
// no effect when the lease is not live any more.
type End struct {
	Lease      scheduler.LeaseNumber    `cbor:"lease"`
	Outcome    scheduler.AttemptOutcome `cbor:"outcome"`
	Checkpoint string                   `cbor:"checkpoint,omitempty"`
	Message    string                   `cbor:"message,omitempty"`
}

// WaitReason records why a pending task waits.
type WaitReason struct {
	Task   scheduler.TaskID `cbor:"task"`
	Reason string           `cbor:"reason"`
}

// Purge forgets jobs that ended before a time.
type Purge struct {
	BeforeUnixMilli int64 `cbor:"before"`
}

// ResultOutcome tells what became of an operation.
type ResultOutcome string

// Values of ResultOutcome.
const (
	ResultDone ResultOutcome = "done"
	// ResultUnchanged means that the operation had its effect before or has become pointless.
	ResultUnchanged ResultOutcome = "unchanged"
	ResultRefused   ResultOutcome = "refused"
)

// Result is the answer to one operation. It is a wire type.
type Result struct {
	Outcome ResultOutcome   `cbor:"outcome"`
	Reason  string          `cbor:"reason,omitempty"`
	Job     scheduler.JobID `cbor:"job,omitempty"`
	// Count is the number of jobs that a cancellation reached or a purge removed.
	Count int `cbor:"count,omitempty"`
}

func done() Result                   { return Result{Outcome: ResultDone} }
func unchanged(reason string) Result { return Result{Outcome: ResultUnchanged, Reason: reason} }
func refused(reason string) Result   { return Result{Outcome: ResultRefused, Reason: reason} }

// Back-off of a task whose attempts fail: it doubles from firstBackOff up to maxBackOff, so that a
// crash loop neither fills the log nor occupies workers.
const (
	firstBackOff = time.Second
	maxBackOff   = 5 * time.Minute
)

func backOff(failures uint32) time.Duration {
	if failures == 0 {
		return 0
	}
	return min(maxBackOff, firstBackOff<<min(failures-1, 20))
}
