package overseer

import (
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Guards against serving tasks that are observed too rarely to keep them below their latency targets, and against a
// leader that spends its time on renewals in a large fleet.
func TestRenewWait(t *testing.T) {
	serving := scheduler.Step{LatencyTarget: time.Millisecond}
	tests := map[string]struct {
		attempt *attempt
		synced  bool
		workers int
		want    time.Duration
	}{
		"serving":                 {&attempt{state: attemptRunning, spec: serving}, true, 48, 300 * time.Millisecond},
		"serving, a large fleet":  {&attempt{state: attemptRunning, spec: serving}, true, 860, 860 * time.Millisecond},
		"a very large fleet":      {&attempt{state: attemptRunning, spec: serving}, true, 9000, maxRenewWait},
		"batch":                   {&attempt{state: attemptRunning}, true, 48, maxRenewWait},
		"stopping":                {&attempt{state: attemptStopping, spec: serving}, true, 48, stoppingRenewWait},
		"first renewal of a term": {&attempt{state: attemptUnknown}, false, 48, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			instance := newWorker("w", 1)
			instance.synced = test.synced
			instance.attempts[scheduler.RunID{}] = test.attempt
			if got := instance.renewWait(test.workers); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against attempts that are given up before their start order was sent, because the lease that their worker
// held for earlier attempts has expired (seen on inc-31c8 of bb-rehome-grown: 617 leases expired, most of them on
// idle workers).
func TestUnsentAttemptHoldsNoLease(t *testing.T) {
	tests := map[string]struct {
		attempt attempt
		want    int
	}{
		"not sent":              {attempt{state: attemptStarting}, 0},
		"sent, unanswered":      {attempt{state: attemptStarting, startOutstanding: true}, 1},
		"running":               {attempt{state: attemptRunning}, 1},
		"of an earlier leader":  {attempt{state: attemptUnknown}, 1},
		"stopping":              {attempt{state: attemptStopping}, 1},
		"end is being recorded": {attempt{state: attemptRunning, recordingEnd: true}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			instance := newWorker("w", 1)
			instance.attempts[scheduler.RunID{}] = &test.attempt
			if got := len(instance.expireAttempts(true)); got != test.want {
				t.Errorf("got %d expired attempts, want %d", got, test.want)
			}
		})
	}
}
