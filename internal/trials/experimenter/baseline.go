package experimenter

import (
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// baseline is a simple placer for comparison. It trusts the declared sizes and ignores interference.
type baseline struct {
	order   []scheduler.WorkerName
	workers map[scheduler.WorkerName]*baselineWorker
	// firstFit selects the first worker with enough capacity instead of the one with the most free processors.
	firstFit bool
	// serviceShare is the fraction of workers that run only services, while the others run only batch tasks. At 0 every
	// worker runs both.
	serviceShare float64
}

type baselineWorker struct {
	state        scheduler.WorkerState
	reservations map[scheduler.TaskID]reservation
}

type reservation struct {
	request scheduler.Resources
	evict   []scheduler.TaskID
	at      time.Time
}

// Update implements scheduler.Placer.
func (b *baseline) Update(state scheduler.WorkerState) {
	name := state.Worker.Name
	w := b.workers[name]
	if w == nil {
		w = &baselineWorker{reservations: map[scheduler.TaskID]reservation{}}
		b.workers[name] = w
		b.order = append(b.order, name)
	}
	w.state = state
	for _, task := range state.Tasks {
		delete(w.reservations, task.Task)
	}
}

// Remove implements scheduler.Placer.
func (b *baseline) Remove(worker scheduler.WorkerName) {
	delete(b.workers, worker)
	b.order = slices.DeleteFunc(b.order, func(name scheduler.WorkerName) bool { return name == worker })
}

// free returns the unreserved capacity of a worker. Tasks that are being evicted count as gone.
func (w *baselineWorker) free() scheduler.Resources {
	free := w.state.Worker.Capacity.Minus(w.state.Reserved)
	for _, r := range w.reservations {
		free = free.Minus(r.request)
		for _, task := range w.state.Tasks {
			if slices.Contains(r.evict, task.Task) {
				free = free.Plus(task.Spec.Request)
			}
		}
	}
	return free
}

// Place implements scheduler.Placer.
func (b *baseline) Place(
	now time.Time, pending []scheduler.PendingTask,
) ([]scheduler.Assignment, []scheduler.PlacementFailure) {
	var assignments []scheduler.Assignment
	var failures []scheduler.PlacementFailure
	for _, w := range b.workers {
		for task, r := range w.reservations {
			if now.Sub(r.at) > 20*time.Second {
				delete(w.reservations, task)
			}
		}
	}
	for i := range pending {
		name, evict, ok := b.selectWorker(&pending[i])
		if !ok {
			failures = append(failures, scheduler.PlacementFailure{Task: pending[i].Task, Reason: "insufficient capacity"})
			continue
		}
		b.workers[name].reservations[pending[i].Task] = reservation{request: pending[i].Spec.Request, evict: evict, at: now}
		assignments = append(assignments, scheduler.Assignment{Task: pending[i].Task, Worker: name, Evict: evict})
	}
	return assignments, failures
}

func (b *baseline) selectWorker(task *scheduler.PendingTask) (scheduler.WorkerName, []scheduler.TaskID, bool) {
	var best scheduler.WorkerName
	var most int64 = -1
	for i, name := range b.order {
		w := b.workers[name]
		if !b.isEligible(i, w, task) || slices.Contains(task.AvoidWorkers, name) {
			continue
		}
		free := w.free()
		if !task.Spec.Request.FitsIn(free) || free.MilliCores <= most {
			continue
		}
		best, most = name, free.MilliCores
		if b.firstFit {
			break
		}
	}
	if best != "" || !task.Urgent {
		return best, nil, best != ""
	}
	for i, name := range b.order {
		if b.isEligible(i, b.workers[name], task) {
			if evict := b.workers[name].selectVictims(task.Spec.Request); evict != nil {
				return name, evict, true
			}
		}
	}
	return "", nil, false
}

func (b *baseline) isEligible(i int, w *baselineWorker, task *scheduler.PendingTask) bool {
	if !w.state.Schedulable {
		return false
	}
	if b.serviceShare == 0 {
		return true
	}
	// Every n-th worker, instead of the first ones, distributes the services' workers over the racks.
	position := float64(i)
	forServices := int((position+1)*b.serviceShare) > int(position*b.serviceShare)
	return forServices == (task.Spec.Class == scheduler.ClassLatencyCritical)
}

// selectVictims returns the most recently started batch tasks whose eviction frees enough capacity for request, or nil if
// no set of them does.
func (w *baselineWorker) selectVictims(request scheduler.Resources) []scheduler.TaskID {
	tasks := slices.Clone(w.state.Tasks)
	slices.SortFunc(tasks, func(a, b scheduler.PlacedTask) int { return b.Started.Compare(a.Started) })
	free := w.free()
	var evict []scheduler.TaskID
	for _, task := range tasks {
		if request.FitsIn(free) {
			break
		}
		if task.Spec.Class != scheduler.ClassBatch || w.isBeingEvicted(task.Task) {
			continue
		}
		free = free.Plus(task.Spec.Request)
		evict = append(evict, task.Task)
	}
	if !request.FitsIn(free) {
		return nil
	}
	return evict
}

func (w *baselineWorker) isBeingEvicted(task scheduler.TaskID) bool {
	for _, r := range w.reservations {
		if slices.Contains(r.evict, task) {
			return true
		}
	}
	return false
}
