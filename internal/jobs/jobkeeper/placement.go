package jobkeeper

import (
	"slices"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// place places the next attempts of tasks. It returns their numbers, or 0 for placements that are refused.
func (state *State) place(placements []Placement) []scheduler.AttemptNumber {
	attempts := make([]scheduler.AttemptNumber, len(placements))
	gangs := map[*StepState]scheduler.AttemptNumber{}
	for position, placement := range placements {
		task, found := state.task(placement.Task)
		if !found || !task.isPlaceable(placement.Speculative, gangs) {
			continue
		}
		attempts[position] = state.placeTask(task, placement, gangs)
	}
	for step := range gangs {
		state.updateStepIndexes(step)
	}
	return attempts
}

// isPlaceable reports whether an attempt of the task may be placed. gangs holds the gangs that the same command has begun
// to place.
func (task *Task) isPlaceable(speculative bool, gangs map[*StepState]scheduler.AttemptNumber) bool {
	if !task.IsRunnable() {
		return false
	}
	spec := task.step.Spec()
	switch {
	case speculative:
		return spec.Speculative && len(task.runs) == 1 && !task.IsSuspect()
	case spec.Gang:
		_, placing := gangs[task.step]
		return len(task.runs) == 0 && (placing || task.step.hasNoAttempts())
	}
	return len(task.runs) == 0
}

func (state *State) placeTask(
	task *Task, placement Placement, gangs map[*StepState]scheduler.AttemptNumber,
) scheduler.AttemptNumber {
	if task.step.Spec().Gang {
		if _, placing := gangs[task.step]; !placing {
			task.step.attempt++
			gangs[task.step] = task.step.attempt
			for _, member := range task.step.tasks {
				member.failures = 0
			}
		}
		task.attempt = task.step.attempt
	} else {
		task.attempt++
	}
	run := &Run{task: task, attempt: task.attempt, worker: placement.Worker, instance: placement.Instance}
	task.runs = append(task.runs, run)
	state.addRun(run)
	state.updateTaskIndexes(task)
	return run.attempt
}

// addRun adds an attempt to those of its worker and its job, and reserves its resources.
func (state *State) addRun(run *Run) {
	onWorker := state.runs[run.worker]
	if onWorker == nil {
		onWorker = map[scheduler.RunID]*Run{}
		state.runs[run.worker] = onWorker
	}
	onWorker[run.ID()] = run
	state.reserved[run.worker] = state.reserved[run.worker].Plus(run.task.step.Spec().Reserved())
	run.task.step.occurrence.job.runs++
}

// removeRun removes an attempt that has ended, and releases its resources.
func (state *State) removeRun(run *Run) {
	onWorker := state.runs[run.worker]
	delete(onWorker, run.ID())
	delete(state.obsolete, run)
	state.reserved[run.worker] = state.reserved[run.worker].Minus(run.task.step.Spec().Reserved())
	if len(onWorker) == 0 {
		delete(state.runs, run.worker)
		delete(state.reserved, run.worker)
		delete(state.locations, run.worker)
	}
	run.task.runs = slices.DeleteFunc(run.task.runs, func(other *Run) bool { return other == run })
	run.task.step.occurrence.job.runs--
}
