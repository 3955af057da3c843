package overseer

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// retentionInterval is how often the jobs that have ended are visited.
	retentionInterval = 10 * time.Second
	// minRetention is how long a job is kept after its end even if there are more than maxEndedJobs. It is a multiple of the
	// time for which callers ask for its state or resend its submission.
	minRetention = 10 * time.Minute
	// maxEndedJobs is the number of ended jobs above which the oldest are forgotten before their retention ends. They take
	// some 20 MB.
	maxEndedJobs = 20_000
	// maxForgotten bounds the ids in one command.
	maxForgotten = 5000
)

// endedJob is a job that has ended, with the time at which this leadership first saw that.
type endedJob struct {
	id       scheduler.JobID
	sequence uint64
	since    time.Duration
}

// forgetEndedJobs removes jobs from the replicated state some time after their end, until the term ends. A new leader counts
// that time anew, so that a job is kept too long rather than too short.
func (leadership *leadership) forgetEndedJobs() {
	endedSince := map[scheduler.JobID]time.Duration{}
	for leadership.context.Err() == nil {
		leadership.pause(retentionInterval)
		if !leadership.mayAct() {
			continue
		}
		forgettable := leadership.forgettableJobs(endedSince)
		if len(forgettable) == 0 {
			continue
		}
		if _, err := leadership.propose(jobkeeper.Command{Forget: forgettable}); err != nil {
			leadership.repeatedWarning("jobsNotForgotten", err).Int("jobs", len(forgettable)).
				Msg("could not remove jobs that have ended; will retry")
			continue
		}
		leadership.overseer.metrics.forgotten.Inc(int64(len(forgettable)))
		leadership.logger.Info().Str("event", "jobsForgotten").Int("jobs", len(forgettable)).Int("kept", len(endedSince)).
			Msg("jobs that have ended were removed")
	}
}

// forgettableJobs returns the jobs that are to be removed now, at most maxForgotten. It updates endedSince.
func (leadership *leadership) forgettableJobs(endedSince map[scheduler.JobID]time.Duration) []scheduler.JobID {
	now := leadership.now()
	var ended []endedJob
	leadership.overseer.keeper.View(func(state *jobkeeper.State) {
		state.VisitEnded(func(job *jobkeeper.Job) {
			since, known := endedSince[job.ID()]
			if !known {
				since = now
			}
			ended = append(ended, endedJob{id: job.ID(), sequence: job.Sequence(), since: since})
		})
	})
	clear(endedSince)
	for _, job := range ended {
		endedSince[job.id] = job.since
	}
	forgettable := chooseForgettable(ended, now, leadership.overseer.jobRetention)
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	for _, id := range forgettable {
		delete(leadership.jobLog.reported, id)
	}
	return forgettable
}

// chooseForgettable returns the jobs whose retention has ended, and the oldest ones beyond maxEndedJobs.
func chooseForgettable(ended []endedJob, now, retention time.Duration) []scheduler.JobID {
	slices.SortFunc(ended, func(a, b endedJob) int { return cmp.Compare(a.sequence, b.sequence) })
	excess := len(ended) - maxEndedJobs
	var forgettable []scheduler.JobID
	for _, job := range ended {
		kept := now - job.since
		if kept >= retention || excess > 0 && kept >= min(minRetention, retention) {
			forgettable = append(forgettable, job.id)
			excess--
		}
		if len(forgettable) == maxForgotten {
			break
		}
	}
	return forgettable
}
