package packer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// jobGroup returns a group of a job in a queue of priority 1.
func jobGroup(job scheduler.JobID, step scheduler.Step, runTime time.Duration) Group {
	group := Group{Step: &step, RunTime: runTime, Priority: 1}
	for index := range max(step.Count, 1) {
		group.Tasks = append(group.Tasks, scheduler.StepTaskID{Job: job, Index: index})
	}
	return group
}

// Guards against small tasks that delay the task for which a worker is held, and against held capacity that tasks could
// use without delaying it but do not.
func TestHold(t *testing.T) {
	urgent := jobGroup("s", scheduler.Step{Request: cores(4)}, 0)
	urgent.Priority = 0
	tests := map[string]struct {
		groups []Group
		want   int
	}{
		"task for which the worker is held":             {[]Group{jobGroup("large", scheduler.Step{Request: cores(4)}, 0)}, 1},
		"task that ends before":                         {[]Group{jobGroup("s", scheduler.Step{Request: cores(4)}, time.Second)}, 1},
		"task that ends later":                          {[]Group{jobGroup("s", scheduler.Step{Request: cores(4)}, 3*time.Second)}, 0},
		"task of unknown run time":                      {[]Group{jobGroup("s", scheduler.Step{Request: cores(4)}, 0)}, 0},
		"longer task in spare capacity":                 {[]Group{jobGroup("s", scheduler.Step{Request: cores(1)}, 0)}, 1},
		"more longer tasks than spare capacity":         {[]Group{jobGroup("s", scheduler.Step{Request: cores(1)}, 0), jobGroup("t", scheduler.Step{Request: cores(1)}, 0)}, 1},
		"shorter task behind one that must not run":     {[]Group{jobGroup("s", scheduler.Step{Request: cores(2)}, time.Minute), jobGroup("t", scheduler.Step{Request: cores(2)}, time.Second)}, 1},
		"long-running task":                             {[]Group{jobGroup("s", scheduler.Step{Request: cores(2), LongRunning: true}, time.Second)}, 0},
		"fill task that needs no spare capacity":        {[]Group{jobGroup("s", scheduler.Step{Request: scheduler.Resources{MilliCores: 4000}, Fill: true}, 0)}, 1},
		"task of a queue with a higher priority":        {[]Group{urgent}, 1},
		"any task after the held one":                   {[]Group{jobGroup("large", scheduler.Step{Request: cores(2)}, 0), jobGroup("s", scheduler.Step{Request: cores(2)}, 0)}, 2},
		"nothing in place of a gang that does not fit":  {[]Group{jobGroup("large", scheduler.Step{Count: 2, Request: cores(4), Gang: true}, 0), jobGroup("s", scheduler.Step{Request: cores(4)}, 0)}, 0},
		"spare capacity after a gang that does not fit": {[]Group{jobGroup("g", scheduler.Step{Count: 2, Request: cores(1), Gang: true}, 0), jobGroup("s", scheduler.Step{Request: cores(1)}, 0)}, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			list := workers(4)
			list[0].Hold = NewHold(StepOf(scheduler.StepTaskID{Job: "large"}), 1, 1, 2*time.Second, cores(1))
			if got := len(Pack(list, test.groups)); got != test.want {
				t.Errorf("got %d assignments, want %d", got, test.want)
			}
		})
	}
}

// Guards against decisions that change although no worker is held.
func TestNothingChangesWithoutHolds(t *testing.T) {
	for seed := range uint64(200) {
		decide := func(withRunTimes bool) string {
			random := rand.New(rand.NewPCG(seed, 0))
			list := workers(random.Int64N(9), random.Int64N(9), random.Int64N(9), random.Int64N(9))
			var groups []Group
			for position := range 30 {
				job := group(scheduler.Step{Count: 1 + random.IntN(4), Request: cores(1 + random.Int64N(6)), Gang: random.IntN(4) == 0})
				job.Tasks[0].Job = scheduler.JobID(fmt.Sprint(position))
				if withRunTimes {
					job.RunTime, job.Priority = time.Duration(random.Int64N(9))*time.Second, random.IntN(3)
				} else {
					random.Int64N(9)
					random.IntN(3)
				}
				groups = append(groups, job)
			}
			return fmt.Sprint(Pack(list, groups))
		}
		if got, want := decide(true), decide(false); got != want {
			t.Fatalf("seed %d: got %s, want %s", seed, got, want)
		}
	}
}
