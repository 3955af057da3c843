package runner

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a process that terminates because a goroutine is added while another one waits for all of them, which
// makes sync.WaitGroup panic.
func TestGoWhileClosing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var runner Runner
		var ran atomic.Int32
		runner.Go(func() { time.Sleep(time.Second) })
		go func() {
			for range 20 {
				runner.Go(func() { ran.Add(1) })
				time.Sleep(100 * time.Millisecond)
			}
		}()
		time.Sleep(500 * time.Millisecond)
		runner.Close()
		before := ran.Load()
		time.Sleep(2 * time.Second)
		if got := ran.Load(); got != before || before == 0 {
			t.Errorf("got %d goroutines, want %d: none after Close and some before it", got, before)
		}
	})
}

// Guards against a panic in one goroutine that terminates the process.
func TestPanic(t *testing.T) {
	var values []any
	runner := Runner{OnPanic: func(value any, stack []byte) {
		if len(stack) == 0 {
			t.Error("got no stack")
		}
		values = append(values, value)
	}}
	runner.Go(func() { panic("fault") })
	runner.Close()
	if len(values) != 1 || values[0] != "fault" {
		t.Errorf("got values %v, want the value of the one panic", values)
	}
}
