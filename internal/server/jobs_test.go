package server

import (
	"slices"
	"testing"
)

// Guards against a refusal whose reasons run together in one line, or lose a class of workers.
func TestRefusedJob(t *testing.T) {
	tests := map[string]struct {
		reason      string
		wantMessage string
		wantFaults  []string
	}{
		"one reason for each class": {
			"tasks[0] can run nowhere: 3 workers with 4 cores: too small; 2 workers with 8 cores: lacks the label zone=a",
			"job j was refused: tasks[0] can run nowhere",
			[]string{"3 workers with 4 cores: too small", "2 workers with 8 cores: lacks the label zone=a"},
		},
		"another reason": {"the ID was used before", "job j was refused: the ID was used before", nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := refusedJob("j", test.reason)
			if got.Name != "invalid" || got.Message != test.wantMessage || !slices.Equal(got.Faults, test.wantFaults) {
				t.Errorf("got %+v, want %q with %q", got, test.wantMessage, test.wantFaults)
			}
		})
	}
}
