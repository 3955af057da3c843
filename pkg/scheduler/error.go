package scheduler

import "github.com/zeebo/errs"

// Error classes that tell a caller whether it may retry an operation. Every layer wraps the errors of lower layers
// in its own class and keeps one of these classes in the chain when the effect of the operation is known.
var (
	// ErrNotRun means that the operation definitely had no effect and will not have one later.
	ErrNotRun = errs.Class("not run")
	// ErrOutcomeUnknown means that the operation may or may not have had an effect, or may still have one.
	ErrOutcomeUnknown = errs.Class("outcome unknown")
	// ErrConnectionClosed means that the process at the other end closed, reset or refused the connection before it
	// responded, in contrast to one that is silent.
	ErrConnectionClosed = errs.Class("connection closed")
	// ErrJournalFailed means that a write or sync of durable state failed permanently.
	ErrJournalFailed = errs.Class("journal failed")
)

// Outcome is the guarantee that a caller gets about the execution of one request.
type Outcome string

// Values of Outcome.
const (
	// OutcomeDone means that the endpoint executed the request and that its complete response follows.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that no byte of the request reached an endpoint, or that the endpoint rejected the
	// request before executing it.
	OutcomeNotRun Outcome = "notRun"
	// OutcomeUnknown means that the request may or may not have been executed.
	OutcomeUnknown Outcome = "unknown"
)
