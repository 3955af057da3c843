package stager

import (
	"strings"
	"sync"
	"time"
)

// Task tells a runner what the tasks of a job need. The runner finds it by the id of the job and the number of the step.
type Task struct {
	CPU int
	// Duration is how long a run works. A task that lasts has none.
	Duration time.Duration
	Lasts    bool
	// Fails tells whether a run on a runner fails now, nil if none does. FailTime is how long it works before.
	Fails    func(runner *Runner) bool
	FailTime time.Duration
}

// Kind is the kind of an event of a run.
type Kind string

// Values of Kind. Lost is the end of a run with its runner's process, Taken the acknowledgement of an end that no lapse of the
// runner's lease came before.
const (
	KindStarted Kind = "started"
	KindEnded   Kind = "ended"
	KindLost    Kind = "lost"
	KindTaken   Kind = "taken note of"
)

// Event is an event of a run, as the runner saw it.
type Event struct {
	At     time.Duration
	Kind   Kind
	Runner string
	// Label is the runner's kind at that time.
	Label   string
	Task    string
	Attempt int
	// How is how the run ended.
	How string
}

// Ledger holds what the runners of a case have run. It is safe for concurrent use.
type Ledger struct {
	recorder *Recorder
	mutex    sync.Mutex
	tasks    map[string]Task
	events   []Event
}

// NewLedger returns an empty Ledger.
func NewLedger(recorder *Recorder) *Ledger {
	return &Ledger{recorder: recorder, tasks: map[string]Task{}}
}

// Describe sets what the tasks of a step of a job need.
func (ledger *Ledger) Describe(job, step string, task Task) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.tasks[job+"."+step] = task
}

// find returns what a task needs. Its name has the form ID.K.STEP.INDEX.
func (ledger *Ledger) find(name string) (Task, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return Task{}, false
	}
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	task, found := ledger.tasks[parts[0]+"."+parts[2]]
	return task, found
}

func (ledger *Ledger) add(event Event) {
	event.At = ledger.recorder.Elapsed()
	ledger.mutex.Lock()
	ledger.events = append(ledger.events, event)
	ledger.mutex.Unlock()
	ledger.recorder.Write("runner %s (%s): %s run %d %s %s", event.Runner, event.Label, event.Task, event.Attempt, event.Kind, event.How)
}

// Events returns the events so far.
func (ledger *Ledger) Events() []Event {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	return append([]Event(nil), ledger.events...)
}

// Begun reports whether a task of a job has started on a runner.
func (ledger *Ledger) Begun(job string) bool {
	for _, event := range ledger.Events() {
		if event.Kind == KindStarted && strings.HasPrefix(event.Task, job+".") {
			return true
		}
	}
	return false
}
