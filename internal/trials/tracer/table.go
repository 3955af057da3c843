package tracer

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// tenths is the number of classes of size.
const tenths = 10

// PrintTables writes the trace as Markdown tables.
func (trace *Trace) PrintTables(writer io.Writer) error {
	trace.observeEvents()
	var text strings.Builder
	trace.printJobs(&text)
	trace.printStages(&text)
	trace.printSteps(&text)
	trace.printAttempts(&text)
	trace.printFailures(&text)
	trace.printStops(&text)
	trace.printAnswers(&text)
	trace.printSizes(&text)
	trace.printLeaderships(&text)
	trace.printLoad(&text)
	fmt.Fprintf(&text, "\nLines that could not be read: %d.\n", trace.malformed)
	_, err := io.WriteString(writer, text.String())
	return Error.Wrap(err)
}

// header writes the title, the column names and the separator of a table.
func header(text *strings.Builder, title string, columns ...string) {
	fmt.Fprintf(text, "\n## %s\n\n| %s |\n|%s\n", title, strings.Join(columns, " | "), strings.Repeat("---|", len(columns)))
}

// quantile sorts the values and returns a quantile of them, or 0 if there are none.
func quantile(values []float64, fraction float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(int(fraction*float64(len(values))), len(values)-1)]
}

func per(sum float64, count int) float64 { return sum / float64(max(1, count)) }

func (trace *Trace) queues() map[string][]*job {
	queues := map[string][]*job{}
	for _, job := range trace.jobs {
		queues[job.queue] = append(queues[job.queue], job)
	}
	return queues
}

func (trace *Trace) printJobs(text *strings.Builder) {
	header(text, "Jobs (seconds)", "queue", "admitted", "completed", "failed", "cancelled", "open",
		"first placement p50", "p95", "p99", "took p50", "p95", "p99")
	queues := trace.queues()
	for _, queue := range slices.Sorted(maps.Keys(queues)) {
		var placed, took []float64
		states, admitted := map[string]int{}, 0
		for _, job := range queues[queue] {
			if !job.admitted {
				continue
			}
			admitted++
			states[job.state]++
			if job.firstPlaced > 0 {
				placed = append(placed, float64(job.firstPlaced-job.submitted)/milliseconds)
			}
			if job.state == "completed" {
				took = append(took, job.took)
			}
		}
		fmt.Fprintf(text, "| %s | %d | %d | %d | %d | %d | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f |\n", queue, admitted,
			states["completed"], states["failed"], states["cancelled"], states[""],
			quantile(placed, 0.5), quantile(placed, 0.95), quantile(placed, 0.99),
			quantile(took, 0.5), quantile(took, 0.95), quantile(took, 0.99))
	}
}

func (trace *Trace) printStages(text *strings.Builder) {
	header(text, "Stages (seconds for each placement, and for each finished task)", "queue", "placements", "again",
		"wait, first step", "wait, later steps", "wait, placed again", "finished", "start accepted", "work", "held back", "end recorded")
	for _, queue := range slices.Sorted(maps.Keys(trace.stages)) {
		stages := trace.stages[queue]
		fmt.Fprintf(text, "| %s | %d | %d | %.3f | %.3f | %.3f | %d | %.3f | %.3f | %.3f | %.3f |\n",
			queue, stages.placed, stages.again, per(stages.first, stages.placed), per(stages.between, stages.placed),
			per(stages.resume, stages.placed), stages.finished, per(stages.starting, stages.finished),
			per(stages.working, stages.finished), per(stages.heldBack, stages.finished), per(stages.recording, stages.finished))
	}
}

func (trace *Trace) printAttempts(text *strings.Builder) {
	header(text, "Attempts by end", "end", "reason", "attempts", "of fill tasks", "with a checkpoint", "core-seconds", "held back (s)")
	groups := slices.SortedFunc(maps.Keys(trace.attempts), func(a, b attemptGroup) int {
		return cmp.Or(cmp.Compare(trace.attempts[b].coreSeconds, trace.attempts[a].coreSeconds),
			cmp.Compare(a.kind, b.kind), cmp.Compare(a.reason, b.reason))
	})
	for _, group := range groups {
		sums := trace.attempts[group]
		fmt.Fprintf(text, "| %s | %s | %d | %d | %d | %.0f | %.0f |\n", group.kind, group.reason, sums.count, sums.fill,
			sums.checkpoints, sums.coreSeconds, sums.heldBack)
	}
}

