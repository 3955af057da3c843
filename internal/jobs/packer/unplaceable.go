package packer

import (
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// unplaceableSteps records the steps of which a decision left tasks unassigned, so that later groups that cannot be
// assigned either are skipped. From one group to the next, free capacity and slack never increase and predicted
// interference never decreases: a gang that does not fit releases only what it reserved itself. A step thus cannot be
// assigned if it requests at least as much of each resource as a recorded step. With this check, a queue of a thousand
// pending tasks costs no more than a single one.
//
// Holds are an exception: a task that ends early enough may run on held capacity, and so may the tasks for which it is
// held. With holds, a recorded step therefore covers only groups that run at least as long and have no higher priority,
// and none with a hold.
type unplaceableSteps struct {
	steps []unplaceableStep
	// holds contains the steps for which capacity is held. It is nil if none is held.
	holds map[StepID]bool
}

// unplaceableStep is a step of which tasks were left unassigned, with the run time and the priority of its group.
type unplaceableStep struct {
	*scheduler.Step
	runTime  time.Duration
	priority int
}

// maxUnplaceableSteps limits the number of recorded steps and thereby the cost of a look-up.
const maxUnplaceableSteps = 32

// isUnconstrained reports whether only the resource request, Fill and, for fill tasks, Image decide which workers accept
// a task of the group. Gangs are excluded because a single task might be accepted where the whole gang is not.
func (group *Group) isUnconstrained() bool {
	step := group.Step
	return !group.Suspect && !step.Gang && step.RequiredLabel == "" && step.MaxPerWorker == 0 && group.Approved == nil && len(group.Avoid) == 0
}

// add records the step of a group of which tasks were left unassigned.
func (unplaceableSteps *unplaceableSteps) add(group *Group) {
	if group.isUnconstrained() && len(unplaceableSteps.steps) < maxUnplaceableSteps {
		unplaceableSteps.steps = append(unplaceableSteps.steps, unplaceableStep{
			Step: group.Step, runTime: group.RunTime, priority: group.Priority,
		})
	}
}

// covers reports whether a recorded step shows that no worker accepts a task of the group: a step that requests no more
// of any resource and has the same value of Fill. For fill tasks, the image must be the same too, because interference
// depends on it. The group may have constraints, which only reduce the number of suitable workers.
func (unplaceableSteps *unplaceableSteps) covers(group *Group) bool {
	// Suspects may start on workers that are kept for them.
	if group.Suspect || len(unplaceableSteps.holds) > 0 && unplaceableSteps.holds[group.ID()] {
		return false
	}
	for position := range unplaceableSteps.steps {
		step := &unplaceableSteps.steps[position]
		if len(unplaceableSteps.holds) > 0 && !step.usesAtLeast(group) {
			continue
		}
		if step.Fill != group.Step.Fill || step.Fill && step.Image != group.Step.Image {
			continue
		}
		if step.Request.FitsIn(group.Step.Request) {
			return true
		}
	}
	return false
}

// usesAtLeast reports whether a task of the recorded step can use at least as much held capacity as one of the group.
func (unplaceableStep *unplaceableStep) usesAtLeast(group *Group) bool {
	return group.Priority >= unplaceableStep.priority && group.runsAtLeast(unplaceableStep.runTime)
}

// runsAtLeast reports whether a task of the group may run at least as long as one with the given RunTime.
func (group *Group) runsAtLeast(runTime time.Duration) bool {
	if group.RunTime == 0 || group.Step.LongRunning {
		return true
	}
	return runTime > 0 && group.RunTime >= runTime
}
