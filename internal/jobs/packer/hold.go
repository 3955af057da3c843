package packer

import (
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// StepID identifies a step of an occurrence of a job.
type StepID struct {
	job        scheduler.JobID
	occurrence int
	step       int
	// suspect distinguishes the suspects of a step from its other tasks.
	suspect bool
}

// StepOf returns the step of a task that is not a suspect.
func StepOf(task scheduler.StepTaskID) StepID {
	return StepID{job: task.Job, occurrence: task.Occurrence, step: task.Step}
}

// Job returns the job of the step.
func (stepID StepID) Job() scheduler.JobID { return stepID.job }

// Occurrence returns the number of the occurrence.
func (stepID StepID) Occurrence() int { return stepID.occurrence }

// Step returns the index of the step in its job.
func (stepID StepID) Step() int { return stepID.step }

// ID returns the step of the group's tasks. The group must not be empty.
func (group *Group) ID() StepID {
	step := StepOf(group.Tasks[0])
	step.suspect = group.Suspect
	return step
}

// Hold keeps capacity of a worker for tasks of one step. Until the first of them is expected to start, other tasks may
// use the capacity if they end before. Tasks that run longer may use only what the held tasks will not need. Tasks of
// queues with a higher priority may use all of it, but other workers are preferred for them.
type Hold struct {
	step     StepID
	priority int
	tasks    int
	start    time.Duration
	spare    scheduler.Resources
}

// NewHold returns a hold for a number of tasks of a step, whose queue has the given priority. start is the time from
// now until the first of them is expected to start. spare is the capacity that is expected to be free beside them from
// then on.
func NewHold(step StepID, priority, tasks int, start time.Duration, spare scheduler.Resources) *Hold {
	return &Hold{step: step, priority: priority, tasks: tasks, start: start, spare: spare}
}

// isActive reports whether the hold keeps capacity from tasks of the group.
func (hold *Hold) isActive(group *Group) bool {
	return hold != nil && hold.tasks > 0 && hold.step != group.ID()
}

// leavesRoom reports whether another task of the group needs none of the capacity that is kept.
func (hold *Hold) leavesRoom(group *Group) bool {
	// The spare capacity is negative after a task of a higher priority has used held capacity. Tasks that reserve none of a
	// resource still fit.
	return group.endsWithin(hold.start) || group.Step.Reserved().FitsIn(atLeastZero(hold.spare))
}

func atLeastZero(resources scheduler.Resources) scheduler.Resources {
	return scheduler.Resources{
		MilliCores: max(resources.MilliCores, 0), MemoryBytes: max(resources.MemoryBytes, 0),
		Accelerators: max(resources.Accelerators, 0),
	}
}

// stepsWithHolds returns the steps for which workers hold capacity, or nil if there are none.
func stepsWithHolds(workers []*Worker) map[StepID]bool {
	var steps map[StepID]bool
	for _, worker := range workers {
		if worker.Hold == nil {
			continue
		}
		if steps == nil {
			steps = map[StepID]bool{}
		}
		steps[worker.Hold.step] = true
	}
	return steps
}

// FitsIdle reports whether a worker could run another task of the group if no attempt had reserved any of its
// capacity. assigned is the number of tasks of the group that the caller has already assigned to the worker.
func (group *Group) FitsIdle(worker *Worker, assigned int) bool {
	idle := *worker
	idle.Free, idle.Hold, idle.heldForLongRunning = worker.Capacity, nil, false
	idle.Isolation, idle.keptFor = Isolation{}, nil
	return group.fits(&idle, assigned)
}

// admits reports whether the hold of the worker, if any, lets another task of the group use its capacity.
func (worker *Worker) admits(group *Group) bool {
	hold := worker.Hold
	return !hold.isActive(group) || group.Priority < hold.priority || hold.leavesRoom(group)
}

// breaksHold reports whether another task of the group would use capacity that is kept for tasks of a lower priority.
func (worker *Worker) breaksHold(group *Group) bool {
	return worker.Hold.isActive(group) && !worker.Hold.leavesRoom(group)
}

// useHold updates the hold of the worker after a task of the group was assigned to it, with count 1, or was taken back,
// with count -1.
func (worker *Worker) useHold(group *Group, count int) {
	hold := worker.Hold
	switch {
	case hold == nil:
	case hold.step == group.ID():
		hold.tasks -= count
	case hold.isActive(group) && !group.endsWithin(hold.start) && count > 0:
		hold.spare = hold.spare.Minus(group.Step.Reserved())
	case hold.isActive(group) && !group.endsWithin(hold.start):
		hold.spare = hold.spare.Plus(group.Step.Reserved())
	}
}

// endsWithin reports whether a task of the group that starts now ends almost certainly within a duration.
func (group *Group) endsWithin(duration time.Duration) bool {
	return group.RunTime > 0 && group.RunTime <= duration && !group.Step.LongRunning
}
