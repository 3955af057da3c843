package explainer

import (
	"cmp"
	"fmt"
	"io"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/overseer"
	"github.com/crocusplank/crocusplank/internal/jobs/packer"
	"github.com/crocusplank/crocusplank/internal/jobs/waitexplainer"
)

// PrintWait writes why the tasks of a job wait as text. now is the wall-clock time from which ages are counted.
func PrintWait(writer io.Writer, explanation *overseer.WaitExplanation, now time.Time) error {
	table := newTable(writer)
	table.row("job", explanation.Job)
	table.row("queue", fmt.Sprintf("%s, pool %s", explanation.Queue, explanation.Pool))
	table.row("state", fmt.Sprintf("%s, accepted %v ago, %d attempts have not ended", explanation.State,
		roundSeconds(now.Sub(explanation.Accepted)), explanation.Attempts))
	if next := explanation.NextOccurrence; next != nil {
		table.row("next occurrence", "in "+roundSeconds(next.Sub(now)).String())
	}
	table.row("view", fmt.Sprintf("%v old, term %d, leading for %v", round(max(0, now.Sub(explanation.At))), explanation.Term,
		round(explanation.LeadingFor)))
	table.printTask(explanation.Task)
	if explanation.Task == nil && len(explanation.Waits) == 0 {
		table.row("waiting", "no task that could start now")
	}
	for position := range explanation.Waits {
		table.printStep(&explanation.Waits[position])
	}
	if explanation.MoreWaits > 0 {
		table.row()
		table.row(fmt.Sprintf("and %d more steps with waiting tasks", explanation.MoreWaits))
	}
	return table.flush()
}

func (table *table) printTask(task *overseer.TaskExplanation) {
	if task == nil {
		return
	}
	text := string(task.State)
	switch task.State {
	case overseer.TaskBlocked:
		text = "waits for the steps " + joined(task.WaitsFor)
	case overseer.TaskGangPlaced:
		text = "waits for the ends of its gang's attempts"
	}
	text = fmt.Sprintf("%s: %s, last attempt %d, blame %d", task.ID, text, task.LastAttempt, task.Blame)
	if task.Conviction > 0 {
		text += fmt.Sprintf(", evidence of crashes %d, given up with %d", task.Evidence, task.Conviction)
	}
	table.row("task", text)
	for position := range task.Attempts {
		attempt := &task.Attempts[position]
		text := fmt.Sprintf("%s on %s: %s", attempt.Run, attempt.Worker, attempt.State)
		if attempt.Unavailable != "" {
			text += ", the worker is " + string(attempt.Unavailable)
		}
		if attempt.LeaseEndsAfter > 0 {
			text += fmt.Sprintf(", its lease ends in %v", round(attempt.LeaseEndsAfter))
		}
		table.row("attempt", text)
	}
}

func (table *table) printStep(wait *overseer.StepWait) {
	table.row()
	text := fmt.Sprintf("%d from %s", wait.Tasks, wait.First)
	if wait.Gang {
		text += ", which start together"
	}
	if wait.Suspect {
		text += ", under which workers have crashed"
	}
	table.row("waiting", text)
	table.row("since", fmt.Sprintf("%v ago", round(wait.Waited)))
	table.row("tasks ahead", wait.TasksAhead)
	table.row("workers", fmt.Sprintf("%d, of which %d accept a task", wait.Workers.Workers, wait.Workers.Accepting))
	table.row("next", nextText(wait))
	table.row()
	if len(wait.Workers.Rules) == 0 {
		return
	}
	table.row("RULE", "WORKERS", "ALONE", "ENDS FIRST")
	for _, rule := range wait.Workers.Rules {
		table.row(rule.Name, rule.Workers, rule.Alone, endText(rule.Soonest))
	}
}

func nextText(wait *overseer.StepWait) string {
	summary := &wait.Workers
	next := summary.Next
	switch {
	case summary.Workers == 0:
		return "none: the pool has no workers"
	case next == nil && summary.Impossible:
		return "none: no worker can ever take it"
	case next == nil && summary.Accepting > 0 && wait.Gang:
		return "not known: the gang does not fit as a whole"
	case next == nil:
		return "not known"
	}
	switch next.Basis {
	case waitexplainer.BasisAssigned:
		return fmt.Sprintf("%s, at once (%d of %d)", next.Worker, wait.Placed, wait.Tasks)
	case waitexplainer.BasisReserved:
		return fmt.Sprintf("%s, reserved, expected in %v", next.Worker, round(next.After))
	}
	return fmt.Sprintf("%s, free of these rules in %v", next.Worker, round(next.After))
}

func endText(end packer.End) string {
	switch end.Kind {
	case packer.EndFixed:
		return fmt.Sprintf("in %v", round(end.After))
	case packer.EndExpected:
		return fmt.Sprintf("expected in %v", round(end.After))
	case packer.EndNever:
		return "never"
	}
	return cmp.Or(string(end.Kind), string(packer.EndUnknown))
}

func roundSeconds(duration time.Duration) time.Duration { return max(0, duration).Round(time.Second) }
