// Package packer decides which worker runs which task of a workflow. It is pure decision code: it reads no
// clock and starts no goroutine, and equal inputs give equal decisions.
package packer

import (
	"cmp"
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
	// Harm estimates the highest latency of a serving task on the worker, as a part of its target, beside a
	// further fill task of an image that uses so many thousandths of a core. It is nil without serving
	// tasks.
	Harm func(image string, milliCores int64) float64
	// placed is the processor time of the fill tasks that this decision has put on the worker.
	placed int64
	// Penalty makes a worker less attractive, for example after failures. 0 is usual.
	Penalty float64
}

func (worker *Worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(worker.Labels, label)
}

// Group is a set of equal tasks of one step that wait for workers.
type Group struct {
	Step  *scheduler.Step
	Tasks []scheduler.StepTaskID
	// OnWorker counts the attempts of the step on each worker.
	OnWorker map[scheduler.WorkerName]int
	// Approved is nil when every worker may run the step, otherwise it holds those that may.
	Approved map[scheduler.WorkerName]bool
	// Avoid holds workers that should not be chosen again soon.
	Avoid map[scheduler.WorkerName]bool
}

// Choice puts a task on a worker.
type Choice struct {
	Task   scheduler.StepTaskID
	Worker scheduler.WorkerName
}

// Pack chooses workers for the groups in their order and counts its own choices as reserved. The members
// of a gang are placed together or not at all. It changes the workers passed in.
func Pack(workers []*Worker, groups []Group) []Choice {
	var choices []Choice
	for _, group := range groups {
		choices = append(choices, packGroup(workers, group)...)
	}
	return choices
}

func packGroup(workers []*Worker, group Group) []Choice {
	chosen := make([]*Worker, 0, len(group.Tasks))
	counts := map[scheduler.WorkerName]int{}
	racks := map[string]bool{}
	for range group.Tasks {
		worker := best(workers, group, counts, racks)
		if worker == nil {
			break
		}
		take(worker, group.Step)
		counts[worker.Name]++
		racks[worker.Rack] = true
		chosen = append(chosen, worker)
	}
	if group.Step.Gang && len(chosen) < len(group.Tasks) {
		for _, worker := range chosen {
			giveBack(worker, group.Step)
		}
		return nil
	}
	choices := make([]Choice, len(chosen))
	for position, worker := range chosen {
		choices[position] = Choice{Task: group.Tasks[position], Worker: worker.Name}
	}
	return choices
}

func take(worker *Worker, step *scheduler.Step) {
	worker.Free = worker.Free.Minus(step.Reserved())
	worker.Slack -= step.Request.MilliCores
	if step.Fill {
		worker.placed += step.Request.MilliCores
	}
}

func giveBack(worker *Worker, step *scheduler.Step) {
	worker.Free = worker.Free.Plus(step.Reserved())
	worker.Slack += step.Request.MilliCores
	if step.Fill {
		worker.placed -= step.Request.MilliCores
	}
}

// best returns the worker with the lowest score on which a further task of the group fits.
func best(workers []*Worker, group Group, counts map[scheduler.WorkerName]int, racks map[string]bool) *Worker {
	var found *Worker
	var lowest float64
	for _, worker := range workers {
		if !group.allows(worker, counts[worker.Name]) {
			continue
		}
		if score := group.score(worker, racks); found == nil || score < lowest {
			found, lowest = worker, score
		}
	}
	return found
}

func (group *Group) allows(worker *Worker, chosen int) bool {
	step := group.Step
	switch {
	case !step.Reserved().Fits(worker.Free) || !worker.hasLabel(step.RequiredLabel):
		return false
	case step.MaxPerWorker > 0 && group.OnWorker[worker.Name]+chosen >= step.MaxPerWorker:
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
	// harmFrom is the expected latency, as a part of the target, from which on a fill task is kept away
	// from serving tasks, and weightHarm how much a latency beyond that weighs.
	harmFrom   = 0.6
	weightHarm = 4
	// weightScarce keeps work off workers with free accelerators that it does not need.
	weightScarce = 1
)

// score is lower for a better worker. Tasks with a reservation go to the fullest worker that holds them,
// so that room for large tasks remains elsewhere. Fill tasks go where most processor time is unused.
func (group *Group) score(worker *Worker, racks map[string]bool) float64 {
	step := group.Step
	score := worker.Penalty
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
		return score - share(worker.Slack, worker.Capacity.MilliCores) + weightHarm*worker.harm(step)
	}
	left := worker.Free.Minus(step.Reserved())
	return score + max(share(left.MilliCores, worker.Capacity.MilliCores), share(left.MemoryBytes, worker.Capacity.MemoryBytes))
}

// harm returns by how much a further fill task would bring the latency of a serving task beyond what is
// harmless.
func (worker *Worker) harm(step *scheduler.Step) float64 {
	if worker.Harm == nil {
		return 0
	}
	return max(0, worker.Harm(step.Image, worker.placed+step.Request.MilliCores)-harmFrom)
}

func share(amount, of int64) float64 {
	if of <= 0 {
		return 0
	}
	return float64(amount) / float64(of)
}

// Urgency orders groups: by the priority of the queue, then serving work, then by Due.
type Urgency struct {
	Priority int
	// Due is when the work must start to meet its objective; the unit is that of the caller.
	Due float64
}

// Compare orders two urgencies, the more urgent one first.
func (urgency Urgency) Compare(other Urgency) int {
	return cmp.Or(cmp.Compare(urgency.Priority, other.Priority), cmp.Compare(urgency.Due, other.Due))
}