func (trace *Trace) printFailures(text *strings.Builder) {
	header(text, "Failed attempts by likely cause", "cause", "attempts", "workers", "jobs", "of them completed", "ran p50 (s)", "core-seconds")
	failed := map[cause][]failure{}
	for _, failure := range trace.failures.events {
		cause := trace.failures.cause(failure)
		failed[cause] = append(failed[cause], failure)
	}
	for _, cause := range []cause{causeTask, causeWorker, causeSingle} {
		workers, jobs, completed := map[string]bool{}, map[string]bool{}, 0
		var ran []float64
		coreSeconds := 0.0
		for _, failure := range failed[cause] {
			workers[failure.worker] = true
			if !jobs[failure.job] && trace.job(failure.job).state == "completed" {
				completed++
			}
			jobs[failure.job] = true
			ran = append(ran, failure.ran)
			coreSeconds += failure.coreSeconds
		}
		fmt.Fprintf(text, "| %s | %d | %d | %d | %d | %.2f | %.0f |\n", cause, len(failed[cause]), len(workers), len(jobs),
			completed, quantile(ran, 0.5), coreSeconds)
	}
}

func (trace *Trace) printStops(text *strings.Builder) {
	header(text, "Tasks by how often they were stopped", "stops", "tasks")
	counts := map[int]int{}
	for _, stops := range trace.stops {
		counts[stops]++
	}
	for _, stops := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(text, "| %d | %d |\n", stops, counts[stops])
	}
}

func (trace *Trace) printAnswers(text *strings.Builder) {
	header(text, "Answers to submissions", "queue", "status", "reason", "answers")
	answers := slices.SortedFunc(maps.Keys(trace.answers), func(a, b answer) int {
		return cmp.Or(cmp.Compare(a.queue, b.queue), cmp.Compare(a.status, b.status), cmp.Compare(a.reason, b.reason))
	})
	for _, answer := range answers {
		fmt.Fprintf(text, "| %s | %s | %s | %d |\n", answer.queue, answer.status, answer.reason, trace.answers[answer])
	}
}

// printSizes writes one row for each queue and tenth of its jobs by estimated work.
func (trace *Trace) printSizes(text *strings.Builder) {
	header(text, "By tenth of size", "queue", "tenth", "core-seconds up to", "jobs", "refused and never admitted", "completed", "failed",
		"took p50 (s)", "p95 (s)")
	queues := trace.queues()
	for _, queue := range slices.Sorted(maps.Keys(queues)) {
		jobs := queues[queue]
		slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.work, b.work) })
		for tenth := range tenths {
			class := jobs[tenth*len(jobs)/tenths : (tenth+1)*len(jobs)/tenths]
			if len(class) > 0 {
				printSize(text, queue, tenth+1, class)
			}
		}
	}
}

func printSize(text *strings.Builder, queue string, tenth int, jobs []*job) {
	refused, states := 0, map[string]int{}
	var took []float64
	for _, job := range jobs {
		if job.refused && !job.admitted {
			refused++
		}
		states[job.state]++
		if job.state == "completed" {
			took = append(took, job.took)
		}
	}
	fmt.Fprintf(text, "| %s | %d | %.1f | %d | %d | %d | %d | %.2f | %.2f |\n", queue, tenth,
		float64(jobs[len(jobs)-1].work)/milliCores, len(jobs), refused, states["completed"], states["failed"],
		quantile(took, 0.5), quantile(took, 0.95))
}

func (trace *Trace) printLeaderships(text *strings.Builder) {
	header(text, "Leaders (milliseconds, -1: none)", "VM", "term", "last placement until then", "first placement from then")
	for _, leadership := range trace.leaderships {
		fmt.Fprintf(text, "| %s | %d | %d | %d |\n", leadership.vm, leadership.term, leadership.idle, leadership.first)
	}
}

func (trace *Trace) printLoad(text *strings.Builder) {
	prediction := &trace.prediction
	header(text, "Predicted interference (utilisation)", "serving samples", "above target", "of these beside fill tasks",
		"predicted", "bias", "mean error", "missed", "false alarms")
	fmt.Fprintf(text, "| %d | %d | %d | %d | %.3f | %.3f | %d | %d |\n", prediction.samples, prediction.above,
		prediction.aboveBesideFill, prediction.predicted, per(prediction.biasSum, prediction.predicted),
		per(prediction.errorSum, prediction.predicted), prediction.missed, prediction.falseAlarms)
	header(text, "Load", "VM", "seconds", "reserved", "fill tasks", "held", "waiting fill tasks", "samples above target", "bias", "mean error")
	for position := range trace.loads {
		load := &trace.loads[position]
		fmt.Fprintf(text, "| %s | %.0f | %.2f | %d | %d | %d | %d | %.3f | %.3f |\n", load.VM,
			float64(load.Time-trace.loads[0].Time)/milliseconds,
			float64(load.Reserved)/max(1, float64(load.Capacity)), load.Fills, load.Held, load.ReadyFill, load.AboveTarget,
			load.Bias, load.MeanError)
	}
}
