package packer

// selection chooses workers for the tasks of one group. The tasks are equal, so the score of a worker changes
// only when it is chosen: a step of n tasks costs one look at each worker and not n.
type selection struct {
	group      *Group
	candidates []candidate
	racks      map[string]bool
}

// candidate is a worker on which a further task of the group fits.
type candidate struct {
	worker *Worker
	score  float64
	// chosen is how many tasks of the group were placed on the worker.
	chosen int
}

func newSelection(workers []*Worker, group *Group) *selection {
	selection := &selection{group: group, racks: map[string]bool{}}
	for _, worker := range workers {
		if group.allows(worker, 0) {
			selection.candidates = append(selection.candidates, candidate{worker: worker, score: group.score(worker, selection.racks)})
		}
	}
	return selection
}

// take places a task on the candidate with the lowest score and returns its worker, nil if none is left.
func (selection *selection) take() *Worker {
	lowest := -1
	for position := range selection.candidates {
		if lowest < 0 || selection.candidates[position].score < selection.candidates[lowest].score {
			lowest = position
		}
	}
	if lowest < 0 {
		return nil
	}
	worker := selection.candidates[lowest].worker
	take(worker, selection.group.Step)
	selection.candidates[lowest].chosen++
	selection.update(lowest)
	selection.note(worker.Rack)
	return worker
}

// update looks at a candidate again after a task was placed on it.
func (selection *selection) update(position int) {
	changed := &selection.candidates[position]
	if selection.group.allows(changed.worker, changed.chosen) {
		changed.score = selection.group.score(changed.worker, selection.racks)
		return
	}
	last := len(selection.candidates) - 1
	copy(selection.candidates[position:], selection.candidates[position+1:])
	selection.candidates = selection.candidates[:last]
}

// note notes that a rack is used. The scores of all workers change with it if the tasks must stay together.
func (selection *selection) note(rack string) {
	if selection.racks[rack] || !selection.group.Step.RackLocal {
		return
	}
	selection.racks[rack] = true
	for position := range selection.candidates {
		selection.candidates[position].score = selection.group.score(selection.candidates[position].worker, selection.racks)
	}
}
