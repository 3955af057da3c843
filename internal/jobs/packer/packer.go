// Package packer assigns the tasks of workflows to workers. It contains only decision logic: it reads no clock and
// starts no goroutine, and equal inputs give equal decisions.
package packer

import (
	"slices"

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
	// Slack is the estimated CPU time, in millicores, that the tasks on the worker leave unused. Fill tasks share
	// it.
	Slack int64
	// Forecast predicts the interference of fill tasks with the serving tasks on the worker. It is nil if there are no
	// serving tasks.
	Forecast Forecast
	// runnable is the pending fill work that could run on the worker, by image.
	runnable imageDemands
	// heldForLongRunning is true if this decision holds the worker's free capacity for a long-running task that fits on
	// no worker yet.
	heldForLongRunning bool
	// Images counts the serving tasks on the worker by image.
	Images ImageCounts
}

// Forecast predicts the interference of fill tasks with the serving tasks on a worker. Fractions are of the worker's
// CPU capacity.
type Forecast interface {
	// Excess returns by how much the utilisation of the worst-affected serving task would exceed its limit if another
	// fill task of the image ran on the worker. It is negative if the limit would be kept.
	Excess(image string, fraction float64) float64
	// Add includes a fill task in the forecast. A negative fraction removes it again.
	Add(image string, fraction float64)
}

func (worker *Worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(worker.Labels, label)
}

// Group is a set of identical pending tasks of one step.
type Group struct {
	Step  *scheduler.Step
	Tasks []scheduler.StepTaskID
	// AttemptsByWorker is the number of attempts of the step on each worker.
	AttemptsByWorker map[scheduler.WorkerName]int
	// Approved holds the workers that may run the step. It is nil if every worker may.
	Approved map[scheduler.WorkerName]bool
	// Avoid holds the workers to which the tasks must not be assigned for the time being.
	Avoid map[scheduler.WorkerName]bool
	// Starved is true for fill work of a job of which no task runs although the pool is far from full. One task may
	// then be assigned in spite of its predicted interference, to run at a small CPU share.
	Starved bool
}

// Assignment assigns a task to a worker.
type Assignment struct {
	Task   scheduler.StepTaskID
	Worker scheduler.WorkerName
}

// Pack assigns the tasks of the groups, in the order of the groups, and reserves the capacity of each assignment in the
// workers passed in. The members of a gang are assigned together or not at all.
func Pack(workers []*Worker, groups []Group) []Assignment {
	var assignments []Assignment
	var unplaceable unplaceableSteps
	recordRunnableImages(workers, groups)
	for _, group := range groups {
		if !group.Starved && unplaceable.covers(&group) {
			continue
		}
		assigned := packGroup(workers, group)
		if missing := len(group.Tasks) - len(assigned); missing > 0 {
			unplaceable.add(&group)
			holdWorkers(workers, &group, missing)
		}
		assignments = append(assignments, assigned...)
	}
	return assignments
}

// maxHeldFraction is the maximum fraction of the workers whose free capacity is held for long-running tasks.
const maxHeldFraction = 0.1

// holdWorkers holds the workers with the most free CPU for long-running tasks that fit on no worker. Otherwise new
// short tasks would take the capacity that ending ones free before there is enough of it for a long-running task.
func holdWorkers(workers []*Worker, group *Group, missing int) {
	if !group.Step.LongRunning {
		return
	}
	held := 0
	for _, worker := range workers {
		if worker.heldForLongRunning {
			held++
		}
	}
	for range min(missing, int(maxHeldFraction*float64(len(workers)))-held) {
		worker := mostFreeCPU(workers, group)
		if worker == nil {
			return
		}
		worker.heldForLongRunning = true
	}
}

// mostFreeCPU returns the worker with the most free CPU among those that could run a task of the group if they were
// idle.
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

// unplaceableSteps records the steps for which a decision found no worker. Free capacity only decreases during a
// decision, so a task that requests at least as much need not be tried. A queue of a thousand pending tasks then costs
// no more than a single one.
type unplaceableSteps struct {
	steps []*scheduler.Step
}

// maxUnplaceableSteps limits the number of recorded steps and thereby the cost of a look-up.
const maxUnplaceableSteps = 32

// dependsOnlyOnRequest reports whether the resource request alone decides on which workers a task of the group fits.
func (group *Group) dependsOnlyOnRequest() bool {
	step := group.Step
	return !step.Gang && step.RequiredLabel == "" && step.MaxPerWorker == 0 && group.Approved == nil && len(group.Avoid) == 0
}

func (unplaceableSteps *unplaceableSteps) add(group *Group) {
	if group.dependsOnlyOnRequest() && len(unplaceableSteps.steps) < maxUnplaceableSteps {
		unplaceableSteps.steps = append(unplaceableSteps.steps, group.Step)
	}
}

