package packer

import (
	"cmp"
	"container/heap"
)

// selection assigns the tasks of one group to workers. The tasks are identical, so a worker's score changes only when
// a task is assigned to it: a group of n tasks scores each worker once instead of n times.
type selection struct {
	group *Group
	// candidates is a heap with the best candidate first.
	candidates candidateHeap
	racks      map[string]bool
}

// candidate is a worker that accepts another task of the group.
type candidate struct {
	worker *Worker
	score  float64
	// position is the position of the worker among all workers.
	position int
	// assigned is the number of tasks of the group that have been assigned to the worker.
	assigned int
}

func newSelection(workers []*Worker, group *Group) *selection {
	selection := &selection{group: group, racks: map[string]bool{}}
	for position, worker := range workers {
		if !group.accepts(worker, 0) {
			continue
		}
		if selection.candidates == nil {
			selection.candidates = make(candidateHeap, 0, len(workers)-position)
		}
		selection.candidates = append(selection.candidates, candidate{
			worker: worker, score: group.score(worker, selection.racks), position: position,
		})
	}
	heap.Init(&selection.candidates)
	return selection
}

// reserve reserves capacity for a task on the best candidate. It returns the worker, or nil if no candidate is left.
func (selection *selection) reserve() *Worker {
	if len(selection.candidates) == 0 {
		return nil
	}
	best := &selection.candidates[0]
	worker := best.worker
	reserve(worker, selection.group)
	best.assigned++
	selection.updateBest()
	selection.recordRack(worker.Rack)
	return worker
}

// updateBest rescores the best candidate after a task was assigned to it, or removes it if it accepts no further task.
func (selection *selection) updateBest() {
	changed := &selection.candidates[0]
	if !selection.group.accepts(changed.worker, changed.assigned) {
		heap.Pop(&selection.candidates)
		return
	}
	changed.score = selection.group.score(changed.worker, selection.racks)
	heap.Fix(&selection.candidates, 0)
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
	heap.Init(&selection.candidates)
}

// candidateHeap orders candidates by their scores. Of candidates with equal scores, the one that is warm the soonest comes
// first, because a task on a cold worker runs longer, and then the first of the workers.
type candidateHeap []candidate

var _ heap.Interface = (*candidateHeap)(nil)

// Len implements heap.Interface.
func (candidateHeap candidateHeap) Len() int { return len(candidateHeap) }

// Less implements heap.Interface.
func (candidateHeap candidateHeap) Less(i, j int) bool {
	a, b := &candidateHeap[i], &candidateHeap[j]
	if a.score != b.score {
		return a.score < b.score
	}
	return cmp.Or(cmp.Compare(a.worker.ColdRemaining, b.worker.ColdRemaining), cmp.Compare(a.position, b.position)) < 0
}

// Swap implements heap.Interface.
func (candidateHeap candidateHeap) Swap(i, j int) {
	candidateHeap[i], candidateHeap[j] = candidateHeap[j], candidateHeap[i]
}

// Push implements heap.Interface.
func (candidateHeap *candidateHeap) Push(added any) {
	*candidateHeap = append(*candidateHeap, added.(candidate))
}

// Pop implements heap.Interface.
func (candidateHeap *candidateHeap) Pop() any {
	last := len(*candidateHeap) - 1
	popped := &(*candidateHeap)[last]
	*candidateHeap = (*candidateHeap)[:last]
	return popped
}
