package overseer

import (
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
)

// startDueOccurrences starts the occurrences of repeated jobs that are due.
func (leadership *leadership) startDueOccurrences() {
	now := time.Now()
	var due []jobkeeper.StartOccurrence
	leadership.overseer.keeper.View(func(state *jobkeeper.State) {
		state.VisitRepeated(func(job *jobkeeper.Job) {
			if occurrence, at, ok := job.NextDue(); ok && !now.Before(at) {
				due = append(due, jobkeeper.StartOccurrence{Job: job.ID(), Occurrence: occurrence})
			}
		})
	})
	for _, startOccurrence := range due {
		if _, err := leadership.propose(jobkeeper.Command{StartOccurrence: &startOccurrence}); err != nil {
			leadership.repeatedWarning("occurrenceNotBegun", err).Str("job", string(startOccurrence.Job)).
				Int("occurrence", startOccurrence.Occurrence).Msg("could not start the occurrence; will retry")
			return
		}
		leadership.progress.plans.Add(1)
	}
}
