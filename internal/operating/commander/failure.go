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

// failure holds the fields of an API error that the command line prints.
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

// newFailure converts an error from the API or from the command line itself to a failure.
func newFailure(err error) failure {
	var usage usageError
	if errors.As(err, &usage) {
		return failure{Name: "invalid", Message: usage.Error()}
	}
	var noResponse *noResponseError
	if errors.As(err, &noResponse) {
		return noResponse.failure()
	}
	var named namedError
	if !errors.As(err, &named) {
		return failure{Name: "failure", Message: err.Error()}
	}
	// Each generated client has its own error type. All have the same fields, so a conversion through JSON
	// handles every one.
	described := failure{Name: named.GoaErrorName(), Message: named.Error()}
	if data, err := json.Marshal(named); err == nil {
		_ = json.Unmarshal(data, &described)
	}
	return described
}

// text formats the failure for the terminal.
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

// usageError reports an error in the command line or in a file that it names.
type usageError string

func (usageError usageError) Error() string { return string(usageError) }

func newUsageError(format string, arguments ...any) error {
	return usageError(fmt.Sprintf(format, arguments...))
}

// noResponseError reports that no server gave a final response.
type noResponseError struct {
	outcomeUnknown bool
	cause          error
}

func (noResponseError *noResponseError) Error() string { return noResponseError.cause.Error() }

func (noResponseError *noResponseError) Unwrap() error { return noResponseError.cause }

func (noResponseError *noResponseError) failure() failure {
	if noResponseError.outcomeUnknown {
		return failure{
			Name:    "unknown",
			Message: "the request may have run: " + noResponseError.cause.Error(),
			Next:    "run the same command again with the same ID",
		}
	}
	return failure{
		Name:    "notRun",
		Message: "no server could run the request: " + noResponseError.cause.Error(),
		Next:    "try again; check --server or the context file, and that an entry VM is ready",
	}
}
