package overseer

import (
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/internal/placement/quarantiner"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// firstQuarantine is for how long a worker that fails everything gets no work at first. Tasks run for seconds,
// so a probe after that time costs little, and a worker that has recovered is needed.
const firstQuarantine = 5 * time.Second

// failures tells workers that fail everything they start from jobs that fail everywhere, and remembers where
// tasks have failed. A worker that fails at once is always free, and would otherwise take in all that waits.
// The leadership's mutex guards it.
type failures struct {
	quarantiner *quarantiner.Quarantiner
	// failedOn holds the worker on which a task has failed last.
	failedOn map[scheduler.StepTaskID]scheduler.WorkerName
}

func newFailures() failures {
	quarantiner, err := quarantiner.New(quarantiner.WithInitialQuarantine(firstQuarantine))
	if err != nil {
		panic(err) // Only a fault in the constant options can cause it.
	}
	return failures{quarantiner: quarantiner, failedOn: map[scheduler.StepTaskID]scheduler.WorkerName{}}
}

// observe takes over the end of an attempt. Long-running tasks say nothing of their worker: they may fail at any
// time and never finish.
func (failures *failures) observe(life *worker, ended *attempt, end jobkeeper.End, now time.Time) {
	if ended == nil || ended.spec.LongRunning {
		return
	}
	attempt := quarantiner.Attempt{Job: end.Run.Task.Job, Worker: life.name, Started: now, Ended: now}
	switch end.Kind {
	case scheduler.EndFinished:
		attempt.Outcome = quarantiner.OutcomeSucceeded
		delete(failures.failedOn, end.Run.Task)
	case scheduler.EndFailed:
		attempt.Outcome = quarantiner.OutcomeFailed
		failures.failedOn[end.Run.Task] = life.name
	default:
		return
	}
	failures.quarantiner.Observe(attempt)
}

// avoid returns the workers on which waiting tasks of a step have failed last.
func (failures *failures) avoid(tasks []*jobkeeper.Task) map[scheduler.WorkerName]bool {
	var workers map[scheduler.WorkerName]bool
	for _, task := range tasks {
		worker, failed := failures.failedOn[task.ID()]
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

// forget drops what is known of a job that has ended.
func (failures *failures) forget(job scheduler.JobID) {
	failures.quarantiner.RemoveJob(job)
	for task := range failures.failedOn {
		if task.Job == job {
			delete(failures.failedOn, task)
		}
	}
}

// isQuarantined reports whether a worker gets no work because it fails everything.
func (failures *failures) isQuarantined(worker scheduler.WorkerName, now time.Time) bool {
	return failures.quarantiner.Status(worker, now) == quarantiner.StatusQuarantined
}
