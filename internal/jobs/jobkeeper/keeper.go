// Package jobkeeper implements the replicated state machine of a scheduling domain. Its state consists of the queue
// configuration, the jobs with their steps and attempts, the maintenance waves and the evacuated data centres.
package jobkeeper

import (
	"sync"

	"github.com/zeebo/errs"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("jobkeeper")

var (
	_ scheduler.StateMachine = (*Keeper)(nil)
	_ scheduler.TermObserver = (*Keeper)(nil)
)

// Keeper is the replica of a domain's state on one VM. It implements scheduler.StateMachine and is safe for concurrent
// use. Apply and Restore change the state. Everything that is reachable through View may be read until View returns.
type Keeper struct {
	mutex sync.RWMutex
	state *State
	// changed is closed and replaced after each change of the state.
	changed chan struct{}
}

// New returns a Keeper without a configuration and without jobs.
func New() *Keeper {
	return &Keeper{state: newState(), changed: make(chan struct{})}
}

// View calls read with the state. read must neither change the state, nor keep references to it, nor call the Keeper.
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

// Apply implements scheduler.StateMachine.
func (keeper *Keeper) Apply(_ scheduler.Index, data []byte) []byte {
	result := Result{Status: StatusInvalid}
	var command Command
	if err := encoder.Unmarshal(data, &command); err == nil {
		result = keeper.apply(&command)
	}
	encoded, err := encoder.Marshal(result)
	if err != nil {
		return nil // This cannot happen for a Result. DecodeResult returns an error for the empty one.
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
