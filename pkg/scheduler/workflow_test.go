package scheduler

import (
	"math"
	"testing"
	"time"
)

// Guards against a single job that exhausts the memory of every VM that holds state, or whose resource sums
// overflow.
func TestWorkflowBounds(t *testing.T) {
	step := Step{Count: 3, Request: Resources{MilliCores: 500, MemoryBytes: 1 << 30}}
	many := make([]Step, maxSteps+1)
	for position := range many {
		many[position] = step
	}
	tests := map[string]struct {
		workflow Workflow
		valid    bool
	}{
		"ordinary": {Workflow{Steps: []Step{step, {Count: 1, DependsOn: []int{0}}}}, true},
		"repeated": {Workflow{
			Steps: []Step{step}, Repeat: &Repeat{First: time.Unix(1, 5), Interval: time.Second, Times: 9},
		}, true},
		"widest step":             {Workflow{Steps: []Step{{Count: maxTasks}}}, true},
		"no step":                 {Workflow{}, false},
		"too many steps":          {Workflow{Steps: many}, false},
		"a step that is too wide": {Workflow{Steps: []Step{{Count: maxTasks + 1}}}, false},
		"a count that overflows":  {Workflow{Steps: []Step{{Count: math.MaxInt}, {Count: math.MaxInt}}}, false},
		"too many tasks in all":   {Workflow{Steps: []Step{{Count: maxTasks}, step}}, false},
		"processors overflow":     {Workflow{Steps: []Step{{Count: 1, Request: Resources{MilliCores: math.MaxInt64}}}}, false},
		"memory overflows":        {Workflow{Steps: []Step{{Count: 1, Request: Resources{MemoryBytes: math.MaxInt64}}}}, false},
		"a later step first":      {Workflow{Steps: []Step{{Count: 1, DependsOn: []int{0}}}}, false},
		"repeated never":          {Workflow{Steps: []Step{step}, Repeat: &Repeat{Times: 0}}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if err := test.workflow.Validate(); (err == nil) != test.valid {
				t.Errorf("got error %v, want valid: %v", err, test.valid)
			}
		})
	}
}
