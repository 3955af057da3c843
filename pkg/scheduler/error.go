package scheduler

import "github.com/zeebo/errs"

// Error classes that decide what a caller may do next. Every layer turns errors from below into its
// own class and keeps one of these in the chain where it knows the answer.
var (
	// ErrNotRun means that the operation surely had no effect and will have none.
	ErrNotRun = errs.Class("not run")
	// ErrOutcomeUnknown means that the operation may or may not have had an effect.
	ErrOutcomeUnknown = errs.Class("outcome unknown")
	// ErrJournalFailed means that a write or sync of durable state failed for good.
	ErrJournalFailed = errs.Class("journal failed")
)

// Outcome is what a caller can rely on about one request.
type Outcome string

// Values of Outcome.
const (
	// OutcomeDone means that the endpoint ran the request and its whole answer follows.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that no byte reached an endpoint, or that the endpoint refused before
	// it ran the request.
	OutcomeNotRun Outcome = "notRun"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
)
