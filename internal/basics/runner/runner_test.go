package runner

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a process that ends because a goroutine is added while another one waits for all of them.
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
			t.Errorf("got %d goroutines, want %d: none after the end and some before", got, before)
		}
	})
}

// Guards against one fault that ends the process.
func TestPanic(t *testing.T) {
	var causes []any
	runner := Runner{OnPanic: func(cause any, stack []byte) {
		if len(stack) == 0 {
			t.Error("got no stack")
		}
		causes = append(causes, cause)
	}}
	runner.Go(func() { panic("fault") })
	runner.Close()
	if len(causes) != 1 || causes[0] != "fault" {
		t.Errorf("got causes %v, want the one fault", causes)
	}
}
