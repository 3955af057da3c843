package packer

import (
	"cmp"
	"slices"
	"time"
)

// Suspects are tasks under which workers have crashed. The rules of this file answer a load in which some tasks crash
// each worker that starts them, among many that do no harm: each crash takes all attempts of the worker with it, and if
// several of them were starting, it does not show which one was the cause. A suspect therefore starts on a worker on
// which nothing else is starting and no other suspect runs, and nothing else starts there until its own start is no
// longer recent. It then is the only task that is blamed for a crash, and a task that was suspected by chance is cleared.
//
// On busy workers some start is always recent. Pack therefore keeps a few workers free of other starts for the suspects
// that wait, each for at most as long as a start is recent.
//
// When many workers crash, there may soon be more suspects than workers, and each of them occupies its worker until it
// has survived. A suspect that has waited for sharingDelay may therefore share a worker with suspects whose starts are
// no longer recent, and more workers are kept. It still starts apart, so a crash at its start is blamed on it alone.
// Between two suspects, a worker is open to other tasks for a while, see Isolation.ClosedFor.

// Isolation is what decides whether suspects may start on a worker, and others beside them.
type Isolation struct {
	// Attempts is the number of attempts on the worker. A crash takes all of them with it.
	Attempts int
	// Suspects is the number of attempts of suspects.
	Suspects int
	// Starts is the number of attempts whose start is recent or still to come, SuspectStarts the number of those of suspects.
	Starts        int
	SuspectStarts int
	// RecentFor is how long the latest start remains recent. It is zero if Starts is.
	RecentFor time.Duration
	// ClosedFor is how long no suspect may join the suspects on the worker. It includes some time in which their starts are
	// no longer recent, so that a series of suspects does not keep all other tasks off the worker.
	ClosedFor time.Duration
}

const (
	// maxKeptFraction is the maximum fraction of the workers that are kept free of other starts for suspects, and
	// maxKeptFractionOverdue that for suspects that have waited for sharingDelay. The number of workers is rounded down but
	// at least one. Gangs may exceed it, because their members start together.
	maxKeptFraction        = 0.1
	maxKeptFractionOverdue = 0.5
	// sharingDelay is how long a suspect waits for a worker without another suspect before it may share one.
	sharingDelay = time.Second
)

// mayShare reports whether the tasks, which are suspects, may run on a worker with other suspects.
func (group *Group) mayShare() bool { return group.Waited >= sharingDelay }

// admitsSuspect reports whether a suspect may join the suspects on the worker, apart from recent starts.
func (isolation *Isolation) admitsSuspect(group *Group, assigned int) bool {
	if isolation.Suspects <= assigned {
		return true
	}
	return group.mayShare() && isolation.ClosedFor <= 0 && isolation.SuspectStarts <= assigned
}

// isolation returns whether the rules for suspects keep another task of the group off a worker. assigned is the number of
// tasks of the group that this decision has assigned to the worker. The members of a gang may share a worker, because
// they end together anyway.
func (group *Group) isolation(worker *Worker, assigned int) Exclusion {
	switch isolation := &worker.Isolation; {
	case !group.Suspect && (isolation.SuspectStarts > 0 || worker.isKeptFrom(group)):
		return ExcludedBySuspect
	case group.Suspect && !isolation.admitsSuspect(group, assigned):
		return ExcludedBySuspect
	case group.Suspect && isolation.Starts > assigned:
		return ExcludedByStarts
	case group.Suspect && assigned > 0 && !group.Step.Gang:
		return ExcludedBySuspect
	}
	return NotExcluded
}

// add updates the isolation after a task of the group was assigned to the worker, with count 1, or was taken back, with
// count -1.
func (isolation *Isolation) add(group *Group, count int) {
	isolation.Attempts += count
	isolation.Starts += count
	if group.Suspect {
		isolation.Suspects += count
		isolation.SuspectStarts += count
	}
}

// isKeptFrom reports whether the worker is kept free of starts of the group. Tasks of a higher priority than the suspects
// for which it is kept may start.
func (worker *Worker) isKeptFrom(group *Group) bool {
	return worker.keptFor != nil && group.Priority >= worker.keptFor.Priority
}

// keepForSuspects keeps workers free of other starts for the suspects that could start at once if no start were recent.
func keepForSuspects(workers []*Worker, groups []Group) {
	kept := 0
	for position := range groups {
		group := &groups[position]
		if !group.Suspect {
			continue
		}
		if group.Step.Gang {
			keepForGang(workers, group)
			continue
		}
		remaining := maxKept(len(workers), group) - kept
		if remaining <= 0 {
			continue
		}
		candidates := isolationCandidates(workers, group)
		candidates = candidates[:min(len(candidates), len(group.Tasks), remaining)]
		keep(candidates, group)
		kept += len(candidates)
	}
}

// maxKept returns how many of the workers may be kept when some are kept for a group.
func maxKept(workers int, group *Group) int {
	fraction := maxKeptFraction
	if group.mayShare() {
		fraction = maxKeptFractionOverdue
	}
	return max(1, int(fraction*float64(workers)))
}

// keepForGang keeps as many workers as the members of a gang need, or none if they do not fit.
func keepForGang(workers []*Worker, group *Group) {
	missing := len(group.Tasks)
	candidates := isolationCandidates(workers, group)
	for position, worker := range candidates {
		if missing -= group.room(worker); missing <= 0 {
			keep(candidates[:position+1], group)
			return
		}
	}
}

// room returns how many members of a gang fit into the free capacity of a worker.
func (group *Group) room(worker *Worker) int {
	filled := *worker
	filled.Isolation = Isolation{}
	members := 0
	for members < len(group.Tasks) && group.fits(&filled, members) {
		filled.Free = filled.Free.Minus(group.Step.Reserved())
		filled.Isolation.add(group, 1)
		members++
	}
	return members
}

// isolationCandidates returns the workers that accept a suspect but for recent starts. Those with the fewest suspects come
// first, and of these the ones on which it can start the soonest. Because a kept worker gets no other starts, the next
// decision chooses it again.
func isolationCandidates(workers []*Worker, group *Group) []*Worker {
	var candidates []*Worker
	for _, worker := range workers {
		if worker.keptFor != nil {
			continue
		}
		if exclusion := group.exclusion(worker, 0); exclusion == NotExcluded || exclusion == ExcludedByStarts {
			candidates = append(candidates, worker)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *Worker) int {
		return cmp.Or(
			cmp.Compare(a.Isolation.Suspects, b.Isolation.Suspects),
			cmp.Compare(a.Isolation.RecentFor, b.Isolation.RecentFor),
		)
	})
	return candidates
}

func keep(workers []*Worker, group *Group) {
	for _, worker := range workers {
		worker.keptFor = group
	}
}

// KeptForSuspects returns the number of workers that Pack has kept free of other starts for suspects.
func KeptForSuspects(workers []*Worker) int {
	kept := 0
	for _, worker := range workers {
		if worker.keptFor != nil && worker.Isolation.SuspectStarts == 0 {
			kept++
		}
	}
	return kept
}
