// Package runner runs a group of goroutines and waits for all of them.
package runner

import (
	"runtime/debug"
	"sync"
)

// Runner runs goroutines until it is closed. The zero value is ready to use. It is safe for concurrent use. Unlike with a
// sync.WaitGroup, goroutines may be added while another goroutine waits in Close.
type Runner struct {
	mutex  sync.Mutex
	closed bool
	group  sync.WaitGroup
	// OnPanic is called with the value and the stack of a panic in a goroutine. If it is nil, a panic terminates the
	// process. It must be set before the first call of Go.
	OnPanic func(value any, stack []byte)
}

// Go runs a function in a new goroutine. It does nothing after Close was called.
func (runner *Runner) Go(run func()) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	if runner.closed {
		return
	}
	runner.group.Go(func() {
		if runner.OnPanic != nil {
			defer runner.recoverPanic()
		}
		run()
	})
}

func (runner *Runner) recoverPanic() {
	if value := recover(); value != nil {
		runner.OnPanic(value, debug.Stack())
	}
}

// Close prevents further goroutines and waits for the running ones.
func (runner *Runner) Close() { <-runner.BeginClose() }

// BeginClose prevents further goroutines and returns a channel that is closed when the running ones have ended.
func (runner *Runner) BeginClose() <-chan struct{} {
	runner.mutex.Lock()
	runner.closed = true
	runner.mutex.Unlock()
	ended := make(chan struct{})
	go func() {
		runner.group.Wait()
		close(ended)
	}()
	return ended
}
