package scheduler

import (
	"fmt"
	"time"
)

// Workflow is a job that consists of steps, each of which has identical tasks. It is a wire type and immutable once it
// has been submitted.
type Workflow struct {
	// Payload is passed to every task unchanged. The scheduler does not interpret it.
	Payload string `json:"payload,omitempty" cbor:"1,keyasint,omitempty"`
	Steps   []Step `json:"steps" cbor:"2,keyasint"`
	// Repeat is nil for a job that runs only once, as soon as it has been accepted.
	Repeat *Repeat `json:"repeat,omitempty" cbor:"3,keyasint,omitempty"`
}

// Repeat schedules the steps of a job to run several times. Occurrences are numbered from 0 and may overlap.
type Repeat struct {
	// First is the wall-clock time at which occurrence 0 is due.
	First    time.Time     `json:"first" cbor:"1,keyasint"`
	Interval time.Duration `json:"interval" cbor:"2,keyasint"`
	Times    int           `json:"times" cbor:"3,keyasint"`
}

// Due returns when an occurrence is due.
func (repeat Repeat) Due(occurrence int) time.Time {
	return repeat.First.Add(time.Duration(occurrence) * repeat.Interval)
}

// Step describes the tasks of one step of a workflow. It is a wire type.
type Step struct {
	// Count is the number of tasks, at least 1.
	Count int `json:"count" cbor:"1,keyasint"`
	// Request is the resource request of each task. The CPU time of a fill step is only an upper limit.
	Request Resources `json:"request" cbor:"2,keyasint"`
	// Estimate is the submitter's estimate of a task's run time, or zero if there is none.
	Estimate time.Duration `json:"estimate,omitempty" cbor:"3,keyasint,omitempty"`
	// DependsOn holds the indices of the earlier steps whose tasks must all finish before this step starts.
	DependsOn []int `json:"dependsOn,omitempty" cbor:"4,keyasint,omitempty"`
	// Gang is true if the tasks make progress only while all of them are running (gang scheduling).
	Gang bool `json:"gang,omitempty" cbor:"5,keyasint,omitempty"`
	// RackLocal is true if the tasks run slower when they are spread over more than one rack.
	RackLocal bool `json:"rackLocal,omitempty" cbor:"6,keyasint,omitempty"`
	// RequiredLabel is a label that the worker must have. Empty allows any worker.
	RequiredLabel string `json:"requiredLabel,omitempty" cbor:"7,keyasint,omitempty"`
	// PreferredRack is the label of the rack that holds the input data. Empty means no preference.
	PreferredRack string `json:"preferredRack,omitempty" cbor:"8,keyasint,omitempty"`
	// MaxPerWorker is the maximum number of tasks of the step on one worker. 0 means no limit.
	MaxPerWorker int `json:"maxPerWorker,omitempty" cbor:"9,keyasint,omitempty"`
	// Checkpointing is true if the tasks save checkpoints of their progress.
	Checkpointing bool `json:"checkpointing,omitempty" cbor:"10,keyasint,omitempty"`
	// Speculative is true if several attempts of a task may run at the same time. The first one to finish determines
	// the result.
	Speculative bool `json:"speculative,omitempty" cbor:"11,keyasint,omitempty"`
	// LongRunning is true if the tasks run until the job is cancelled.
	LongRunning bool `json:"longRunning,omitempty" cbor:"12,keyasint,omitempty"`
	// Image identifies the program of the tasks. Interference is estimated per image.
	Image string `json:"image,omitempty" cbor:"13,keyasint,omitempty"`
	// LatencyTarget is the upper limit for the tail latency of a serving task. Zero means no limit.
	LatencyTarget time.Duration `json:"latencyTarget,omitempty" cbor:"14,keyasint,omitempty"`
	// Fill is true if the tasks run only on the CPU time that other tasks leave unused. No CPU time is reserved for
	// them.
	Fill bool `json:"fill,omitempty" cbor:"15,keyasint,omitempty"`
	// MaxUnavailable is the maximum number of tasks of a long-running step that may be unavailable at the same
	// time because of the system.
	MaxUnavailable int `json:"allowedAbsences,omitempty" cbor:"16,keyasint,omitempty"`
}

