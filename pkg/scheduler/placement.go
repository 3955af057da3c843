package scheduler

import "time"

// JobID identifies a job. It is unique across all data centres.
type JobID string

// TaskID identifies a task of a job. It has the form "job/number".
type TaskID string

// AttemptNumber numbers the attempts of a task consecutively from 1.
type AttemptNumber uint32

// LeaseNumber numbers the leases of a data centre. It increases and is never reused.
type LeaseNumber uint64

// Class is the scheduling class of a task or service: latency-critical or batch.
type Class string

// Values of Class.
const (
	// ClassLatencyCritical is the class of the tasks of a service that must respond with low latency.
	ClassLatencyCritical Class = "latencyCritical"
	// ClassBatch is the class of tasks that may be delayed, throttled and evicted.
	ClassBatch Class = "batch"
)

// Resources is an amount of the resources that a worker provides. It is a wire type. CPU time is an integer number of
// millicores, so that sums are exact.
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

// FitsIn reports whether the amount does not exceed capacity in any resource.
func (resources Resources) FitsIn(capacity Resources) bool {
	return resources.MilliCores <= capacity.MilliCores &&
		resources.MemoryBytes <= capacity.MemoryBytes &&
		resources.Accelerators <= capacity.Accelerators
}

// Worker is a worker in the inventory. It is a wire type. Labels specify which tasks it may host.
type Worker struct {
	Name       WorkerName        `json:"name" cbor:"name"`
	DataCentre DataCentreName    `json:"dataCentre" cbor:"dataCentre"`
	Rack       string            `json:"rack" cbor:"rack"`
	Capacity   Resources         `json:"capacity" cbor:"capacity"`
	Labels     map[string]string `json:"labels,omitempty" cbor:"labels,omitempty"`
}

// TaskSpec is the specification of a task that a user declares. It is a wire type. The declared amounts and run times
// are often inaccurate.
type TaskSpec struct {
	Class   Class     `json:"class" cbor:"class"`
	Request Resources `json:"request" cbor:"request"`
	// Kind groups tasks of similar behaviour, for example "fit-record". Interference and run time are estimated
	// per kind.
	Kind        string            `json:"kind" cbor:"kind"`
	RunTime     time.Duration     `json:"runTime,omitempty" cbor:"runTime,omitempty"`
	Constraints map[string]string `json:"constraints,omitempty" cbor:"constraints,omitempty"`
	// Spread is the topology level across which the tasks of a job are spread: "rack", "worker" or empty.
	Spread string `json:"spread,omitempty" cbor:"spread,omitempty"`
}

// PlacedTask is a task that occupies a worker, regardless of its state.
type PlacedTask struct {
	Task TaskID
	// Lease is the lease of the attempt that occupies the worker. Usage reports refer to it.
	Lease   LeaseNumber
	Job     JobID
	Team    TeamName
	Spec    TaskSpec
	Started time.Time
	// LastCheckpoint is when the last checkpoint was saved, or zero if there is none. An eviction loses the work
	// since then.
	LastCheckpoint time.Time
	Throttled      bool
}

// WorkerState is the state of one worker as a Placer sees it.
type WorkerState struct {
	Worker Worker
	// Reserved is the sum over all attempts that are starting, running, stopping or in an unknown state.
	Reserved Resources
	Tasks    []PlacedTask
	// Schedulable is false while the worker is drained, quarantined or unreachable.
	Schedulable bool
}

// PendingTask is a task that waits for placement.
type PendingTask struct {
	Task     TaskID
	Job      JobID
	Team     TeamName
	Spec     TaskSpec
	WaitTime time.Duration
	Urgent   bool
	// Deadline is zero if the task has none.
	Deadline time.Time
	// AvoidWorkers are workers on which earlier attempts of the task failed.
	AvoidWorkers []WorkerName
}

// Assignment places a pending task on a worker. The task may start once the evictions of all tasks in Evict have been
// confirmed.
type Assignment struct {
	Task   TaskID
	Worker WorkerName
	Evict  []TaskID
}

// PlacementFailure describes why a task cannot be placed. Permanent is true if no worker in the inventory could ever
// host it.
type PlacementFailure struct {
	Task      TaskID
	Reason    string
	Permanent bool
}

// Placer assigns pending tasks to workers. It is not safe for concurrent use. It maintains an index of the workers,
// which Update keeps current, so that Place does not have to scan all of them.
type Placer interface {
	// Update replaces the state of one worker.
	Update(worker WorkerState)
	// Remove removes a worker from the index.
	Remove(worker WorkerName)
	// Place decides for each pending task, in an order of urgency that the implementation chooses, and counts its
	// own assignments as reserved. It never exceeds the capacity of a worker.
	Place(now time.Time, pending []PendingTask) ([]Assignment, []PlacementFailure)
}
