package experimenter

import (
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// baseline is a simple placer to compare with. It trusts declared sizes and knows no interference.
type baseline struct {
	order []scheduler.WorkerName
	hosts map[scheduler.WorkerName]*baselineHost
	// firstFit takes the first worker with room instead of the least loaded one.
	firstFit bool
	// reserved is the share of workers that only run services; 0 lets all share.
	reserved float64
}

type baselineHost struct {
	state scheduler.WorkerState
	holds map[scheduler.TaskID]baselineHold
}

type baselineHold struct {
	request scheduler.Resources
	evict   []scheduler.TaskID
	at      time.Time
}

// Update implements scheduler.Placer.
func (b *baseline) Update(state scheduler.WorkerState) {
	name := state.Worker.Name
	h := b.hosts[name]
	if h == nil {
		h = &baselineHost{holds: map[scheduler.TaskID]baselineHold{}}
		b.hosts[name] = h
		b.order = append(b.order, name)
	}
	h.state = state
	for _, task := range state.Tasks {
		delete(h.holds, task.Task)
	}
}

// Remove implements scheduler.Placer.
func (b *baseline) Remove(worker scheduler.WorkerName) {
	delete(b.hosts, worker)
	b.order = slices.DeleteFunc(b.order, func(name scheduler.WorkerName) bool { return name == worker })
}

// free is what a worker has left, without the tasks that are being evicted.
func (h *baselineHost) free() scheduler.Resources {
	free := h.state.Worker.Capacity.Minus(h.state.Reserved)
	for _, hold := range h.holds {
		free = free.Minus(hold.request)
		for _, task := range h.state.Tasks {
			if slices.Contains(hold.evict, task.Task) {
				free = free.Plus(task.Spec.Request)
			}
		}
	}
	return free
}

// Place implements scheduler.Placer.
func (b *baseline) Place(now time.Time, pending []scheduler.PendingTask) ([]scheduler.Assignment, []scheduler.PlacementFailure) {
	var assignments []scheduler.Assignment
	var refusals []scheduler.PlacementFailure
	for _, h := range b.hosts {
		for task, hold := range h.holds {
			if now.Sub(hold.at) > 20*time.Second {
				delete(h.holds, task)
			}
		}
	}
	for i := range pending {
		name, evict, ok := b.choose(&pending[i])
		if !ok {
			refusals = append(refusals, scheduler.PlacementFailure{Task: pending[i].Task, Reason: "no room"})
			continue
		}
		b.hosts[name].holds[pending[i].Task] = baselineHold{request: pending[i].Spec.Request, evict: evict, at: now}
		assignments = append(assignments, scheduler.Assignment{Task: pending[i].Task, Worker: name, Evict: evict})
	}
	return assignments, refusals
}

func (b *baseline) choose(task *scheduler.PendingTask) (scheduler.WorkerName, []scheduler.TaskID, bool) {
	var best scheduler.WorkerName
	var most int64 = -1
	for i, name := range b.order {
		h := b.hosts[name]
		if !b.permits(i, h, task) || slices.Contains(task.AvoidWorkers, name) {
			continue
		}
		free := h.free()
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
		if b.permits(i, b.hosts[name], task) {
			if evict := b.hosts[name].youngest(task.Spec.Request); evict != nil {
				return name, evict, true
			}
		}
	}
	return "", nil, false
}

func (b *baseline) permits(i int, h *baselineHost, task *scheduler.PendingTask) bool {
	if !h.state.Schedulable {
		return false
	}
	if b.reserved == 0 {
		return true
	}
	// Taking every n-th worker spreads the services' workers over the racks.
	position := float64(i)
	forServices := int((position+1)*b.reserved) > int(position*b.reserved)
	return forServices == (task.Spec.Class == scheduler.ClassLatencyCritical)
}

// youngest returns the batch tasks that started last and whose eviction makes enough room.
func (h *baselineHost) youngest(request scheduler.Resources) []scheduler.TaskID {
	tasks := slices.Clone(h.state.Tasks)
	slices.SortFunc(tasks, func(a, b scheduler.PlacedTask) int { return b.Started.Compare(a.Started) })
	free := h.free()
	var evict []scheduler.TaskID
	for _, task := range tasks {
		if request.FitsIn(free) {
			break
		}
		if task.Spec.Class != scheduler.ClassBatch || h.isLeaving(task.Task) {
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

func (h *baselineHost) isLeaving(task scheduler.TaskID) bool {
	for _, hold := range h.holds {
		if slices.Contains(hold.evict, task) {
			return true
		}
	}
	return false
}
