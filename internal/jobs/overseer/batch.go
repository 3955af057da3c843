package overseer

import (
	"cmp"
	"slices"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// maxBatchBytes bounds the estimated size of a command that holds a list. The log refuses commands above 1 MiB.
	maxBatchBytes = 512 << 10
	// itemBytes is the maximum size of an item of such a list without its texts.
	itemBytes = 96
)

// splitEnds splits ends into lists that fit into a command each.
func splitEnds(ends []jobkeeper.End) [][]jobkeeper.End {
	return splitBySize(ends, func(end *jobkeeper.End) int {
		return itemBytes + len(end.Run.Task.Job) + len(end.Kind) + len(end.Checkpoint)
	}, func(_, _ *jobkeeper.End) bool { return true })
}

// splitMarks splits marks into lists that fit into a command each, in the same order.
func splitMarks(marks []jobkeeper.Mark) [][]jobkeeper.Mark {
	return splitBySize(marks, func(mark *jobkeeper.Mark) int {
		return itemBytes + len(mark.Run.Task.Job) + len(mark.Kind)
	}, func(_, _ *jobkeeper.Mark) bool { return true })
}

// splitRuns splits the attempts whose blame is cleared into lists that fit into a command each.
func splitRuns(runs []scheduler.RunID) [][]scheduler.RunID {
	return splitBySize(runs, func(run *scheduler.RunID) int { return itemBytes + len(run.Task.Job) },
		func(_, _ *scheduler.RunID) bool { return true })
}

// splitPlacements splits placements into lists that fit into a command each. The members of a gang stay together, because
// they must be placed by the same command; isMember reports whether a placement is one of a gang.
func splitPlacements(
	placements []jobkeeper.Placement, isMember func(placement *jobkeeper.Placement) bool,
) [][]jobkeeper.Placement {
	size := func(placement *jobkeeper.Placement) int {
		return itemBytes + len(placement.Task.Job) + len(placement.Worker)
	}
	total := 0
	for position := range placements {
		total += size(&placements[position])
	}
	if total <= maxBatchBytes {
		return [][]jobkeeper.Placement{placements}
	}
	return splitBySize(groupBySteps(placements), size, func(previous, next *jobkeeper.Placement) bool {
		return keyOf(previous.Task) != keyOf(next.Task) || !isMember(next)
	})
}

// groupBySteps returns placements with those of each step next to each other. The steps are in the order of their first
// placements.
func groupBySteps(placements []jobkeeper.Placement) []jobkeeper.Placement {
	order := map[stepKey]int{}
	for position := range placements {
		if key := keyOf(placements[position].Task); order[key] == 0 {
			order[key] = position + 1
		}
	}
	grouped := slices.Clone(placements)
	slices.SortStableFunc(grouped, func(a, b jobkeeper.Placement) int {
		return cmp.Compare(order[keyOf(a.Task)], order[keyOf(b.Task)])
	})
	return grouped
}

// splitBySize splits items into lists of at most maxBatchBytes. A list may become larger where divisible reports that two
// neighbours must stay together.
func splitBySize[T any](items []T, size func(item *T) int, divisible func(previous, next *T) bool) [][]T {
	var lists [][]T
	first, bytes := 0, 0
	for position := range items {
		added := size(&items[position])
		if position > first && bytes+added > maxBatchBytes && divisible(&items[position-1], &items[position]) {
			lists = append(lists, items[first:position])
			first, bytes = position, 0
		}
		bytes += added
	}
	if first < len(items) {
		lists = append(lists, items[first:])
	}
	return lists
}

// isGangMember reports whether a placement is one of a gang.
func (leadership *leadership) isGangMember(placement *jobkeeper.Placement) bool {
	gang := false
	leadership.overseer.keeper.View(func(state *jobkeeper.State) {
		if job, found := state.Job(placement.Task.Job); found {
			if step := job.Step(placement.Task.Occurrence, placement.Task.Step); step != nil {
				gang = step.Spec().Gang
			}
		}
	})
	return gang
}

// recordEnds proposes attempt ends until they are committed or the term ends.
func (leadership *leadership) recordEnds(instance *worker, ends []jobkeeper.End) bool {
	for _, batch := range splitEnds(ends) {
		if !leadership.recordEndBatch(instance, batch) {
			return false
		}
	}
	return true
}

// commitPlacements replicates placements and then launches the attempts that were accepted.
func (leadership *leadership) commitPlacements(placements []jobkeeper.Placement) {
	for _, batch := range splitPlacements(placements, leadership.isGangMember) {
		if !leadership.commitPlacementBatch(batch) {
			return
		}
	}
}
