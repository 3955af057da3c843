package commander

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// Exit codes of the command line.
const (
	exitOK           = 0
	exitFailure      = 1
	exitInvalid      = 2
	exitNotFound     = 3
	exitConflict     = 4
	exitNotRun       = 5
	exitUnknown      = 6
	exitUnauthorized = 7
)

const exitCodeHelp = `Exit codes:
  0  done
  1  any failure not listed here
  2  the command line, file or document has faults
  3  no such object
  4  conflict with the current state
  5  refused and surely not run
  6  outcome unknown; run the same command again, it resends the same ID
  7  token missing, wrong or without the right`

// failure is what an API error says, in the form that the command line prints.
type failure struct {
	Name     string
	Message  string
	Next     string
	Faults   []string
	Revision *uint64
}

// namedError is implemented by every typed error of the generated API clients.
type namedError interface {
	error
	GoaErrorName() string
}

// describe turns an error from the API or from the command line itself into a failure.
func describe(err error) failure {
	var known usageError
	if errors.As(err, &known) {
		return failure{Name: "invalid", Message: known.Error()}
	}
	var unanswered *noAnswerError
	if errors.As(err, &unanswered) {
		return unanswered.failure()
	}
	var named namedError
	if !errors.As(err, &named) {
		return failure{Name: "failure", Message: err.Error()}
	}
	// The generated clients have one error type per service with the same fields, so JSON reads
	// them all.
	described := failure{Name: named.GoaErrorName(), Message: named.Error()}
	if data, err := json.Marshal(named); err == nil {
		_ = json.Unmarshal(data, &described)
	}
	return described
}

// text returns the lines for the terminal.
func (failure failure) text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "error: %s\n", failure.Message)
	for _, fault := range failure.Faults {
		fmt.Fprintf(&text, "  %s\n", fault)
	}
	if failure.Revision != nil {
		fmt.Fprintf(&text, "current revision: %d\n", *failure.Revision)
	}
	if failure.Next != "" {
		fmt.Fprintf(&text, "next: %s\n", failure.Next)
	}
	return text.String()
}

func (failure failure) exitCode() int {
	codes := map[string]int{
		"invalid":      exitInvalid,
		"notFound":     exitNotFound,
		"conflict":     exitConflict,
		"notRun":       exitNotRun,
		"unknown":      exitUnknown,
		"unauthorized": exitUnauthorized,
		"forbidden":    exitUnauthorized,
	}
	if code, listed := codes[failure.Name]; listed {
		return code
	}
	return exitFailure
}

// usageError is a fault of the command line or of a file that it names.
type usageError string

func (usageError usageError) Error() string { return string(usageError) }

func newUsageError(format string, arguments ...any) error {
	return usageError(fmt.Sprintf(format, arguments...))
}

// noAnswerError means that no server gave an answer.
type noAnswerError struct {
	sent  bool
	cause error
}

func (noAnswerError *noAnswerError) Error() string { return noAnswerError.cause.Error() }

func (noAnswerError *noAnswerError) Unwrap() error { return noAnswerError.cause }

func (noAnswerError *noAnswerError) failure() failure {
	if noAnswerError.sent {
		return failure{
			Name:    "unknown",
			Message: "the request may have run: " + noAnswerError.cause.Error(),
			Next:    "run the same command again with the same ID",
		}
	}
	return failure{
		Name:    "notRun",
		Message: "no server could run the request: " + noAnswerError.cause.Error(),
		Next:    "try again; check --server or the context file, and that an entry VM is ready",
	}
}
