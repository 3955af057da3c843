package explainer

import (
	"cmp"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/overseer"
)

// maxListedWorkers limits the number of workers that are printed for a step.
const maxListedWorkers = 5

// table writes rows of cells with aligned columns.
type table struct{ writer *tabwriter.Writer }

func newTable(writer io.Writer) *table {
	return &table{writer: tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)}
}

// row adds a row. Errors are returned by flush.
func (table *table) row(cells ...any) {
	texts := make([]string, len(cells))
	for position, cell := range cells {
		texts[position] = fmt.Sprint(cell)
	}
	_, _ = fmt.Fprintln(table.writer, strings.Join(texts, "\t"))
}

func (table *table) flush() error { return Error.Wrap(table.writer.Flush()) }

// Print writes an explanation as text. now is the wall-clock time from which the age of the explanation is counted.
func Print(writer io.Writer, explanation *overseer.PlacementExplanation, now time.Time) error {
	table := newTable(writer)
	table.row("queue", explanation.Queue)
	table.row("decision", decisionText(explanation))
	table.row("objective", explanation.Prospect)
	table.row("tasks ahead", explanation.TasksAhead)
	table.row("unavailable workers", countsText(explanation.Unavailable))
	table.row("view", fmt.Sprintf("%v old, oldest heartbeat %v, term %d, leading for %v", round(max(0, now.Sub(explanation.At))),
		round(explanation.OldestHeartbeat), explanation.Term, round(explanation.LeadingFor)))
	table.row()
	table.row("STEP", "TASKS", "NOW", "RUN TIME", "ACCEPTING", "EXCLUDED", "WORKERS")
	for position := range explanation.Steps {
		step := &explanation.Steps[position]
		if len(step.WaitsFor) > 0 {
			table.row(step.Step, step.Tasks, "after "+joined(step.WaitsFor), round(step.RunTime), "-", "-", "-")
			continue
		}
		table.row(step.Step, step.Tasks, step.Placed, round(step.RunTime), step.Accepting, countsText(step.Excluded),
			workersText(step))
	}
	if len(explanation.Suspects) > 0 {
		table.row()
		table.row("SUSPECT", "BLAME", "ACCEPTING", "EXCLUDED")
	}
	for _, suspect := range explanation.Suspects {
		table.row(suspect.Task, suspect.Blame, suspect.Accepting, countsText(suspect.Excluded))
	}
	return table.flush()
}

func decisionText(explanation *overseer.PlacementExplanation) string {
	if explanation.Admitted {
		return "accepted"
	}
	return fmt.Sprintf("rejected: %s; retry after %v", explanation.Reason, explanation.RetryAfter)
}

func countsText(counts []overseer.WorkerCount) string {
	if len(counts) == 0 {
		return "none"
	}
	texts := make([]string, len(counts))
	for position, count := range counts {
		texts[position] = fmt.Sprintf("%d %s", count.Workers, count.Reason)
	}
	return strings.Join(texts, ", ")
}

func workersText(step *overseer.StepExplanation) string {
	text := joined(step.Workers[:min(len(step.Workers), maxListedWorkers)])
	if more := len(step.Workers) - maxListedWorkers; more > 0 {
		text += fmt.Sprintf(" and %d more", more)
	}
	if step.NeedsApproval {
		text += " (if approved)"
	}
	return cmp.Or(text, "none")
}

func joined[Item any](items []Item) string {
	texts := make([]string, len(items))
	for position, item := range items {
		texts[position] = fmt.Sprint(item)
	}
	return strings.Join(texts, " ")
}

func round(duration time.Duration) time.Duration { return duration.Round(time.Millisecond) }
