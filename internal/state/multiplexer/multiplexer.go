// Package multiplexer runs several state machines on the log of one group.
package multiplexer

import (
	"encoding/binary"
	"slices"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
	"github.com/zeebo/errs"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("multiplexer")

// maxNameLength bounds the name of a state machine in commands and snapshots, so that a corrupt length
// cannot cause an unbounded allocation in Restore.
const maxNameLength = 64

// Status codes in the first byte of a result.
const (
	resultApplied byte = 0
	resultRefused byte = 1
)

// Multiplexer is a state machine that dispatches each command to the state machine that the command
// names. It must be called from one goroutine at a time, as any state machine.
type Multiplexer struct {
	names    []string
	machines map[string]scheduler.StateMachine
}

var _ scheduler.StateMachine = (*Multiplexer)(nil)

// Option configures a Multiplexer.
type Option func(*Multiplexer) error

// WithMachine registers a state machine under name. The name is part of commands and snapshots, so it
// must not change between versions of the program.
func WithMachine(name string, machine scheduler.StateMachine) Option {
	return func(multiplexer *Multiplexer) error {
		if name == "" || len(name) > maxNameLength {
			return Error.New("name %q of a state machine must have 1 to %d bytes", name, maxNameLength)
		}
		if machine == nil {
			return Error.New("state machine %q is nil", name)
		}
		if _, ok := multiplexer.machines[name]; ok {
			return Error.New("state machine %q is registered twice", name)
		}
		multiplexer.machines[name] = machine
		multiplexer.names = append(multiplexer.names, name)
		return nil
	}
}

// New returns a Multiplexer. It returns an error if a state machine is nil, or if a name is invalid or
// already registered.
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

// Apply dispatches the command to the state machine that it names. A command with an unknown name or a
// malformed envelope yields a result with status resultRefused, because the entry is committed and every
// replica must be able to continue after it.
func (multiplexer *Multiplexer) Apply(index scheduler.Index, command []byte) []byte {
	name, body, err := unwrapCommand(command)
	if err != nil {
		return refusedResult(err.Error())
	}
	machine, ok := multiplexer.machines[name]
	if !ok {
		return refusedResult("unknown state machine " + name)
	}
	return append([]byte{resultApplied}, machine.Apply(index, body)...)
}

// WrapCommand adds the envelope that Apply expects: the length and the name of the state machine.
func WrapCommand(name string, body []byte) []byte {
	command := make([]byte, 0, binary.MaxVarintLen64+len(name)+len(body))
	command = binary.AppendUvarint(command, uint64(len(name)))
	command = append(command, name...)
	return append(command, body...)
}

func unwrapCommand(command []byte) (name string, body []byte, err error) {
	length, size := binary.Uvarint(command)
	if size <= 0 || length > maxNameLength || uint64(len(command)-size) < length {
		return "", nil, Error.New("damaged command envelope")
	}
	rest := command[size:]
	return string(rest[:length]), rest[length:], nil
}

// UnwrapResult returns the state machine's part of a result of Apply. If the command was refused before
// it reached a state machine, the error has class scheduler.ErrNotRun.
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

func refusedResult(reason string) []byte {
	return append([]byte{resultRefused}, reason...)
}