// covers reports whether no task of the group can fit because a recorded step with at most the same request did not.
// Further constraints of the group only reduce the number of suitable workers.
func (unplaceableSteps *unplaceableSteps) covers(group *Group) bool {
	for _, step := range unplaceableSteps.steps {
		if step.Fill != group.Step.Fill || step.Fill && step.Image != group.Step.Image {
			continue
		}
		if step.Request.FitsIn(group.Step.Request) {
			return true
		}
	}
	return false
}

func packGroup(workers []*Worker, group Group) []Assignment {
	assigned := make([]*Worker, 0, len(group.Tasks))
	selection := newSelection(workers, &group)
	for range group.Tasks {
		worker := selection.reserve()
		if worker == nil && group.Starved && len(assigned) == 0 {
			worker = leastInterference(workers, group)
			if worker != nil {
				reserve(worker, group.Step)
			}
		}
		if worker == nil {
			break
		}
		assigned = append(assigned, worker)
	}
	if group.Step.Gang && len(assigned) < len(group.Tasks) {
		for _, worker := range assigned {
			release(worker, group.Step)
		}
		return nil
	}
	assignments := make([]Assignment, len(assigned))
	for position, worker := range assigned {
		assignments[position] = Assignment{Task: group.Tasks[position], Worker: worker.Name}
	}
	return assignments
}

func reserve(worker *Worker, step *scheduler.Step) {
	worker.Free = worker.Free.Minus(step.Reserved())
	worker.Slack -= step.Request.MilliCores
	if step.Fill && worker.Forecast != nil {
		worker.Forecast.Add(step.Image, worker.fraction(step))
	}
	if step.LatencyTarget > 0 {
		worker.Images.Add(step.Image, 1)
	}
}

func release(worker *Worker, step *scheduler.Step) {
	worker.Free = worker.Free.Plus(step.Reserved())
	worker.Slack += step.Request.MilliCores
	if step.Fill && worker.Forecast != nil {
		worker.Forecast.Add(step.Image, -worker.fraction(step))
	}
	if step.LatencyTarget > 0 {
		worker.Images.Add(step.Image, -1)
	}
}

// leastInterference returns the worker on which a fill task is predicted to interfere least, or nil if it fits nowhere.
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

// accepts reports whether another task of the group may be assigned to a worker, considering both capacity and
// interference.
func (group *Group) accepts(worker *Worker, assigned int) bool {
	step := group.Step
	if step.Fill && (worker.Slack < step.Request.MilliCores/minFillDivisor || worker.excess(step) > 0) {
		return false
	}
	return group.fits(worker, assigned)
}

// fits reports whether a worker has the capacity for another task of the group and meets its constraints.
func (group *Group) fits(worker *Worker, assigned int) bool {
	step := group.Step
	switch {
	case worker.heldForLongRunning && !step.Fill:
		return false
	case !step.Reserved().FitsIn(worker.Free) || !worker.hasLabel(step.RequiredLabel):
		return false
	case step.MaxPerWorker > 0 && group.AttemptsByWorker[worker.Name]+assigned >= step.MaxPerWorker:
		return false
	case group.Approved != nil && !group.Approved[worker.Name]:
		return false
	}
	return !group.Avoid[worker.Name]
}

// Weights of the terms of a score. The first three are relative to the whole capacity of a worker.
const (
	// weightRemote outweighs every difference in load, because a task that is remote from its data runs several times
	// slower.
	weightRemote = 10
	// weightInterference is the weight of the serving tasks' excess utilisation in the score of a fill task,
	// weightMarginal that of the part that the task itself adds, which is no longer available to other fill tasks.
	weightInterference = 1
	weightMarginal     = 5
	// weightRunnable keeps fill tasks off workers on which other pending images could run.
	weightRunnable = 1
	// minFillDivisor divides the CPU request of a fill task. The task is not assigned to a worker with less slack than
	// that.
	minFillDivisor = 2
	// weightMixedImages separates serving tasks of different images, because a fill task must not interfere with any
	// image on its worker. weightEmptyWorker prefers a worker with the same image to an empty one.
	weightMixedImages = 2
	weightEmptyWorker = 0.5
	// weightAccelerators keeps tasks that need no accelerators off workers with free ones.
	weightAccelerators = 1
)

// score returns the score of a worker for a task of the group, of which the lowest is best. Tasks with a reservation go
// to the fullest worker on which they fit, which keeps capacity for large tasks free on other workers. Fill tasks go to
// the worker with the most slack.
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
	if step.Fill {
		return score + weightRunnable*worker.runnable.exceptImage(step.Image) - ratio(worker.Slack, worker.Capacity.MilliCores) +
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

// excess returns the predicted excess utilisation of the worker's serving tasks with another fill task. It is negative
// if there are no serving tasks.
func (worker *Worker) excess(step *scheduler.Step) float64 {
	if worker.Forecast == nil {
		return -1
	}
	return worker.Forecast.Excess(step.Image, worker.fraction(step))
}

// marginal returns the increase of the excess utilisation by another fill task.
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
