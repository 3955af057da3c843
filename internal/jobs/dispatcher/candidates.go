package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// rateLimitedReason is the wait reason of a task of a lost worker that is held back by the reschedule rate, although
// workers may have free capacity.
const rateLimitedReason = "re-placement after lost workers is rate-limited"

const (
	// maxCandidates bounds the tasks that the placer considers in one step. If there are more, the half with the
	// highest priority is always included and the other half is filled in rotation from the rest.
	maxCandidates = 2000
	// batchSortInterval is the interval at which the pending batch tasks are sorted. Sorting 16,000 of them in
	// each step would exceed the bound of 1.4% of a core.
	batchSortInterval = 3 * time.Second
	// oldestPerStep, rotatedPerStep and newPerStep bound the batch tasks that the placer considers in one step:
	// the oldest ones, some of the others in rotation, and newly pending ones. At five steps per second they
	// allow more than the 400 task starts/s of the peak.
	oldestPerStep  = 100
	rotatedPerStep = 100
	newPerStep     = 200
	// maxNewlyPending bounds the list of newly pending tasks, which is not consumed on a VM that is not the
	// leader. Tasks beyond the bound become candidates when the batch tasks are next sorted.
	maxNewlyPending = 4096
)

// candidate is a pending task that is passed to the placer. workerLost is true if the last attempt ended because its
// lease expired or its worker lost it.
type candidate struct {
	task       scheduler.PendingTask
	workerLost bool
}

// rank is the sort key of a pending task. It refers to the task, so that only the selected tasks are copied.
type rank struct {
	priority int
	since    int64
	task     *task
}

func newRank(task *task) rank {
	return rank{priority: task.priority(), since: task.Since, task: task}
}

func compareRanks(a, b rank) int {
	return cmp.Or(
		cmp.Compare(a.priority, b.priority),
		cmp.Compare(a.since, b.since),
		cmp.Compare(a.task.ID, b.task.ID),
	)
}

// lowestPriority is the priority of batch tasks that are not urgent. 0 is the highest priority.
const lowestPriority = 2

func (task *task) priority() int {
	switch {
	case task.spec().Class == scheduler.ClassLatencyCritical:
		return 0
	case task.job.Urgent:
		return 1
	}
	return lowestPriority
}

// enqueue adds a pending task to the queues.
func (machine *Machine) enqueue(task *task) {
	machine.pending[task.ID] = task
	if task.priority() < lowestPriority {
		machine.highPriority[task.ID] = task
	} else if len(machine.newlyPending) < maxNewlyPending {
		machine.newlyPending = append(machine.newlyPending, task.ID)
	}
}

func (machine *Machine) dequeue(task *task) {
	delete(machine.pending, task.ID)
	delete(machine.highPriority, task.ID)
}

// batchQueue selects the batch tasks that are considered in each step.
type batchQueue struct {
	sorted       []scheduler.TaskID
	sortedAt     time.Time
	rotation     int
	newlyPending []scheduler.TaskID
}

// next returns the batch tasks to consider in this step.
func (batchQueue *batchQueue) next(machine *Machine, now time.Time) []scheduler.TaskID {
	batchQueue.newlyPending = append(batchQueue.newlyPending, machine.takeNewlyPending()...)
	if now.Sub(batchQueue.sortedAt) >= batchSortInterval {
		batchQueue.sorted, batchQueue.sortedAt, batchQueue.newlyPending = machine.sortedBatchTasks(), now, nil
	}
	window := min(len(batchQueue.sorted), 4*oldestPerStep)
	batchQueue.sorted = slices.Replace(batchQueue.sorted, 0, window, machine.stillPending(batchQueue.sorted[:window])...)
	oldest := min(len(batchQueue.sorted), oldestPerStep)
	ids := slices.Clone(batchQueue.sorted[:oldest])
	rest := batchQueue.sorted[oldest:]
	for i := range min(len(rest), rotatedPerStep) {
		ids = append(ids, rest[(batchQueue.rotation+i)%len(rest)])
	}
	batchQueue.rotation += rotatedPerStep
	newlyPending := min(len(batchQueue.newlyPending), newPerStep)
	ids = append(ids, batchQueue.newlyPending[:newlyPending]...)
	batchQueue.newlyPending = batchQueue.newlyPending[newlyPending:]
	return ids
}

