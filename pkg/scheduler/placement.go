package scheduler

import "time"

// JobID identifies a job; it is unique over all data centres.
type JobID string

// TaskID identifies a task of a job, written "job/number".
type TaskID string

// AttemptNumber counts the attempts of a task from 1 without gaps.
type AttemptNumber uint32

// LeaseNumber numbers the leases of a data centre. It rises and is never reused.
type LeaseNumber uint64

// Class tells whether work must stay prompt or may wait.
type Class string

// Values of Class.
const (
	// ClassLatencyCritical marks tasks of a service that must stay prompt.
	ClassLatencyCritical Class = "latencyCritical"
	// ClassBatch marks work that may wait, be throttled and be evicted.
	ClassBatch Class = "batch"
)

// Resources is an amount of what a worker provides. It is a wire type. Processor time is counted in
// thousandths of a core, so that sums are exact.
type Resources struct {
	MilliCores   int64 `json:"milliCores" cbor:"milliCores"`
	MemoryBytes  int64 `json:"memoryBytes" cbor:"memoryBytes"`
	Accelerators int64 `json:"accelerators" cbor:"accelerators"`
}

// Plus returns the sum of both amounts.
func (resources Resources) Plus(other Resources) Resources {
	return Resources{
		MilliCores:   resources.MilliCores + other.MilliCores,
		MemoryBytes:  resources.MemoryBytes + other.MemoryBytes,
		Accelerators: resources.Accelerators + other.Accelerators,
	}
}

// Minus returns the difference, which may be negative.
func (resources Resources) Minus(other Resources) Resources {
	return Resources{
		MilliCores:   resources.MilliCores - other.MilliCores,
		MemoryBytes:  resources.MemoryBytes - other.MemoryBytes,
		Accelerators: resources.Accelerators - other.Accelerators,
	}
}

// FitsIn reports whether the amount is no larger than capacity in any resource.
func (resources Resources) FitsIn(capacity Resources) bool {
	return resources.MilliCores <= capacity.MilliCores &&
		resources.MemoryBytes <= capacity.MemoryBytes &&
		resources.Accelerators <= capacity.Accelerators
}

// Worker is a worker of the inventory. It is a wire type. Labels state what it may host.
type Worker struct {
	Name       WorkerName        `json:"name" cbor:"name"`
	DataCentre DataCentreName    `json:"dataCentre" cbor:"dataCentre"`
	Rack       string            `json:"rack" cbor:"rack"`
	Capacity   Resources         `json:"capacity" cbor:"capacity"`
	Labels     map[string]string `json:"labels,omitempty" cbor:"labels,omitempty"`
}

// TaskSpec is what a user declares of a task. It is a wire type. Declared figures are often far off.
type TaskSpec struct {
	Class   Class     `json:"class" cbor:"class"`
	Request Resources `json:"request" cbor:"request"`
	// Kind groups tasks that behave alike, for example "fit-record"; interference and run time
	// are learned per kind.
	Kind        string            `json:"kind" cbor:"kind"`
	RunTime     time.Duration     `json:"runTime,omitempty" cbor:"runTime,omitempty"`
	Constraints map[string]string `json:"constraints,omitempty" cbor:"constraints,omitempty"`
	// Spread is the level over which tasks of one job are spread: "rack", "worker" or empty.
	Spread string `json:"spread,omitempty" cbor:"spread,omitempty"`
}

// PlacedTask is a task that occupies a worker, whatever state it is in.
type PlacedTask struct {
	Task TaskID
	// Lease is that of the attempt that occupies the worker. Usage reports name it.
	Lease   LeaseNumber
	Job     JobID
	Team    TeamName
	Spec    TaskSpec
	Started time.Time
	// LastCheckpoint is when work was last saved, zero if never; evicting loses what follows.
	LastCheckpoint time.Time
	Throttled      bool
}

// WorkerState is what a Placer knows of one worker.
type WorkerState struct {
	Worker Worker
	// Reserved counts starting, running, stopping and unknown attempts.
	Reserved Resources
	Tasks    []PlacedTask
	// Schedulable is false while a worker is drained, quarantined or not heard from.
	Schedulable bool
}

// PendingTask is a task that waits for a worker.
type PendingTask struct {
	Task     TaskID
	Job      JobID
	Team     TeamName
	Spec     TaskSpec
	WaitTime time.Duration
	Urgent   bool
	// Deadline is zero when none was given.
	Deadline time.Time
	// AvoidWorkers are workers on which earlier attempts of the task failed.
	AvoidWorkers []WorkerName
}

// Assignment puts a pending task on a worker, after the evictions of Evict have been confirmed.
type Assignment struct {
	Task   TaskID
	Worker WorkerName
	Evict  []TaskID
}

// PlacementFailure states why a task cannot be placed. Never is true when no worker of the inventory could
// ever host it.
type PlacementFailure struct {
	Task      TaskID
	Reason    string
	Permanent bool
}

// Placer decides where pending tasks go. A Placer is used from one goroutine at a time. It keeps an
// index of the workers that Update maintains, so that Place need not read all of them.
type Placer interface {
	// Update replaces the state of one worker.
	Update(worker WorkerState)
	// Remove forgets a worker.
	Remove(worker WorkerName)
	// Place decides for each pending task, in the order of urgency that it chooses, and counts
	// its own assignments as reserved. It never assigns more than a worker can hold.
	Place(now time.Time, pending []PendingTask) ([]Assignment, []PlacementFailure)
}
