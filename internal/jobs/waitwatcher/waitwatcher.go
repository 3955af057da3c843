// Package waitwatcher finds tasks that wait although there has been room for them for some time. No such task is expected:
// some rule keeps it off the workers for longer than it should. The package contains only decision logic: it reads no clock
// and starts no goroutine.
package waitwatcher

import (
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/packer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// Interval is the time between two observations.
	Interval = time.Second
	// OverdueAfter is how long there must have been room for a task before it is overdue.
	OverdueAfter = 3 * time.Second
	// RoomFactor is how many times over the waiting tasks must fit. Room for them alone may be the target of other decisions.
	RoomFactor = 2
	// MaxTasks is the maximum number of tasks of a step that are watched.
	MaxTasks = 64
)

// Each examination visits all workers of a pool. At most 64 in an observation keep the planning cycle short.
const (
	// maxWatchedSteps is the maximum number of steps that are examined again because there was room for them.
	maxWatchedSteps = 48
	// maxOtherSteps is the maximum number of other steps that are examined at an observation, in turn.
	maxOtherSteps = 16
)

// Step is a step with waiting tasks.
type Step struct {
	ID packer.StepID
	// Examine returns the room for the waiting tasks. It is called for a limited number of steps.
	Examine func() Room
}

// Room is the room for the waiting tasks of a step.
type Room struct {
	Queue scheduler.QueueName
	// Tasks holds the latest attempt of each waiting task, so that a task that ran in between counts as a new one.
	Tasks []scheduler.RunID
	// Gang is true if the tasks must start together.
	Gang bool
	// Places is how many tasks of the step fit.
	Places int
	// Reason is why most of the workers with room accept no task, and Workers counts them by reason.
	Reason  string
	Workers map[string]int
}

// fitting returns the tasks for which there is room RoomFactor times over.
func (room *Room) fitting() []scheduler.RunID {
	fitting := room.Tasks[:min(len(room.Tasks), room.Places/RoomFactor)]
	if room.Gang && len(fitting) < len(room.Tasks) {
		return nil
	}
	return fitting
}

// Overdue describes the overdue tasks of a queue with a common reason.
type Overdue struct {
	queue  scheduler.QueueName
	reason string
	tasks  int
	oldest scheduler.StepTaskID
	age    time.Duration
	// places and workers are those of the oldest task's step.
	places  int
	workers map[string]int
}

// Queue returns the queue of the tasks.
func (overdue *Overdue) Queue() scheduler.QueueName { return overdue.queue }

// Reason returns why most of the workers with room accept none of the tasks.
func (overdue *Overdue) Reason() string { return overdue.reason }

// Tasks returns the number of tasks.
func (overdue *Overdue) Tasks() int { return overdue.tasks }

// Oldest returns the task for which there has been room for the longest time.
func (overdue *Overdue) Oldest() scheduler.StepTaskID { return overdue.oldest }

// Age returns for how long there has been room for the oldest task.
func (overdue *Overdue) Age() time.Duration { return overdue.age }

// Places returns how many tasks of the oldest task's step fit.
func (overdue *Overdue) Places() int { return overdue.places }

// Workers returns the number of workers with room for the oldest task, by the reason why they do not accept it.
func (overdue *Overdue) Workers() map[string]int { return overdue.workers }

// Watcher remembers since when there has been room for each waiting task. It is not safe for concurrent use.
type Watcher struct {
	since map[scheduler.RunID]time.Duration
	// watched holds the steps with tasks in since. next is the position at which the search for other steps goes on.
	watched    map[packer.StepID]bool
	next       int
	observedAt time.Duration
	observed   bool
}

// New returns a Watcher that knows no tasks.
func New() *Watcher { return &Watcher{} }

// IsDue reports whether the next observation is due.
func (watcher *Watcher) IsDue(now time.Duration) bool {
	return !watcher.observed || now >= watcher.observedAt+Interval
}

// Observe updates the watched tasks and returns those that are overdue, by queue and reason. steps holds the steps that may
// have room, in an order that changes little from one observation to the next.
func (watcher *Watcher) Observe(now time.Duration, steps []Step) []Overdue {
	watcher.observedAt, watcher.observed = now, true
	since, watched := map[scheduler.RunID]time.Duration{}, map[packer.StepID]bool{}
	report := report{}
	for _, step := range watcher.choose(steps) {
		room := step.Examine()
		for _, task := range room.fitting() {
			began, known := watcher.since[task]
			if !known {
				began = now
			}
			since[task], watched[step.ID] = began, true
			if now-began > OverdueAfter {
				report.add(&room, task.Task, now-began)
			}
		}
	}
	watcher.since, watcher.watched = since, watched
	return report.overdue
}

// choose returns the steps to be examined: those that had room at the last observation, and some of the others in turn.
func (watcher *Watcher) choose(steps []Step) []*Step {
	var chosen []*Step
	taken := map[packer.StepID]bool{}
	for position := range steps {
		if step := &steps[position]; watcher.watched[step.ID] && len(chosen) < maxWatchedSteps {
			chosen, taken[step.ID] = append(chosen, step), true
		}
	}
	others, first := 0, watcher.next
	for offset := 0; offset < len(steps) && others < maxOtherSteps; offset++ {
		position := (first + offset) % len(steps)
		watcher.next = position + 1
		if step := &steps[position]; !taken[step.ID] {
			chosen = append(chosen, step)
			others++
		}
	}
	return chosen
}

// report groups overdue tasks by queue and reason.
type report struct{ overdue []Overdue }

func (report *report) add(room *Room, task scheduler.StepTaskID, age time.Duration) {
	overdue := report.find(room.Queue, room.Reason)
	overdue.tasks++
	if age > overdue.age {
		overdue.oldest, overdue.age, overdue.places, overdue.workers = task, age, room.Places, room.Workers
	}
}

func (report *report) find(queue scheduler.QueueName, reason string) *Overdue {
	for position := range report.overdue {
		if found := &report.overdue[position]; found.queue == queue && found.reason == reason {
			return found
		}
	}
	report.overdue = append(report.overdue, Overdue{queue: queue, reason: reason})
	return &report.overdue[len(report.overdue)-1]
}
