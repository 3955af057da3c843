package overseer

import (
	"testing"
	"time"
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
