package dispatcher

import (
	"cmp"
	"slices"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// JobState is the state of a job.
type JobState string

// Values of JobState.
const (
	JobActive    JobState = "active"
	JobFinished  JobState = "finished"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
	// JobRefused means that the job could run nowhere when it was submitted.
	JobRefused JobState = "refused"
	// JobMoved means that the job has left for another data centre and never runs here again.
	JobMoved JobState = "moved"
)

// TaskState is the state of a task and of its current attempt.
type TaskState string

// Values of TaskState.
const (
	TaskPending  TaskState = "pending"
	TaskStarting TaskState = "starting"
	TaskRunning  TaskState = "running"
	// TaskEvicting and TaskCancelling mean that the attempt must stop; it occupies its worker
	// until the stop is confirmed or the lease has expired.
	TaskEvicting   TaskState = "evicting"
	TaskCancelling TaskState = "cancelling"
	TaskFinished   TaskState = "finished"
	TaskFailed     TaskState = "failed"
	TaskCancelled  TaskState = "cancelled"
)

// Event is one step in the life of a task. It is a wire type.
type Event struct {
	AtUnixMilli int64                   `json:"at" cbor:"at"`
	Attempt     scheduler.AttemptNumber `json:"attempt" cbor:"attempt"`
	State       TaskState               `json:"state" cbor:"state"`
	Worker      scheduler.WorkerName    `json:"worker,omitempty" cbor:"worker,omitempty"`
	Reason      string                  `json:"reason,omitempty" cbor:"reason,omitempty"`
}

// AuditRecord is the record of one decision. It is a wire type.
type AuditRecord struct {
	Index       scheduler.Index `json:"index" cbor:"index"`
	AtUnixMilli int64           `json:"at" cbor:"at"`
	Action      string          `json:"action" cbor:"action"`
	Subject     string          `json:"subject" cbor:"subject"`
	Actor       string          `json:"actor,omitempty" cbor:"actor,omitempty"`
	Outcome     ResultOutcome   `json:"outcome" cbor:"outcome"`
	Reason      string          `json:"reason,omitempty" cbor:"reason,omitempty"`
}

const (
	// keptEvents bounds the events of a task; a crash loop would otherwise fill the memory.
	keptEvents = 6
	// keptAvoided bounds the workers that a failing task avoids, so that it does not run out of
	// workers because of its own fault.
	keptAvoided = 3
	// keptAudit bounds the audit records that wait in the state for the audit trail.
	keptAudit = 1024
)

// job is a job as the state machine and its snapshots hold it.
type job struct {
	ID                scheduler.JobID    `cbor:"id"`
	Key               string             `cbor:"key,omitempty"`
	Team              scheduler.TeamName `cbor:"team"`
	Urgent            bool               `cbor:"urgent,omitempty"`
	DeadlineUnixMilli int64              `cbor:"deadline,omitempty"`
	MaxFailures       uint32             `cbor:"maxFailures,omitempty"`
	Digest            []byte             `cbor:"digest"`
	State             JobState           `cbor:"state"`
	Reason            string             `cbor:"reason,omitempty"`
	// MovingTo is set from the release of the job on; Moves counts the releases.
	Moves     uint64                   `cbor:"moves,omitempty"`
	MovingTo  scheduler.DataCentreName `cbor:"movingTo,omitempty"`
	Submitted int64                    `cbor:"submitted"`
	Ended     int64                    `cbor:"ended,omitempty"`
	Groups    []taskGroup              `cbor:"groups,omitempty"`
	Tasks     []*task                  `cbor:"tasks,omitempty"`

	// open counts the tasks that have not ended.
	open int
}

type taskGroup struct {
	Spec scheduler.TaskSpec `cbor:"spec"`
	// Nowhere is the reason why no worker of the inventory can host the tasks, empty if one can.
	Nowhere string `cbor:"nowhere,omitempty"`
}

// task is a task as the state machine and its snapshots hold it.
type task struct {
	ID          scheduler.TaskID        `cbor:"id"`
	Group       int                     `cbor:"group,omitempty"`
	State       TaskState               `cbor:"state"`
	Attempt     scheduler.AttemptNumber `cbor:"attempt"`
	Lease       scheduler.LeaseNumber   `cbor:"lease,omitempty"`
	Term        scheduler.Term          `cbor:"term,omitempty"`
	Worker      scheduler.WorkerName    `cbor:"worker,omitempty"`
	Incarnation scheduler.Incarnation   `cbor:"incarnation,omitempty"`
	Checkpoint  string                  `cbor:"checkpoint,omitempty"`
	// SavedNumber is the number of the last checkpoint of the current lease.
	SavedNumber uint32 `cbor:"savedNumber,omitempty"`
	// Saved, NotBefore, Since and StopSince are times in Unix milliseconds; Since is when the
	// task came into its state, StopSince when it was first asked to stop.
	Saved     int64                  `cbor:"saved,omitempty"`
	NotBefore int64                  `cbor:"notBefore,omitempty"`
	Since     int64                  `cbor:"since"`
	Failures  uint32                 `cbor:"failures,omitempty"`
	Evictions uint32                 `cbor:"evictions,omitempty"`
	Replaced  bool                   `cbor:"replaced,omitempty"`
	Reason    string                 `cbor:"reason,omitempty"`
	Avoid     []scheduler.WorkerName `cbor:"avoid,omitempty"`
	Events    []Event                `cbor:"events,omitempty"`

	job *job
}

func (task *task) spec() *scheduler.TaskSpec { return &task.job.Groups[task.Group].Spec }

func (task *task) ended() bool {
	return task.State == TaskFinished || task.State == TaskFailed || task.State == TaskCancelled
}

// occupies reports whether the current attempt occupies a worker.
func (task *task) occupies() bool { return task.Lease != 0 }

func (task *task) enter(state TaskState, at int64, reason string) {
	task.State, task.Since, task.Reason = state, at, reason
	task.Events = append(task.Events, Event{
		AtUnixMilli: at, Attempt: task.Attempt, State: state, Worker: task.Worker, Reason: reason,
	})
	if task.ended() {
		task.job.open--
	}
	if excess := len(task.Events) - keptEvents; excess > 0 {
		task.Events = append(task.Events[:0], task.Events[excess:]...)
	}
}

// worker is a worker as the state machine and its snapshots hold it.
type worker struct {
	Worker  scheduler.Worker `cbor:"worker"`
	Drained bool             `cbor:"drained,omitempty"`
	Reason  string           `cbor:"reason,omitempty"`
	// Removed workers are kept while attempts occupy them.
	Removed bool `cbor:"removed,omitempty"`

	reserved scheduler.Resources
	// tasks are the tasks with an attempt here, in the order of their leases, so that an exchange,
	// which lists leases in the same order, needs no look-up in a map.
	tasks []*task
}

// find returns the position of a lease on the worker.
func (worker *worker) find(lease scheduler.LeaseNumber) (int, bool) {
	return slices.BinarySearchFunc(worker.tasks, lease, func(task *task, lease scheduler.LeaseNumber) int {
		return cmp.Compare(task.Lease, lease)
	})
}
