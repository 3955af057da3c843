package overseer

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Guards against a start beside a suspect that has just begun, of an attempt that the leader finds in the log only after it
// has placed the suspect, because the response to its placement was lost.
func TestAdoptedAttemptStartsApartFromSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		simulation := newSimulation(t, 1)
		simulation.addDeadlyTasks(1, 0)
		simulation.fleet.deadly.isSuspect = simulation.isSuspect
		simulation.fleet.runTimeOf = func(run scheduler.RunID) time.Duration {
			return 2*time.Second + time.Duration(run.Task.Index)*200*time.Millisecond
		}
		simulation.names = simulation.names[:1]
		stop := simulation.start()
		time.Sleep(2 * time.Second)
		// The ends of these tasks keep the worker reporting.
		simulation.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{{Count: 6, Request: oneCore}}})
		time.Sleep(1400 * time.Millisecond)
		suspect, other := scheduler.StepTaskID{Job: "job1"}, scheduler.StepTaskID{Job: "job2"}
		for range 2 {
			simulation.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{{Count: 1, Request: oneCore}}})
		}
		place := func(task scheduler.StepTaskID) {
			simulation.apply(jobkeeper.Command{Place: []jobkeeper.Placement{{
				Task: task, Worker: simulation.names[0], Instance: simulation.incarnations[simulation.names[0]],
			}}})
		}
		place(suspect)
		simulation.apply(jobkeeper.Command{End: []jobkeeper.End{{
			Run: scheduler.RunID{Task: suspect, Attempt: 1}, Kind: scheduler.EndCrashedStarting,
		}}})
		place(other)
		time.Sleep(4 * time.Second)
		simulation.fleet.mutex.Lock()
		for _, violation := range simulation.fleet.violations {
			t.Error(violation)
		}
		for _, task := range []scheduler.StepTaskID{suspect, other} {
			if got := strings.Join(simulation.fleet.history[task], ", "); !strings.Contains(got, "began") {
				t.Errorf("%v: got history %q, want a start", task, got)
			}
		}
		simulation.fleet.mutex.Unlock()
		stop()
		time.Sleep(20 * time.Second)
	})
}
