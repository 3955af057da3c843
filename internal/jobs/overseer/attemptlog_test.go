package overseer

import (
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/internal/basics/stopwatch"
	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Guards against throttled time that is counted as work, and against stages that do not add up to the attempt's time.
func TestAttemptStages(t *testing.T) {
	tests := map[string]struct {
		attempt attempt
		want    attemptStages
	}{
		"never accepted": {
			attempt: attempt{times: attemptTimes{placedAt: time.Second}},
			want:    attemptStages{starting: 9 * time.Second},
		},
		"throttled": {
			attempt: attempt{
				times:  attemptTimes{placedAt: time.Second, acceptedAt: 2 * time.Second, listedAt: 9 * time.Second},
				timing: timing{running: true, worked: 2 * time.Second, changedAt: 4 * time.Second, share: 40},
			},
			want: attemptStages{
				starting: time.Second, running: 7 * time.Second, heldBack: 3 * time.Second, recording: time.Second,
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := test.attempt.stages(10 * time.Second); got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

// Guards against results of tasks that finish after their job was reported as ended, which nothing would remove.
func TestResultsOfEndedJobsAreNotKept(t *testing.T) {
	leadership := &leadership{overseer: &Overseer{clock: stopwatch.Start()}, jobLog: newJobLog()}
	end := jobkeeper.End{Run: scheduler.RunID{Task: scheduler.StepTaskID{Job: "a"}}}
	leadership.jobLog.reported["a"] = true
	leadership.addResult(&attempt{spec: scheduler.Step{Count: 2}}, end)
	if got, want := len(leadership.jobLog.results), 0; got != want {
		t.Errorf("got results of %d jobs, want %d", got, want)
	}
}
