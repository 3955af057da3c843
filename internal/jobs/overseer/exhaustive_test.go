package overseer

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/crashclassifier"
	"github.com/crocusplank/crocusplank/internal/jobs/packer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	modelSize = 3 // Workers, and long-running tasks.
	modelTick = 500 * time.Millisecond
	// modelDepth is the number of ticks with events, restartTicks how many ticks a crashed worker is away.
	modelDepth   = 7
	restartTicks = 2
	boundTicks   = int(startBound / modelTick)
	notPlaced    = -1
	// A task is given up after maxLikely crashes of which it is a likely cause, or after maxCrashes in all.
	maxLikely  = 2
	maxCrashes = 4
)

var modelWorkers = []scheduler.WorkerName{"w0", "w1", "w2"}

// model is a domain whose leader decides with the packages packer and crashclassifier only. Orders take no time.
type model struct {
	tick    int
	tasks   [modelSize]modelTask
	downFor [modelSize]int
	// changed is true once the leader has changed.
	changed bool
	// shortAt is when the last short task started on each worker, which is notPlaced if none did. Many of them wait in each tick.
	shortAt [modelSize]int
	// neverSettles is a mutation: the start of a short task remains recent.
	neverSettles bool
	history      string
}

type modelTask struct {
	worker, since   int
	adopted         bool
	likely, crashes int
	points          int
}

func (task *modelTask) isGivenUp() bool {
	return task.likely >= maxLikely || task.crashes >= maxCrashes
}

func (task *modelTask) isSuspect() bool { return task.points >= 2 }

// age returns for how long the attempt of a task has been known to run.
func (model *model) age(task *modelTask) time.Duration {
	return time.Duration(model.tick-task.since) * modelTick
}

// crash ends a worker and blames the tasks on it.
func (model *model) crash(worker int) {
	now := time.Duration(model.tick) * modelTick
	ending := &crashclassifier.Ending{ConnectionClosed: true, Replaced: true, At: now}
	for index := range model.tasks {
		if task := &model.tasks[index]; task.worker == worker {
			ending.Attempts = append(ending.Attempts, crashclassifier.Attempt{
				Run: modelRun(index), Sent: !task.adopted, Adopted: task.adopted, Accepted: true, Since: now - model.age(task),
				Suspect: task.isSuspect(),
			})
		}
	}
	if short := model.shortAt[worker]; short == model.tick-1 {
		ending.Attempts = append(ending.Attempts, crashclassifier.Attempt{
			Run: modelRun(modelSize), Sent: true, Accepted: true, Since: now - modelTick,
		})
	}
	decision := crashclassifier.Classify(ending)
	for index := range model.tasks {
		task := &model.tasks[index]
		if task.worker != worker {
			continue
		}
		task.worker = notPlaced
		switch decision.Kind(modelRun(index)) {
		case scheduler.EndCrashedStarting:
			task.likely, task.crashes, task.points = task.likely+1, task.crashes+1, task.points+2
		case scheduler.EndCrashedRunning:
			task.crashes, task.points = task.crashes+1, task.points+1
		}
	}
	model.downFor[worker] = restartTicks
}

func modelRun(index int) scheduler.RunID {
	return scheduler.RunID{Task: scheduler.StepTaskID{Job: "job", Index: index}, Attempt: 1}
}

// changeLeader makes the attempts those of an earlier leader, whose times of acceptance the new one does not know.
func (model *model) changeLeader() {
	model.changed = true
	for index := range model.tasks {
		model.tasks[index].adopted, model.tasks[index].since = true, model.tick
	}
}

// plan places the waiting tasks.
func (model *model) plan() {
	var workers []*packer.Worker
	for number, downFor := range model.downFor {
		if downFor == 0 {
			workers = append(workers, model.worker(number))
		}
	}
	var groups []packer.Group
	for index := range model.tasks {
		if task := &model.tasks[index]; task.worker == notPlaced && !task.isGivenUp() {
			groups = append(groups, packer.Group{
				Step: &scheduler.Step{Count: 1, Request: oneCore, LongRunning: true}, Suspect: task.isSuspect(),
				Tasks: []scheduler.StepTaskID{modelRun(index).Task},
			})
		}
	}
	groups = append(groups, shortTasks())
	for _, assignment := range packer.Pack(workers, groups) {
		if assignment.Task.Job == shortJob {
			model.shortAt[slices.Index(modelWorkers, assignment.Worker)] = model.tick
			continue
		}
		task := &model.tasks[assignment.Task.Index]
		task.worker, task.since, task.adopted = slices.Index(modelWorkers, assignment.Worker), model.tick, false
	}
}

