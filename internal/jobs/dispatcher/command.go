// Package dispatcher manages the life cycle of jobs, tasks and attempts. It contains the replicated state machine of
// a data centre's group and the engine that runs on its leader.
package dispatcher

import (
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
	"github.com/zeebo/errs"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("dispatcher")

// Command is a batch of operations for the state machine. It is a wire type. The operations are applied in order. A
// refused operation does not affect the others.
type Command struct {
	AtUnixMilli int64       `cbor:"at"`
	Operations  []Operation `cbor:"operations"`
}

// Operation is one operation of a command. It is a wire type. Exactly one of the pointers is set. Term is the term of
// the leader whose engine issued the operation; the state machine refuses the operation once a later leader has taken
// over. It is 0 for operations of users.
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

// TakeOver is the first operation of a new leader's engine. Operations of lower terms that commit after it are
// refused, because a lease that the previous engine considered expired may have been renewed in the meantime.
type TakeOver struct {
	VM scheduler.VMName `cbor:"vm,omitempty"`
}

// Submission submits a job. It is a wire type. At least one of Job and Key is set. A resend with the same Job or Key
// returns the job that the first submission created.
type Submission struct {
	Job  scheduler.JobID    `json:"job,omitempty" cbor:"job,omitempty"`
	Key  string             `json:"key,omitempty" cbor:"key,omitempty"`
	Team scheduler.TeamName `json:"team" cbor:"team"`
	// Urgent means that tasks of the job may evict other tasks.
	Urgent            bool  `json:"urgent,omitempty" cbor:"urgent,omitempty"`
	DeadlineUnixMilli int64 `json:"deadline,omitempty" cbor:"deadline,omitempty"`
	// MaxFailures is the number of failed attempts after which a task fails. 0 means no limit.
	MaxFailures uint32      `json:"maxFailures,omitempty" cbor:"maxFailures,omitempty"`
	Tasks       []TaskGroup `json:"tasks" cbor:"tasks"`
}

// TaskGroup is a group of tasks of a job with the same specification. It is a wire type.
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

// Drain drains a worker, or puts it back into service if Off is set. It is a wire type.
type Drain struct {
	Worker   scheduler.WorkerName `json:"worker" cbor:"worker"`
	Off      bool                 `json:"off,omitempty" cbor:"off,omitempty"`
	Operator string               `json:"operator" cbor:"operator"`
	Reason   string               `json:"reason,omitempty" cbor:"reason,omitempty"`
}

// Inventory is the difference between the workers of revision Base and those of a higher Revision.
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

// CheckpointSaved records a checkpoint. It has no effect unless its number is higher than that of the last recorded
// checkpoint of the lease.
type CheckpointSaved struct {
	Lease  scheduler.LeaseNumber `cbor:"lease"`
	Number uint32                `cbor:"number"`
	Name   string                `cbor:"name"`
}

// Evict marks an attempt that must stop. The subsequent End operation creates the next attempt.
type Evict struct {
	Task    scheduler.TaskID        `cbor:"task"`
	Attempt scheduler.AttemptNumber `cbor:"attempt"`
	Reason  string                  `cbor:"reason"`
}

// End ends an attempt. It creates the next attempt unless the task has ended with this one. It has no effect if the
// lease is no longer live.
type End struct {
	Lease      scheduler.LeaseNumber    `cbor:"lease"`
	Outcome    scheduler.AttemptOutcome `cbor:"outcome"`
	Checkpoint string                   `cbor:"checkpoint,omitempty"`
	Message    string                   `cbor:"message,omitempty"`
	// SoleCause means that no other attempt can have caused the crash of the worker.
	SoleCause bool `cbor:"soleCause,omitempty"`
}

// WaitReason records why a pending task has not been placed.
type WaitReason struct {
	Task   scheduler.TaskID `cbor:"task"`
	Reason string           `cbor:"reason"`
}

// Purge deletes jobs that ended before a time.
type Purge struct {
	BeforeUnixMilli int64 `cbor:"before"`
}

// ResultOutcome is the outcome of an operation.
type ResultOutcome string

// Values of ResultOutcome.
const (
	ResultDone ResultOutcome = "done"
	// ResultUnchanged means that the operation had already been applied or is obsolete.
	ResultUnchanged ResultOutcome = "unchanged"
	ResultRefused   ResultOutcome = "refused"
)

// Result is the result of one operation. It is a wire type.
type Result struct {
	Outcome ResultOutcome   `cbor:"outcome"`
	Reason  string          `cbor:"reason,omitempty"`
	Job     scheduler.JobID `cbor:"job,omitempty"`
	// Count is the number of active jobs that a cancellation applied to or the number of jobs that a purge deleted.
	Count int `cbor:"count,omitempty"`
}

func done() Result                   { return Result{Outcome: ResultDone} }
func unchanged(reason string) Result { return Result{Outcome: ResultUnchanged, Reason: reason} }
func refused(reason string) Result   { return Result{Outcome: ResultRefused, Reason: reason} }

// Bounds of the back-off of a task whose attempts fail. The back-off doubles from firstBackOff up to maxBackOff, so
// that a crash loop neither fills the log nor occupies workers.
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
