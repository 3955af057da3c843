package placer

import (
	"fmt"
	"slices"
	"strings"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// maxClassesInReason bounds the length of a refusal's text.
const maxClassesInReason = 8

// refuse states why a task was not placed.
func (placer *Placer) refuse(task *scheduler.PendingTask) scheduler.PlacementFailure {
	if len(placer.hosts) == 0 {
		return scheduler.PlacementFailure{Task: task.Task, Reason: "no worker is known"}
	}
	var never []string
	possible := false
	for _, p := range placer.poolOrder {
		if p.count == 0 {
			continue
		}
		if mismatch := p.mismatch(&task.Spec); mismatch == "" {
			possible = true
			break
		} else if len(never) < maxClassesInReason {
			never = append(never, fmt.Sprintf("%v: %s", p, mismatch))
		}
	}
	if !possible {
		reason := "no worker can ever host the task: " + strings.Join(never, "; ")
		return scheduler.PlacementFailure{Task: task.Task, Permanent: true, Reason: reason}
	}
	return scheduler.PlacementFailure{Task: task.Task, Reason: placer.shortage(task)}
}

// shortage names what keeps a task that could run from starting now.
func (placer *Placer) shortage(task *scheduler.PendingTask) string {
	if found := placer.candidates(task, false); len(found) > 0 {
		_, harm := placer.score(found[0], task)
		return fmt.Sprintf("the workers with room run services that would slow down by more than %.0f%%, "+
			"for example by %.0f%% on %s", 100*placer.limit(task), 100*harm, found[0].worker.Name)
	}
	var unusable, avoided, full int
	want := amountOf(task.Spec.Request)
	for _, p := range placer.poolOrder {
		if !p.matches(&task.Spec) {
			continue
		}
		for _, h := range p.hosts {
			switch {
			case h == nil:
			case !h.usable:
				unusable++
			case h.room().fits(want, false) && slices.Contains(task.AvoidWorkers, h.worker.Name):
				avoided++
			default:
				full++
			}
		}
	}
	reason := fmt.Sprintf("of the workers that could host the task, %d are full, %d are not usable, "+
		"%d are avoided after failed attempts", full, unusable, avoided)
	if task.Urgent {
		reason += "; no permitted eviction makes enough room"
	}
	return reason
}
