package server

import (
	"fmt"

	"github.com/crocusplank/crocusplank/internal/state/configurator"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// failure is an error of the API. Each generated service has its own error type with the same fields, to which
// a failure is converted.
type failure struct {
	Name     string
	Message  string
	Next     string
	Faults   []string
	Revision *uint64
}

func (failure *failure) Error() string { return failure.Message }

func invalid(next, format string, arguments ...any) *failure {
	return &failure{Name: "invalid", Message: fmt.Sprintf(format, arguments...), Next: next}
}

func notFound(format string, arguments ...any) *failure {
	return &failure{Name: "notFound", Message: fmt.Sprintf(format, arguments...), Next: "list the objects to find its name"}
}

func notRun(next, format string, arguments ...any) *failure {
	return &failure{Name: "notRun", Message: fmt.Sprintf(format, arguments...), Next: next}
}

// failureOf converts an error from the scheduler's components to a failure. If an error has neither of the two
// outcome classes, the request may have had an effect, so its outcome is reported as unknown.
func failureOf(err error) *failure {
	switch {
	case err == nil:
		return nil
	case scheduler.ErrOutcomeUnknown.Has(err):
		return &failure{Name: "unknown", Message: err.Error(), Next: "send the same request again; its ID makes that safe"}
	case scheduler.ErrNotRun.Has(err):
		return &failure{Name: "notRun", Message: err.Error(), Next: "try again with the same ID, or ask an entry VM of another data centre; an earlier attempt whose outcome was unknown may still take effect"}
	default:
		return &failure{Name: "unknown", Message: err.Error(), Next: "check the state before you try again"}
	}
}

// refusalOf converts the result of a rejected change to a failure. It returns nil if the change was accepted.
func refusalOf(result configurator.ChangeResult) *failure {
	revision := uint64(result.Revision)
	switch result.Outcome {
	case configurator.ChangeAccepted:
		return nil
	case configurator.ChangeConflict:
		return &failure{
			Name: "conflict", Message: "the change is not based on the current revision", Revision: &revision,
			Next: "show the current revision, repeat the change on it, and apply it under a new change ID",
		}
	default:
		refused := &failure{Name: "invalid", Message: "the change was refused: " + result.Reason, Next: "correct the document and apply it under a new change ID"}
		for _, fault := range result.Faults {
			refused.Faults = append(refused.Faults, fault.Path+": "+fault.Message)
		}
		return refused
	}
}
