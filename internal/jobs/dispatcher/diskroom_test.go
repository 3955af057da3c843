package dispatcher

import (
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/internal/state/budgeter"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Guards against new jobs that take the room which is reserved for the end of work, against a refusal that is not true,
// and against a refusal of what lets work end.
func TestNewJobsAreRefusedBelowTheReserve(t *testing.T) {
	runWithoutFaults(t, func(t *testing.T, simulation *simulation) {
		spec := scheduler.TaskSpec{Class: scheduler.ClassBatch, RunTime: 20 * time.Second, Request: simulation.capacity}
		simulation.mustSubmit(t, "old", false, 1, spec)
		engine := simulation.cluster.leaderEngine()
		used := int64(97_000_000)
		engine.budget, engine.usedBytes = budgeter.New(128_000_000, 1), func() int64 { return used }
		submission := Submission{Job: "new", Team: "patterns", Tasks: []TaskGroup{{Count: 1, Spec: spec}}}
		if result, err := engine.Submit(t.Context(), submission); !scheduler.ErrNotRun.Has(err) {
			t.Errorf("new job: got %+v, %v, want an error of class %q", result, err, scheduler.ErrNotRun)
		}
		if _, found := engine.machine.Job("new"); found {
			t.Error("got the refused job, want none")
		}
		simulation.mustSubmit(t, "old", false, 1, spec)
		time.Sleep(time.Minute)
		if got := simulation.report("old").State; got != JobFinished {
			t.Errorf("job that was accepted before: got %s, want %s", got, JobFinished)
		}
		if _, err := engine.Cancel(t.Context(), Cancellation{Jobs: []scheduler.JobID{"old"}}); err != nil {
			t.Errorf("cancellation: got error %v, want none", err)
		}
		used = 50_000_000
		simulation.mustSubmit(t, "new", false, 1, spec)
	})
}
