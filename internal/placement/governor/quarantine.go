package governor

import (
	"context"
	"time"

	"github.com/crocusplank/crocusplank/internal/placement/quarantiner"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// minRunTime is how long an attempt must have run to count as evidence of a healthy worker. Attempts on a
	// broken worker fail sooner.
	minRunTime = time.Minute
	// scanPeriod limits how often all live leases are scanned. There are 18,700 at the scale expected in two years.
	scanPeriod = 10 * time.Second
	// failureRetention is how long the failures of a job are kept. It is also how long a faulty job is rejected, so
	// that a job that failed because of a temporary external fault is tried again.
	failureRetention = 30 * time.Minute
)

// HandleEnded processes the ended attempts that a worker has reported. It is passed to the engine as a handler.
// Stopped attempts are ignored because they are evidence neither against the worker nor against the job.
func (governor *Governor) HandleEnded(worker scheduler.WorkerName, attempts []scheduler.EndedAttempt) {
	governor.mutex.Lock()
	defer governor.mutex.Unlock()
	governor.syncTerm()
	now := time.Now()
	for _, attempt := range attempts {
		entry := governor.leaseTable.leases[attempt.Lease]
		if entry == nil || entry.worker != worker {
			continue
		}
		outcome := quarantiner.OutcomeSucceeded
		switch attempt.Outcome {
		case scheduler.AttemptFailed:
			outcome = quarantiner.OutcomeFailed
			governor.failures[entry.task.Job] = now
		case scheduler.AttemptFinished:
		default:
			continue
		}
		governor.recordOutcome(now, entry, outcome)
	}
}

func (governor *Governor) recordOutcome(now time.Time, entry *leaseEntry, outcome quarantiner.Outcome) {
	governor.quarantiner.Observe(quarantiner.Attempt{
		Job: entry.task.Job, Worker: entry.worker, Started: entry.firstSeen, Ended: now, Outcome: outcome,
	})
}

// reportRunningAttempts reports the attempts that have run for minRunTime to the quarantiner.
func (governor *Governor) reportRunningAttempts(now time.Time) {
	if now.Sub(governor.leaseTable.lastScan) < scanPeriod {
		return
	}
	governor.leaseTable.lastScan = now
	for _, lease := range governor.leaseTable.live {
		entry := governor.leaseTable.leases[lease]
		if !entry.reportedRunning && now.Sub(entry.firstSeen) >= minRunTime {
			entry.reportedRunning = true
			governor.recordOutcome(now, entry, quarantiner.OutcomeRunning)
		}
	}
}

// quarantineCommands returns commands that update the quarantine state of workers in the engine.
func (governor *Governor) quarantineCommands(now time.Time) []command {
	governor.reportRunningAttempts(now)
	for job, at := range governor.failures {
		if now.Sub(at) >= failureRetention {
			delete(governor.failures, job)
			governor.quarantiner.RemoveJob(job)
		}
	}
	var commands []command
	for name := range governor.leaseTable.states {
		status := governor.quarantiner.Status(name, now)
		quarantined := status == quarantiner.StatusQuarantined
		if quarantined == governor.quarantined[name] {
			continue
		}
		governor.quarantined[name] = quarantined
		governor.log.Warn().Str("event", "workerStatusChanged").Str("worker", string(name)).Str("status", string(status)).
			Msg("worker status changed")
		commands = append(commands, func(_ context.Context, engine Engine) { engine.Quarantine(name, quarantined) })
	}
	return commands
}

// rejectFaultyJobs rejects the tasks of jobs that failed on workers on which other jobs succeed. The engine
// records the reason of each rejection.
func (governor *Governor) rejectFaultyJobs(
	now time.Time, pending []scheduler.PendingTask,
) (placeable []scheduler.PendingTask, rejections []scheduler.PlacementFailure) {
	for _, task := range pending {
		at, failed := governor.failures[task.Job]
		reason, faulty := "", false
		if failed && now.Sub(at) < failureRetention {
			reason, faulty = governor.quarantiner.JobFault(task.Job)
		}
		if faulty {
			rejections = append(rejections, scheduler.PlacementFailure{Task: task.Task, Reason: reason})
		} else {
			placeable = append(placeable, task)
		}
	}
	return placeable, rejections
}
