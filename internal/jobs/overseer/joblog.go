package overseer

import (
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/internal/jobs/packer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// jobLog holds the state needed for log events about jobs: since when steps have been waiting, which jobs have
// been reported as ended, and the results of unfinished steps. The leadership's mutex guards it.
type jobLog struct {
	waiting  map[stepKey]stepWait
	reported map[scheduler.JobID]bool
	results  map[scheduler.JobID]map[stepKey]*stepResults
}

type stepWait struct {
	since    time.Duration
	prospect packer.Prospect
	// request is the resource request of each task.
	request scheduler.Resources
}

func newJobLog() jobLog {
	return jobLog{
		waiting: map[stepKey]stepWait{}, reported: map[scheduler.JobID]bool{},
		results: map[scheduler.JobID]map[stepKey]*stepResults{},
	}
}

// updateWaiting replaces the set of waiting steps and sets since when each has waited. A step that was waiting before
// keeps its start time.
func (jobLog *jobLog) updateWaiting(now time.Duration, steps []*waitingStep) {
	next := make(map[stepKey]stepWait, len(steps))
	for _, step := range steps {
		key := keyOfStep(step.step)
		since := now
		if known, found := jobLog.waiting[key]; found {
			since = known.since
		}
		step.since = since
		next[key] = stepWait{since: since, prospect: step.urgency.Prospect, request: step.step.Spec().Request}
	}
	jobLog.waiting = next
}

// logPlacements logs one event for each step that had tasks placed. The mutex must be held.
func (leadership *leadership) logPlacements(placements []jobkeeper.Placement, attempts []scheduler.AttemptNumber) {
	counts, repeated := map[stepKey]int{}, map[stepKey]int{}
	for position, placement := range placements {
		if position < len(attempts) && attempts[position] > 0 {
			counts[keyOf(placement.Task)]++
			if attempts[position] > 1 {
				repeated[keyOf(placement.Task)]++
			}
		}
	}
	now := leadership.now()
	for key, count := range counts {
		stepWait, known := leadership.jobLog.waiting[key]
		if !known {
			stepWait.since = now
		}
		leadership.logger.Info().Str("event", "tasksPlaced").Str("job", string(key.job)).
			Int("occurrence", key.occurrence).Int("step", key.step).
			Int("tasks", count).Int("again", repeated[key]).Dur("waited", now-stepWait.since).Str("prospect", string(stepWait.prospect)).
			Int64("milliCores", stepWait.request.MilliCores).
			Msg("tasks placed")
	}
}

// logEndedJobs logs one event for each job that the given attempt ends have completed. The mutex must be held.
func (leadership *leadership) logEndedJobs(ends []jobkeeper.End) {
	leadership.overseer.keeper.View(func(state *jobkeeper.State) {
		for _, end := range ends {
			job, found := state.Job(end.Run.Task.Job)
			if !found || !job.State().Ended() || leadership.jobLog.reported[job.ID()] {
				continue
			}
			leadership.jobLog.reported[job.ID()] = true
			leadership.failureTracker.forget(job.ID())
			leadership.logUnfinishedSteps(job.ID())
			if job.GivenUp() {
				leadership.overseer.metrics.givenUp.Inc(1)
			}
			leadership.forgetCrashSuspects(job.ID(), job.GivenUp())
			leadership.logger.Info().Str("event", "jobEnded").Str("job", string(job.ID())).
				Str("queue", string(job.Queue().Name)).
				Str("state", string(job.State())).Str("reason", job.FailureReason()).
				Dur("took", time.Since(job.Accepted())).Msg("job ended")
		}
	})
}
