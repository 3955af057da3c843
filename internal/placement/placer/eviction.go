package placer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// nearEnd is the share of the declared run time from which a task is spared. A task that has
	// run for longer than its declaration is not, because its end is not known.
	nearEnd = 0.85
	// restartCost is counted for each eviction in addition to the work since the last checkpoint.
	restartCost = 10 * time.Second
	// evictionCost is counted for each eviction in core-seconds, whatever is lost, so that one large
	// task is preferred to several small ones.
	evictionCost = 120.0
)

// victim is a task that may be evicted, with its cost in core-seconds.
type victim struct {
	task *occupant
	cost float64
}

// decideWithEviction finds the worker where the least work is lost.
func (placer *Placer) decideWithEviction(
	now time.Time, task *scheduler.PendingTask,
) (scheduler.Assignment, bool) {
	var best *host
	var bestVictims []victim
	bestScore := math.Inf(1)
	for _, h := range placer.candidates(task, true) {
		victims, cost := placer.victims(now, h, task)
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
		v.task.leavingFor = task.Task
		assignment.Evict = append(assignment.Evict, v.task.Task)
		placer.evictions[v.task.Job] = append(placer.evictions[v.task.Job], now)
	}
	placer.hold(best, now, task)
	return assignment, true
}

// victims returns the cheapest set of tasks to evict, nil when there is none. Tasks are taken in
// the order of their cost per core until the task fits; then those that turned out not to be needed
// are left out again, the dearest first.
func (placer *Placer) victims(now time.Time, h *host, task *scheduler.PendingTask) ([]victim, float64) {
	choices := placer.choices(now, h, task)
	want := amountOf(task.Spec.Request)
	var chosen []victim
	used := map[scheduler.JobID]int{}
	for _, v := range choices {
		if placer.fitsWithout(h, chosen, want) {
			break
		}
		if used[v.task.Job]+len(placer.evictions[v.task.Job]) >= placer.evictionBudget {
			continue
		}
		used[v.task.Job]++
		chosen = append(chosen, v)
	}
	if !placer.fitsWithout(h, chosen, want) {
		return nil, 0
	}
	slices.SortStableFunc(chosen, func(a, b victim) int { return cmp.Compare(b.cost, a.cost) })
	for i := 0; i < len(chosen); {
		rest := slices.Concat(chosen[:i], chosen[i+1:])
		if placer.fitsWithout(h, rest, want) {
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

func (placer *Placer) choices(now time.Time, h *host, task *scheduler.PendingTask) []victim {
	var choices []victim
	for i := range h.tasks {
		o := &h.tasks[i]
		if !o.isEvictable() || o.Job == task.Job || isNearEnd(now, &o.PlacedTask) {
			continue
		}
		choices = append(choices, victim{task: o, cost: lostWork(now, &o.PlacedTask)})
	}
	slices.SortStableFunc(choices, func(a, b victim) int {
		return cmp.Compare(a.cost/float64(1+a.task.use()), b.cost/float64(1+b.task.use()))
	})
	return choices
}

// lostWork returns the core-seconds that an eviction costs.
func lostWork(now time.Time, task *scheduler.PlacedTask) float64 {
	saved := task.Started
	if task.LastCheckpoint.After(saved) {
		saved = task.LastCheckpoint
	}
	lost := max(0, now.Sub(saved)) + restartCost
	return evictionCost + lost.Seconds()*float64(max(1, task.Spec.Request.MilliCores))/1000
}

func isNearEnd(now time.Time, task *scheduler.PlacedTask) bool {
	elapsed := now.Sub(task.Started)
	return elapsed <= task.Spec.RunTime && float64(elapsed) >= nearEnd*float64(task.Spec.RunTime)
}

// fitsWithout reports whether a need fits once the victims have stopped.
func (placer *Placer) fitsWithout(h *host, victims []victim, want amount) bool {
	sum := h.sum
	for _, v := range victims {
		request := amountOf(v.task.Spec.Request)
		sum.taken = sum.taken.minus(request)
		sum.batchDeclared -= request.cores
		sum.batchUse -= v.task.use()
	}
	free := h.capacity.minus(sum.taken)
	free.cores = h.capacity.cores - sum.busyWith(placer.overcommit)
	return want.fits(free)
}
