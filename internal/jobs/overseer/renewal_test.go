package overseer

import (
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Guards against serving tasks that are seen too rarely to be kept below their targets, and against a leader
// that spends its time on looks at a large fleet.
func TestRenewWait(t *testing.T) {
	serving := scheduler.Step{LatencyTarget: time.Millisecond}
	tests := map[string]struct {
		attempt *attempt
		synced  bool
		workers int
		want    time.Duration
	}{
		"serving":                {&attempt{state: attemptRunning, spec: serving}, true, 48, 300 * time.Millisecond},
		"serving, a large fleet": {&attempt{state: attemptRunning, spec: serving}, true, 860, 860 * time.Millisecond},
		"a very large fleet":     {&attempt{state: attemptRunning, spec: serving}, true, 9000, maxWait},
		"batch":                  {&attempt{state: attemptRunning}, true, 48, maxWait},
		"stopping":               {&attempt{state: attemptStopping, spec: serving}, true, 48, stopLook},
		"first look of a term":   {&attempt{state: attemptUnknown}, false, 48, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			worker := newWorker("w", 1)
			worker.synced = test.synced
			worker.attempts[scheduler.RunID{}] = test.attempt
			if got := worker.renewWait(test.workers); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against attempts that are given up before their start was sent, because the lease that their worker held
// for earlier ones is over (seen on inc-31c8 of bb-rehome-grown: 617 leases ran out, most of them on idle workers).
func TestUnsentAttemptHoldsNoLease(t *testing.T) {
	tests := map[string]struct {
		attempt attempt
		want    int
	}{
		"not sent":                {attempt{state: attemptStarting}, 0},
		"sent, not answered":      {attempt{state: attemptStarting, exposed: true}, 1},
		"running":                 {attempt{state: attemptRunning}, 1},
		"of an earlier leader":    {attempt{state: attemptUnknown}, 1},
		"stopping":                {attempt{state: attemptStopping}, 1},
		"its end is recorded now": {attempt{state: attemptRunning, ending: true}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			worker := newWorker("w", 1)
			worker.attempts[scheduler.RunID{}] = &test.attempt
			if got := len(worker.expiredAttempts()); got != test.want {
				t.Errorf("got %d expired attempts, want %d", got, test.want)
			}
		})
	}
}
