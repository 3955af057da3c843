package overseer

import (
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
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
	// lastFailedOn holds the worker on which each task failed most recently.
	lastFailedOn map[scheduler.StepTaskID]scheduler.WorkerName
}

func newFailureTracker() failureTracker {
	quarantiner, err := quarantiner.New(quarantiner.WithInitialQuarantine(initialQuarantine))
	if err != nil {
		panic(err) // The options are constant, so this is a programming error.
	}
	return failureTracker{quarantiner: quarantiner, lastFailedOn: map[scheduler.StepTaskID]scheduler.WorkerName{}}
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
		delete(failureTracker.lastFailedOn, end.Run.Task)
	case scheduler.EndFailed:
		attempt.Outcome = quarantiner.OutcomeFailed
		failureTracker.lastFailedOn[end.Run.Task] = instance.name
	default:
		return
	}
	failureTracker.quarantiner.Observe(attempt)
}

// lastFailedWorkers returns the workers on which the given waiting tasks failed most recently.
func (failureTracker *failureTracker) lastFailedWorkers(tasks []*jobkeeper.Task) map[scheduler.WorkerName]bool {
	var workers map[scheduler.WorkerName]bool
	for _, task := range tasks {
		worker, failed := failureTracker.lastFailedOn[task.ID()]
		if !failed {
			continue
		}
		if workers == nil {
			workers = map[scheduler.WorkerName]bool{}
		}
		workers[worker] = true
	}
	return workers
}

// forget discards the records of a job that has ended.
func (failureTracker *failureTracker) forget(job scheduler.JobID) {
	failureTracker.quarantiner.RemoveJob(job)
	for task := range failureTracker.lastFailedOn {
		if task.Job == job {
			delete(failureTracker.lastFailedOn, task)
		}
	}
}

// isQuarantined reports whether a worker is excluded from placement because every attempt on it fails.
func (failureTracker *failureTracker) isQuarantined(worker scheduler.WorkerName, now time.Time) bool {
	return failureTracker.quarantiner.Status(worker, now) == quarantiner.StatusQuarantined
}
