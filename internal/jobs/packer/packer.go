// Package packer decides which worker runs which task of a workflow. It is pure decision code: it reads no
// clock and starts no goroutine, and equal inputs give equal decisions.
package packer

import (
	"slices"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Worker is what the packer knows of a worker that takes new work.
type Worker struct {
	Name     scheduler.WorkerName
	Rack     string
	Labels   []string
	Capacity scheduler.Resources
	// Free is what no attempt has reserved.
	Free scheduler.Resources
	// Slack is an estimate of the processor time, in thousandths of a core, that the tasks on the worker
	// leave unused; fill tasks share it.
	Slack int64
	// Forecast tells what fill tasks do to the serving tasks on the worker, nil without serving tasks.
	Forecast Forecast
	// suited holds the waiting fill work that could run on the worker, by image.
	suited demand
	// held is true when this decision keeps the worker's room for a long-running task that fits nowhere.
	held bool
	// Images counts the serving tasks on the worker by image.
	Images ImageCounts
}

// Forecast tells what fill tasks do to the serving tasks on a worker. Parts are of the worker's processors.
type Forecast interface {
	// Excess returns by how much the utilisation of a serving task exceeds what it may be, beside a further
	// fill task of an image. It is negative while there is room.
	Excess(image string, part float64) float64
	// Add counts a fill task as placed. A negative part takes it back.
	Add(image string, part float64)
}

func (worker *Worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(worker.Labels, label)
}

// Group is a set of equal tasks of one step that wait for workers.
type Group struct {
	Step  *scheduler.Step
	Tasks []scheduler.StepTaskID
	// AttemptsByWorker counts the attempts of the step on each worker.
	AttemptsByWorker map[scheduler.WorkerName]int
	// Approved is nil when every worker may run the step, otherwise it holds those that may.
	Approved map[scheduler.WorkerName]bool
	// Avoid holds workers that should not be chosen again soon.
	Avoid map[scheduler.WorkerName]bool
	// Starved is true for fill work of a job of which nothing runs although the pool is far from full. One
	// task may then go where it harms, to work at a small share.
	Starved bool
}

// Assignment puts a task on a worker.
type Assignment struct {
	Task   scheduler.StepTaskID
	Worker scheduler.WorkerName
}

// Pack chooses workers for the groups in their order and counts its own choices as reserved. The members
// of a gang are placed together or not at all. It changes the workers passed in.
func Pack(workers []*Worker, groups []Group) []Assignment {
	var choices []Assignment
	var refused refusals
	noteDemand(workers, groups)
	for _, group := range groups {
		if !group.Starved && refused.cover(&group) {
			continue
		}
		chosen := packGroup(workers, group)
		if missing := len(group.Tasks) - len(chosen); missing > 0 {
			refused.note(&group)
			holdRoom(workers, &group, missing)
		}
		choices = append(choices, chosen...)
	}
	return choices
}

// maxHeldShare bounds the part of the workers whose room is held back.
const maxHeldShare = 0.1

// holdRoom keeps room for long-running tasks that fit nowhere: short tasks that end leave gaps, and further short
// tasks would fill each gap before it is large enough. The workers with most free room are held.
func holdRoom(workers []*Worker, group *Group, missing int) {
	if !group.Step.LongRunning {
		return
	}
	held := 0
	for _, worker := range workers {
		if worker.held {
			held++
		}
	}
	for range min(missing, int(maxHeldShare*float64(len(workers)))-held) {
		worker := roomiest(workers, group)
		if worker == nil {
			return
		}
		worker.held = true
	}
}

// roomiest returns the worker with most free processors that could run a task of the group if it were idle.
func roomiest(workers []*Worker, group *Group) *Worker {
	var found *Worker
	for _, worker := range workers {
		idle := *worker
		idle.Free = worker.Capacity
		if group.fits(&idle, 0) && (found == nil || worker.Free.MilliCores > found.Free.MilliCores) {
			found = worker
		}
	}
	return found
}

// refusals remembers what found no worker in a decision. Room only becomes less in its course, so a task that
// asks for at least as much need not be tried: a queue of a thousand tasks that wait costs no more than one.
type refusals struct {
	steps []*scheduler.Step
}

// maxRefusals bounds what is remembered, and so what a look-up costs.
const maxRefusals = 32

// isPlain reports whether only the request decides where a task of the group fits.
func (group *Group) isPlain() bool {
	step := group.Step
	return !step.Gang && step.RequiredLabel == "" && step.MaxPerWorker == 0 && group.Approved == nil && len(group.Avoid) == 0
}

func (refusals *refusals) note(group *Group) {
	if group.isPlain() && len(refusals.steps) < maxRefusals {
		refusals.steps = append(refusals.steps, group.Step)
	}
}

// cover reports whether no task of the group can fit. Constraints of the group only make it harder.
func (refusals *refusals) cover(group *Group) bool {
	for _, refused := range refusals.steps {
		if refused.Fill != group.Step.Fill || refused.Fill && refused.Image != group.Step.Image {
			continue
		}
		if refused.Request.FitsIn(group.Step.Request) {
			return true
		}
	}
	return false
}

func packGroup(workers []*Worker, group Group) []Assignment {
	chosen := make([]*Worker, 0, len(group.Tasks))
	choice := newSelection(workers, &group)
	for range group.Tasks {
		worker := choice.take()
		if worker == nil && group.Starved && len(chosen) == 0 {
			worker = bestForStarved(workers, group)
			if worker != nil {
				take(worker, group.Step)
			}
		}
		if worker == nil {
			break
		}
		chosen = append(chosen, worker)
	}
	if group.Step.Gang && len(chosen) < len(group.Tasks) {
		for _, worker := range chosen {
			giveBack(worker, group.Step)
		}
		return nil
	}
	choices := make([]Assignment, len(chosen))
	for position, worker := range chosen {
		choices[position] = Assignment{Task: group.Tasks[position], Worker: worker.Name}
	}
	return choices
}

func take(worker *Worker, step *scheduler.Step) {
	worker.Free = worker.Free.Minus(step.Reserved())
	worker.Slack -= step.Request.MilliCores
	if step.Fill && worker.Forecast != nil {
		worker.Forecast.Add(step.Image, worker.part(step))
	}
	if step.LatencyTarget > 0 {
		worker.Images.Add(step.Image, 1)
	}
}

func giveBack(worker *Worker, step *scheduler.Step) {
	worker.Free = worker.Free.Plus(step.Reserved())
	worker.Slack += step.Request.MilliCores
	if step.Fill && worker.Forecast != nil {
		worker.Forecast.Add(step.Image, -worker.part(step))
	}
	if step.LatencyTarget > 0 {
		worker.Images.Add(step.Image, -1)
	}
}

// bestForStarved returns the worker on which a fill task does least harm.
func bestForStarved(workers []*Worker, group Group) *Worker {
	var found *Worker
	var lowest float64
	for _, worker := range workers {
		if !group.fits(worker, 0) {
			continue
		}
		if excess := worker.excess(group.Step); found == nil || excess < lowest {
			found, lowest = worker, excess
		}
	}
	return found
}

// allows reports whether a further task of the group may go to a worker.
func (group *Group) allows(worker *Worker, chosen int) bool {
	step := group.Step
	if step.Fill && (worker.Slack < step.Request.MilliCores/minFillPart || worker.excess(step) > 0) {
		return false
	}
	return group.fits(worker, chosen)
}

// fits reports whether a further task of the group can go to a worker.
func (group *Group) fits(worker *Worker, chosen int) bool {
	step := group.Step
	switch {
	case worker.held && !step.Fill:
		return false
	case !step.Reserved().FitsIn(worker.Free) || !worker.hasLabel(step.RequiredLabel):
		return false
	case step.MaxPerWorker > 0 && group.AttemptsByWorker[worker.Name]+chosen >= step.MaxPerWorker:
		return false
	case group.Approved != nil && !group.Approved[worker.Name]:
		return false
	}
	return !group.Avoid[worker.Name]
}

// Weights of the parts of a score. The first three are in units of a worker's whole capacity.
const (
	// weightRemote outweighs every difference in load: a task that is far from its data is slower by a
	// multiple.
	weightRemote = 10
	// weightHarm is how much the utilisation of serving tasks weighs for a fill task.
	// weightMarginal is the same for what the task itself adds, which is what it takes from other fill tasks.
	weightHarm     = 1
	weightMarginal = 5
	// weightSuited keeps fill tasks off workers on which other images that wait could run.
	weightSuited = 1
	// minFillPart divides the request of a fill task: it waits where less than that part would be left for it.
	minFillPart = 2
	// weightMixed keeps serving tasks of different images apart: a fill task must spare all images on its
	// worker. weightEmpty prefers a worker with the same image to an empty one.
	weightMixed = 2
	weightEmpty = 0.5
	// weightScarce keeps work off workers with free accelerators that it does not need.
	weightScarce = 1
)

// score is lower for a better worker. Tasks with a reservation go to the fullest worker that holds them,
// so that room for large tasks remains elsewhere. Fill tasks go where most processor time is unused.
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
		score += weightScarce
	}
	if step.Fill {
		return score + weightSuited*worker.suited.others(step.Image) - share(worker.Slack, worker.Capacity.MilliCores) + weightHarm*worker.excess(step) + weightMarginal*worker.marginal(step)
	}
	if step.LatencyTarget > 0 {
		score += weightMixed * float64(worker.Images.Others(step.Image))
		if len(worker.Images) == 0 {
			score += weightEmpty
		}
	}
	left := worker.Free.Minus(step.Reserved())
	return score + max(share(left.MilliCores, worker.Capacity.MilliCores), share(left.MemoryBytes, worker.Capacity.MemoryBytes))
}

// excess returns the excess of the worker's serving tasks beside a further fill task.
func (worker *Worker) excess(step *scheduler.Step) float64 {
	if worker.Forecast == nil {
		return -1
	}
	return worker.Forecast.Excess(step.Image, worker.part(step))
}

// marginal returns what a further fill task adds to the excess.
func (worker *Worker) marginal(step *scheduler.Step) float64 {
	if worker.Forecast == nil {
		return 0
	}
	return worker.excess(step) - worker.Forecast.Excess(step.Image, 0)
}

// part returns the processor time that a task asks for as a part of the worker's.
func (worker *Worker) part(step *scheduler.Step) float64 {
	return share(step.Request.MilliCores, worker.Capacity.MilliCores)
}

func share(amount, of int64) float64 {
	if of <= 0 {
		return 0
	}
	return float64(amount) / float64(of)
}
