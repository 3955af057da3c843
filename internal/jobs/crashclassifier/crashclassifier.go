// Package crashclassifier decides whether the end of a worker instance was a crash, and which of its attempts are blamed
// for it. It is pure: it performs no I/O and reads no clock.
package crashclassifier

import (
	"maps"
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// StartWindow is how long after its start an attempt may be the cause of a crash at its start. Within immediateWindow it
	// is the likely cause, since most faults show as soon as the attempt runs.
	StartWindow     = time.Second
	immediateWindow = 100 * time.Millisecond
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
	// VerdictRackLost means that a large part of a rack ended at the same time, VerdictCommonCause that a large part of a pool
	// did.
	VerdictRackLost    Verdict = "rackLost"
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
	// Rack and Pool are the failure domains of the worker.
	Rack, Pool FailureDomain
	// Rate is how often a worker of the pool crashes in a second for other reasons than its tasks.
	Rate     float64
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
	// Sent is true if the worker may have received the start order from this leader. Adopted is true if an earlier leader
	// may have started the attempt, at an unknown time. If neither is, the attempt has not started.
	Sent    bool
	Adopted bool
	// Accepted is true if the worker is known to have run the attempt, since at or before Since.
	Accepted bool
	Since    time.Duration
	// Suspect is true if the task is suspected because of earlier crashes, and Evidence that of these crashes.
	Suspect  bool
	Evidence Evidence
	// CrashedAfter is the age at which an earlier attempt of the task was lost in a crash, 0 if none is known.
	CrashedAfter time.Duration
	// Marked is how an earlier leader, which saw the connection being closed, would have blamed the attempt. It is empty if
	// there is none.
	Marked scheduler.EndKind
}

// Decision is the result of Classify.
type Decision struct {
	verdict  Verdict
	kinds    map[scheduler.RunID]scheduler.EndKind
	evidence map[scheduler.RunID]Evidence
	rate     float64
	starting int
	suspects int
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

// Rate returns the rate of crashes by chance with which the evidence was weighed.
func (decision Decision) Rate() float64 { return decision.rate }

// Evidence returns the evidence of the crash against each attempt that is blamed for it. Attempts that an earlier leader has marked
// are left out: their evidence is recorded with the mark.
func (decision Decision) Evidence() map[scheduler.RunID]Evidence { return decision.evidence }

// Blamed returns the attempts that are blamed, in no particular order.
func (decision Decision) Blamed() []scheduler.RunID { return slices.Collect(maps.Keys(decision.kinds)) }

// Starting returns the number of attempts that were starting.
func (decision Decision) Starting() int { return decision.starting }

// Suspects returns the number of attempts of suspects that had not survived.
func (decision Decision) Suspects() int { return decision.suspects }

// Classify decides whether the end of an instance was a crash, which of its attempts are blamed, and what the crash says against
// each of them, see Evidence. All attempts that have not survived are blamed, because a task may crash its worker at any age.
//
// The kinds of their ends are what earlier builds count: attempts that were accepted within immediateWindow, or without those
// within StartWindow, are likely causes, unless many workers crashed at once. An attempt whose start was not answered is no likely
// cause: it may never have reached the worker.
func Classify(ending *Ending) Decision {
	decision := Decision{verdict: ending.verdict(), rate: ending.Rate, kinds: map[scheduler.RunID]scheduler.EndKind{}}
	decision.count(ending)
	window := StartWindow
	if len(ending.startedWithin(immediateWindow)) > 0 {
		window = immediateWindow
	}
	for position := range ending.Attempts {
		attempt := &ending.Attempts[position]
		switch {
		case attempt.isMarkedByEarlierLeader() && !ending.Expected:
			decision.kinds[attempt.Run] = attempt.Marked
		case !decision.isCrash():
		case attempt.startedWithin(window, ending.At) && decision.verdict == VerdictCrash:
			decision.kinds[attempt.Run] = scheduler.EndCrashedStarting
		case !attempt.hasSurvived(ending.At) && attempt.mayHaveStarted():
			decision.kinds[attempt.Run] = scheduler.EndCrashedRunning
		}
	}
	decision.weigh(ending)
	return decision
}

// isMarkedByEarlierLeader reports whether an earlier leader has recorded how the attempt is blamed.
func (attempt *Attempt) isMarkedByEarlierLeader() bool {
	return attempt.Marked != "" && attempt.Adopted
}

func (attempt *Attempt) mayHaveStarted() bool { return attempt.Sent || attempt.Adopted }

// isCrash reports whether processes crashed, be it for a common cause.
func (decision Decision) isCrash() bool {
	return decision.verdict == VerdictCrash || decision.verdict == VerdictRackLost || decision.verdict == VerdictCommonCause
}

// count counts the attempts that were starting and those of suspects.
func (decision *Decision) count(ending *Ending) {
	decision.starting = len(ending.startedWithin(StartWindow))
	for position := range ending.Attempts {
		if attempt := &ending.Attempts[position]; attempt.Suspect && !attempt.hasSurvived(ending.At) {
			decision.suspects++
		}
	}
}

// startedWithin returns the attempts that the worker had accepted within a window before its end.
func (ending *Ending) startedWithin(window time.Duration) []*Attempt {
	var attempts []*Attempt
	for position := range ending.Attempts {
		if attempt := &ending.Attempts[position]; attempt.startedWithin(window, ending.At) {
			attempts = append(attempts, attempt)
		}
	}
	return attempts
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
	switch {
	case ending.Rack.hasCommonCause(ending.At):
		return VerdictRackLost
	case ending.Pool.hasCommonCause(ending.At):
		return VerdictCommonCause
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

// startedWithin reports whether the worker had accepted the attempt within a window before the given time.
func (attempt *Attempt) startedWithin(window, at time.Duration) bool {
	return attempt.Sent && attempt.Accepted && at-attempt.Since < window
}

func (attempt *Attempt) hasSurvived(at time.Duration) bool {
	return attempt.Accepted && at-attempt.Since >= SurvivalTime
}
