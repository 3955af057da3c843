package quarantiner

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// play observes attempts written as "job worker outcome", one a second, each a second long.
func play(t *testing.T, q *Quarantiner, from time.Time, attempts ...string) time.Time {
	t.Helper()
	for _, text := range attempts {
		var job, worker, outcome string
		if _, err := fmt.Sscan(text, &job, &worker, &outcome); err != nil {
			t.Fatal(err)
		}
		q.Observe(Attempt{
			Job: scheduler.JobID(job), Worker: scheduler.WorkerName(worker),
			Started: from, Ended: from.Add(time.Second), Outcome: map[string]Outcome{"ok": OutcomeSucceeded, "runs": OutcomeRunning, "fail": OutcomeFailed}[outcome],
		})
		from = from.Add(time.Second)
	}
	return from
}

// Guards against a broken job that takes good workers away, a broken worker that ends good jobs, and a
// fault of the whole fleet that empties it.
func TestStatusAndHopeless(t *testing.T) {
	cases := map[string]struct {
		attempts []string
		worker   WorkerStatus
		hopeless bool
	}{
		"one failure":                {attempts: []string{"a w fail"}, worker: StatusHealthy},
		"distinct jobs fail":         {attempts: []string{"a w fail", "b w fail", "c w fail"}, worker: StatusQuarantined},
		"one job fails often":        {attempts: []string{"a w fail", "a w fail", "a w fail", "a w fail"}, worker: StatusHealthy},
		"a success between":          {attempts: []string{"a w fail", "b w fail", "d w ok", "c w fail"}, worker: StatusHealthy},
		"job fails everywhere":       {attempts: []string{"a w fail", "a x fail", "a y fail", "o w ok", "o x ok", "o y ok"}, worker: StatusHealthy, hopeless: true},
		"fails on unproven workers":  {attempts: []string{"a w fail", "a x fail", "a y fail", "o w ok", "o x ok"}, worker: StatusHealthy},
		"job worked once":            {attempts: []string{"a z ok", "a w fail", "a x fail", "a y fail", "o w ok", "o x ok", "o y ok"}, worker: StatusHealthy},
		"job runs a while but fails": {attempts: []string{"a w runs", "a w fail", "a x fail", "a y fail", "o w ok", "o x ok", "o y ok"}, worker: StatusHealthy, hopeless: true},
		"a worker that runs another": {attempts: []string{"a w fail", "b w fail", "d w runs", "c w fail"}, worker: StatusHealthy},
		"job on broken workers":      {attempts: []string{"b w fail", "c w fail", "d w fail", "a w fail", "a x fail", "a y fail"}, worker: StatusQuarantined},
		"broken jobs on one worker":  {attempts: []string{"a x fail", "a y fail", "b x fail", "b y fail", "o x ok", "o y ok", "a w fail", "b w fail", "c w fail"}, worker: StatusHealthy},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q, err := New()
			if err != nil {
				t.Fatal(err)
			}
			for _, worker := range []scheduler.WorkerName{"w", "x", "y", "z"} {
				q.Add(worker)
			}
			now := play(t, q, start, c.attempts...)
			if got := q.Status("w", now); got != c.worker {
				t.Errorf("got worker %s, want %s", got, c.worker)
			}
			if reason, got := q.JobFault("a"); got != c.hopeless {
				t.Errorf("got hopeless %v (%s), want %v", got, reason, c.hopeless)
			}
		})
	}
}

// Guards against a quarantine that never ends, one that ends without a probe, and old attempts that
// clear a worker which fails all new ones.
func TestProbe(t *testing.T) {
	q, _ := New()
	now := play(t, q, start, "a w fail", "b w fail", "c w fail")
	if got, want := q.Status("w", now.Add(firstQuarantine)), StatusProbing; got != want {
		t.Fatalf("got %s, want %s", got, want)
	}
	now = play(t, q, now.Add(firstQuarantine), "d w fail")
	if got, want := q.Status("w", now.Add(firstQuarantine)), StatusQuarantined; got != want {
		t.Fatalf("got %s after a failed probe, want %s for twice as long", got, want)
	}
	now = now.Add(2 * firstQuarantine)
	if got, want := q.Status("w", now), StatusProbing; got != want {
		t.Fatalf("got %s, want %s", got, want)
	}
	play(t, q, now, "e w ok")
	if got, want := q.Status("w", now), StatusHealthy; got != want {
		t.Errorf("got %s after a good probe, want %s", got, want)
	}
	now = play(t, q, now.Add(time.Minute), "f w fail", "g w fail")
	play(t, q, start, "h w ok")
	play(t, q, now, "i w fail")
	if got, want := q.Status("w", now), StatusQuarantined; got != want {
		t.Errorf("got %s, want %s in spite of an attempt from before the failures", got, want)
	}
}

// Guards against an empty fleet when every worker fails for a common cause.
func TestShareOfQuarantinedWorkers(t *testing.T) {
	q, _ := New()
	for w := range 8 {
		q.Add(scheduler.WorkerName(fmt.Sprint("w", w)))
	}
	for w := range 8 {
		for j := range 3 {
			play(t, q, start, fmt.Sprintf("j%d-%d w%d fail", w, j, w))
		}
	}
	away := 0
	for w := range 8 {
		if q.Status(scheduler.WorkerName(fmt.Sprint("w", w)), start) != StatusHealthy {
			away++
		}
	}
	if away != 2 {
		t.Errorf("got %d of 8 workers away, want 2", away)
	}
	if _, err := New(WithFailureThreshold(1)); !Error.Has(err) {
		t.Errorf("got %v, want an error for evidence of one failure", err)
	}
}
