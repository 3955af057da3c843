package dispatcher

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// workerClass is a set of workers with the same capacity and labels.
type workerClass struct {
	capacity scheduler.Resources
	labels   map[string]string
	count    int
}

func (machine *Machine) drain(drain *Drain) Result {
	worker, ok := machine.workers[drain.Worker]
	if !ok {
		return refused(fmt.Sprintf("worker %s is not in the inventory", drain.Worker))
	}
	if worker.Drained == !drain.Off {
		return unchanged("the worker is in this state already")
	}
	worker.Drained, worker.Reason = !drain.Off, ""
	if worker.Drained {
		worker.Reason = "drained by " + drain.Operator
		if drain.Reason != "" {
			worker.Reason += ": " + drain.Reason
		}
	}
	machine.changed[drain.Worker] = struct{}{}
	return done()
}

func (machine *Machine) applyInventory(inventory *Inventory) Result {
	if inventory.Revision <= machine.revision {
		return unchanged(fmt.Sprintf("revision %d is in force", machine.revision))
	}
	if inventory.Base != machine.revision {
		return refused(fmt.Sprintf("the base is revision %d, revision %d is in force", inventory.Base, machine.revision))
	}
	machine.revision = inventory.Revision
	for _, put := range inventory.Put {
		known, ok := machine.workers[put.Name]
		if !ok {
			known = &worker{}
			machine.workers[put.Name] = known
		}
		known.Worker, known.Removed = put, false
		machine.changed[put.Name] = struct{}{}
	}
	for _, name := range inventory.Remove {
		known, ok := machine.workers[name]
		if !ok {
			continue
		}
		known.Removed = true
		if len(known.tasks) == 0 {
			delete(machine.workers, name)
		}
		machine.changed[name] = struct{}{}
	}
	machine.groupWorkers()
	// Iterating over a map is deterministic here, because each group of tasks is evaluated independently.
	for _, job := range machine.jobs {
		if job.State != JobActive {
			continue
		}
		for i := range job.Groups {
			job.Groups[i].Unplaceable = machine.unplaceableReason(&job.Groups[i].Spec)
		}
	}
	return done()
}

// groupWorkers groups the workers into classes. It iterates in the order of their names, so that the reasons that
// list the classes are identical on every VM.
func (machine *Machine) groupWorkers() {
	machine.classes = nil
	index := map[string]int{}
	for _, name := range slices.Sorted(maps.Keys(machine.workers)) {
		worker := machine.workers[name]
		if worker.Removed {
			continue
		}
		key := fmt.Sprint(worker.Worker.Capacity, worker.Worker.Labels)
		i, ok := index[key]
		if !ok {
			i = len(machine.classes)
			index[key] = i
			machine.classes = append(machine.classes, workerClass{
				capacity: worker.Worker.Capacity, labels: worker.Worker.Labels,
			})
		}
		machine.classes[i].count++
	}
}

// unplaceableReason returns, for each class of workers, why an empty worker of that class cannot run the task. It
// returns an empty string if a worker of some class can.
func (machine *Machine) unplaceableReason(spec *scheduler.TaskSpec) string {
	var reasons []string
	for _, class := range machine.classes {
		reason := labelMismatch(spec, class.labels)
		if reason == "" {
			reason = resourceShortage(spec.Request, class.capacity)
		}
		if reason == "" {
			return ""
		}
		reasons = append(reasons, fmt.Sprintf("%d workers with %s: %s",
			class.count, describeCapacity(class.capacity), reason))
	}
	if len(reasons) == 0 {
		return "the inventory has no workers"
	}
	return strings.Join(reasons, "; ")
}

// labelMismatch describes the first constraint in the order of names that the labels do not satisfy. It returns an
// empty string if they satisfy all constraints.
func labelMismatch(spec *scheduler.TaskSpec, labels map[string]string) string {
	if len(spec.Constraints) == 0 {
		return ""
	}
	for _, name := range slices.Sorted(maps.Keys(spec.Constraints)) {
		if labels[name] != spec.Constraints[name] {
			return fmt.Sprintf("lacks the label %s=%s", name, spec.Constraints[name])
		}
	}
	return ""
}

func resourceShortage(request, capacity scheduler.Resources) string {
	switch {
	case request.MilliCores > capacity.MilliCores:
		return fmt.Sprintf("the task needs %d thousandths of a core", request.MilliCores)
	case request.MemoryBytes > capacity.MemoryBytes:
		return fmt.Sprintf("the task needs %d bytes of memory", request.MemoryBytes)
	case request.Accelerators > capacity.Accelerators:
		return fmt.Sprintf("the task needs %d accelerators", request.Accelerators)
	}
	return ""
}

func describeCapacity(capacity scheduler.Resources) string {
	return fmt.Sprintf("%d thousandths of a core, %d bytes of memory and %d accelerators",
		capacity.MilliCores, capacity.MemoryBytes, capacity.Accelerators)
}
