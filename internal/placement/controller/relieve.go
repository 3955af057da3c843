package controller

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// suspect is a batch task with its expected part in the slowness of a service.
type suspect struct {
	task scheduler.PlacedTask
	part float64
	lost float64
}

// relieve chooses actions against a slow service: throttling while there is something to throttle,
// then moving one task, then stopping one.
func (controller *Controller) relieve(
	now time.Time, w *watch, state scheduler.WorkerState, slow float64,
) []Action {
	suspects := controller.suspects(now, w, state)
	if !w.released.IsZero() && now.Sub(w.released) < 2*w.hold {
		w.hold = min(2*w.hold, maxHold)
		w.released = time.Time{}
	}
	reason := fmt.Sprintf("service %s is %.0f%% slower than its baseline, limit %.0f%%",
		w.service, 100*slow, 100*controller.limit)
	excess := slow - releaseShare*controller.limit
	if actions := throttle(suspects, excess, state.Worker.Name, reason); len(actions) > 0 {
		return actions
	}
	return remove(suspects, excess, state.Worker.Name, reason)
}

// suspects returns the batch tasks, those with the largest part for each core first.
func (controller *Controller) suspects(now time.Time, w *watch, state scheduler.WorkerState) []suspect {
	var suspects []suspect
	for _, task := range state.Tasks {
		if task.Spec.Class != scheduler.ClassBatch {
			continue
		}
		share := float64(task.Spec.Request.MilliCores) / float64(max(1, state.Worker.Capacity.MilliCores))
		harm := controller.source.Interference(scheduler.Colocation{Service: w.service, Kind: task.Spec.Kind, Load: w.level})
		part := harm.Interference * share
		if task.Throttled {
			part *= throttledShare
		}
		saved := task.Started
		if task.LastCheckpoint.After(saved) {
			saved = task.LastCheckpoint
		}
		suspects = append(suspects, suspect{task: task, part: part, lost: now.Sub(saved).Seconds() * share})
	}
	slices.SortStableFunc(suspects, func(a, b suspect) int {
		return cmp.Or(cmp.Compare(b.perCore(), a.perCore()), cmp.Compare(a.task.Task, b.task.Task))
	})
	return suspects
}

func (s suspect) perCore() float64 {
	return s.part / float64(max(1, s.task.Spec.Request.MilliCores))
}

// throttle throttles tasks until the expected relief covers the excess. Tasks with an insignificant
// part are left alone, since throttling them costs throughput and brings nothing.
func throttle(suspects []suspect, excess float64, worker scheduler.WorkerName, reason string) []Action {
	var actions []Action
	for _, s := range suspects {
		if excess <= 0 {
			break
		}
		if s.task.Throttled || s.part < significant*excess {
			continue
		}
		excess -= s.part * (1 - throttledShare)
		actions = append(actions, Action{Kind: ActionThrottle, Task: s.task.Task, Worker: worker, Reason: reason})
	}
	return actions
}

// remove takes the task off the worker that loses the least work among those with a significant part.
// Tasks that can be checkpointed come first.
func remove(suspects []suspect, excess float64, worker scheduler.WorkerName, reason string) []Action {
	suspects = slices.DeleteFunc(suspects, func(s suspect) bool { return s.part < significant*excess })
	if len(suspects) == 0 {
		return nil
	}
	best := slices.MinFunc(suspects, func(a, b suspect) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.lost, b.lost), cmp.Compare(a.task.Task, b.task.Task))
	})
	kind := ActionMove
	if rank(best) > 0 {
		kind = ActionStop
	}
	return []Action{{Kind: kind, Task: best.task.Task, Worker: worker, Reason: reason + "; throttling was not enough"}}
}

// rank is 0 for tasks that have saved a checkpoint and 1 for the others.
func rank(s suspect) int {
	if s.task.LastCheckpoint.IsZero() {
		return 1
	}
	return 0
}

// release ends the throttling of the tasks with the smallest parts, as many as are expected to keep the
// services below the limit.
func (controller *Controller) release(now time.Time, w *watch, state scheduler.WorkerState) []Action {
	throttled := func(task scheduler.PlacedTask) bool { return task.Throttled }
	if !slices.ContainsFunc(state.Tasks, throttled) {
		return nil
	}
	suspects := controller.suspects(now, w, state)
	room := (1 - releaseShare) * controller.limit
	var actions []Action
	for _, s := range slices.Backward(suspects) {
		if room -= s.part * (1/throttledShare - 1); room < 0 {
			break
		}
		if !s.task.Throttled {
			room += s.part * (1/throttledShare - 1)
			continue
		}
		w.released = now
		actions = append(actions, Action{
			Kind: ActionRelease, Task: s.task.Task, Worker: state.Worker.Name,
			Reason: fmt.Sprintf("services have been prompt for %v", w.hold),
		})
	}
	return actions
}
