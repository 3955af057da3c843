// Package runner runs goroutines that end together.
package runner

import (
	"runtime/debug"
	"sync"
)

// Runner runs goroutines until it is closed. The zero value is ready to use. It is safe for concurrent use; other than
// with a sync.WaitGroup, goroutines may be added while another one waits for the end.
type Runner struct {
	mutex  sync.Mutex
	closed bool
	group  sync.WaitGroup
	// OnPanic is called when a goroutine has panicked, with the cause and the stack. Without it the panic goes on and
	// ends the process. It is set before the first call of Go.
	OnPanic func(cause any, stack []byte)
}

// Go runs a function in a goroutine. It does nothing once the Runner is closed.
func (runner *Runner) Go(run func()) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	if runner.closed {
		return
	}
	runner.group.Go(func() {
		if runner.OnPanic != nil {
			defer runner.report()
		}
		run()
	})
}

func (runner *Runner) report() {
	if cause := recover(); cause != nil {
		runner.OnPanic(cause, debug.Stack())
	}
}

// Close starts no further goroutine and waits for those that run.
func (runner *Runner) Close() {
	runner.mutex.Lock()
	runner.closed = true
	runner.mutex.Unlock()
	runner.group.Wait()
}
