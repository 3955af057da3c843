package overseer

import (
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/internal/jobs/waitwatcher"
	"github.com/crocusplank/crocusplank/internal/placement/quarantiner"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// initialQuarantine is the duration of a worker's first quarantine. It is short because tasks run for seconds, so
// probing the worker again costs little, and a worker that has recovered is needed.
const initialQuarantine = 5 * time.Second

// failureTracker distinguishes workers on which every attempt fails from jobs that fail on every worker, and records
// where tasks have failed. A worker that fails attempts immediately always has free capacity and would otherwise
// attract all waiting tasks. The leadership's mutex guards it.
type failureTracker struct {
	quarantiner *quarantiner.Quarantiner
	// lastFailures holds the most recent failure of each task that has not finished since.
	lastFailures map[scheduler.StepTaskID]failure
}

// failure is a failure of a task on a worker.
type failure struct {
	worker scheduler.WorkerName
	at     time.Time
}

// avoidanceTime is how long tasks of a step avoid a worker on which one of them has failed. It is
// half of OverdueAfter, because no other worker may be able to run it.
const avoidanceTime = waitwatcher.OverdueAfter / 2

func newFailureTracker() failureTracker {
	quarantiner, err := quarantiner.New(quarantiner.WithInitialQuarantine(initialQuarantine))
	if err != nil {
		panic(err) // The options are constant, so this is a programming error.
	}
	return failureTracker{quarantiner: quarantiner, lastFailures: map[scheduler.StepTaskID]failure{}}
}

// observe records the end of an attempt. Long-running tasks are ignored because they may fail at any time and never
// finish, so their ends do not indicate whether the worker is healthy.
func (failureTracker *failureTracker) observe(instance *worker, ended *attempt, end jobkeeper.End, now time.Time) {
	if ended == nil || ended.spec.LongRunning {
		return
	}
	attempt := quarantiner.Attempt{Job: end.Run.Task.Job, Worker: instance.name, Started: now, Ended: now}
	switch end.Kind {
	case scheduler.EndFinished:
		attempt.Outcome = quarantiner.OutcomeSucceeded
		delete(failureTracker.lastFailures, end.Run.Task)
	case scheduler.EndFailed:
		attempt.Outcome = quarantiner.OutcomeFailed
		failureTracker.lastFailures[end.Run.Task] = failure{worker: instance.name, at: now}
	default:
		return
	}
	failureTracker.quarantiner.Observe(attempt)
}

// avoidedWorkers returns the workers on which the given waiting tasks failed within avoidanceTime.
func (failureTracker *failureTracker) avoidedWorkers(
	tasks []*jobkeeper.Task, now time.Time,
) map[scheduler.WorkerName]bool {
	var workers map[scheduler.WorkerName]bool
	for _, task := range tasks {
		failure, failed := failureTracker.lastFailures[task.ID()]
		if !failed || now.Sub(failure.at) >= avoidanceTime {
			continue
		}
		if workers == nil {
			workers = map[scheduler.WorkerName]bool{}
		}
		workers[failure.worker] = true
	}
	return workers
}

// avoidedFor returns for how long the given waiting tasks avoid a worker, or zero if they do not.
func (failureTracker *failureTracker) avoidedFor(
	tasks []*jobkeeper.Task, worker scheduler.WorkerName, now time.Time,
) time.Duration {
	var longest time.Duration
	for _, task := range tasks {
		if failure, failed := failureTracker.lastFailures[task.ID()]; failed && failure.worker == worker {
			longest = max(longest, avoidanceTime-now.Sub(failure.at))
		}
	}
	return longest
}

// forget discards the records of a job that has ended.
func (failureTracker *failureTracker) forget(job scheduler.JobID) {
	failureTracker.quarantiner.RemoveJob(job)
	for task := range failureTracker.lastFailures {
		if task.Job == job {
			delete(failureTracker.lastFailures, task)
		}
	}
}

// isQuarantined reports whether a worker is excluded from placement because every attempt on it fails.
func (failureTracker *failureTracker) isQuarantined(worker scheduler.WorkerName, now time.Time) bool {
	return failureTracker.quarantiner.Status(worker, now) == quarantiner.StatusQuarantined
}
