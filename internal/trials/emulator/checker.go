package emulator

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// CheckExecutions checks the records of all workers against the first three invariants of the design
// page and returns what violates them, nothing when they hold: no worker ran more than its capacity,
// no task ran in two places at once, and each attempt ran at most once and resumed from what the one
// before had saved.
func CheckExecutions(executions []Execution, capacity map[scheduler.WorkerName]scheduler.Resources) []string {
	byTask := map[scheduler.TaskID][]Execution{}
	byWorker := map[scheduler.WorkerName][]Execution{}
	for _, execution := range executions {
		byTask[execution.Task] = append(byTask[execution.Task], execution)
		byWorker[execution.Worker] = append(byWorker[execution.Worker], execution)
	}
	var faults []string
	for _, worker := range slices.Sorted(maps.Keys(byWorker)) {
		faults = append(faults, checkCapacity(byWorker[worker], capacity[worker])...)
	}
	for _, task := range slices.Sorted(maps.Keys(byTask)) {
		faults = append(faults, checkSuccession(byTask[task])...)
	}
	return faults
}

// checkCapacity adds up what ran at the start of each attempt, which are the only moments at which the
// sum rises.
func checkCapacity(executions []Execution, capacity scheduler.Resources) []string {
	var faults []string
	for _, at := range executions {
		var used scheduler.Resources
		for _, execution := range executions {
			if !execution.FirstEffect.After(at.FirstEffect) && execution.LastEffect.After(at.FirstEffect) {
				used = used.Plus(execution.Request)
			}
		}
		if !used.FitsIn(capacity) {
			faults = append(faults, fmt.Sprintf("worker %s ran %+v of %+v", at.Worker, used, capacity))
		}
	}
	return faults
}

// checkSuccession compares each attempt of a task with the one that ran before it. What an attempt
// saved last may not have been reported when its lease expired; the next one may then resume from an
// earlier checkpoint, but never from more than was saved.
func checkSuccession(executions []Execution) []string {
	slices.SortStableFunc(executions, func(a, b Execution) int { return cmp.Compare(a.Attempt, b.Attempt) })
	var faults []string
	for i := 1; i < len(executions); i++ {
		before, after := executions[i-1], executions[i]
		if after.Attempt == before.Attempt {
			faults = append(faults, fmt.Sprintf("task %s ran attempt %d twice", after.Task, after.Attempt))
		}
		if after.FirstEffect.Before(before.LastEffect) {
			faults = append(faults, fmt.Sprintf("task %s ran on %s and %s at once", after.Task, before.Worker, after.Worker))
		}
		if after.StartProgress > before.SavedProgress || after.StartProgress < before.StartProgress {
			faults = append(faults, fmt.Sprintf("task %s resumed at %s, began at %s and saved at %s",
				after.Task, after.StartProgress, before.StartProgress, before.SavedProgress))
		}
	}
	return faults
}
