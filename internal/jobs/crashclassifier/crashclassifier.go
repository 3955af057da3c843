// Package crashclassifier decides whether the end of a worker instance was a crash, and which of its attempts are blamed
// for it. It is pure: it performs no I/O and reads no clock.
package crashclassifier

import (
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// StartWindow is how long after its start an attempt is the likely cause of a crash.
	StartWindow = time.Second
	// SurvivalTime is how long an attempt must have been running to be no cause of a crash.
	SurvivalTime = 30 * time.Second
	// commonCauseWindow is the time within which crashes have a common cause if they are at least commonCauseCrashes and
	// half of the workers of a rack or pool.
	commonCauseWindow  = time.Second
	commonCauseCrashes = 3
)

// Verdict is what the end of a worker instance was.
type Verdict string

// Values of Verdict.
const (
	VerdictCrash Verdict = "crash"
	// VerdictSilent means that no connection of the worker was closed or refused since its last response: it may have been
	// cut off, or its machine may have lost power.
	VerdictSilent Verdict = "silent"
	// VerdictNoNextInstance means that no later instance has started, so the process may still be running.
	VerdictNoNextInstance Verdict = "noNextInstance"
	// VerdictExpected means that the worker was draining or its VM was under maintenance.
	VerdictExpected Verdict = "expected"
	// VerdictCommonCause means that a large part of a rack or pool ended at the same time.
	VerdictCommonCause Verdict = "commonCause"
)

// Ending describes the end of a worker instance.
type Ending struct {
	// ConnectionClosed is true if the worker's side closed or refused a connection without a response, and no order was
	// answered since.
	ConnectionClosed bool
	// Replaced is true if a later instance has started at the worker's name, address or VM.
	Replaced bool
	// Expected is true if the worker was draining or its VM was under maintenance.
	Expected bool
	// At is when the first order failed since the last response.
	At time.Duration
	// Domains holds the rack and the pool of the worker.
	Domains  []FailureDomain
	Attempts []Attempt
}

// FailureDomain is a group of workers that may fail together.
type FailureDomain struct {
	Workers int
	// Crashes holds the times at which workers of the group, this one included, stopped responding with a closed connection.
	Crashes []time.Duration
}

// Attempt is an attempt that has not ended before its worker.
type Attempt struct {
	Run scheduler.RunID
	// Sent is true if the worker may have received the start order from this leader. If it is false, the attempt has not
	// started, or an earlier leader started it at an unknown time.
	Sent bool
	// Accepted is true if the worker is known to have run the attempt, since at or before Since.
	Accepted bool
	Since    time.Duration
	// Suspect is true if the task has blame for earlier crashes.
	Suspect bool
}

// Decision is the result of Classify.
type Decision struct {
	verdict Verdict
	kinds   map[scheduler.RunID]scheduler.EndKind
	fresh   int
}

// Verdict returns what the end of the instance was.
func (decision Decision) Verdict() Verdict { return decision.verdict }

// Kind returns the kind of the end of an attempt.
func (decision Decision) Kind(run scheduler.RunID) scheduler.EndKind {
	if kind, blamed := decision.kinds[run]; blamed {
		return kind
	}
	return scheduler.EndLost
}

// Fresh returns the number of attempts that were starting.
func (decision Decision) Fresh() int { return decision.fresh }

// Blamed returns the number of attempts that are blamed.
func (decision Decision) Blamed() int { return len(decision.kinds) }

// Classify decides whether the end of an instance was a crash, and which attempts are blamed. Attempts that were starting
// are blamed alone. If there were none, the suspects are, or without suspects all attempts that have not survived.
func Classify(ending *Ending) Decision {
	decision := Decision{verdict: ending.verdict(), kinds: map[scheduler.RunID]scheduler.EndKind{}}
	suspected := false
	for position := range ending.Attempts {
		attempt := &ending.Attempts[position]
		if attempt.isStarting(ending.At) {
			decision.fresh++
		}
		suspected = suspected || attempt.Suspect && !attempt.hasSurvived(ending.At)
	}
	if decision.verdict != VerdictCrash {
		return decision
	}
	for position := range ending.Attempts {
		attempt := &ending.Attempts[position]
		switch {
		case decision.fresh > 0:
			if attempt.isStarting(ending.At) {
				decision.kinds[attempt.Run] = scheduler.EndCrashedStarting
			}
		case attempt.hasSurvived(ending.At), suspected && !attempt.Suspect:
		case attempt.Suspect, attempt.Sent && attempt.Accepted:
			decision.kinds[attempt.Run] = scheduler.EndCrashedRunning
		}
	}
	return decision
}

func (ending *Ending) verdict() Verdict {
	switch {
	case ending.Expected:
		return VerdictExpected
	case !ending.ConnectionClosed:
		return VerdictSilent
	case !ending.Replaced:
		return VerdictNoNextInstance
	}
	for _, domain := range ending.Domains {
		if domain.hasCommonCause(ending.At) {
			return VerdictCommonCause
		}
	}
	return VerdictCrash
}

// hasCommonCause reports whether a large part of the domain crashed at about the given time.
func (domain *FailureDomain) hasCommonCause(at time.Duration) bool {
	crashes := 0
	for _, other := range domain.Crashes {
		if (other - at).Abs() <= commonCauseWindow {
			crashes++
		}
	}
	return crashes >= commonCauseCrashes && 2*crashes >= domain.Workers
}

// isStarting reports whether the attempt was starting at the given time, or had started within StartWindow.
func (attempt *Attempt) isStarting(at time.Duration) bool {
	return attempt.Sent && (!attempt.Accepted || at-attempt.Since < StartWindow)
}

func (attempt *Attempt) hasSurvived(at time.Duration) bool {
	return attempt.Accepted && at-attempt.Since >= SurvivalTime
}
