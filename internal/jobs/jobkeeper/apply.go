package jobkeeper

import (
	"maps"
	"slices"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

func (state *State) apply(command *Command) Result {
	state.begin(command.Begun)
	state.recordEvidence(command.Evidence)
	switch {
	case command.Configure != nil:
		return Result{Status: state.configure(command.Configure)}
	case command.Submit != nil:
		return Result{Status: state.submit(command.Submit)}
	case command.Cancel != nil:
		return Result{Status: state.cancel(*command.Cancel)}
	case command.Withdraw != nil:
		return Result{Status: state.withdraw(command.Withdraw)}
	case command.StartOccurrence != nil:
		return Result{Status: state.startOccurrence(command.StartOccurrence)}
	case command.Place != nil:
		attempts := state.place(command.Place)
		state.locate(command.Locations)
		return Result{Status: StatusDone, Attempts: attempts}
	case command.End != nil:
		for _, end := range command.End {
			state.end(end)
		}
		return Result{Status: StatusDone}
	case command.SubmitWave != nil:
		return Result{Status: state.submitWave(command.SubmitWave)}
	case command.MaintenanceSteps != nil:
		for _, step := range command.MaintenanceSteps {
			state.recordMaintenance(step)
		}
		return Result{Status: StatusDone}
	case command.Evacuate != nil:
		return Result{Status: state.evacuate(command.Evacuate)}
	case command.ClearBlame != nil:
		return Result{Status: state.clearBlame(command.ClearBlame)}
	case command.Forget != nil:
		return Result{Status: state.forget(command.Forget)}
	case command.Mark != nil:
		return Result{Status: state.mark(command.Mark)}
	case command.RecordLeases != nil:
		return Result{Status: state.recordLeases(command.RecordLeases)}
	case command.Begun != nil:
		return Result{Status: StatusDone}
	}
	return Result{Status: StatusInvalid}
}

// configure replaces the configuration by one with a higher version. Active jobs use the new configuration of their
// queue. Jobs of a removed queue keep its last configuration.
func (state *State) configure(configuration *scheduler.QueueConfiguration) Status {
	if configuration.Validate() != nil {
		return StatusInvalid
	}
	if state.configuration != nil && configuration.Version <= state.configuration.Version {
		return StatusUnchanged
	}
	former := state.configuration
	state.configuration = configuration
	queues := map[scheduler.QueueName]scheduler.Queue{}
	for _, queue := range configuration.Queues {
		queues[queue.Name] = queue
	}
	state.updateRemoved(former, queues)
	for _, job := range state.jobs {
		if queue, found := queues[job.queue.Name]; found && !job.state.Ended() {
			job.queue = queue
		}
	}
	return StatusDone
}

// updateRemoved updates the definitions of removed queues after the configuration has changed from former.
func (state *State) updateRemoved(
	former *scheduler.QueueConfiguration, queues map[scheduler.QueueName]scheduler.Queue,
) {
	if former != nil {
		for _, queue := range former.Queues {
			state.removed[queue.Name] = queue
		}
	}
	maps.DeleteFunc(state.removed, func(name scheduler.QueueName, _ scheduler.Queue) bool {
		_, found := queues[name]
		return found || state.queued[name] == 0
	})
}

// submit adds a job. It does not change a job that already exists, because a submission is repeated if its response
// was lost. A job of another queue with the same id is another job.
func (state *State) submit(submit *Submit) Status {
	queue, found := state.queue(submit.Queue)
	if job, known := state.jobs[submit.Job]; known {
		if job.queue.Name != submit.Queue && !job.queue.HasRouteOf(&queue) {
			return StatusOtherQueue
		}
		return StatusDone
	}
	if !found {
		return StatusUnknownQueue
	}
	if submit.Workflow.Validate() != nil {
		return StatusInvalid
	}
	state.sequence++
	job := &Job{
		id: submit.Job, queue: queue, workflow: submit.Workflow, accepted: submit.Accepted, sequence: state.sequence,
		state: scheduler.WorkflowQueued, occurrences: map[int]*Occurrence{},
	}
	state.jobs[job.id] = job
	state.queued[queue.Name]++
	if state.takeWithdrawal(job.id) {
		state.finish(job, scheduler.WorkflowCancelled)
		return StatusDone
	}
	if job.workflow.Repeat != nil {
		state.repeated[job.id] = job
		return StatusDone
	}
	state.startNextOccurrence(job)
	return StatusDone
}

func (state *State) queue(name scheduler.QueueName) (scheduler.Queue, bool) {
	if state.configuration == nil {
		return scheduler.Queue{}, false
	}
	for _, queue := range state.configuration.Queues {
		if queue.Name == name {
			return queue, true
		}
	}
	return scheduler.Queue{}, false
}

// startNextOccurrence starts the next occurrence of a job. Once it is the last one, the job leaves the repeated jobs.
func (state *State) startNextOccurrence(job *Job) {
	occurrence := newOccurrence(job, job.started)
	job.occurrences[occurrence.number] = occurrence
	job.started++
	if job.started >= job.times() {
		delete(state.repeated, job.id)
	}
	for _, step := range occurrence.steps {
		state.updateStepIndexes(step)
	}
}

func (state *State) startOccurrence(startOccurrence *StartOccurrence) Status {
	job, found := state.jobs[startOccurrence.Job]
	if !found {
		return StatusUnknownJob
	}
	if job.state.Ended() || job.started != startOccurrence.Occurrence || job.started >= job.times() {
		return StatusUnchanged
	}
	state.startNextOccurrence(job)
	return StatusDone
}

func (state *State) cancel(id scheduler.JobID) Status {
	job, found := state.jobs[id]
	if !found {
		return StatusUnknownJob
	}
	if !job.state.Ended() {
		state.finish(job, scheduler.WorkflowCancelled)
	}
	return StatusDone
}

// finish sets the final state of a job. The leader stops attempts that are still running.
func (state *State) finish(job *Job, final scheduler.WorkflowState) {
	state.changeState(job, final)
	state.dropBlames(job)
	delete(state.repeated, job.id)
	for _, occurrence := range job.occurrences {
		for _, step := range occurrence.steps {
			state.updateStepIndexes(step)
		}
	}
	state.compact(job)
}

func (state *State) changeState(job *Job, next scheduler.WorkflowState) {
	if job.state == scheduler.WorkflowQueued {
		state.queued[job.queue.Name]--
	}
	job.state = next
}

// compact discards the occurrences and the workflow of a job that has ended, once no attempt of it is left.
func (state *State) compact(job *Job) {
	if !job.state.Ended() || job.runs > 0 {
		return
	}
	job.occurrences = nil
	job.workflow = scheduler.Workflow{}
}

// task returns a task. The result is false if it does not exist or its job has been compacted.
func (state *State) task(id scheduler.StepTaskID) (*Task, bool) {
	job, found := state.jobs[id.Job]
	if !found {
		return nil, false
	}
	occurrence, found := job.occurrences[id.Occurrence]
	if !found || id.Step < 0 || id.Step >= len(occurrence.steps) {
		return nil, false
	}
	tasks := occurrence.steps[id.Step].tasks
	if id.Index < 0 || id.Index >= len(tasks) {
		return nil, false
	}
	return tasks[id.Index], true
}

// end records the end of an attempt. An attempt that is not found has ended before; its result may still count, see
// finishLate.
func (state *State) end(end End) {
	task, found := state.task(end.Run.Task)
	if !found {
		return
	}
	if end.provesStart(task.step.Spec()) {
		state.begin([]scheduler.JobID{end.Run.Task.Job})
	}
	position := slices.IndexFunc(task.runs, func(run *Run) bool { return run.attempt == end.Run.Attempt })
	job := task.step.occurrence.job
	if position < 0 {
		state.finishLate(task, end)
		return
	}
	run := task.runs[position]
	end.Kind = run.blamedKind(end.Kind)
	state.removeRun(run)
	task.saveCheckpoint(end.Checkpoint)
	if !job.state.Ended() && !task.finished {
		switch end.Kind {
		case scheduler.EndFinished:
			state.finishTask(task, end.Run.Attempt)
		case scheduler.EndFailed:
			state.failTask(task)
		default:
			state.blameTask(task, run, end.Kind)
		}
		if len(task.runs) == 0 {
			state.giveUpIfBlamed(task)
		}
	}
	if job.occurrences != nil && !job.state.Ended() {
		state.updateAttemptIndexes(task)
	}
	state.compact(job)
}

// finishLate accepts the result of an attempt that was abandoned because its worker did not respond. The result
// counts unless the task has been placed again.
func (state *State) finishLate(task *Task, end End) {
	job := task.step.occurrence.job
	if end.Kind != scheduler.EndFinished || end.Run.Attempt != task.attempt || len(task.runs) > 0 || task.finished ||
		job.state.Ended() {
		return
	}
	if task.step.Spec().Gang && !task.step.hasNoAttempts() {
		return
	}
	state.finishTask(task, end.Run.Attempt)
	state.compact(job)
}

// saveCheckpoint stores the checkpoint of an attempt. The checkpoint of one member is valid for the whole gang.
func (task *Task) saveCheckpoint(checkpoint string) {
	if checkpoint == "" {
		return
	}
	task.checkpoint = checkpoint
	if !task.step.Spec().Gang {
		return
	}
	for _, member := range task.step.tasks {
		member.checkpoint = checkpoint
	}
}

// finishTask records that a task has finished. If one member of a gang finishes, the whole gang has finished.
func (state *State) finishTask(task *Task, attempt scheduler.AttemptNumber) {
	if task.step.Spec().LongRunning {
		return // A long-running task is restarted after every end, until its job is cancelled.
	}
	finished := []*Task{task}
	if task.step.Spec().Gang {
		finished = slices.Clone(task.step.tasks)
	}
	for _, member := range finished {
		if member.finished {
			continue
		}
		for _, run := range slices.Clone(member.runs) {
			if task.step.Spec().Gang && run.attempt == attempt {
				state.removeRun(run)
			}
		}
		member.finished = true
		state.setBlame(member, blame{})
		member.step.unfinished--
		state.updateTaskIndexes(member)
	}
	if task.step.unfinished == 0 {
		state.finishStep(task.step)
	}
}

func (state *State) finishStep(step *StepState) {
	occurrence := step.occurrence
	occurrence.unfinished--
	for _, dependent := range occurrence.steps {
		if !slices.Contains(dependent.Spec().DependsOn, step.number) {
			continue
		}
		for _, dependency := range dependent.Spec().DependsOn {
			if dependency == step.number {
				dependent.unmetDependencies--
			}
		}
		state.updateStepIndexes(dependent)
	}
	if occurrence.unfinished > 0 {
		return
	}
	job := occurrence.job
	job.finished++
	if job.finished >= job.times() {
		state.finish(job, scheduler.WorkflowCompleted)
	}
}

// failTask counts a failure and fails the job if its queue allows no further attempt. The limit does not apply to
// long-running tasks.
func (state *State) failTask(task *Task) {
	spec := task.step.Spec()
	if spec.LongRunning {
		return
	}
	var failures int
	if spec.Gang {
		failures = task.step.countGangFailure(task)
	} else {
		task.failures++
		failures = task.failures
	}
	job := task.step.occurrence.job
	if limit := job.queue.MaxAttempts; limit > 0 && failures >= limit {
		state.finish(job, scheduler.WorkflowFailed)
	}
}

// countGangFailure counts the failure of a gang's current attempt, once for all members that end as failed. It returns the
// number of attempts that have failed.
func (stepState *StepState) countGangFailure(failed *Task) int {
	counted := slices.ContainsFunc(stepState.tasks, func(member *Task) bool { return member.failures > 0 })
	if !counted {
		stepState.failures++
	}
	failed.failures = 1
	return stepState.failures
}
