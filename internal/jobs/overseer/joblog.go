package overseer

import (
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/internal/jobs/packer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// journal remembers what the log lines about jobs need: since when steps have waited and which jobs have been
// reported as ended. The leadership's mutex guards it.
type journal struct {
	waiting  map[stepKey]wait
	reported map[scheduler.JobID]bool
}

type wait struct {
	since    time.Duration
	prospect packer.Prospect
}

func newJournal() journal {
	return journal{waiting: map[stepKey]wait{}, reported: map[scheduler.JobID]bool{}}
}

// noteWaiting notes the steps that wait now and forgets the others.
func (journal *journal) noteWaiting(now time.Duration, steps []*waitingStep) {
	next := make(map[stepKey]wait, len(steps))
	for _, step := range steps {
		key := stepKey{job: step.step.Job().ID(), occurrence: step.step.Occurrence(), step: step.step.Number()}
		since := now
		if known, found := journal.waiting[key]; found {
			since = known.since
		}
		next[key] = wait{since: since, prospect: step.urgency.Prospect}
	}
	journal.waiting = next
}

// logPlaced writes one line for each step of which tasks were placed. The mutex is held.
func (leadership *leadership) logPlaced(placements []jobkeeper.Placement, attempts []scheduler.AttemptNumber) {
	counts := map[stepKey]int{}
	for position, placement := range placements {
		if position < len(attempts) && attempts[position] > 0 {
			counts[keyOf(placement.Task)]++
		}
	}
	now := leadership.now()
	for key, count := range counts {
		wait, known := leadership.journal.waiting[key]
		if !known {
			wait.since = now
		}
		leadership.logger.Info().Str("event", "tasksPlaced").Str("job", string(key.job)).Int("occurrence", key.occurrence).Int("step", key.step).
			Int("tasks", count).Dur("waited", now-wait.since).Str("prospect", string(wait.prospect)).Msg("tasks placed")
	}
}

// logEnded writes one line for each job that has ended with the given ends. The mutex is held.
func (leadership *leadership) logEnded(ends []jobkeeper.End) {
	leadership.overseer.keeper.View(func(state *jobkeeper.State) {
		for _, end := range ends {
			job, found := state.Job(end.Run.Task.Job)
			if !found || !job.State().Ended() || leadership.journal.reported[job.ID()] {
				continue
			}
			leadership.journal.reported[job.ID()] = true
			leadership.failures.forget(job.ID())
			leadership.logger.Info().Str("event", "jobEnded").Str("job", string(job.ID())).Str("queue", string(job.Queue().Name)).
				Str("state", string(job.State())).Dur("took", time.Since(job.Accepted())).Msg("job ended")
		}
	})
}
