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
	// JobRefused means that no worker in the inventory could run the job when it was submitted.
	JobRefused JobState = "refused"
	// JobMoved means that the job has been released to another data centre. It does not run here again
	// unless that data centre releases it back.
	JobMoved JobState = "moved"
)

// TaskState is the state of a task and of its current attempt.
type TaskState string

// Values of TaskState.
const (
	TaskPending  TaskState = "pending"
	TaskStarting TaskState = "starting"
	TaskRunning  TaskState = "running"
	// TaskEvicting and TaskCancelling mean that the attempt must stop. It occupies its worker until the worker
	// has confirmed the stop or the lease has expired.
	TaskEvicting   TaskState = "evicting"
	TaskCancelling TaskState = "cancelling"
	TaskFinished   TaskState = "finished"
	TaskFailed     TaskState = "failed"
	TaskCancelled  TaskState = "cancelled"
)

// Event is a state transition of a task. It is a wire type.
type Event struct {
	AtUnixMilli int64                   `json:"at" cbor:"at"`
	Attempt     scheduler.AttemptNumber `json:"attempt" cbor:"attempt"`
	State       TaskState               `json:"state" cbor:"state"`
	Worker      scheduler.WorkerName    `json:"worker,omitempty" cbor:"worker,omitempty"`
	Reason      string                  `json:"reason,omitempty" cbor:"reason,omitempty"`
}

// AuditRecord is the audit record of one operation. It is a wire type.
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
	// maxTaskEvents bounds the retained events of a task, so that a crash loop does not exhaust the memory.
	maxTaskEvents = 6
	// maxAvoidedWorkers bounds the workers that a failing task avoids, so that a task that fails everywhere
	// does not exclude all workers.
	maxAvoidedWorkers = 3
	// maxAuditRecords bounds the audit records that are retained in the state until the audit trail reads them.
	maxAuditRecords = 1024
)

// job is the replicated state of a job. Snapshots contain it.
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
	// MovingTo is set once the job has been released to another data centre. Moves counts the releases.
	Moves     uint64                   `cbor:"moves,omitempty"`
	MovingTo  scheduler.DataCentreName `cbor:"movingTo,omitempty"`
	Submitted int64                    `cbor:"submitted"`
	Ended     int64                    `cbor:"ended,omitempty"`
	Groups    []taskGroup              `cbor:"groups,omitempty"`
	Tasks     []*task                  `cbor:"tasks,omitempty"`

	// open is the number of tasks that have not ended.
	open int
}

type taskGroup struct {
	Spec scheduler.TaskSpec `cbor:"spec"`
	// Unplaceable is the reason why no worker in the inventory can run the tasks. It is empty if one can.
	Unplaceable string `cbor:"nowhere,omitempty"`
}

// task is the replicated state of a task. Snapshots contain it.
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
	// CheckpointNumber is the number of the last checkpoint of the current lease.
	CheckpointNumber uint32 `cbor:"savedNumber,omitempty"`
	// CheckpointedAt, NotBefore and Since are times in Unix milliseconds. The task is not placed before
	// NotBefore, which is set by the back-off after a failure. Since is when the task entered its state.
	CheckpointedAt int64  `cbor:"saved,omitempty"`
	NotBefore      int64  `cbor:"notBefore,omitempty"`
	Since          int64  `cbor:"since"`
	Failures       uint32 `cbor:"failures,omitempty"`
	Evictions      uint32 `cbor:"evictions,omitempty"`
	WorkerLost     bool   `cbor:"replaced,omitempty"`
	// Blame counts the crashes of workers that the task may have caused since an attempt last survived.
	Blame  uint32                 `cbor:"blame,omitempty"`
	Reason string                 `cbor:"reason,omitempty"`
	Avoid  []scheduler.WorkerName `cbor:"avoid,omitempty"`
	Events []Event                `cbor:"events,omitempty"`

	job *job
}

func (task *task) spec() *scheduler.TaskSpec { return &task.job.Groups[task.Group].Spec }

func (task *task) ended() bool {
	return task.State == TaskFinished || task.State == TaskFailed || task.State == TaskCancelled
}

// occupies reports whether the current attempt holds a lease and therefore occupies a worker.
func (task *task) occupies() bool { return task.Lease != 0 }

func (task *task) transition(state TaskState, at int64, reason string) {
	task.State, task.Since, task.Reason = state, at, reason
	task.Events = append(task.Events, Event{
		AtUnixMilli: at, Attempt: task.Attempt, State: state, Worker: task.Worker, Reason: reason,
	})
	if task.ended() {
		task.job.open--
	}
	if excess := len(task.Events) - maxTaskEvents; excess > 0 {
		task.Events = append(task.Events[:0], task.Events[excess:]...)
	}
}

// worker is the replicated state of a worker. Snapshots contain it.
type worker struct {
	Worker  scheduler.Worker `cbor:"worker"`
	Drained bool             `cbor:"drained,omitempty"`
	Reason  string           `cbor:"reason,omitempty"`
	// Removed means that the worker is no longer in the inventory. It is kept while attempts occupy it.
	Removed bool `cbor:"removed,omitempty"`

	reserved scheduler.Resources
	// tasks holds the tasks with an attempt on this worker, sorted by lease. A sync request lists its leases in
	// the same order, so processing it requires no map look-ups.
	tasks []*task
}

// find returns the index of a lease in tasks, or the index at which it would be inserted.
func (worker *worker) find(lease scheduler.LeaseNumber) (int, bool) {
	return slices.BinarySearchFunc(worker.tasks, lease, func(task *task, lease scheduler.LeaseNumber) int {
		return cmp.Compare(task.Lease, lease)
	})
}
