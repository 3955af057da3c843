// Package tracer reads the structured logs of the VMs of a domain and summarises where the time of jobs and the CPU time
// of workers went. It uses only the log events that docs/OPERATIONS.md describes.
package tracer

import (
	"cmp"
	"io"
	"slices"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("tracer")

// unknownQueue stands for the queue of a job whose submission is not in the logs.
const unknownQueue = "unknown"

// Trace collects log events. The zero value is not usable, see New.
type Trace struct {
	// events holds the events that have been read and not been observed yet.
	events      []*event
	jobs        map[string]*job
	answers     map[answer]int
	stages      map[string]*stageSums
	steps       map[stepKey]*stepTimes
	attempts    map[attemptGroup]*attemptSums
	failures    failures
	stops       map[string]int
	leaderships []*leadership
	prediction  prediction
	loads       []event
	malformed   int
	// lastPlacement is when tasks were placed most recently, in Unix milliseconds.
	lastPlacement int64
}

// job is what the events tell about one job.
type job struct {
	queue       string
	work        int64
	submitted   int64
	firstPlaced int64
	took        float64
	state       string
	admitted    bool
	refused     bool
}

// answer groups the answers to submissions.
type answer struct{ queue, status, reason string }

// stageSums holds the seconds that tasks of a queue spent in each stage.
type stageSums struct {
	// placed counts placements, again those of tasks that had been placed before, finished the finished tasks.
	placed, again, finished int
	// first is the wait for a placement in a job's first step, between that in later steps, and resume that of tasks that
	// were placed again.
	first, between, resume                 float64
	starting, working, heldBack, recording float64
}

// attemptGroup groups attempts by how they ended.
type attemptGroup struct{ kind, reason string }

type attemptSums struct {
	count, fill, checkpoints int
	coreSeconds              float64
	heldBack                 float64
}

// leadership is one term of a leader.
type leadership struct {
	vm   string
	term uint64
	// taken is when the term started. idle is the time from the last placement of an earlier term until then, and first
	// the time from then until the first placement. Both are -1 if there was none. All are in milliseconds.
	taken, idle, first int64
}

// prediction sums the comparisons of predicted with observed interference.
type prediction struct {
	samples, above, aboveBesideFill, predicted, missed, falseAlarms int
	biasSum, errorSum                                               float64
}

// New returns an empty trace.
func New() *Trace {
	return &Trace{
		jobs: map[string]*job{}, answers: map[answer]int{}, stages: map[string]*stageSums{}, steps: map[stepKey]*stepTimes{},
		attempts: map[attemptGroup]*attemptSums{}, failures: newFailures(), stops: map[string]int{},
	}
}

// observers holds the method that observes an event, by the event's name.
var observers = map[string]func(*Trace, *event){
	"jobSubmitted": (*Trace).observeSubmission, "tasksPlaced": (*Trace).observePlacement,
	"jobEnded": (*Trace).observeJobEnd, "stepEnded": (*Trace).observeStep, "attemptEnded": (*Trace).observeAttempt,
	"leadershipTaken": (*Trace).observeLeadership, "load": (*Trace).observeLoad,
}

// Read adds the events of a log. Logs of several VMs may be read in any order.
func (trace *Trace) Read(reader io.Reader) error {
	events, malformed, err := readEvents(reader)
	trace.events = append(trace.events, events...)
	trace.malformed += malformed
	return err
}

// observeEvents observes the events that have been read, in the order of their times.
func (trace *Trace) observeEvents() {
	slices.SortStableFunc(trace.events, func(a, b *event) int { return cmp.Compare(a.Time, b.Time) })
	for _, event := range trace.events {
		observers[event.Name](trace, event)
	}
	trace.events = nil
}

// job returns the record of a job, which is created if its events come before its submission.
func (trace *Trace) job(id string) *job {
	if trace.jobs[id] == nil {
		trace.jobs[id] = &job{queue: unknownQueue}
	}
	return trace.jobs[id]
}

func (trace *Trace) stagesOf(id string) *stageSums {
	queue := trace.job(id).queue
	if trace.stages[queue] == nil {
		trace.stages[queue] = &stageSums{}
	}
	return trace.stages[queue]
}

func (trace *Trace) observeSubmission(event *event) {
	trace.answers[answer{queue: event.Queue, status: event.Status, reason: event.Reason}]++
	job := trace.job(event.Job)
	job.queue, job.work = event.Queue, event.Work
	switch event.Status {
	case "done":
		if !job.admitted {
			job.admitted, job.submitted = true, event.Time
		}
	case "refused":
		job.refused = true
	}
}

func (trace *Trace) observePlacement(event *event) {
	trace.lastPlacement = event.Time
	if last := len(trace.leaderships) - 1; last >= 0 && trace.leaderships[last].first < 0 {
		trace.leaderships[last].first = event.Time - trace.leaderships[last].taken
	}
	job := trace.job(event.Job)
	if job.firstPlaced == 0 {
		job.firstPlaced = event.Time
	}
	trace.step(keyOf(event.Job, event.Occurrence, event.Step)).place(event)
	stages := trace.stagesOf(event.Job)
	stages.placed += event.Tasks
	stages.again += event.Again
	waited := event.Waited / milliseconds
	stages.resume += waited * float64(event.Again)
	if event.Step == 0 {
		stages.first += waited * float64(event.Tasks-event.Again)
		return
	}
	stages.between += waited * float64(event.Tasks-event.Again)
}

func (trace *Trace) observeJobEnd(event *event) {
	job := trace.job(event.Job)
	job.state, job.took = event.State, event.Took/milliseconds
}

func (trace *Trace) observeStep(event *event) {
	trace.step(keyOf(event.Job, event.Occurrence, event.Step)).ended = float64(event.Time)
	stages := trace.stagesOf(event.Job)
	stages.finished += event.Tasks
	stages.starting += float64(event.Starting) / milliseconds
	stages.working += float64(event.Running-event.HeldBack) / milliseconds
	stages.heldBack += float64(event.HeldBack) / milliseconds
	stages.recording += float64(event.Recording) / milliseconds
	trace.addAttempts(attemptGroup{kind: "finished"}, event, event.Tasks)
}

func (trace *Trace) observeAttempt(event *event) {
	trace.addAttempts(attemptGroup{kind: event.Kind, reason: event.Reason}, event, 1)
	task, _, _ := strings.Cut(event.Run, "#")
	trace.step(keyOfTask(task)).ends[event.Kind] = true
	switch event.Kind {
	case "failed":
		trace.failures.add(event, task)
	case "stopped":
		trace.stops[task]++
	}
}

func (trace *Trace) addAttempts(group attemptGroup, event *event, count int) {
	sums := trace.attempts[group]
	if sums == nil {
		sums = &attemptSums{}
		trace.attempts[group] = sums
	}
	sums.count += count
	sums.coreSeconds += event.coreSeconds()
	sums.heldBack += float64(event.HeldBack) / milliseconds
	if event.Fill {
		sums.fill += count
	}
	if event.Checkpoint {
		sums.checkpoints += count
	}
}

func (trace *Trace) observeLeadership(event *event) {
	idle := int64(-1)
	if trace.lastPlacement > 0 {
		idle = event.Time - trace.lastPlacement
	}
	trace.leaderships = append(trace.leaderships,
		&leadership{vm: event.VM, term: event.Term, taken: event.Time, idle: idle, first: -1})
}

func (trace *Trace) observeLoad(event *event) {
	trace.loads = append(trace.loads, *event)
	prediction := &trace.prediction
	prediction.samples += event.ServingSamples
	prediction.above += event.AboveTarget
	prediction.aboveBesideFill += event.AboveTargetBesideFill
	prediction.predicted += event.Predicted
	prediction.missed += event.Missed
	prediction.falseAlarms += event.FalseAlarms
	prediction.biasSum += event.Bias * float64(event.Predicted)
	prediction.errorSum += event.MeanError * float64(event.Predicted)
}
