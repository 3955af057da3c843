package jobkeeper

import (
	"maps"
	"slices"

	"github.com/crocusplank/crocusplank/internal/jobs/leaserecorder"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// State is the replicated state and the indexes that are derived from it. It may be read only within Keeper.View.
type State struct {
	configuration *scheduler.QueueConfiguration
	jobs          map[scheduler.JobID]*Job
	// sequence is the sequence number of the job that was accepted last.
	sequence uint64
	// waves holds the maintenance waves in the order of their acceptance.
	waves []*Wave
	// evacuations holds the data centres that are or were evacuated.
	evacuations map[scheduler.DataCentreName]Evacuation
	// withdrawals holds the jobs that were cancelled before their submission was accepted, in the order of the requests.
	withdrawals []withdrawal
	// leases holds the leases of workers that do not respond.
	leases leaserecorder.History

	// withdrawn holds the jobs in withdrawals.
	withdrawn map[scheduler.JobID]struct{}
	// ready holds the tasks that can be placed.
	ready map[*Task]struct{}
	// runs holds the attempts on each worker.
	runs map[scheduler.WorkerName]map[scheduler.RunID]*Run
	// locations holds where the workers in runs are.
	locations map[scheduler.WorkerName]Location
	// reserved is the capacity that the attempts on each worker reserve.
	reserved map[scheduler.WorkerName]scheduler.Resources
	// obsolete holds the attempts that must be stopped.
	obsolete map[*Run]struct{}
	// repeated holds the jobs with occurrences that have not started.
	repeated map[scheduler.JobID]*Job
	// blamed holds the tasks with blame for crashes of workers.
	blamed map[*Task]struct{}
	// queued is the number of jobs of each queue of which no task has started.
	queued map[scheduler.QueueName]int
	// removed holds the last definitions of queues that the configuration no longer has while jobs of them are queued.
	removed map[scheduler.QueueName]scheduler.Queue
}

func newState() *State {
	return &State{
		jobs:        map[scheduler.JobID]*Job{},
		evacuations: map[scheduler.DataCentreName]Evacuation{},
		withdrawn:   map[scheduler.JobID]struct{}{},
		ready:       map[*Task]struct{}{},
		runs:        map[scheduler.WorkerName]map[scheduler.RunID]*Run{},
		locations:   map[scheduler.WorkerName]Location{},
		reserved:    map[scheduler.WorkerName]scheduler.Resources{},
		obsolete:    map[*Run]struct{}{},
		repeated:    map[scheduler.JobID]*Job{},
		queued:      map[scheduler.QueueName]int{},
		removed:     map[scheduler.QueueName]scheduler.Queue{},
		blamed:      map[*Task]struct{}{},
	}
}

// Configuration returns the current configuration, or nil before the first one.
func (state *State) Configuration() *scheduler.QueueConfiguration { return state.configuration }

// Job returns a job.
func (state *State) Job(id scheduler.JobID) (*Job, bool) {
	job, found := state.jobs[id]
	return job, found
}

// Task returns a task. found is false if it does not exist or its job has been compacted.
func (state *State) Task(id scheduler.StepTaskID) (task *Task, found bool) { return state.task(id) }

// VisitReady calls visit for every ready task, in no particular order.
func (state *State) VisitReady(visit func(task *Task)) {
	for task := range state.ready {
		visit(task)
	}
}

// ReadyCount returns the number of ready tasks.
func (state *State) ReadyCount() int { return len(state.ready) }

// VisitRuns calls visit for every attempt on a worker, in no particular order.
func (state *State) VisitRuns(worker scheduler.WorkerName, visit func(run *Run)) {
	for _, run := range state.runs[worker] {
		visit(run)
	}
}

// Run returns an attempt on a worker that has not ended.
func (state *State) Run(worker scheduler.WorkerName, id scheduler.RunID) (*Run, bool) {
	run, found := state.runs[worker][id]
	return run, found
}

// Reserved returns the capacity that the attempts on a worker reserve.
func (state *State) Reserved(worker scheduler.WorkerName) scheduler.Resources {
	return state.reserved[worker]
}

// VisitObsolete calls visit for every attempt that must be stopped, in no particular order.
func (state *State) VisitObsolete(visit func(run *Run)) {
	for run := range state.obsolete {
		visit(run)
	}
}

// Workers returns the workers that have attempts.
func (state *State) Workers() []scheduler.WorkerName {
	return slices.Collect(maps.Keys(state.runs))
}

// VisitRepeated calls visit for every job with occurrences that have not started, in no particular order.
func (state *State) VisitRepeated(visit func(job *Job)) {
	for _, job := range state.repeated {
		visit(job)
	}
}

// Queued returns the number of accepted jobs of a queue of which no task has started. It includes those that were submitted
// when the queue had another name.
func (state *State) Queued(queue *scheduler.Queue) int {
	queued := state.queued[queue.Name]
	for name, former := range state.removed {
		if former.HasRouteOf(queue) {
			queued += state.queued[name]
		}
	}
	return queued
}

// updateTaskIndexes updates the indexes of a task.
func (state *State) updateTaskIndexes(task *Task) {
	ready := task.IsRunnable() && len(task.runs) == 0
	if ready && task.step.Spec().Gang {
		ready = task.step.hasNoAttempts()
	}
	if ready {
		state.ready[task] = struct{}{}
	} else {
		delete(state.ready, task)
	}
	if task.finished || task.step.occurrence.job.state.Ended() {
		for _, run := range task.runs {
			state.obsolete[run] = struct{}{}
		}
	}
}

// hasNoAttempts reports whether no task of the step has an attempt. Only then may a gang be placed, all members at
// once.
func (stepState *StepState) hasNoAttempts() bool {
	for _, task := range stepState.tasks {
		if len(task.runs) > 0 {
			return false
		}
	}
	return true
}

// updateStepIndexes updates the indexes of all tasks of a step.
func (state *State) updateStepIndexes(step *StepState) {
	for _, task := range step.tasks {
		state.updateTaskIndexes(task)
	}
}

// updateAttemptIndexes updates the indexes after an attempt of the task has started or ended. In a gang, this affects
// all members.
func (state *State) updateAttemptIndexes(task *Task) {
	if task.step.Spec().Gang {
		state.updateStepIndexes(task.step)
		return
	}
	state.updateTaskIndexes(task)
}
