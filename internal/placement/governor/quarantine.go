package governor

import (
	"context"
	"time"

	"github.com/crocusplank/crocusplank/internal/placement/quarantiner"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// survivedAfter is how long an attempt must have run to speak for its worker. A worker that
	// fails what it starts does so sooner.
	survivedAfter = time.Minute
	// surveyPeriod limits how often all live leases, 18,700 in two years, are looked at.
	surveyPeriod = 10 * time.Second
	// keptFailures is how long the failures of a job count. It is also how long a hopeless job is
	// not tried, so that a fault outside the system that has passed does not hold it for ever.
	keptFailures = 30 * time.Minute
)

// HandleEnded takes over the ends of attempts that a worker reported. It has the type that the engine asks
// for. Stopped attempts say nothing about worker or job.
func (governor *Governor) HandleEnded(worker scheduler.WorkerName, attempts []scheduler.EndedAttempt) {
	governor.mutex.Lock()
	defer governor.mutex.Unlock()
	governor.follow()
	now := time.Now()
	for _, attempt := range attempts {
		known := governor.ledger.leases[attempt.Lease]
		if known == nil || known.worker != worker {
			continue
		}
		outcome := quarantiner.OutcomeSucceeded
		switch attempt.Outcome {
		case scheduler.AttemptFailed:
			outcome = quarantiner.OutcomeFailed
			governor.failures[known.task.Job] = now
		case scheduler.AttemptFinished:
		default:
			continue
		}
		governor.addEvidence(now, known, outcome)
	}
}

func (governor *Governor) addEvidence(now time.Time, known *entry, outcome quarantiner.Outcome) {
	governor.quarantiner.Observe(quarantiner.Attempt{
		Job: known.task.Job, Worker: known.worker, Started: known.first, Ended: now, Outcome: outcome,
	})
}

// survey counts the attempts that have survived.
func (governor *Governor) survey(now time.Time) {
	if now.Sub(governor.ledger.surveyed) < surveyPeriod {
		return
	}
	governor.ledger.surveyed = now
	for _, lease := range governor.ledger.live {
		known := governor.ledger.leases[lease]
		if !known.survived && now.Sub(known.first) >= survivedAfter {
			known.survived = true
			governor.addEvidence(now, known, quarantiner.OutcomeSurvived)
		}
	}
}

// quarantines tells the engine which workers have changed their state.
func (governor *Governor) quarantines(now time.Time) []command {
	governor.survey(now)
	for job, at := range governor.failures {
		if now.Sub(at) >= keptFailures {
			delete(governor.failures, job)
			governor.quarantiner.Forget(job)
		}
	}
	var commands []command
	for name := range governor.ledger.states {
		status := governor.quarantiner.Status(name, now)
		quarantined := status == quarantiner.StatusQuarantined
		if quarantined == governor.quarantined[name] {
			continue
		}
		governor.quarantined[name] = quarantined
		governor.log.Warn().Str("event", "workerStatusChanged").Str("worker", string(name)).Str("status", string(status)).Msg("worker status changed")
		commands = append(commands, func(_ context.Context, engine Engine) { engine.Quarantine(name, quarantined) })
	}
	return commands
}

// withoutHopeless refuses the tasks of jobs that failed on workers that work for others. The engine
// records the reason.
func (governor *Governor) withoutHopeless(
	now time.Time, pending []scheduler.PendingTask,
) (hopeful []scheduler.PendingTask, refusals []scheduler.PlacementFailure) {
	for _, task := range pending {
		at, failed := governor.failures[task.Job]
		reason, hopeless := "", false
		if failed && now.Sub(at) < keptFailures {
			reason, hopeless = governor.quarantiner.Hopeless(task.Job)
		}
		if hopeless {
			refusals = append(refusals, scheduler.PlacementFailure{Task: task.Task, Reason: reason})
		} else {
			hopeful = append(hopeful, task)
		}
	}
	return hopeful, refusals
}
