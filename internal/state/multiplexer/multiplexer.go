// Package multiplexer lets several state machines share the log of one group.
package multiplexer

import (
	"encoding/binary"
	"slices"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
	"github.com/zeebo/errs"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("multiplexer")

// maxNameLength bounds the name of a machine in commands and snapshots, so that a damaged length
// cannot make Restore allocate without limit.
const maxNameLength = 64

// First byte of a result.
const (
	resultApplied byte = 0
	resultRefused byte = 1
)

// Multiplexer is a state machine that passes each command to the machine that the command names.
// Like every state machine it is called from one goroutine at a time.
type Multiplexer struct {
	names    []string
	machines map[string]scheduler.StateMachine
}

var _ scheduler.StateMachine = (*Multiplexer)(nil)

// Option configures a Multiplexer.
type Option func(*Multiplexer) error

// WithMachine adds a state machine under name, which commands and snapshots carry. The name must
// therefore stay the same over versions of the program.
func WithMachine(name string, machine scheduler.StateMachine) Option {
	return func(multiplexer *Multiplexer) error {
		if name == "" || len(name) > maxNameLength {
			return Error.New("machine name %q must have 1 to %d bytes", name, maxNameLength)
		}
		if machine == nil {
			return Error.New("machine %q is nil", name)
		}
		if _, ok := multiplexer.machines[name]; ok {
			return Error.New("machine %q is registered twice", name)
		}
		multiplexer.machines[name] = machine
		multiplexer.names = append(multiplexer.names, name)
		return nil
	}
}

// New returns a Multiplexer. It returns an error when a name is invalid or used twice.
func New(options ...Option) (*Multiplexer, error) {
	multiplexer := &Multiplexer{machines: map[string]scheduler.StateMachine{}}
	for _, option := range options {
		if err := option(multiplexer); err != nil {
			return nil, err
		}
	}
	slices.Sort(multiplexer.names)
	return multiplexer, nil
}

// Apply passes the command to the machine that it names. A command with an unknown name or a damaged
// envelope is refused in the result, because every replica must get past the entry.
func (multiplexer *Multiplexer) Apply(index scheduler.Index, command []byte) []byte {
	name, body, err := unwrapCommand(command)
	if err != nil {
		return refusal(err.Error())
	}
	machine, ok := multiplexer.machines[name]
	if !ok {
		return refusal("unknown state machine " + name)
	}
	return append([]byte{resultApplied}, machine.Apply(index, body)...)
}

// WrapCommand returns the command for the machine called name as Apply expects it.
func WrapCommand(name string, body []byte) []byte {
	command := make([]byte, 0, binary.MaxVarintLen64+len(name)+len(body))
	command = binary.AppendUvarint(command, uint64(len(name)))
	command = append(command, name...)
	return append(command, body...)
}

func unwrapCommand(command []byte) (name string, body []byte, err error) {
	length, n := binary.Uvarint(command)
	if n <= 0 || length > maxNameLength || uint64(len(command)-n) < length {
		return "", nil, Error.New("damaged command envelope")
	}
	rest := command[n:]
	return string(rest[:length]), rest[length:], nil
}

// UnwrapResult returns the result of the named machine. When the command reached no machine it
// returns an error of class scheduler.ErrNotRun.
func UnwrapResult(result []byte) ([]byte, error) {
	switch {
	case len(result) == 0:
		return nil, Error.New("empty result")
	case result[0] == resultApplied:
		return result[1:], nil
	default:
		return nil, Error.Wrap(scheduler.ErrNotRun.New("%s", result[1:]))
	}
}

func refusal(reason string) []byte {
	return append([]byte{resultRefused}, reason...)
}
