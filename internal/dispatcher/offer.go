package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// pacedReason is why a task of a lost worker waits although there may be room.
const pacedReason = "re-placement after lost workers is paced"

// offer states which pending tasks the placer is to look at.
type offer struct {
	// all is false for a step that looks at important tasks only.
	all bool
	// paced leaves out the tasks of lost workers.
	paced bool
	// turn rises with each offer of all tasks; when there are more than maxOffered it selects
	// those that get their turn.
	turn int
}

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
	}
}

func (machine *Machine) dequeue(task *task) {
	delete(machine.pending, task.ID)
	delete(machine.important, task.ID)
}

// offer returns the pending tasks that the placer may look at now, most important first, and new
// reasons why others wait. Tasks in back-off have their reason from the failure.
func (machine *Machine) offer(now time.Time, claims map[scheduler.TaskID]claim, offer offer) ([]candidate, []Wait) {
	machine.mutex.RLock()
	defer machine.mutex.RUnlock()
	var ranks []rank
	var waits []Wait
	wait := func(task *task, reason string) {
		if task.Reason != reason {
			waits = append(waits, Wait{Task: task.ID, Reason: reason})
		}
	}
	// A time far ahead comes from another VM's wrong clock and is not waited for.
	unixMilli, latest := now.UnixMilli(), now.Add(maxBackOff).UnixMilli()
	tasks := machine.important
	if offer.all {
		tasks = machine.pending
	}
	for id, task := range tasks {
		if _, ok := claims[id]; ok || (task.NotBefore > unixMilli && task.NotBefore <= latest) {
			continue
		}
		switch nowhere := task.job.Groups[task.Group].Nowhere; {
		case nowhere != "":
			wait(task, "can run nowhere at present: "+nowhere)
		case offer.paced && task.Replaced:
			wait(task, pacedReason)
		default:
			ranks = append(ranks, rank{importance: task.importance(), since: task.Since, task: task})
		}
	}
	slices.SortFunc(waits, func(a, b Wait) int { return cmp.Compare(a.Task, b.Task) })
	slices.SortFunc(ranks, compareRanks)
	ranks = limit(ranks, offer.turn)
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
		selected = append(selected, rest[(turn*half+i)%len(rest)])
	}
	return selected
}
