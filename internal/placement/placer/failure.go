package placer

import (
	"fmt"
	"slices"
	"strings"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// maxPoolsInReason limits the length of the reason of a placement failure.
const maxPoolsInReason = 8

// explainFailure returns the reason why a task was not placed.
func (placer *Placer) explainFailure(task *scheduler.PendingTask) scheduler.PlacementFailure {
	if len(placer.hosts) == 0 {
		return scheduler.PlacementFailure{Task: task.Task, Reason: "no worker is known"}
	}
	var mismatches []string
	possible := false
	for _, p := range placer.poolOrder {
		if p.count == 0 {
			continue
		}
		if mismatch := p.mismatch(&task.Spec); mismatch == "" {
			possible = true
			break
		} else if len(mismatches) < maxPoolsInReason {
			mismatches = append(mismatches, fmt.Sprintf("%v: %s", p, mismatch))
		}
	}
	if !possible {
		reason := "no worker can ever host the task: " + strings.Join(mismatches, "; ")
		return scheduler.PlacementFailure{Task: task.Task, Permanent: true, Reason: reason}
	}
	return scheduler.PlacementFailure{Task: task.Task, Reason: placer.describeShortage(task)}
}

// describeShortage returns the reason why a task that some worker could host cannot start now.
func (placer *Placer) describeShortage(task *scheduler.PendingTask) string {
	if candidates := placer.candidates(task, false); len(candidates) > 0 {
		_, interference := placer.score(candidates[0], task)
		return fmt.Sprintf("the workers with room run services that would slow down by more than %.0f%%, "+
			"for example by %.0f%% on %s", 100*placer.interferenceLimitFor(task), 100*interference, candidates[0].worker.Name)
	}
	var unschedulable, avoided, full int
	request := amountOf(task.Spec.Request)
	for _, p := range placer.poolOrder {
		if !p.matches(&task.Spec) {
			continue
		}
		for _, h := range p.hosts {
			switch {
			case h == nil:
			case !h.schedulable:
				unschedulable++
			case h.availability().fits(request, false) && slices.Contains(task.AvoidWorkers, h.worker.Name):
				avoided++
			default:
				full++
			}
		}
	}
	reason := fmt.Sprintf("of the workers that could host the task, %d are full, %d are not usable, "+
		"%d are avoided after failed attempts", full, unschedulable, avoided)
	if task.Urgent {
		reason += "; no permitted eviction makes enough room"
	}
	return reason
}
