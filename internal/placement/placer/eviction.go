package placer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// nearCompletion is the fraction of the declared run time after which a task is not evicted any more. A task
	// that has exceeded its declared run time can be evicted, because its end is not known.
	nearCompletion = 0.85
	// restartCost is added to the time since the last checkpoint for every evicted task.
	restartCost = 10 * time.Second
	// evictionCost is the fixed cost of an eviction in core-seconds. It makes evicting one large task preferable
	// to evicting several small ones.
	evictionCost = 120.0
)

// victim is a task to evict and the cost of its eviction in core-seconds.
type victim struct {
	task *hostedTask
	cost float64
}

// placeWithEviction places the task on the worker where evictions and interference cost least.
func (placer *Placer) placeWithEviction(
	now time.Time, task *scheduler.PendingTask,
) (scheduler.Assignment, bool) {
	var best *host
	var bestVictims []victim
	bestScore := math.Inf(1)
	for _, h := range placer.candidates(task, true) {
		victims, cost := placer.cheapestVictims(now, h, task)
		if victims == nil {
			continue
		}
		score, _ := placer.score(h, task)
		if cost += score; cost < bestScore {
			best, bestVictims, bestScore = h, victims, cost
		}
	}
	if best == nil {
		return scheduler.Assignment{}, false
	}
	assignment := scheduler.Assignment{Task: task.Task, Worker: best.worker.Name}
	for _, v := range bestVictims {
		v.task.evictedFor = task.Task
		assignment.Evict = append(assignment.Evict, v.task.Task)
		placer.evictions[v.task.Job] = append(placer.evictions[v.task.Job], now)
	}
	placer.reserve(best, now, task)
	return assignment, true
}

// cheapestVictims returns a set of tasks to evict and its cost, or nil if no permitted evictions make the task fit. It
// is greedy: tasks are selected by ascending cost per core until the task fits, then those that are not needed are
// removed again, the most expensive first.
func (placer *Placer) cheapestVictims(now time.Time, h *host, task *scheduler.PendingTask) ([]victim, float64) {
	ordered := placer.evictionCandidates(now, h, task)
	needed := amountOf(task.Spec.Request)
	var chosen []victim
	used := map[scheduler.JobID]int{}
	for _, v := range ordered {
		if placer.fitsWithout(h, chosen, needed) {
			break
		}
		if used[v.task.Job]+len(placer.evictions[v.task.Job]) >= placer.evictionBudget {
			continue
		}
		used[v.task.Job]++
		chosen = append(chosen, v)
	}
	if !placer.fitsWithout(h, chosen, needed) {
		return nil, 0
	}
	slices.SortStableFunc(chosen, func(a, b victim) int { return cmp.Compare(b.cost, a.cost) })
	for i := 0; i < len(chosen); {
		rest := slices.Concat(chosen[:i], chosen[i+1:])
		if placer.fitsWithout(h, rest, needed) {
			chosen = rest
		} else {
			i++
		}
	}
	var cost float64
	for _, v := range chosen {
		cost += v.cost
	}
	return chosen, cost
}

func (placer *Placer) evictionCandidates(now time.Time, h *host, task *scheduler.PendingTask) []victim {
	var evictionCandidates []victim
	for i := range h.tasks {
		hosted := &h.tasks[i]
		if !hosted.isEvictable() || hosted.Job == task.Job || isNearCompletion(now, &hosted.PlacedTask) {
			continue
		}
		evictionCandidates = append(evictionCandidates, victim{task: hosted, cost: lostWork(now, &hosted.PlacedTask)})
	}
	slices.SortStableFunc(evictionCandidates, func(a, b victim) int {
		return cmp.Compare(a.cost/float64(1+a.task.cpuUsage()), b.cost/float64(1+b.task.cpuUsage()))
	})
	return evictionCandidates
}

// lostWork returns the cost of an eviction in core-seconds.
func lostWork(now time.Time, task *scheduler.PlacedTask) float64 {
	saved := task.Started
	if task.LastCheckpoint.After(saved) {
		saved = task.LastCheckpoint
	}
	lost := max(0, now.Sub(saved)) + restartCost
	return evictionCost + lost.Seconds()*float64(max(1, task.Spec.Request.MilliCores))/1000
}

func isNearCompletion(now time.Time, task *scheduler.PlacedTask) bool {
	elapsed := now.Sub(task.Started)
	return elapsed <= task.Spec.RunTime && float64(elapsed) >= nearCompletion*float64(task.Spec.RunTime)
}

// fitsWithout reports whether a request fits once the victims have stopped.
func (placer *Placer) fitsWithout(h *host, victims []victim, needed amount) bool {
	totals := h.totals
	for _, v := range victims {
		request := amountOf(v.task.Spec.Request)
		totals.reserved = totals.reserved.minus(request)
		totals.batchRequested -= request.cores
		totals.batchUsage -= v.task.cpuUsage()
	}
	free := h.capacity.minus(totals.reserved)
	free.cores = h.capacity.cores - totals.coresWithOvercommit(placer.overcommit)
	return needed.fits(free)
}
