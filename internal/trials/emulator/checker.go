package emulator

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// CheckExecutions checks the records of all workers against the first three invariants of the design page and
// returns the violations: no worker exceeds its capacity, no task runs in two places at once, and each attempt
// runs at most once and resumes from a checkpoint of the previous one.
func CheckExecutions(executions []Execution, capacity map[scheduler.WorkerName]scheduler.Resources) []string {
	byTask := map[scheduler.TaskID][]Execution{}
	byWorker := map[scheduler.WorkerName][]Execution{}
	for _, execution := range executions {
		byTask[execution.Task] = append(byTask[execution.Task], execution)
		byWorker[execution.Worker] = append(byWorker[execution.Worker], execution)
	}
	var violations []string
	for _, worker := range slices.Sorted(maps.Keys(byWorker)) {
		violations = append(violations, checkCapacity(byWorker[worker], capacity[worker])...)
	}
	for _, task := range slices.Sorted(maps.Keys(byTask)) {
		violations = append(violations, checkAttemptOrder(byTask[task])...)
	}
	return violations
}

// checkCapacity adds up the resources in use at the start of each attempt, the only points in time at which the
// sum increases.
func checkCapacity(executions []Execution, capacity scheduler.Resources) []string {
	var violations []string
	for _, at := range executions {
		var used scheduler.Resources
		for _, execution := range executions {
			if !execution.FirstEffect.After(at.FirstEffect) && execution.LastEffect.After(at.FirstEffect) {
				used = used.Plus(execution.Request)
			}
		}
		if !used.FitsIn(capacity) {
			violations = append(violations, fmt.Sprintf("worker %s used %+v with a capacity of %+v", at.Worker, used, capacity))
		}
	}
	return violations
}

// checkAttemptOrder compares each attempt of a task with the previous one. The last checkpoint of an attempt may
// not have been reported when its lease expired. The next attempt may therefore resume from an earlier
// checkpoint, but never from more progress than was saved.
func checkAttemptOrder(executions []Execution) []string {
	slices.SortStableFunc(executions, func(a, b Execution) int { return cmp.Compare(a.Attempt, b.Attempt) })
	var violations []string
	for i := 1; i < len(executions); i++ {
		previous, next := executions[i-1], executions[i]
		if next.Attempt == previous.Attempt {
			violations = append(violations, fmt.Sprintf("task %s ran attempt %d twice", next.Task, next.Attempt))
		}
		if next.FirstEffect.Before(previous.LastEffect) {
			violations = append(violations, fmt.Sprintf("task %s ran on %s and %s concurrently", next.Task, previous.Worker, next.Worker))
		}
		if next.StartProgress > previous.SavedProgress || next.StartProgress < previous.StartProgress {
			violations = append(violations, fmt.Sprintf("task %s resumed at %s; the previous attempt began at %s and saved up to %s",
				next.Task, next.StartProgress, previous.StartProgress, previous.SavedProgress))
		}
	}
	return violations
}
