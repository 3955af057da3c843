package jobkeeper

import (
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Job is a workflow and how far it has come.
type Job struct {
	id       scheduler.JobID
	queue    scheduler.Queue
	workflow scheduler.Workflow
	accepted time.Time
	// order counts the jobs in the order of their acceptance.
	order       uint64
	state       scheduler.WorkflowState
	occurrences map[int]*Occurrence
	// begun is the number of occurrences that have been started, finished those that have finished.
	begun    int
	finished int
	// runs counts the attempts that have not ended.
	runs int
}

// ID returns the id of the job.
func (job *Job) ID() scheduler.JobID { return job.id }

// Queue returns the queue as it was configured last.
func (job *Job) Queue() scheduler.Queue { return job.queue }

// Workflow returns the workflow. The steps are dropped once the job has ended and nothing of it runs.
func (job *Job) Workflow() *scheduler.Workflow { return &job.workflow }

// Accepted returns when the job was accepted, by the wall clock of the leader of that time.
func (job *Job) Accepted() time.Time { return job.accepted }

// Sequence returns the position of the job in the order of acceptance.
func (job *Job) Sequence() uint64 { return job.order }

// State returns the state as callers see it.
func (job *Job) State() scheduler.WorkflowState { return job.state }

// Running returns how many attempts of the job have not ended.
func (job *Job) Running() int { return job.runs }

// Step returns a step of an occurrence, nil if it is not under way.
func (job *Job) Step(occurrence, number int) *StepState {
	begun := job.occurrences[occurrence]
	if begun == nil || number < 0 || number >= len(begun.steps) {
		return nil
	}
	return begun.steps[number]
}

// NextDue returns when the next occurrence is due. ok is false when none is left or the job has ended.
func (job *Job) NextDue() (occurrence int, due time.Time, ok bool) {
	repeat := job.workflow.Repeat
	if repeat == nil || job.state.Ended() || job.begun >= repeat.Times {
		return 0, time.Time{}, false
	}
	return job.begun, repeat.Due(job.begun), true
}

// times returns how often the steps of the job run.
func (job *Job) times() int {
	if job.workflow.Repeat == nil {
		return 1
	}
	return job.workflow.Repeat.Times
}

// Occurrence is one run through the steps of a job.
type Occurrence struct {
	job    *Job
	number int
	steps  []*StepState
	// open counts the steps that have not finished.
	open int
}

// StepState is how far a step of an occurrence has come.
type StepState struct {
	occurrence *Occurrence
	number     int
	tasks      []*Task
	// blocked counts the steps that must finish first, open the tasks that have not finished.
	blocked int
	open    int
	// failures counts the failures of a gang, attempt its last attempt.
	failures int
	attempt  scheduler.AttemptNumber
}

// Spec returns the description of the step.
func (stepState *StepState) Spec() *scheduler.Step {
	return &stepState.occurrence.job.workflow.Steps[stepState.number]
}

// Job returns the job of the step.
func (stepState *StepState) Job() *Job { return stepState.occurrence.job }

// Occurrence returns the number of the occurrence.
func (stepState *StepState) Occurrence() int { return stepState.occurrence.number }

// Number returns the position of the step in the workflow.
func (stepState *StepState) Number() int { return stepState.number }

// Finished reports whether all tasks of the step have finished.
func (stepState *StepState) Finished() bool { return stepState.open == 0 }

// UnfinishedTasks returns how many tasks of the step have not finished.
func (stepState *StepState) UnfinishedTasks() int { return stepState.open }

// Siblings returns all steps of the step's occurrence.
func (stepState *StepState) Siblings() []*StepState { return stepState.occurrence.steps }

// Tasks returns the tasks of the step.
func (stepState *StepState) Tasks() []*Task { return stepState.tasks }

// Task is one task of a step.
type Task struct {
	step       *StepState
	index      int
	finished   bool
	failures   int
	attempt    scheduler.AttemptNumber
	checkpoint string
	runs       []*Run
}

// ID returns the id of the task.
func (task *Task) ID() scheduler.StepTaskID {
	return scheduler.StepTaskID{
		Job: task.step.occurrence.job.id, Occurrence: task.step.occurrence.number, Step: task.step.number, Index: task.index,
	}
}

// Step returns the step of the task.
func (task *Task) Step() *StepState { return task.step }

// Finished reports whether an attempt of the task has finished.
func (task *Task) Finished() bool { return task.finished }

// Failures returns how many attempts have failed.
func (task *Task) Failures() int { return task.failures }

// Checkpoint returns the saved progress of the task, empty if there is none.
func (task *Task) Checkpoint() string { return task.checkpoint }

// Runs returns the attempts that have not ended.
func (task *Task) Runs() []*Run { return task.runs }

// IsRunnable reports whether the task should have an attempt.
func (task *Task) IsRunnable() bool {
	return !task.finished && task.step.blocked == 0 && !task.step.occurrence.job.state.Ended()
}

// Run is an attempt that has been placed and has not ended.
type Run struct {
	task    *Task
	attempt scheduler.AttemptNumber
	worker  scheduler.WorkerName
	life    scheduler.Incarnation
}

// ID returns the id of the attempt.
func (run *Run) ID() scheduler.RunID {
	return scheduler.RunID{Task: run.task.ID(), Attempt: run.attempt}
}

// Task returns the task of the attempt.
func (run *Run) Task() *Task { return run.task }

// Worker returns the worker on which the attempt was placed.
func (run *Run) Worker() scheduler.WorkerName { return run.worker }

// Instance returns the life of the worker on which the attempt was placed.
func (run *Run) Instance() scheduler.Incarnation { return run.life }

// newOccurrence returns an occurrence none of whose tasks has started.
func newOccurrence(job *Job, number int) *Occurrence {
	occurrence := &Occurrence{job: job, number: number, open: len(job.workflow.Steps)}
	for position := range job.workflow.Steps {
		spec := &job.workflow.Steps[position]
		step := &StepState{occurrence: occurrence, number: position, open: spec.Count, blocked: len(spec.DependsOn)}
		step.tasks = make([]*Task, spec.Count)
		for index := range step.tasks {
			step.tasks[index] = &Task{step: step, index: index}
		}
		occurrence.steps = append(occurrence.steps, step)
	}
	return occurrence
}
