package tracer

import "strings"

// failures relates failed attempts to workers and to tasks, because a worker that fails every attempt, a task that
// fails on every worker and a failure by chance ask for different remedies.
type failures struct {
	// onWorker holds the times of the failures on each worker, in Unix milliseconds.
	onWorker map[string][]int64
	// workers holds the workers on which each task failed.
	workers map[string]map[string]bool
	events  []failure
}

type failure struct {
	worker, task, job string
	time              int64
	ran, coreSeconds  float64
}

// cause is the likely cause of a failed attempt.
type cause string

const (
	// causeTask means that the task failed on at least minFailedWorkers workers.
	causeTask cause = "task fails on several workers"
	// causeWorker means that at least minWorkerFailures attempts failed on the worker within failureWindow.
	causeWorker cause = "worker fails many attempts at a time"
	causeSingle cause = "single failure"
)

const (
	minFailedWorkers  = 3
	minWorkerFailures = 5
	// failureWindow is the width, in milliseconds, of the window around a failure in which others on its worker count.
	failureWindow = 2000
)

func newFailures() failures {
	return failures{onWorker: map[string][]int64{}, workers: map[string]map[string]bool{}}
}

func (failures *failures) add(event *event, task string) {
	failures.onWorker[event.Worker] = append(failures.onWorker[event.Worker], event.Time)
	if failures.workers[task] == nil {
		failures.workers[task] = map[string]bool{}
	}
	failures.workers[task][event.Worker] = true
	job, _, _ := strings.Cut(task, "/")
	failures.events = append(failures.events, failure{
		worker: event.Worker, task: task, job: job, time: event.Time,
		ran: float64(event.Running) / milliseconds, coreSeconds: event.coreSeconds(),
	})
}

// cause returns the likely cause of a failure. A task counts first, because one that fails everywhere also makes its
// workers look bad.
func (failures *failures) cause(failure failure) cause {
	switch {
	case len(failures.workers[failure.task]) >= minFailedWorkers:
		return causeTask
	case failures.countNear(failure) >= minWorkerFailures:
		return causeWorker
	}
	return causeSingle
}

// countNear counts the failures on the same worker at about the same time, including the failure itself.
func (failures *failures) countNear(failure failure) int {
	count := 0
	for _, time := range failures.onWorker[failure.worker] {
		if max(time-failure.time, failure.time-time) <= failureWindow/2 {
			count++
		}
	}
	return count
}