// shortJob is the job of tasks that end within a tick.
const shortJob = "short"

// shortTasks returns as many short tasks as one for each worker.
func shortTasks() packer.Group {
	group := packer.Group{Step: &scheduler.Step{Count: modelSize, MaxPerWorker: 1, Request: oneCore}}
	for index := range modelSize {
		group.Tasks = append(group.Tasks, scheduler.StepTaskID{Job: shortJob, Index: index})
	}
	return group
}

// worker returns a worker as input for the packer.
func (model *model) worker(number int) *packer.Worker {
	capacity := scheduler.Resources{MilliCores: 4 * oneCore.MilliCores, MemoryBytes: 4 * oneCore.MemoryBytes}
	worker := &packer.Worker{Name: modelWorkers[number], Capacity: capacity, Free: capacity}
	for index := range model.tasks {
		task := &model.tasks[index]
		if task.worker != number {
			continue
		}
		worker.Free = worker.Free.Minus(oneCore)
		running := attempt{state: attemptRunning, suspect: task.isSuspect(), times: attemptTimes{acceptedAt: 1}}
		running.addTo(&worker.Isolation, 1+model.age(task))
	}
	if shortAt := model.shortAt[number]; shortAt != notPlaced {
		age := time.Duration(model.tick-shortAt) * modelTick
		if model.neverSettles {
			age = 0
		}
		ended := attempt{state: attemptRunning, times: attemptTimes{acceptedAt: 1}}
		ended.addTo(&worker.Isolation, 1+age)
	}
	return worker
}

// advance lets a tick pass.
func (model *model) advance() {
	model.plan()
	model.tick++
	for number := range model.downFor {
		model.downFor[number] = max(0, model.downFor[number]-1)
	}
}

// explore visits all orders of events up to modelDepth, each followed by calm. It returns the number of orders, and those
// after which a task waits.
func explore(current model) (orders int, failed []string) {
	if current.tick == modelDepth {
		if current.waitsAfterCalm() {
			failed = append(failed, current.history)
		}
		return 1, failed
	}
	visit := func(name string, apply func(next *model)) {
		next := current
		next.history += name
		apply(&next)
		next.advance()
		nextOrders, nextFailed := explore(next)
		orders, failed = orders+nextOrders, append(failed, nextFailed...)
	}
	visit("-", func(*model) {})
	if !current.changed {
		visit("L", (*model).changeLeader)
	}
	for worker := range current.downFor {
		if current.downFor[worker] == 0 {
			visit(strconv.Itoa(worker), func(next *model) { next.crash(worker) })
		}
	}
	return orders, failed
}

// waitsAfterCalm reports whether a task that is not given up waits startBound after all workers are back.
func (model *model) waitsAfterCalm() bool {
	for range restartTicks + boundTicks {
		model.advance()
	}
	return slices.ContainsFunc(model.tasks[:], func(task modelTask) bool {
		return task.worker == notPlaced && !task.isGivenUp()
	})
}

// Guards against a task that waits after any order of crashes and a leader change, in a domain of three workers and tasks on
// which short tasks start all the time, and against a model that would not show it.
func TestAllOrdersOfCrashesEndWithRunningTasks(t *testing.T) {
	tests := map[string]struct{ neverSettles, wantWaiting bool }{
		"as it is": {}, "a start remains recent": {neverSettles: true, wantWaiting: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			initial := model{neverSettles: test.neverSettles}
			for index := range modelSize {
				initial.tasks[index].worker, initial.shortAt[index] = notPlaced, notPlaced
			}
			orders, failed := explore(initial)
			if got := len(failed) > 0; got != test.wantWaiting {
				t.Errorf("got tasks that wait after %d of %d orders of events, such as %q, want some: %v", len(failed), orders,
					failed[:min(len(failed), 3)], test.wantWaiting)
			}
			t.Logf("%d orders of events", orders)
		})
	}
}