// Reserved returns the amount that a task of the step reserves of its worker's capacity.
func (step Step) Reserved() Resources {
	reserved := step.Request
	if step.Fill {
		reserved.MilliCores = 0
	}
	return reserved
}

// Limits of a job. Each VM that holds state keeps all tasks of a job in memory, so that a single job without limits
// could exhaust the memory of all of them.
const (
	maxSteps = 1_000
	maxTasks = 20_000
	// maxRequest limits each requested amount, so that sums over many tasks stay exact.
	maxRequest = 1 << 44
)

// Validate returns an error that describes the first invalid value of a workflow.
func (workflow *Workflow) Validate() error {
	if len(workflow.Steps) == 0 || len(workflow.Steps) > maxSteps {
		return fmt.Errorf("job has %d steps, want 1 to %d", len(workflow.Steps), maxSteps)
	}
	tasks := 0
	for position, step := range workflow.Steps {
		if err := step.validate(position); err != nil {
			return fmt.Errorf("step %d: %w", position, err)
		}
		if tasks += step.Count; tasks > maxTasks {
			return fmt.Errorf("job has more than %d tasks", maxTasks)
		}
	}
	return workflow.Repeat.validate()
}

func (repeat *Repeat) validate() error {
	switch {
	case repeat == nil:
		return nil
	case repeat.Times < 1 || repeat.Interval < 0:
		return fmt.Errorf("repeat: invalid schedule of %d times every %v", repeat.Times, repeat.Interval)
	}
	return nil
}

func (step Step) validate(position int) error {
	request := step.Request
	switch {
	case step.Count < 1 || step.Count > maxTasks:
		return fmt.Errorf("count is %d, want 1 to %d", step.Count, maxTasks)
	case request.MilliCores < 0 || request.MemoryBytes < 0 || request.Accelerators < 0:
		return fmt.Errorf("requested amount is negative")
	case max(request.MilliCores, request.MemoryBytes, request.Accelerators) > maxRequest:
		return fmt.Errorf("requested amount exceeds the maximum of any worker")
	case step.MaxPerWorker < 0 || step.MaxUnavailable < 0:
		return fmt.Errorf("limit of tasks per worker or of unavailable tasks is negative")
	}
	for _, before := range step.DependsOn {
		if before < 0 || before >= position {
			return fmt.Errorf("depends on step %d, want an earlier step", before)
		}
	}
	return nil
}

// StepTaskID identifies a task of a workflow. The occurrence, the step and the index within the step are numbered
// from 0.
type StepTaskID struct {
	_          struct{} `cbor:",toarray"`
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// String returns the form "job/occurrence/step/index".
func (stepTaskID StepTaskID) String() string {
	return fmt.Sprintf("%s/%d/%d/%d", stepTaskID.Job, stepTaskID.Occurrence, stepTaskID.Step, stepTaskID.Index)
}

// RunID identifies one attempt of a task.
type RunID struct {
	_       struct{} `cbor:",toarray"`
	Task    StepTaskID
	Attempt AttemptNumber
}

// String returns the form "job/occurrence/step/index#attempt".
func (runID RunID) String() string { return fmt.Sprintf("%s#%d", runID.Task, runID.Attempt) }

// WorkflowState is the state of a workflow that is visible to callers.
type WorkflowState string

// Values of WorkflowState.
const (
	// WorkflowQueued means that no task has started yet.
	WorkflowQueued WorkflowState = "queued"
	// WorkflowActive means that at least one task has started.
	WorkflowActive WorkflowState = "active"
	// WorkflowCompleted means that all tasks have finished.
	WorkflowCompleted WorkflowState = "completed"
	// WorkflowFailed means that a task has reached the MaxAttempts of its queue.
	WorkflowFailed WorkflowState = "failed"
	// WorkflowCancelled means that a caller has cancelled the job.
	WorkflowCancelled WorkflowState = "cancelled"
)

// Ended reports whether the state is final, so that no task of the job will start any more.
func (workflowState WorkflowState) Ended() bool {
	return workflowState == WorkflowCompleted || workflowState == WorkflowFailed || workflowState == WorkflowCancelled
}
