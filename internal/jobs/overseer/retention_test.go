package overseer

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Guards against a replicated state that grows with each job for ever, against jobs that are forgotten too early, also
// after a change of the leader, and against the removal of jobs that have not ended.
func TestEndedJobsAreForgotten(t *testing.T) {
	const retention = 3 * time.Minute
	tests := map[string]struct {
		elect    bool
		wantKept time.Duration
	}{
		"one leader": {wantKept: retention}, "new leader": {elect: true, wantKept: retention + retention/2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulation := newSimulation(t, 1, WithJobRetention(retention))
				stop := simulation.start()
				simulation.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{{Count: 2, Request: oneCore}}})
				simulation.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{{Count: 1, Request: oneCore, LongRunning: true}}})
				time.Sleep(10 * time.Second)
				began := time.Now()
				time.Sleep(retention / 2)
				if test.elect {
					simulation.domain.elect(1)
				}
				for simulation.knows("job0") && time.Since(began) < 2*retention {
					time.Sleep(time.Second)
				}
				if kept := time.Since(began); kept < test.wantKept-2*retentionInterval || kept > test.wantKept+2*retentionInterval {
					t.Errorf("got an ended job that is kept for %v, want %v", kept, test.wantKept)
				}
				if !simulation.knows("job1") {
					t.Error("got a running job that is forgotten, want it kept")
				}
				stop()
				time.Sleep(20 * time.Second)
			})
		})
	}
}

func (simulation *simulation) knows(id scheduler.JobID) (known bool) {
	simulation.domain.keeper.View(func(state *jobkeeper.State) { _, known = state.Job(id) })
	return known
}

// Guards against a state without a bound at a high rate of jobs, and against one that then forgets jobs for whose state
// callers still ask.
func TestChooseForgettable(t *testing.T) {
	const now, retention = 2 * time.Hour, time.Hour
	jobs := func(count int, kept time.Duration) []endedJob {
		ended := make([]endedJob, count)
		for position := range ended {
			ended[position] = endedJob{
				id: scheduler.JobID(fmt.Sprintf("j%d", position)), sequence: uint64(count - position), since: now - kept,
			}
		}
		return ended
	}
	tests := map[string]struct {
		ended []endedJob
		want  int
	}{
		"none":                        {nil, 0},
		"just ended":                  {jobs(10, time.Second), 0},
		"retention over":              {jobs(10, retention), 10},
		"more than one command holds": {jobs(maxForgotten+7, retention), maxForgotten},
		"too many, kept long enough":  {jobs(maxEndedJobs+30, minRetention), 30},
		"too many, just ended":        {jobs(maxEndedJobs+30, minRetention-time.Second), 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := chooseForgettable(test.ended, now, retention)
			if len(got) != test.want {
				t.Fatalf("got %d jobs, want %d", len(got), test.want)
			}
			if last := len(test.ended) - 1; test.want > 0 && got[0] != scheduler.JobID(fmt.Sprintf("j%d", last)) {
				t.Errorf("got %s first, want the oldest job", got[0])
			}
		})
	}
}
