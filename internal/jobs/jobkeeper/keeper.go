// Package jobkeeper holds the replicated state of a scheduling domain: the configuration of its queues,
// and the jobs with their steps and attempts. A Keeper is a scheduler.StateMachine.
package jobkeeper

import (
	"sync"

	"github.com/zeebo/errs"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("jobkeeper")

var _ scheduler.StateMachine = (*Keeper)(nil)

// Keeper is the state of a domain on one VM. It is safe for concurrent use: Apply and Restore change the
// state, and everything that View passes on may be read until View returns.
type Keeper struct {
	mutex sync.RWMutex
	state *State
	// changed is closed and replaced after each change.
	changed chan struct{}
}

// New returns a Keeper without configuration and jobs.
func New() *Keeper {
	return &Keeper{state: newState(), changed: make(chan struct{})}
}

// View calls read with the state. read must not change it, keep parts of it or call the Keeper.
func (keeper *Keeper) View(read func(state *State)) {
	keeper.mutex.RLock()
	defer keeper.mutex.RUnlock()
	read(keeper.state)
}

// Changed returns a channel that is closed after the next change.
func (keeper *Keeper) Changed() <-chan struct{} {
	keeper.mutex.RLock()
	defer keeper.mutex.RUnlock()
	return keeper.changed
}

// Apply executes a command. See scheduler.StateMachine.
func (keeper *Keeper) Apply(_ scheduler.Index, data []byte) []byte {
	result := Result{Status: StatusInvalid}
	var command Command
	if err := encoder.Unmarshal(data, &command); err == nil {
		result = keeper.apply(&command)
	}
	encoded, err := encoder.Marshal(result)
	if err != nil {
		return nil // A Result can always be encoded; DecodeResult reports the empty one.
	}
	return encoded
}

func (keeper *Keeper) apply(command *Command) Result {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	defer keeper.notify()
	return keeper.state.apply(command)
}

func (keeper *Keeper) notify() {
	close(keeper.changed)
	keeper.changed = make(chan struct{})
}
