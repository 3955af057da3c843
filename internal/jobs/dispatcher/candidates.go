package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// rateLimitedReason is why a task of a lost worker waits although there may be room.
const rateLimitedReason = "re-placement after lost workers is rate-limited"

const (
	// maxOffered bounds the important tasks that the placer looks at in one step; when there are
	// more, the less important half takes turns.
	maxOffered = 2000
	// orderPeriod is how often waiting batch tasks are put in order. Sorting 16,000 of them at each
	// step would take more than the bound of 1.4% of a core.
	orderPeriod = 3 * time.Second
	// headOffered, turnOffered and freshOffered bound the batch tasks that the placer looks at in
	// one step: the oldest ones, a part of the others in turn, and ones that have just become
	// pending. At five steps a second they allow more than the 400 task starts/s of the peak.
	headOffered  = 100
	turnOffered  = 100
	freshOffered = 200
	// maxFresh bounds the fresh tasks, which nobody takes on a VM that does not lead. Those
	// beyond it are offered when the order is next made.
	maxFresh = 4096
)

// candidate is a pending task that the placer looks at. replaced is true for one of a lost worker.
type candidate struct {
	task     scheduler.PendingTask
	replaced bool
}

// rank orders pending tasks; only the tasks that are offered are copied.
type rank struct {
	importance int
	since      int64
	task       *task
}

func newRank(task *task) rank {
	return rank{importance: task.importance(), since: task.Since, task: task}
}

func compareRanks(a, b rank) int {
	return cmp.Or(
		cmp.Compare(a.importance, b.importance),
		cmp.Compare(a.since, b.since),
		cmp.Compare(a.task.ID, b.task.ID),
	)
}

// leastImportant is the importance of batch tasks that are not urgent.
const leastImportant = 2

func (task *task) importance() int {
	switch {
	case task.spec().Class == scheduler.ClassLatencyCritical:
		return 0
	case task.job.Urgent:
		return 1
	}
	return leastImportant
}

// queue makes the task's attempt pending.
func (machine *Machine) queue(task *task) {
	machine.pending[task.ID] = task
	if task.importance() < leastImportant {
		machine.important[task.ID] = task
	} else if len(machine.fresh) < maxFresh {
		machine.fresh = append(machine.fresh, task.ID)
	}
}

func (machine *Machine) dequeue(task *task) {
	delete(machine.pending, task.ID)
	delete(machine.important, task.ID)
}

// queues is the order in which batch tasks are offered.
type queues struct {
	order   []scheduler.TaskID
	ordered time.Time
	turn    int
	fresh   []scheduler.TaskID
}

// next returns the batch tasks that are offered in this step.
func (queues *queues) next(machine *Machine, now time.Time) []scheduler.TaskID {
	queues.fresh = append(queues.fresh, machine.takeFresh()...)
	if now.Sub(queues.ordered) >= orderPeriod {
		queues.order, queues.ordered, queues.fresh = machine.batchOrder(), now, nil
	}
	window := min(len(queues.order), 4*headOffered)
	queues.order = slices.Replace(queues.order, 0, window, machine.stillPending(queues.order[:window])...)
	head := min(len(queues.order), headOffered)
	ids := slices.Clone(queues.order[:head])
	rest := queues.order[head:]
	for i := range min(len(rest), turnOffered) {
		ids = append(ids, rest[(queues.turn+i)%len(rest)])
	}
	queues.turn += turnOffered
	fresh := min(len(queues.fresh), freshOffered)
	ids = append(ids, queues.fresh[:fresh]...)
	queues.fresh = queues.fresh[fresh:]
	return ids
}

func (machine *Machine) takeFresh() []scheduler.TaskID {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	fresh := machine.fresh
	machine.fresh = nil
	return fresh
}

// batchOrder returns the pending tasks that are not important, oldest first.
func (machine *Machine) batchOrder() []scheduler.TaskID {
	machine.mutex.RLock()
	defer machine.mutex.RUnlock()
	ranks := make([]rank, 0, len(machine.pending))
	for _, task := range machine.pending {
		if rank := newRank(task); rank.importance == leastImportant {
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

// stillPending returns those of the tasks that are pending, in their order.
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

// offer returns the important tasks and those of batch that the placer may look at now, most
// important first, and new reasons why others wait. Tasks in back-off have their reason from the
// failure. rateLimited leaves out the tasks of lost workers.
func (machine *Machine) offer(
	now time.Time, claims map[scheduler.TaskID]claim, batch []scheduler.TaskID, rateLimited bool, turn int,
) ([]candidate, []WaitReason) {
	machine.mutex.RLock()
	defer machine.mutex.RUnlock()
	var ranks []rank
	var waits []WaitReason
	// A time far ahead comes from another VM's wrong clock and is not waited for.
	unixMilli, latest := now.UnixMilli(), now.Add(maxBackOff).UnixMilli()
	consider := func(task *task) {
		if _, ok := claims[task.ID]; ok || (task.NotBefore > unixMilli && task.NotBefore <= latest) {
			return
		}
		reason := ""
		if nowhere := task.job.Groups[task.Group].Nowhere; nowhere != "" {
			reason = "can run nowhere at present: " + nowhere
		} else if rateLimited && task.Replaced {
			reason = rateLimitedReason
		}
		switch reason {
		case "":
			ranks = append(ranks, newRank(task))
		case task.Reason:
		default:
			waits = append(waits, WaitReason{Task: task.ID, Reason: reason})
		}
	}
	for _, task := range machine.important {
		consider(task)
	}
	for _, id := range batch {
		if task, ok := machine.pending[id]; ok {
			consider(task)
		}
	}
	slices.SortFunc(waits, func(a, b WaitReason) int { return cmp.Compare(a.Task, b.Task) })
	slices.SortFunc(ranks, compareRanks)
	// A task that has just become pending again can be in the order and among the fresh ones.
	ranks = slices.CompactFunc(ranks, func(a, b rank) bool { return a.task == b.task })
	ranks = limit(ranks, turn)
	candidates := make([]candidate, len(ranks))
	for i, rank := range ranks {
		candidates[i] = candidate{task: rank.task.pending(now), replaced: rank.task.Replaced}
	}
	return candidates, waits
}

// limit selects maxOffered tasks: the most important half is always offered, the rest takes turns.
func limit(ranks []rank, turn int) []rank {
	if len(ranks) <= maxOffered {
		return ranks
	}
	const half = maxOffered / 2
	rest := ranks[half:]
	selected := slices.Clone(ranks[:half])
	for i := range half {
		selected = append(selected, rest[(turn+i)%len(rest)])
	}
	return selected
}
