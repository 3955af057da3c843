package crashclassifier

import (
	"maps"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	crashedAt = time.Minute
	starting  = scheduler.EndCrashedStarting
	running   = scheduler.EndCrashedRunning
)

func runID(job scheduler.JobID) scheduler.RunID {
	return scheduler.RunID{Task: scheduler.StepTaskID{Job: job}, Attempt: 1}
}

// accepted returns an attempt that was accepted the given time before the crash.
func accepted(job scheduler.JobID, ago time.Duration) Attempt {
	return Attempt{Run: runID(job), Sent: true, Accepted: true, Since: crashedAt - ago}
}

func crashes(count int, apart time.Duration) []time.Duration {
	var times []time.Duration
	for number := range count {
		times = append(times, crashedAt+time.Duration(number)*apart)
	}
	return times
}

// Guards against an attempt that is blamed for a crash that it did not cause, an end that is taken for a crash, and a crash
// for which nothing is blamed.
func TestClassify(t *testing.T) {
	unanswered := Attempt{Run: runID("unanswered"), Sent: true}
	unsent := Attempt{Run: runID("unsent")}
	adopted := Attempt{Run: runID("adopted"), Adopted: true, Accepted: true, Since: crashedAt - 100*time.Millisecond}
	marked := Attempt{Run: runID("marked"), Adopted: true, Marked: starting}
	suspect := accepted("suspect", 10*time.Second)
	startingSuspect := accepted("startingSuspect", 20*time.Millisecond)
	suspect.Suspect, startingSuspect.Suspect = true, true
	neighbour, survivor := accepted("neighbour", 10*time.Second), accepted("survivor", 40*time.Second)
	fresh, recent := accepted("fresh", 10*time.Millisecond), accepted("recent", 500*time.Millisecond)
	blamed := func(kind scheduler.EndKind, jobs ...scheduler.JobID) map[scheduler.RunID]scheduler.EndKind {
		kinds := map[scheduler.RunID]scheduler.EndKind{}
		for _, job := range jobs {
			kinds[runID(job)] = kind
		}
		return kinds
	}
	join := func(first, second map[scheduler.RunID]scheduler.EndKind) map[scheduler.RunID]scheduler.EndKind {
		maps.Copy(first, second)
		return first
	}
	tests := map[string]struct {
		change   func(ending *Ending)
		attempts []Attempt
		want     Verdict
		kinds    map[scheduler.RunID]scheduler.EndKind
	}{
		"deadly start": {
			nil, []Attempt{fresh, neighbour, survivor}, VerdictCrash, join(blamed(starting, "fresh"), blamed(running, "neighbour")),
		},
		"deadly start unanswered":   {nil, []Attempt{unanswered, survivor}, VerdictCrash, blamed(running, "unanswered")},
		"start that was never sent": {nil, []Attempt{unsent, neighbour}, VerdictCrash, blamed(running, "neighbour")},
		"two starts":                {nil, []Attempt{fresh, unanswered}, VerdictCrash, join(blamed(starting, "fresh"), blamed(running, "unanswered"))},
		"start half a second ago": {
			nil, []Attempt{recent, neighbour}, VerdictCrash, join(blamed(starting, "recent"), blamed(running, "neighbour")),
		},
		"immediate start and one half a second ago": {
			nil, []Attempt{fresh, recent}, VerdictCrash, join(blamed(starting, "fresh"), blamed(running, "recent")),
		},
		"start beside a running suspect": {
			nil, []Attempt{fresh, suspect}, VerdictCrash, join(blamed(starting, "fresh"), blamed(running, "suspect")),
		},
		"start of a suspect": {
			nil,
			[]Attempt{startingSuspect, neighbour},
			VerdictCrash,
			join(blamed(starting, "startingSuspect"), blamed(running, "neighbour")),
		},
		"start beside that of a suspect": {
			nil, []Attempt{startingSuspect, fresh}, VerdictCrash, blamed(starting, "startingSuspect", "fresh"),
		},
		"late killer":             {nil, []Attempt{neighbour, survivor}, VerdictCrash, blamed(running, "neighbour")},
		"all have survived":       {nil, []Attempt{survivor}, VerdictCrash, nil},
		"adopted by a new leader": {nil, []Attempt{adopted}, VerdictCrash, blamed(running, "adopted")},
		"marked by the leader before": {
			func(ending *Ending) { ending.ConnectionClosed = false },
			[]Attempt{marked, neighbour},
			VerdictSilent,
			blamed(starting, "marked"),
		},
		"no attempts": {nil, nil, VerdictCrash, nil},
		"cut off, then born again": {
			func(ending *Ending) { ending.ConnectionClosed = false }, []Attempt{fresh}, VerdictSilent, nil,
		},
		"connection reset, instance goes on": {
			func(ending *Ending) { ending.Replaced = false }, []Attempt{fresh}, VerdictNoNextInstance, nil,
		},
		"drain or maintenance": {
			func(ending *Ending) { ending.Expected = true }, []Attempt{fresh}, VerdictExpected, nil,
		},
		"rack lost": {func(ending *Ending) {
			ending.Rack = FailureDomain{Workers: 6, Crashes: crashes(3, 200*time.Millisecond)}
		}, []Attempt{fresh, neighbour}, VerdictRackLost, blamed(running, "fresh", "neighbour")},
		"pool killed": {func(ending *Ending) {
			ending.Rack = FailureDomain{Workers: 2, Crashes: crashes(2, 0)}
			ending.Pool = FailureDomain{Workers: 8, Crashes: crashes(8, 0)}
		}, []Attempt{fresh, neighbour}, VerdictCommonCause, blamed(running, "fresh", "neighbour")},
		"few of a rack": {func(ending *Ending) {
			ending.Rack = FailureDomain{Workers: 7, Crashes: crashes(3, 0)}
		}, []Attempt{fresh}, VerdictCrash, blamed(starting, "fresh")},
		"small rack": {func(ending *Ending) {
			ending.Rack = FailureDomain{Workers: 2, Crashes: crashes(2, 0)}
		}, []Attempt{fresh}, VerdictCrash, blamed(starting, "fresh")},
		"rack one by one": {func(ending *Ending) {
			ending.Rack = FailureDomain{Workers: 3, Crashes: crashes(3, 2*time.Second)}
		}, []Attempt{fresh}, VerdictCrash, blamed(starting, "fresh")},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ending := &Ending{ConnectionClosed: true, Replaced: true, At: crashedAt, Attempts: test.attempts}
			if test.change != nil {
				test.change(ending)
			}
			decision := Classify(ending)
			if got := decision.Verdict(); got != test.want {
				t.Errorf("got verdict %s, want %s", got, test.want)
			}
			got := blamed("")
			for _, attempt := range test.attempts {
				if kind := decision.Kind(attempt.Run); kind != scheduler.EndLost {
					got[attempt.Run] = kind
				}
			}
			if !maps.Equal(got, test.kinds) {
				t.Errorf("got blame %v, want %v", got, test.kinds)
			}
		})
	}
}
