package jobkeeper

import (
	"maps"
	"slices"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// State is the replicated state with the indexes that are derived from it. It is read under Keeper.View.
type State struct {
	configuration *scheduler.QueueConfiguration
	jobs          map[scheduler.JobID]*Job
	// order is that of the job accepted last.
	order uint64
	// waves holds the waves of maintenance in the order in which they were taken on.
	waves []*Wave

	// ready holds the tasks that wait for an attempt.
	ready map[*Task]struct{}
	// runs holds the attempts on each worker.
	runs map[scheduler.WorkerName]map[scheduler.RunID]*Run
	// reserved is what the attempts on each worker take of its capacity.
	reserved map[scheduler.WorkerName]scheduler.Resources
	// unwanted holds the attempts that must be stopped.
	unwanted map[*Run]struct{}
	// repeated holds the jobs that have occurrences left to begin.
	repeated map[scheduler.JobID]*Job
	// queued counts the jobs of each queue none of whose tasks has started.
	queued map[scheduler.QueueName]int
}

func newState() *State {
	return &State{
		jobs:     map[scheduler.JobID]*Job{},
		ready:    map[*Task]struct{}{},
		runs:     map[scheduler.WorkerName]map[scheduler.RunID]*Run{},
		reserved: map[scheduler.WorkerName]scheduler.Resources{},
		unwanted: map[*Run]struct{}{},
		repeated: map[scheduler.JobID]*Job{},
		queued:   map[scheduler.QueueName]int{},
	}
}

// Configuration returns the configuration in force, nil before the first one.
func (state *State) Configuration() *scheduler.QueueConfiguration { return state.configuration }

// Job returns a job.
func (state *State) Job(id scheduler.JobID) (*Job, bool) {
	job, found := state.jobs[id]
	return job, found
}

// VisitReady calls visit for every task that waits for an attempt, in no order.
func (state *State) VisitReady(visit func(task *Task)) {
	for task := range state.ready {
		visit(task)
	}
}

// ReadyCount returns how many tasks wait for an attempt.
func (state *State) ReadyCount() int { return len(state.ready) }

// VisitRuns calls visit for the attempts on a worker, in no order.
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

// Reserved returns what the attempts on a worker take of its capacity.
func (state *State) Reserved(worker scheduler.WorkerName) scheduler.Resources {
	return state.reserved[worker]
}

// VisitObsolete calls visit for the attempts that must be stopped, in no order.
func (state *State) VisitObsolete(visit func(run *Run)) {
	for run := range state.unwanted {
		visit(run)
	}
}

// Workers returns the workers that have attempts.
func (state *State) Workers() []scheduler.WorkerName {
	return slices.Collect(maps.Keys(state.runs))
}

// VisitRepeated calls visit for the jobs that have occurrences left to begin.
func (state *State) VisitRepeated(visit func(job *Job)) {
	for _, job := range state.repeated {
		visit(job)
	}
}

// Queued returns how many jobs of a queue have been accepted and have no task that has started.
func (state *State) Queued(queue scheduler.QueueName) int { return state.queued[queue] }

// note brings the indexes of a task up to date.
func (state *State) note(task *Task) {
	waits := task.IsRunnable() && len(task.runs) == 0
	if waits && task.step.Spec().Gang {
		waits = task.step.isIdle()
	}
	if waits {
		state.ready[task] = struct{}{}
	} else {
		delete(state.ready, task)
	}
	if task.finished || task.step.occurrence.job.state.Ended() {
		for _, run := range task.runs {
			state.unwanted[run] = struct{}{}
		}
	}
}

// isIdle reports whether no member of a gang has an attempt. The members are placed together.
func (stepState *StepState) isIdle() bool {
	for _, task := range stepState.tasks {
		if len(task.runs) > 0 {
			return false
		}
	}
	return true
}

// noteStep brings the indexes of all tasks of a step up to date.
func (state *State) noteStep(step *StepState) {
	for _, task := range step.tasks {
		state.note(task)
	}
}

// noteAround brings the indexes up to date after an attempt of the task has begun or ended.
func (state *State) noteAround(task *Task) {
	if task.step.Spec().Gang {
		state.noteStep(task.step)
		return
	}
	state.note(task)
}
