package overseer

import (
	"testing"
	"time"
)

// Guards against a slow planning cycle that delays the next one so long that it has even more tasks to place.
func TestPlanPause(t *testing.T) {
	tests := map[string]struct{ took, want time.Duration }{
		"short cycle": {time.Millisecond, planBatchDelay},
		"cycle":       {50 * time.Millisecond, 100 * time.Millisecond},
		"long cycle":  {time.Second, maxPlanPause},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := planPause(test.took); got != test.want {
				t.Errorf("got a pause of %v, want %v", got, test.want)
			}
		})
	}
}
