package packer

import (
	"testing"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Guards against an explanation that differs from the decision: a worker that Pack would use is reported as excluded, or
// an operator is told the wrong reason.
func TestExamine(t *testing.T) {
	tests := map[string]struct {
		workers []*Worker
		step    scheduler.Step
		change  func(group *Group)
		want    Exclusion
	}{
		"free worker":     {workers(8), scheduler.Step{Count: 1, Request: cores(2)}, nil, NotExcluded},
		"capacity":        {workers(1), scheduler.Step{Count: 1, Request: cores(2)}, nil, ExcludedByCapacity},
		"label":           {workers(8), scheduler.Step{Count: 1, RequiredLabel: "gpu"}, nil, ExcludedByLabel},
		"slack":           {workers(1), scheduler.Step{Count: 1, Request: cores(4), Fill: true}, nil, ExcludedBySlack},
		"interference":    {withExcess(workers(8), 0.1), scheduler.Step{Count: 1, Request: cores(1), Fill: true}, nil, ExcludedByInterference},
		"tasks of a step": {workers(8), scheduler.Step{Count: 1, MaxPerWorker: 1}, func(group *Group) { group.AttemptsByWorker = map[scheduler.WorkerName]int{"w0": 1} }, ExcludedByTaskLimit},
		"approval":        {workers(8), scheduler.Step{Count: 1}, func(group *Group) { group.Approved = map[scheduler.WorkerName]bool{} }, ExcludedByApproval},
		"earlier failure": {workers(8), scheduler.Step{Count: 1}, func(group *Group) { group.Avoid = map[scheduler.WorkerName]bool{"w0": true} }, ExcludedByFailure},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			group := group(test.step)
			if test.change != nil {
				test.change(&group)
			}
			candidates := Examine(test.workers, &group)
			if got, want := candidates.Accepting() == 1, test.want == NotExcluded; got != want {
				t.Errorf("got accepted %t, want %t", got, want)
			}
			if got := candidates.Excluded()[test.want]; test.want != NotExcluded && got != 1 {
				t.Errorf("got reasons %v, want %q for one worker", candidates.Excluded(), test.want)
			}
			if got, want := len(Pack(test.workers, []Group{group})) == 1, test.want == NotExcluded; got != want {
				t.Errorf("got assigned %t, want %t as examined", got, want)
			}
		})
	}
}
