package controller

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// taskContribution is a batch task and its estimated contribution to the slowdown of a service.
type taskContribution struct {
	task         scheduler.PlacedTask
	contribution float64
	lostWork     float64
}

// reduceInterference returns the actions for a worker with a slow service. It throttles tasks if there are any left to
// throttle. Otherwise it moves one task, or stops one if none can be moved.
func (controller *Controller) reduceInterference(
	now time.Time, monitor *workerMonitor, state scheduler.WorkerState, slowdown float64,
) []Action {
	contributors := controller.contributors(now, monitor, state)
	if !monitor.lastRelease.IsZero() && now.Sub(monitor.lastRelease) < 2*monitor.releaseDelay {
		monitor.releaseDelay = min(2*monitor.releaseDelay, maxReleaseDelay)
		monitor.lastRelease = time.Time{}
	}
	reason := fmt.Sprintf("service %s is %.0f%% slower than its baseline, limit %.0f%%",
		monitor.service, 100*slowdown, 100*controller.slowdownLimit)
	excess := slowdown - releaseFraction*controller.slowdownLimit
	if actions := throttle(contributors, excess, state.Worker.Name, reason); len(actions) > 0 {
		return actions
	}
	return moveOrStop(contributors, excess, state.Worker.Name, reason)
}

// contributors returns the batch tasks in descending order of their contribution per core.
func (controller *Controller) contributors(
	now time.Time, monitor *workerMonitor, state scheduler.WorkerState,
) []taskContribution {
	var contributors []taskContribution
	for _, task := range state.Tasks {
		if task.Spec.Class != scheduler.ClassBatch {
			continue
		}
		cpuFraction := float64(task.Spec.Request.MilliCores) / float64(max(1, state.Worker.Capacity.MilliCores))
		estimate := controller.model.Interference(scheduler.Colocation{
			Service: monitor.service, Kind: task.Spec.Kind, Load: monitor.level,
		})
		contribution := estimate.Interference * cpuFraction
		if task.Throttled {
			contribution *= throttledFraction
		}
		lastSaved := task.Started
		if task.LastCheckpoint.After(lastSaved) {
			lastSaved = task.LastCheckpoint
		}
		contributors = append(contributors, taskContribution{
			task: task, contribution: contribution, lostWork: now.Sub(lastSaved).Seconds() * cpuFraction,
		})
	}
	slices.SortStableFunc(contributors, func(a, b taskContribution) int {
		return cmp.Or(cmp.Compare(b.contributionPerCore(), a.contributionPerCore()), cmp.Compare(a.task.Task, b.task.Task))
	})
	return contributors
}

func (contributor taskContribution) contributionPerCore() float64 {
	return contributor.contribution / float64(max(1, contributor.task.Spec.Request.MilliCores))
}

// throttle throttles tasks until the expected reduction covers the excess slowdown. Tasks with a negligible
// contribution are not throttled, because that would cost throughput without a noticeable effect on latency.
func throttle(contributors []taskContribution, excess float64, worker scheduler.WorkerName, reason string) []Action {
	var actions []Action
	for _, contributor := range contributors {
		if excess <= 0 {
			break
		}
		if contributor.task.Throttled || contributor.contribution < minContribution*excess {
			continue
		}
		excess -= contributor.contribution * (1 - throttledFraction)
		actions = append(actions, Action{Kind: ActionThrottle, Task: contributor.task.Task, Worker: worker, Reason: reason})
	}
	return actions
}

// moveOrStop removes one task from the worker. Among the tasks with a significant contribution, it prefers those that
// have saved a checkpoint, and of these the one that loses the least work.
func moveOrStop(contributors []taskContribution, excess float64, worker scheduler.WorkerName, reason string) []Action {
	contributors = slices.DeleteFunc(contributors, func(contributor taskContribution) bool {
		return contributor.contribution < minContribution*excess
	})
	if len(contributors) == 0 {
		return nil
	}
	best := slices.MinFunc(contributors, func(a, b taskContribution) int {
		return cmp.Or(
			cmp.Compare(checkpointRank(a), checkpointRank(b)), cmp.Compare(a.lostWork, b.lostWork), cmp.Compare(a.task.Task, b.task.Task),
		)
	})
	kind := ActionMove
	if checkpointRank(best) > 0 {
		kind = ActionStop
	}
	return []Action{{Kind: kind, Task: best.task.Task, Worker: worker, Reason: reason + "; throttling was insufficient"}}
}

// checkpointRank returns 0 for tasks that have saved a checkpoint and 1 for the others.
func checkpointRank(contributor taskContribution) int {
	if contributor.task.LastCheckpoint.IsZero() {
		return 1
	}
	return 0
}

// release ends the throttling of the tasks with the smallest contributions. It releases only as many tasks as can run
// unthrottled without the services being expected to exceed the limit.
func (controller *Controller) release(now time.Time, monitor *workerMonitor, state scheduler.WorkerState) []Action {
	throttled := func(task scheduler.PlacedTask) bool { return task.Throttled }
	if !slices.ContainsFunc(state.Tasks, throttled) {
		return nil
	}
	contributors := controller.contributors(now, monitor, state)
	headroom := (1 - releaseFraction) * controller.slowdownLimit
	var actions []Action
	for _, contributor := range slices.Backward(contributors) {
		if headroom -= contributor.contribution * (1/throttledFraction - 1); headroom < 0 {
			break
		}
		if !contributor.task.Throttled {
			headroom += contributor.contribution * (1/throttledFraction - 1)
			continue
		}
		monitor.lastRelease = now
		actions = append(actions, Action{
			Kind: ActionRelease, Task: contributor.task.Task, Worker: state.Worker.Name,
			Reason: fmt.Sprintf("services have been close to their baseline latency for %v", monitor.releaseDelay),
		})
	}
	return actions
}
