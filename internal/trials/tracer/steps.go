package tracer

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// stepKey names a step as the first parts of the name of an attempt do: job, occurrence, number.
type stepKey string

// stepTimes holds when the tasks of a step were placed and finished, in Unix milliseconds. A job goes on only when the
// last task of a step has finished, so a single task that is placed again delays all others.
type stepTimes struct {
	// ready is when the step started to wait, first when its first tasks were placed, allPlaced when the last task that
	// had not been placed before was, and last when any task was.
	ready, first, allPlaced, last, ended float64
	// ends holds the kinds of the attempts that ended without a result.
	ends map[string]bool
}

func keyOf(job string, occurrence, step int) stepKey {
	return stepKey(fmt.Sprintf("%s/%d/%d", job, occurrence, step))
}

// keyOfTask returns the key of a task, whose name is that of its step and its own number.
func keyOfTask(task string) stepKey {
	return stepKey(task[:max(0, strings.LastIndexByte(task, '/'))])
}

func (key stepKey) job() string {
	job, _, _ := strings.Cut(string(key), "/")
	return job
}

func (trace *Trace) step(key stepKey) *stepTimes {
	if trace.steps[key] == nil {
		trace.steps[key] = &stepTimes{ends: map[string]bool{}}
	}
	return trace.steps[key]
}

func (step *stepTimes) place(event *event) {
	at := float64(event.Time)
	if step.first == 0 {
		step.ready, step.first = at-event.Waited, at
	}
	if event.Tasks > event.Again {
		step.allPlaced = at
	}
	step.last = at
}

// kinds lists the kinds of ends of a step's attempts, apart from results.
func (step *stepTimes) kinds() string {
	if len(step.ends) == 0 {
		return "none"
	}
	return strings.Join(slices.Sorted(maps.Keys(step.ends)), ", ")
}

// stepGroup groups the steps of completed jobs.
type stepGroup struct{ queue, kinds string }

// finishedSteps returns the steps of completed jobs whose placements and end are in the logs.
func (trace *Trace) finishedSteps() map[stepGroup][]*stepTimes {
	groups := map[stepGroup][]*stepTimes{}
	for key, step := range trace.steps {
		job := trace.job(key.job())
		if job.state == "completed" && step.first > 0 && step.allPlaced > 0 && step.ended >= step.last {
			group := stepGroup{queue: job.queue, kinds: step.kinds()}
			groups[group] = append(groups[group], step)
		}
	}
	return groups
}

func (trace *Trace) printSteps(text *strings.Builder) {
	header(text, "Steps of completed jobs, by the ends of their attempts without a result (seconds)", "queue", "ends", "steps",
		"wait for first task", "until all were placed", "until the last was placed again", "until the step ended",
		"whole, mean", "p50", "p95")
	groups := trace.finishedSteps()
	for _, group := range slices.SortedFunc(maps.Keys(groups), func(a, b stepGroup) int {
		return strings.Compare(a.queue+"|"+a.kinds, b.queue+"|"+b.kinds)
	}) {
		var sums [4]float64
		var whole []float64
		steps := groups[group]
		for _, step := range steps {
			sums[0] += step.first - step.ready
			sums[1] += step.allPlaced - step.first
			sums[2] += step.last - step.allPlaced
			sums[3] += step.ended - step.last
			whole = append(whole, (step.ended-step.ready)/milliseconds)
		}
		fmt.Fprintf(text, "| %s | %s | %d |", group.queue, group.kinds, len(steps))
		total := 0.0
		for _, sum := range sums {
			total += sum
			fmt.Fprintf(text, " %.2f |", per(sum, len(steps))/milliseconds)
		}
		fmt.Fprintf(text, " %.2f | %.2f | %.2f |\n", per(total, len(steps))/milliseconds, quantile(whole, 0.5), quantile(whole, 0.95))
	}
}