func (machine *Machine) takeNewlyPending() []scheduler.TaskID {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	newlyPending := machine.newlyPending
	machine.newlyPending = nil
	return newlyPending
}

// sortedBatchTasks returns the pending tasks of the lowest priority, oldest first.
func (machine *Machine) sortedBatchTasks() []scheduler.TaskID {
	machine.mutex.RLock()
	defer machine.mutex.RUnlock()
	ranks := make([]rank, 0, len(machine.pending))
	for _, task := range machine.pending {
		if rank := newRank(task); rank.priority == lowestPriority {
			ranks = append(ranks, rank)
		}
	}
	slices.SortFunc(ranks, compareRanks)
	order := make([]scheduler.TaskID, len(ranks))
	for i, rank := range ranks {
		order[i] = rank.task.ID
	}
	return order
}

// stillPending returns the tasks that are still pending, in the given order.
func (machine *Machine) stillPending(ids []scheduler.TaskID) []scheduler.TaskID {
	machine.mutex.RLock()
	defer machine.mutex.RUnlock()
	var pending []scheduler.TaskID
	for _, id := range ids {
		if _, ok := machine.pending[id]; ok {
			pending = append(pending, id)
		}
	}
	return pending
}

// selectCandidates returns the tasks of high priority and of batch that may be placed now, sorted by priority, and new
// wait reasons for the others. Tasks in back-off keep the reason of their failure. If rateLimited is set, tasks of lost
// workers are excluded.
func (machine *Machine) selectCandidates(
	now time.Time, reservations map[scheduler.TaskID]reservation, batch []scheduler.TaskID, rateLimited bool, rotation int,
) ([]candidate, []WaitReason) {
	machine.mutex.RLock()
	defer machine.mutex.RUnlock()
	var ranks []rank
	var waitReasons []WaitReason
	// A NotBefore beyond the maximum back-off was set by a VM with a wrong clock and is ignored.
	unixMilli, latest := now.UnixMilli(), now.Add(maxBackOff).UnixMilli()
	consider := func(task *task) {
		if _, ok := reservations[task.ID]; ok || (task.NotBefore > unixMilli && task.NotBefore <= latest) {
			return
		}
		reason := ""
		if unplaceable := task.job.Groups[task.Group].Unplaceable; unplaceable != "" {
			reason = "can run nowhere at present: " + unplaceable
		} else if rateLimited && task.WorkerLost {
			reason = rateLimitedReason
		}
		switch reason {
		case "":
			ranks = append(ranks, newRank(task))
		case task.Reason:
		default:
			waitReasons = append(waitReasons, WaitReason{Task: task.ID, Reason: reason})
		}
	}
	for _, task := range machine.highPriority {
		consider(task)
	}
	for _, id := range batch {
		if task, ok := machine.pending[id]; ok {
			consider(task)
		}
	}
	slices.SortFunc(waitReasons, func(a, b WaitReason) int { return cmp.Compare(a.Task, b.Task) })
	slices.SortFunc(ranks, compareRanks)
	// A task that has just become pending again can be both among the sorted and among the newly pending tasks.
	ranks = slices.CompactFunc(ranks, func(a, b rank) bool { return a.task == b.task })
	ranks = limitCandidates(ranks, rotation)
	candidates := make([]candidate, len(ranks))
	for i, rank := range ranks {
		candidates[i] = candidate{task: rank.task.pending(now), workerLost: rank.task.WorkerLost}
	}
	return candidates, waitReasons
}

// limitCandidates selects at most maxCandidates tasks: the half with the highest priority, and tasks from the rest in
// rotation.
func limitCandidates(ranks []rank, rotation int) []rank {
	if len(ranks) <= maxCandidates {
		return ranks
	}
	const half = maxCandidates / 2
	rest := ranks[half:]
	selected := slices.Clone(ranks[:half])
	for i := range half {
		selected = append(selected, rest[(rotation+i)%len(rest)])
	}
	return selected
}
