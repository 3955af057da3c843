package scheduler

import (
	"fmt"
	"time"
)

// Workflow is a job of steps, each of which has equal tasks. It is a wire type and is never modified once
// it has been submitted.
type Workflow struct {
	// Payload is handed to every task as it is. The scheduler does not read it.
	Payload string `json:"payload,omitempty" cbor:"1,keyasint,omitempty"`
	Steps   []Step `json:"steps" cbor:"2,keyasint"`
	// Repeat is nil for a job that runs once, as soon as it has been accepted.
	Repeat *Repeat `json:"repeat,omitempty" cbor:"3,keyasint,omitempty"`
}

// Repeat makes the steps of a job run several times. Occurrences are counted from 0 and may overlap.
type Repeat struct {
	// First is when occurrence 0 is due, by the wall clock.
	First    time.Time     `json:"first" cbor:"1,keyasint"`
	Interval time.Duration `json:"interval" cbor:"2,keyasint"`
	Times    int           `json:"times" cbor:"3,keyasint"`
}

// Due returns when an occurrence is due.
func (repeat Repeat) Due(occurrence int) time.Time {
	return repeat.First.Add(time.Duration(occurrence) * repeat.Interval)
}

// Step describes the tasks of one step of a job. It is a wire type.
type Step struct {
	// Count is how many tasks the step has, at least 1.
	Count int `json:"count" cbor:"1,keyasint"`
	// Request is what each task needs. The processor time of a fill step is only an upper bound.
	Request Resources `json:"request" cbor:"2,keyasint"`
	// Estimate is the submitter's rough guess of a task's run time, zero if there is none.
	Estimate time.Duration `json:"estimate,omitempty" cbor:"3,keyasint,omitempty"`
	// DependsOn holds the positions of earlier steps whose tasks must all have finished first.
	DependsOn []int `json:"dependsOn,omitempty" cbor:"4,keyasint,omitempty"`
	// Gang is true when the tasks only make progress while all of them run.
	Gang bool `json:"gang,omitempty" cbor:"5,keyasint,omitempty"`
	// RackLocal is true when the tasks are slower on more than one rack.
	RackLocal bool `json:"rackLocal,omitempty" cbor:"6,keyasint,omitempty"`
	// RequiredLabel is a label that the worker must have, empty for any worker.
	RequiredLabel string `json:"requiredLabel,omitempty" cbor:"7,keyasint,omitempty"`
	// PreferredRack is the label of the rack that holds the data, empty for none.
	PreferredRack string `json:"preferredRack,omitempty" cbor:"8,keyasint,omitempty"`
	// MaxPerWorker bounds the tasks of the step on one worker, 0 for no bound.
	MaxPerWorker int `json:"maxPerWorker,omitempty" cbor:"9,keyasint,omitempty"`
	// Checkpointing is true when the tasks save their progress.
	Checkpointing bool `json:"checkpointing,omitempty" cbor:"10,keyasint,omitempty"`
	// Speculative is true when a task may run more than once at a time; the first to finish counts.
	Speculative bool `json:"speculative,omitempty" cbor:"11,keyasint,omitempty"`
	// LongRunning is true when the tasks run until the job is cancelled.
	LongRunning bool `json:"longRunning,omitempty" cbor:"12,keyasint,omitempty"`
	// Image names the program of the tasks. Interference is learned per image.
	Image string `json:"image,omitempty" cbor:"13,keyasint,omitempty"`
	// LatencyTarget is what the tail latency of a serving task must stay below, zero for none.
	LatencyTarget time.Duration `json:"latencyTarget,omitempty" cbor:"14,keyasint,omitempty"`
	// Fill is true when the tasks get the processor time that others leave, so that it is not reserved.
	Fill bool `json:"fill,omitempty" cbor:"15,keyasint,omitempty"`
	// MaxUnavailable bounds how many tasks of a long-running step may be away because of the system.
	MaxUnavailable int `json:"allowedAbsences,omitempty" cbor:"16,keyasint,omitempty"`
}

// Reserved returns what a task of the step takes of its worker's capacity.
func (step Step) Reserved() Resources {
	reserved := step.Request
	if step.Fill {
		reserved.MilliCores = 0
	}
	return reserved
}

// Bounds of a job. Each VM that holds state keeps all tasks of a job in memory, so that one job without a bound could
// take all of them down.
const (
	maxSteps = 1_000
	maxTasks = 20_000
	// maxRequest bounds each amount that a task asks for, so that sums over many tasks stay exact.
	maxRequest = 1 << 44
)

// Validate returns an error that names the first fault of a workflow.
func (workflow *Workflow) Validate() error {
	if len(workflow.Steps) == 0 || len(workflow.Steps) > maxSteps {
		return fmt.Errorf("a job has %d steps, want 1 to %d", len(workflow.Steps), maxSteps)
	}
	tasks := 0
	for position, step := range workflow.Steps {
		if err := step.validate(position); err != nil {
			return fmt.Errorf("step %d: %w", position, err)
		}
		if tasks += step.Count; tasks > maxTasks {
			return fmt.Errorf("a job has more than %d tasks", maxTasks)
		}
	}
	return workflow.Repeat.validate()
}

func (repeat *Repeat) validate() error {
	switch {
	case repeat == nil:
		return nil
	case repeat.Times < 1 || repeat.Interval < 0:
		return fmt.Errorf("repeat: %d times every %v is not possible", repeat.Times, repeat.Interval)
	}
	return nil
}

func (step Step) validate(position int) error {
	request := step.Request
	switch {
	case step.Count < 1 || step.Count > maxTasks:
		return fmt.Errorf("count is %d, want 1 to %d", step.Count, maxTasks)
	case request.MilliCores < 0 || request.MemoryBytes < 0 || request.Accelerators < 0:
		return fmt.Errorf("a requested amount is negative")
	case max(request.MilliCores, request.MemoryBytes, request.Accelerators) > maxRequest:
		return fmt.Errorf("a requested amount is more than any worker has")
	case step.MaxPerWorker < 0 || step.MaxUnavailable < 0:
		return fmt.Errorf("a bound is negative")
	}
	for _, before := range step.DependsOn {
		if before < 0 || before >= position {
			return fmt.Errorf("depends on step %d, want an earlier one", before)
		}
	}
	return nil
}

// StepTaskID names a task of a workflow: the occurrence, the step and the index in the step count from 0.
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

// RunID names one attempt of a task.
type RunID struct {
	_       struct{} `cbor:",toarray"`
	Task    StepTaskID
	Attempt AttemptNumber
}

// String returns the form "job/occurrence/step/index#attempt".
func (runID RunID) String() string { return fmt.Sprintf("%s#%d", runID.Task, runID.Attempt) }

// WorkflowState is the state of a workflow as callers see it.
type WorkflowState string

// Values of WorkflowState.
const (
	// WorkflowQueued means that no task has started.
	WorkflowQueued WorkflowState = "queued"
	// WorkflowActive means that a task has started.
	WorkflowActive WorkflowState = "active"
	// WorkflowCompleted means that all tasks have finished.
	WorkflowCompleted WorkflowState = "completed"
	// WorkflowFailed means that a task has failed as often as its queue allows.
	WorkflowFailed WorkflowState = "failed"
	// WorkflowCancelled means that a caller has cancelled the job.
	WorkflowCancelled WorkflowState = "cancelled"
)

// Ended reports whether nothing of the job will start any more.
func (workflowState WorkflowState) Ended() bool {
	return workflowState == WorkflowCompleted || workflowState == WorkflowFailed || workflowState == WorkflowCancelled
}
