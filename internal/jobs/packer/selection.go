package packer

// selection assigns the tasks of one group to workers. The tasks are identical, so a worker's score changes only when
// a task is assigned to it: a group of n tasks scores each worker once instead of n times.
type selection struct {
	group      *Group
	candidates []candidate
	racks      map[string]bool
}

// candidate is a worker that accepts another task of the group.
type candidate struct {
	worker *Worker
	score  float64
	// assigned is the number of tasks of the group that have been assigned to the worker.
	assigned int
}

func newSelection(workers []*Worker, group *Group) *selection {
	selection := &selection{group: group, racks: map[string]bool{}}
	for _, worker := range workers {
		if group.accepts(worker, 0) {
			selection.candidates = append(selection.candidates, candidate{
				worker: worker, score: group.score(worker, selection.racks),
			})
		}
	}
	return selection
}

// reserve reserves capacity for a task on the candidate with the lowest score. Of candidates with equal scores it takes
// the one that is warm the soonest, because a task on a cold worker runs longer. It returns the worker, or nil if no
// candidate is left.
func (selection *selection) reserve() *Worker {
	lowest := -1
	for position := range selection.candidates {
		if lowest < 0 || selection.candidates[position].isBetterThan(&selection.candidates[lowest]) {
			lowest = position
		}
	}
	if lowest < 0 {
		return nil
	}
	worker := selection.candidates[lowest].worker
	reserve(worker, selection.group)
	selection.candidates[lowest].assigned++
	selection.update(lowest)
	selection.recordRack(worker.Rack)
	return worker
}

// isBetterThan reports whether a candidate has a lower score than another one, or an equal score and less time to go until
// its worker is warm.
func (candidate *candidate) isBetterThan(other *candidate) bool {
	if candidate.score != other.score {
		return candidate.score < other.score
	}
	return candidate.worker.ColdRemaining < other.worker.ColdRemaining
}

// update rescores a candidate after a task was assigned to it, or removes it if it accepts no further task.
func (selection *selection) update(position int) {
	changed := &selection.candidates[position]
	if selection.group.accepts(changed.worker, changed.assigned) {
		changed.score = selection.group.score(changed.worker, selection.racks)
		return
	}
	last := len(selection.candidates) - 1
	copy(selection.candidates[position:], selection.candidates[position+1:])
	selection.candidates = selection.candidates[:last]
}

// recordRack records that a task was assigned to a rack. For rack-local steps, this changes the scores of all
// candidates.
func (selection *selection) recordRack(rack string) {
	if selection.racks[rack] || !selection.group.Step.RackLocal {
		return
	}
	selection.racks[rack] = true
	for position := range selection.candidates {
		selection.candidates[position].score = selection.group.score(selection.candidates[position].worker, selection.racks)
	}
}
