package packer

// Exclusion is the reason why a worker does not accept a task of a group.
type Exclusion string

// Values of Exclusion.
const (
	// NotExcluded means that the worker accepts the task.
	NotExcluded Exclusion = ""
	// ExcludedBySlack means that too little of the worker's CPU is expected to stay unused for another fill task.
	ExcludedBySlack Exclusion = "insufficientSlack"
	// ExcludedByInterference means that a fill task is predicted to slow a serving task beyond its limit.
	ExcludedByInterference Exclusion = "interference"
	// ExcludedByLongRunning means that the whole worker is kept, for the rest of this decision, for a long-running task
	// that fits on no worker yet.
	ExcludedByLongRunning Exclusion = "heldForLongRunning"
	// ExcludedByCapacity means that the request exceeds the worker's free capacity.
	ExcludedByCapacity Exclusion = "insufficientCapacity"
	// ExcludedByLabel means that the worker lacks the required label.
	ExcludedByLabel Exclusion = "missingLabel"
	// ExcludedByTaskLimit means that as many tasks of the step run on the worker as the step allows.
	ExcludedByTaskLimit Exclusion = "tasksPerWorker"
	// ExcludedByApproval means that the approval service has not approved the worker for the step.
	ExcludedByApproval Exclusion = "notApproved"
	// ExcludedByHold means that Worker.Hold keeps the free capacity for a task that is expected to start later.
	ExcludedByHold Exclusion = "reserved"
	// ExcludedByFailure means that a task of the group failed on the worker and is to run elsewhere.
	ExcludedByFailure Exclusion = "failedThere"
	// ExcludedBySuspect means that a task under which workers have crashed is starting on the worker, or is about to, or
	// that the task is one itself and another runs there.
	ExcludedBySuspect Exclusion = "suspect"
	// ExcludedByStarts means that workers have crashed under the task and another one is starting on the worker.
	ExcludedByStarts Exclusion = "otherStarts"
)

// minSlackDivisor sets the slack that a worker must have for another fill task: the CPU request of the task divided by
// minSlackDivisor.
const minSlackDivisor = 2

// exclusion returns why a worker does not accept another task of the group. assigned is the number of tasks of the group
// that this decision has assigned to the worker.
func (group *Group) exclusion(worker *Worker, assigned int) Exclusion {
	if exclusion := group.servingExclusion(worker); exclusion != NotExcluded {
		return exclusion
	}
	return group.constraint(worker, assigned)
}

// constraint returns which limit of capacity, constraint of the step or rule for suspects keeps another task of the group
// off a worker. It considers neither slack nor interference. The rules for suspects come last, see isolationCandidates.
func (group *Group) constraint(worker *Worker, assigned int) Exclusion {
	if worker.heldForLongRunning && !group.Step.Fill {
		return ExcludedByLongRunning
	}
	if exclusion := group.hardExclusion(worker, assigned); exclusion != NotExcluded {
		return exclusion
	}
	switch {
	case group.Avoid[worker.Name]:
		return ExcludedByFailure
	case !worker.admits(group):
		return ExcludedByHold
	}
	return group.isolation(worker, assigned)
}

// hardExclusion returns which limit that never yields keeps another task of the group off a worker.
func (group *Group) hardExclusion(worker *Worker, assigned int) Exclusion {
	step := group.Step
	switch {
	case !step.Reserved().FitsIn(worker.Free):
		return ExcludedByCapacity
	case !worker.hasLabel(step.RequiredLabel):
		return ExcludedByLabel
	case step.MaxPerWorker > 0 && group.AttemptsByWorker[worker.Name]+assigned >= step.MaxPerWorker:
		return ExcludedByTaskLimit
	case group.Approved != nil && !group.Approved[worker.Name]:
		return ExcludedByApproval
	}
	return NotExcluded
}

// IsSoft reports whether the reason is a preference, which may yield to a task that has waited for long. The others are
// limits of workers, steps and policies.
func (exclusion Exclusion) IsSoft() bool {
	switch exclusion {
	case ExcludedBySlack, ExcludedByInterference, ExcludedByLongRunning, ExcludedByHold, ExcludedByFailure,
		ExcludedBySuspect, ExcludedByStarts:
		return true
	default:
		return false
	}
}

// Candidates is what the workers of a pool offer a group of tasks.
type Candidates struct {
	accepting int
	excluded  map[Exclusion]int
}

// Accepting returns the number of workers that accept a task of the group.
func (candidates Candidates) Accepting() int { return candidates.accepting }

// Excluded returns the number of workers that accept none, by reason. Each worker counts once, with the first reason
// found.
func (candidates Candidates) Excluded() map[Exclusion]int { return candidates.excluded }

// Examine returns which workers accept a task of the group. It changes nothing.
func Examine(workers []*Worker, group *Group) Candidates {
	candidates := Candidates{excluded: map[Exclusion]int{}}
	for _, worker := range workers {
		if exclusion := group.exclusion(worker, 0); exclusion != NotExcluded {
			candidates.excluded[exclusion]++
			continue
		}
		candidates.accepting++
	}
	return candidates
}
