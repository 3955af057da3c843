package jobkeeper

import (
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/crashclassifier"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Job is a workflow and the progress of its execution.
type Job struct {
	id       scheduler.JobID
	queue    scheduler.Queue
	workflow scheduler.Workflow
	accepted time.Time
	// sequence counts the jobs in the order of their acceptance.
	sequence    uint64
	state       scheduler.WorkflowState
	occurrences map[int]*Occurrence
	// started is the number of occurrences that have started, finished the number of those that have finished.
	started  int
	finished int
	// runs is the number of attempts that have not ended.
	runs int
	// failureReason is why the job was given up. It is empty if the job has not failed, or failed because a task failed as
	// often as its queue allows.
	failureReason string
}

// ID returns the id of the job.
func (job *Job) ID() scheduler.JobID { return job.id }

// Queue returns the queue with its latest configuration.
func (job *Job) Queue() scheduler.Queue { return job.queue }

// Workflow returns the workflow. It is empty once the job has ended and none of its attempts is running.
func (job *Job) Workflow() *scheduler.Workflow { return &job.workflow }

// Accepted returns when the job was accepted, by the wall clock of the leader at that time.
func (job *Job) Accepted() time.Time { return job.accepted }

// Sequence returns the position of the job in the order of acceptance.
func (job *Job) Sequence() uint64 { return job.sequence }

// State returns the state that is visible to callers.
func (job *Job) State() scheduler.WorkflowState { return job.state }

// FailureReason returns why the job has failed, in a sentence for people. It is empty if the job has not failed.
func (job *Job) FailureReason() string {
	switch {
	case job.state != scheduler.WorkflowFailed:
		return ""
	case job.failureReason == "":
		return "a task failed as often as its queue allows"
	}
	return job.failureReason
}

// GivenUp reports whether the job has failed because workers crashed under one of its tasks.
func (job *Job) GivenUp() bool { return job.failureReason != "" }

// Running returns the number of attempts of the job that have not ended.
func (job *Job) Running() int { return job.runs }

// Step returns a step of an occurrence, or nil if the occurrence has not started or has been discarded.
func (job *Job) Step(occurrence, number int) *StepState {
	found := job.occurrences[occurrence]
	if found == nil || number < 0 || number >= len(found.steps) {
		return nil
	}
	return found.steps[number]
}

// NextDue returns the number and the due time of the next occurrence. ok is false if none is left or the job has ended.
func (job *Job) NextDue() (occurrence int, due time.Time, ok bool) {
	repeat := job.workflow.Repeat
	if repeat == nil || job.state.Ended() || job.started >= repeat.Times {
		return 0, time.Time{}, false
	}
	return job.started, repeat.Due(job.started), true
}

// times returns the total number of occurrences of the job.
func (job *Job) times() int {
	if job.workflow.Repeat == nil {
		return 1
	}
	return job.workflow.Repeat.Times
}

// Occurrence is one execution of the steps of a job.
type Occurrence struct {
	job    *Job
	number int
	steps  []*StepState
	// unfinished is the number of steps that have not finished.
	unfinished int
}

// StepState is the progress of a step of an occurrence.
type StepState struct {
	occurrence *Occurrence
	number     int
	tasks      []*Task
	// unmetDependencies is the number of unfinished steps on which this step depends, unfinished the number of tasks
	// that have not finished.
	unmetDependencies int
	unfinished        int
	// failures is the number of attempts of a gang that have failed, attempt the number of its latest attempt.
	failures int
	attempt  scheduler.AttemptNumber
}

// Spec returns the specification of the step.
func (stepState *StepState) Spec() *scheduler.Step {
	return &stepState.occurrence.job.workflow.Steps[stepState.number]
}

// Job returns the job of the step.
func (stepState *StepState) Job() *Job { return stepState.occurrence.job }

// Occurrence returns the number of the step's occurrence.
func (stepState *StepState) Occurrence() int { return stepState.occurrence.number }

// Number returns the position of the step in the workflow.
func (stepState *StepState) Number() int { return stepState.number }

// Finished reports whether all tasks of the step have finished.
func (stepState *StepState) Finished() bool { return stepState.unfinished == 0 }

// UnfinishedTasks returns the number of tasks of the step that have not finished.
func (stepState *StepState) UnfinishedTasks() int { return stepState.unfinished }

// Siblings returns all steps of the step's occurrence.
func (stepState *StepState) Siblings() []*StepState { return stepState.occurrence.steps }

// Tasks returns the tasks of the step.
func (stepState *StepState) Tasks() []*Task { return stepState.tasks }

// Task is one task of a step.
type Task struct {
	step     *StepState
	index    int
	finished bool
	// failures is the number of failures. For a member of a gang, only those of the current attempt count.
	failures   int
	attempt    scheduler.AttemptNumber
	checkpoint string
	runs       []*Run
	blame      blame
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

// Checkpoint returns the latest checkpoint of the task, or an empty string if there is none.
func (task *Task) Checkpoint() string { return task.checkpoint }

// Blame returns the points that the task has for crashes of workers.
func (task *Task) Blame() int { return task.blame.points }

// Evidence returns the evidence that the task crashes its workers.
func (task *Task) Evidence() crashclassifier.Evidence { return task.blame.evidence }

// IsSuspect reports whether the task is suspected of crashing workers.
func (task *Task) IsSuspect() bool { return task.blame.evidence >= crashclassifier.Suspicion }

// Runs returns the attempts that have not ended.
func (task *Task) Runs() []*Run { return task.runs }

// LastAttempt returns the number of the latest attempt, or 0 if there was none.
func (task *Task) LastAttempt() scheduler.AttemptNumber { return task.attempt }

// IsRunnable reports whether the task may have a running attempt: it has not finished, the steps on which it depends
// have, and its job has not ended.
func (task *Task) IsRunnable() bool {
	return !task.finished && task.step.unmetDependencies == 0 && !task.step.occurrence.job.state.Ended()
}

// Run is an attempt that has been placed and has not ended.
type Run struct {
	task     *Task
	attempt  scheduler.AttemptNumber
	worker   scheduler.WorkerName
	instance scheduler.Incarnation
	// mark is the kind of end that counts if the attempt is lost, empty if its worker is not known to have crashed.
	mark scheduler.EndKind
	// evidence is that against the task if the attempt ends with a crash. hasEvidence is false if none was recorded.
	evidence    crashclassifier.Evidence
	hasEvidence bool
}

// ID returns the id of the attempt.
func (run *Run) ID() scheduler.RunID {
	return scheduler.RunID{Task: run.task.ID(), Attempt: run.attempt}
}

// Task returns the task of the attempt.
func (run *Run) Task() *Task { return run.task }

// Worker returns the worker on which the attempt was placed.
func (run *Run) Worker() scheduler.WorkerName { return run.worker }

// Mark returns how the attempt is blamed if it is lost, see the type Mark. It is empty if the attempt is not marked.
func (run *Run) Mark() scheduler.EndKind { return run.mark }

// Instance returns the incarnation of the worker on which the attempt was placed.
func (run *Run) Instance() scheduler.Incarnation { return run.instance }

// newOccurrence returns an occurrence of which no task has started.
func newOccurrence(job *Job, number int) *Occurrence {
	occurrence := &Occurrence{job: job, number: number, unfinished: len(job.workflow.Steps)}
	for position := range job.workflow.Steps {
		spec := &job.workflow.Steps[position]
		step := &StepState{
			occurrence: occurrence, number: position, unfinished: spec.Count, unmetDependencies: len(spec.DependsOn),
		}
		step.tasks = make([]*Task, spec.Count)
		for index := range step.tasks {
			step.tasks[index] = &Task{step: step, index: index}
		}
		occurrence.steps = append(occurrence.steps, step)
	}
	return occurrence
}
