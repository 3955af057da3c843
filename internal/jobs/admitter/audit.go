package admitter

import (
	"slices"
	"time"
)

const (
	// minMargin and maxMargin limit the factor by which a job must miss its useful time to be refused.
	minMargin = 2
	maxMargin = 4
	// marginIncrease and marginDecrease are the factors by which the margin changes after a refusal that turned out
	// wrong or right. With these factors the margin rises as long as more than about a tenth of the refusals are wrong.
	marginIncrease = 1.1
	marginDecrease = 0.99
	// maxChecks limits the number of refusals that are checked at a time.
	maxChecks = 1024
)

// Audit compares refusals with what the queue did afterwards.
type Audit struct {
	right  int
	wrong  int
	margin float64
}

// Right returns the number of checked refusals of jobs that could not have started in time.
func (audit Audit) Right() int { return audit.right }

// Wrong returns the number of checked refusals of jobs for which capacity became free in time. It is an upper bound on
// the error, because each refusal is checked as if it had been the only one.
func (audit Audit) Wrong() int { return audit.wrong }

// Margin returns the factor by which a job must miss its useful time to be refused.
func (audit Audit) Margin() float64 { return audit.margin }

// check is a refusal whose outcome is not known yet.
type check struct {
	kind    CapacityKind
	rank    rank
	initial int64
	// latestStart is the latest time at which the job could have started and finished while its result was of use.
	latestStart time.Duration
}

// audit keeps the refusals that are still to be checked and the results of earlier checks.
type audit struct {
	pending []check
	result  Audit
}

func newAudit() audit { return audit{result: Audit{margin: minMargin}} }

func (audit *audit) summary() Audit { return audit.result }

// refusalLimit returns the predicted end from which on a job with the given useful time is refused.
func (audit *audit) refusalLimit(useful time.Duration) time.Duration {
	return time.Duration(audit.result.margin * float64(useful))
}

func (audit *audit) add(now time.Duration, demand *demand, forecast Forecast) {
	if len(audit.pending) >= maxChecks {
		return
	}
	audit.pending = append(audit.pending, check{
		kind: forecast.kind, rank: demand.rank, initial: demand.parts[forecast.kind].initial,
		latestStart: now + demand.useful - forecast.service,
	})
}

// dropUnobserved drops the refusals whose outcome came due while the state of the pool was unknown.
func (audit *audit) dropUnobserved(now time.Duration) {
	audit.pending = slices.DeleteFunc(audit.pending, func(check check) bool { return now > check.latestStart })
}

// check checks the pending refusals. startsNow reports whether a job could start now.
func (audit *audit) check(now time.Duration, startsNow func(kind CapacityKind, rank rank, initial int64) bool) {
	remaining := audit.pending[:0]
	for _, check := range audit.pending {
		switch {
		case now > check.latestStart:
			audit.result.right++
			audit.result.margin = max(minMargin, audit.result.margin*marginDecrease)
		case startsNow(check.kind, check.rank, check.initial):
			audit.result.wrong++
			audit.result.margin = min(maxMargin, audit.result.margin*marginIncrease)
		default:
			remaining = append(remaining, check)
		}
	}
	audit.pending = remaining
}
