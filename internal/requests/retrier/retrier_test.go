package retrier

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// TestRetry guards against a second execution of a non-idempotent request, retries after the deadline and retries of
// requests that another gateway forwarded.
func TestRetry(t *testing.T) {
	const done, notRun, unknown = scheduler.OutcomeDone, scheduler.OutcomeNotRun, scheduler.OutcomeUnknown
	cases := map[string]struct {
		idempotent, forwarded bool
		remaining             time.Duration
		outcomes              []scheduler.Outcome
		want                  bool
	}{
		"not run":                 {false, false, time.Second, []scheduler.Outcome{notRun}, true},
		"idempotent, unknown":     {true, false, time.Second, []scheduler.Outcome{unknown}, true},
		"non-idempotent, unknown": {false, false, time.Second, []scheduler.Outcome{unknown}, false},
		"done":                    {true, false, time.Second, []scheduler.Outcome{done}, false},
		"forwarded":               {true, true, time.Second, []scheduler.Outcome{notRun}, false},
		"past the deadline":       {true, false, 5 * time.Millisecond, []scheduler.Outcome{notRun}, false},
		"third retry":             {true, false, time.Second, []scheduler.Outcome{notRun, unknown, notRun}, true},
		"fourth retry":            {true, false, time.Second, []scheduler.Outcome{notRun, notRun, notRun, notRun}, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				retrier := New(WithRandom(func(limit time.Duration) time.Duration { return limit }))
				request := retrier.Begin(test.idempotent, test.forwarded, time.Now().Add(test.remaining))
				got := false
				for _, outcome := range test.outcomes {
					_, got = request.Retry(outcome, false)
				}
				if got != test.want {
					t.Errorf("retry: got %v, want %v", got, test.want)
				}
			})
		})
	}
}

// TestBudget guards against retries that multiply the load when all requests fail.
func TestBudget(t *testing.T) {
	retrier, requests, retries := New(), []*Request(nil), 0
	for range 100 {
		requests = append(requests, retrier.Begin(true, false, time.Now().Add(time.Hour)))
	}
	for _, request := range requests {
		if _, ok := request.Retry(scheduler.OutcomeUnknown, false); ok {
			retries++
		}
	}
	if got, want := retries, 10; got != want {
		t.Errorf("retries of 100 failed requests: got %d, want %d", got, want)
	}
	if got, want := fmt.Sprint(requests[0].Restart(), requests[0].Restart(),
		requests[99].Restart()), "true false false"; got != want {
		t.Errorf("restart, second restart, restart without remaining budget: got %s, want %s", got, want)
	}
	for _, request := range requests {
		request.End()
	}
	if got, want := retrier.activeRequests+retrier.retrying, 0; got != want {
		t.Errorf("requests left after End: got %d, want %d", got, want)
	}
}
