// Package packer assigns the tasks of workflows to workers. It contains only decision logic: it reads no clock and
// starts no goroutine, and equal inputs give equal decisions.
//
// Two kinds of tasks are treated specially. Fill tasks (Step.Fill) reserve no CPU and run only on the CPU time that
// other tasks leave unused. Serving tasks (Step.LatencyTarget > 0) have a limit for their tail latency. Fill tasks
// interfere with the serving tasks on the same worker: they raise their latency.
package packer

import (
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Worker is a worker that accepts new tasks, as the packer sees it.
type Worker struct {
	Name     scheduler.WorkerName
	Rack     string
	Labels   []string
	Capacity scheduler.Resources
	// Free is the part of Capacity that no attempt has reserved.
	Free scheduler.Resources
	// Slack is the part of the CPU capacity, in millicores, that the tasks on the worker are expected to leave unused.
	// It includes unreserved capacity. Fill tasks run on it.
	Slack int64
	// Forecast predicts the interference of fill tasks with the serving tasks on the worker. It is nil if no serving
	// task runs there.
	Forecast Forecast
	// placeableDemand is the demand of the images whose pending fill tasks could be assigned to the worker at the start
	// of the decision. It is empty if fill tasks of fewer than two images are pending.
	placeableDemand imageDemands
	// heldForLongRunning is true if the worker is held for a long-running task that fits on no worker yet. For the rest
	// of the decision, the worker then takes fill tasks only, which reserve no CPU. It takes no other long-running task
	// either. The next decision starts without held workers and can assign the long-running task to any worker. It is
	// independent of Hold, which the caller sets.
	heldForLongRunning bool
	// ColdRemaining is how much longer the worker remains slow after its start. It is zero for a warm worker.
	ColdRemaining time.Duration
	// Hold keeps a part of the capacity for tasks that are expected to start later, and lets others use it until then. It
	// is nil if none is kept. Package reserver decides about it; it never keeps capacity for long-running tasks.
	Hold *Hold
	// Images counts the serving tasks on the worker by image.
	Images    ImageCounts
	Isolation Isolation
	// keptFor holds the suspects for which the worker is kept free of other starts. It is nil if there are none.
	keptFor *Group
}

// Forecast predicts the interference of fill tasks with the serving tasks on a worker. The fraction of a fill task is
// its CPU request relative to the CPU capacity of the worker.
type Forecast interface {
	// Excess returns by how much the utilisation of the worst-affected serving task would exceed its limit if another
	// fill task of the image ran on the worker. The utilisation is that of the serving task, not of the worker, and its
	// limit is the one above which no fill task is to be added. The result is negative if the utilisation stays below
	// the limit. A fraction of 0 gives the excess without another fill task.
	Excess(image string, fraction float64) float64
	// Add includes a fill task of the image in later results of Excess. The negated fraction removes it again.
	Add(image string, fraction float64)
}

func (worker *Worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(worker.Labels, label)
}

// Group is a set of identical pending tasks of one step. Except in a gang, either all of them are suspects or none.
type Group struct {
	Step  *scheduler.Step
	Tasks []scheduler.StepTaskID
	// AttemptsByWorker is the number of attempts of the step on each worker.
	AttemptsByWorker map[scheduler.WorkerName]int
	// Approved holds the workers that may run the step. It is nil if every worker may.
	Approved map[scheduler.WorkerName]bool
	// Avoid holds the workers to which the tasks must not be assigned for the time being.
	Avoid map[scheduler.WorkerName]bool
	// Starved is true for a fill step of a job that waits without a running task although much of its pool is
	// unreserved. The pool is the set of workers that run the tasks of the job's queue. If no worker accepts a task of
	// the group, one task is assigned regardless of slack and predicted interference. The overseer throttles it at first.
	Starved bool
	// RunTime is the time within which a task of the group ends almost certainly, or zero if it is unknown. It decides
	// whether the task may run on capacity that is kept for a later start.
	RunTime time.Duration
	// Priority is the priority of the step's queue; 0 comes first. It only decides which holds the tasks may break.
	Priority int
	// Suspect is true if workers have crashed under the tasks, or under a member of the gang. Waited is then how long the
	// first of them has been waiting.
	Suspect bool
	Waited  time.Duration
}

// Assignment assigns a task to a worker.
type Assignment struct {
	Task   scheduler.StepTaskID
	Worker scheduler.WorkerName
	// Suspect is that of the task's group.
	Suspect bool
}

// Step returns the step of the task's group.
func (assignment *Assignment) Step() StepID {
	step := StepOf(assignment.Task)
	step.suspect = assignment.Suspect
	return step
}

// Pack assigns the tasks of the groups, in the order of the groups, and reserves the capacity of each assignment in the
// workers passed in. The members of a gang are assigned together or not at all.
func Pack(workers []*Worker, groups []Group) []Assignment {
	return PackObserved(workers, groups, func(int) {})
}

// PackObserved does the same as Pack, and calls observe with the position of each group before the tasks of the group are
// assigned. observe must not change the workers.
func PackObserved(workers []*Worker, groups []Group, observe func(position int)) []Assignment {
	var assignments []Assignment
	unplaceable := unplaceableSteps{holds: stepsWithHolds(workers)}
	recordPlaceableDemand(workers, groups)
	keepForSuspects(workers, groups)
	for position, group := range groups {
		observe(position)
		// A starved group is always tried: one of its tasks may be assigned to a worker on which the recorded steps were
		// rejected for lack of slack or for interference.
		if !group.Starved && unplaceable.covers(&group) {
			continue
		}
		assigned := packGroup(workers, group)
		if unassigned := len(group.Tasks) - len(assigned); unassigned > 0 {
			unplaceable.add(&group)
			holdWorkers(workers, &group, unassigned)
		}
		assignments = append(assignments, assigned...)
	}
	return assignments
}

// maxHeldFraction is the maximum fraction of the workers that are held for long-running tasks. The number of workers is
// rounded down, so fewer than ten workers hold none.
const maxHeldFraction = 0.1

// holdWorkers holds one worker for each unassigned task of a long-running group, in the order of their free CPU and up
// to maxHeldFraction for all groups together. Without this, each short task that ends would be replaced by another short
// one, and no worker would collect enough free capacity for a long-running task.
func holdWorkers(workers []*Worker, group *Group, unassigned int) {
	if !group.Step.LongRunning {
		return
	}
	held := 0
	for _, worker := range workers {
		if worker.heldForLongRunning {
			held++
		}
	}
	// The loop does not run if the maximum number of workers is held already.
	for range min(unassigned, int(maxHeldFraction*float64(len(workers)))-held) {
		worker := mostFreeCPU(workers, group)
		if worker == nil {
			return
		}
		worker.heldForLongRunning = true
	}
}

// mostFreeCPU returns the worker with the most free CPU among those that could run a task of the group if they were
// idle. Workers that are held already are excluded by fits, except for fill tasks.
func mostFreeCPU(workers []*Worker, group *Group) *Worker {
	var most *Worker
	for _, worker := range workers {
		idle := *worker
		idle.Free = worker.Capacity
		if group.fits(&idle, 0) && (most == nil || worker.Free.MilliCores > most.Free.MilliCores) {
			most = worker
		}
	}
	return most
}

func packGroup(workers []*Worker, group Group) []Assignment {
	assigned := make([]*Worker, 0, len(group.Tasks))
	selection := newSelection(workers, &group)
	for range group.Tasks {
		worker := selection.reserve()
		if worker == nil && group.Starved && len(assigned) == 0 {
			worker = leastInterference(workers, group)
			if worker != nil {
				reserve(worker, &group)
			}
		}
		if worker == nil {
			break
		}
		assigned = append(assigned, worker)
	}
	if group.Step.Gang && len(assigned) < len(group.Tasks) {
		for _, worker := range assigned {
			release(worker, &group)
		}
		return nil
	}
	assignments := make([]Assignment, len(assigned))
	for position, worker := range assigned {
		assignments[position] = Assignment{Task: group.Tasks[position], Worker: worker.Name, Suspect: group.Suspect}
	}
	return assignments
}

// reserve reserves capacity for a task on a worker. Slack decreases by the full CPU request of every task, including
// fill tasks, which accepts allows on less slack than their request. Slack can therefore become negative.
func reserve(worker *Worker, group *Group) {
	step := group.Step
	worker.useHold(group, 1)
	worker.Isolation.add(group, 1)
	worker.Free = worker.Free.Minus(step.Reserved())
	worker.Slack -= step.Request.MilliCores
	if step.Fill && worker.Forecast != nil {
		worker.Forecast.Add(step.Image, worker.fraction(step))
	}
	if step.LatencyTarget > 0 {
		worker.Images.Add(step.Image, 1)
	}
}

// release undoes reserve.
func release(worker *Worker, group *Group) {
	step := group.Step
	worker.useHold(group, -1)
	worker.Isolation.add(group, -1)
	worker.Free = worker.Free.Plus(step.Reserved())
	worker.Slack += step.Request.MilliCores
	if step.Fill && worker.Forecast != nil {
		worker.Forecast.Add(step.Image, -worker.fraction(step))
	}
	if step.LatencyTarget > 0 {
		worker.Images.Add(step.Image, -1)
	}
}

// leastInterference returns the worker on which a fill task is predicted to interfere least, regardless of slack, or nil
// if it fits on no worker.
func leastInterference(workers []*Worker, group Group) *Worker {
	var best *Worker
	var lowest float64
	for _, worker := range workers {
		if !group.fits(worker, 0) {
			continue
		}
		if excess := worker.excess(group.Step); best == nil || excess < lowest {
			best, lowest = worker, excess
		}
	}
	return best
}

// accepts reports whether another task of the group may be assigned to a worker. In addition to fits, it requires slack
// and tolerable interference for fill tasks. assigned is the number of tasks of the group that this decision has
// assigned to the worker.
func (group *Group) accepts(worker *Worker, assigned int) bool {
	return group.exclusion(worker, assigned) == NotExcluded
}

// fits reports whether a worker has the capacity for another task of the group and meets its constraints. It considers
// neither slack nor interference.
func (group *Group) fits(worker *Worker, assigned int) bool {
	return group.constraint(worker, assigned) == NotExcluded
}

// Weights of the terms of a score. The terms for slack and for remaining capacity have no constant: their weight is 1,
// and they are fractions of the worker's capacity.
const (
	// weightRemote outweighs every difference in load, because a task that is remote from its data runs several times
	// slower.
	weightRemote = 10
	// weightInterference is the weight of the excess utilisation that is predicted with the fill task, weightMarginal
	// that of the increase that the fill task causes. This increase counts separately because it reduces the utilisation
	// that is left to other fill tasks before a serving task reaches its limit.
	weightInterference = 1
	weightMarginal     = 5
	// weightOtherDemand keeps fill tasks off workers to which pending fill tasks of other images could be assigned. The
	// term is the fraction of all pending fill demand that these images request, from 0 to 1.
	weightOtherDemand = 1
	// weightMixedImages separates serving tasks of different images, because a fill task must not interfere with any
	// image on its worker. weightEmptyWorker prefers a worker with the same image to an empty one.
	weightMixedImages = 2
	weightEmptyWorker = 0.5
	// weightAccelerators keeps tasks that need no accelerators off workers with free ones.
	weightAccelerators = 1
	// weightHeld keeps tasks off capacity that is held for tasks of a lower priority, unless all other workers are
	// remote from their data.
	weightHeld = 5
	// weightAttempts is the weight of each attempt that would be lost if a suspect crashed the worker. weightSuspects keeps
	// suspects on separate workers as long as there are any, because a crash may be blamed on all suspects of a worker.
	weightAttempts = 1
	weightSuspects = 100
)

// score returns the score of a worker for a task of the group; the lowest score is best. Apart from the weighted terms,
// suspects go to the worker with the fewest attempts, fill tasks to the worker with the most slack, and other tasks to the
// fullest worker on which they fit, which keeps capacity for large tasks free on other workers. racks holds the racks to
// which tasks of a rack-local group have been assigned.
func (group *Group) score(worker *Worker, racks map[string]bool) float64 {
	step := group.Step
	score := 0.0
	if step.PreferredRack != "" && step.PreferredRack != worker.Rack {
		score += weightRemote
	}
	if step.RackLocal && len(racks) > 0 && !racks[worker.Rack] {
		score += weightRemote
	}
	if step.Request.Accelerators == 0 && worker.Free.Accelerators > 0 {
		score += weightAccelerators
	}
	if worker.breaksHold(group) {
		score += weightHeld
	}
	if group.Suspect {
		return score + weightAttempts*float64(worker.Isolation.Attempts) + weightSuspects*float64(worker.Isolation.Suspects)
	}
	if step.Fill {
		return score + weightOtherDemand*worker.placeableDemand.totalWithout(step.Image) -
			ratio(worker.Slack, worker.Capacity.MilliCores) +
			weightInterference*worker.excess(step) + weightMarginal*worker.marginal(step)
	}
	if step.LatencyTarget > 0 {
		score += weightMixedImages * float64(worker.Images.Others(step.Image))
		if len(worker.Images) == 0 {
			score += weightEmptyWorker
		}
	}
	left := worker.Free.Minus(step.Reserved())
	return score + max(ratio(left.MilliCores, worker.Capacity.MilliCores), ratio(left.MemoryBytes, worker.Capacity.MemoryBytes))
}

// excess returns the result of Forecast.Excess for another task of a fill step. Without serving tasks it returns -1, the
// lowest result of the forecasts of package pacer, so that no worker with serving tasks has a lower excess.
func (worker *Worker) excess(step *scheduler.Step) float64 {
	if worker.Forecast == nil {
		return -1
	}
	return worker.Forecast.Excess(step.Image, worker.fraction(step))
}

// marginal returns the predicted increase of the excess utilisation by another task of a fill step.
func (worker *Worker) marginal(step *scheduler.Step) float64 {
	if worker.Forecast == nil {
		return 0
	}
	return worker.excess(step) - worker.Forecast.Excess(step.Image, 0)
}

// fraction returns the CPU request of a task as a fraction of the worker's CPU capacity.
func (worker *Worker) fraction(step *scheduler.Step) float64 {
	return ratio(step.Request.MilliCores, worker.Capacity.MilliCores)
}

func ratio(amount, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(amount) / float64(total)
}
