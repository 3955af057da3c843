package dispatcher

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// workerClass is a set of workers with equal capacity and labels.
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

func (machine *Machine) takeInventory(inventory *Inventory) Result {
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
	machine.classify()
	// Each group of tasks is judged for itself, so the order does not matter.
	for _, job := range machine.jobs {
		if job.State != JobActive {
			continue
		}
		for i := range job.Groups {
			job.Groups[i].Nowhere = machine.nowhere(&job.Groups[i].Spec)
		}
	}
	return done()
}

// classify groups the workers in the order of their names, so that reasons are equal on every VM.
func (machine *Machine) classify() {
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

// nowhere returns for each class of workers why it cannot host the task even when it is empty, or an
// empty text when one of them can.
func (machine *Machine) nowhere(spec *scheduler.TaskSpec) string {
	var reasons []string
	for _, class := range machine.classes {
		reason := mismatch(spec, class.labels)
		if reason == "" {
			reason = shortage(spec.Request, class.capacity)
		}
		if reason == "" {
			return ""
		}
		reasons = append(reasons, fmt.Sprintf("%d workers with %s: %s", class.count, describe(class.capacity), reason))
	}
	if len(reasons) == 0 {
		return "the inventory has no workers"
	}
	return strings.Join(reasons, "; ")
}

// mismatch returns the first constraint, by name, that the labels do not meet.
func mismatch(spec *scheduler.TaskSpec, labels map[string]string) string {
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

func shortage(request, capacity scheduler.Resources) string {
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

func describe(capacity scheduler.Resources) string {
	return fmt.Sprintf("%d thousandths of a core, %d bytes of memory and %d accelerators",
		capacity.MilliCores, capacity.MemoryBytes, capacity.Accelerators)
}
