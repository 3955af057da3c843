package suppressor

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against lines that fill a log, and against repetitions that nobody can count.
func TestAllow(t *testing.T) {
	const interval = 10 * time.Second
	type step struct {
		wait       time.Duration
		kind       string
		suppressed int
		allowed    bool
	}
	tests := map[string][]step{
		"the first line is allowed":    {{0, "full", 0, true}},
		"a repetition is suppressed":   {{0, "full", 0, true}, {interval - 1, "full", 0, false}},
		"kinds are independent":        {{0, "full", 0, true}, {0, "notRun", 0, true}},
		"the next line has the number": {{0, "full", 0, true}, {1, "full", 0, false}, {1, "full", 0, false}, {interval, "full", 2, true}},
		"the number starts again":      {{0, "full", 0, true}, {1, "full", 0, false}, {interval, "full", 1, true}, {interval, "full", 0, true}},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				suppressor := New(interval)
				for number, step := range steps {
					time.Sleep(step.wait)
					suppressed, allowed := suppressor.Allow(step.kind)
					if suppressed != step.suppressed || allowed != step.allowed {
						t.Errorf("step %d: got %d, %t, want %d, %t", number, suppressed, allowed, step.suppressed, step.allowed)
					}
				}
			})
		})
	}
}
