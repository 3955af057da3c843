package overseer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Guards against tasks whose copies find no worker and use up each decision, so that others get no copy.
func TestUnplacedCopiesLeaveRoomForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		simulation := newSimulation(t, 1)
		stop := simulation.start()
		time.Sleep(2 * time.Second)
		simulation.setRunTime(func(run scheduler.RunID) time.Duration {
			if run.Attempt == 1 && (run.Task.Job == "job0" || run.Task.Index == 0) {
				return time.Minute
			}
			return usualRunTime
		})
		remote := speculativeStep(maxCopiesPerDecision + 4)
		remote.PreferredRack = "missing" // Copies run only in the preferred rack.
		simulation.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{remote}})
		time.Sleep(2 * time.Second)
		simulation.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{speculativeStep(4)}})
		time.Sleep(20 * time.Second)
		if got, want := simulation.openJobs(), 1; got != want {
			t.Errorf("got %d open jobs after 20 s, want %d because the other straggler had a copy", got, want)
		}
		time.Sleep(time.Minute)
		simulation.checkSettled()
		stop()
		time.Sleep(20 * time.Second)
	})
}
