package overseer

import (
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/internal/jobs/packer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// packedWorkers are the workers of a pool after all waiting tasks that fit have been placed on them. What is free on them
// is capacity that no waiting task can use, because each of them needs something else, such as a label.
type packedWorkers struct {
	workers  []*packer.Worker
	packedAt time.Duration
}

// packedWorkersOf returns the packed workers of a pool. They are computed at most once per forecastInterval, because that
// costs as much as a planning cycle. The mutex must be held.
func (leadership *leadership) packedWorkersOf(pool scheduler.PoolName) *packedWorkers {
	now := leadership.now()
	packed := leadership.packedWorkers[pool]
	if packed != nil && now < packed.packedAt+forecastInterval {
		return packed
	}
	packed = &packedWorkers{packedAt: now}
	leadership.overseer.keeper.View(func(state *jobkeeper.State) {
		packed.workers = leadership.workersWithHolds(state, pool)
		packer.Pack(packed.workers, leadership.waitingGroups(state, func(waiting *waitingStep) bool {
			return waiting.step.Job().Queue().Pool == pool
		}))
	})
	leadership.packedWorkers[pool] = packed
	return packed
}

// accept reports whether each of the groups has a worker that accepts one of its tasks.
func (packedWorkers *packedWorkers) accept(groups []packer.Group) bool {
	for position := range groups {
		if packer.Examine(packedWorkers.workers, &groups[position]).Accepting() == 0 {
			return false
		}
	}
	return true
}

// reserve does the same as accept, and reserves the capacity for the groups if it returns true.
func (packedWorkers *packedWorkers) reserve(groups []packer.Group) bool {
	if !packedWorkers.accept(groups) {
		return false
	}
	packer.Pack(packedWorkers.workers, groups)
	return true
}

// firstGroups returns the groups of a new job whose tasks wait for no other step.
func (leadership *leadership) firstGroups(queue *scheduler.Queue, workflow *scheduler.Workflow) []packer.Group {
	var groups []packer.Group
	for number := range workflow.Steps {
		if step := &workflow.Steps[number]; len(step.DependsOn) == 0 {
			groups = append(groups, leadership.newJobGroup(queue, step, number))
		}
	}
	return groups
}
