package overseer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/internal/jobs/speculator"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Guards against a copy that never ran and lowers the number of copies that its queue may have.
func TestCopyEndsThatLowerAllowance(t *testing.T) {
	tests := map[string]struct {
		kind scheduler.EndKind
		want bool
	}{
		"refused": {scheduler.EndRefused, false},
		"stopped": {scheduler.EndStopped, false},
		"failed":  {scheduler.EndFailed, true},
		"lost":    {scheduler.EndLost, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulation := newSimulation(t, 1)
				stop := simulation.start()
				time.Sleep(2 * time.Second)
				runStraggler(simulation)
				simulation.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{speculativeStep(4)}})
				simulation.waitForCopy()
				time.Sleep(100 * time.Millisecond)
				leadership, load := simulation.leading(), speculator.QueueLoad{Running: 100}
				leadership.mutex.Lock()
				before := leadership.speculation.speculator.Allowance("queue", load)
				leadership.recordCopyEnd(jobkeeper.End{Run: copyID, Kind: test.kind}, nil)
				after := leadership.speculation.speculator.Allowance("queue", load)
				leadership.mutex.Unlock()
				if got := after < before; got != test.want {
					t.Errorf("got %d copies allowed before and %d after, want fewer = %v", before, after, test.want)
				}
				time.Sleep(20 * time.Second)
				stop()
				time.Sleep(20 * time.Second)
			})
		})
	}
}

// Guards against entries of ended tasks that remain for the whole term.
func TestEndedCopiesAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		simulation := newSimulation(t, 1)
		stop := simulation.start()
		time.Sleep(2 * time.Second)
		leadership := simulation.leading()
		leadership.mutex.Lock()
		leadership.speculation.copies[stragglerID.Task] = newCopiedTask(copyID.Attempt, nil)
		leadership.mutex.Unlock()
		time.Sleep(4 * speculationInterval)
		leadership.mutex.Lock()
		got := len(leadership.speculation.copies)
		leadership.mutex.Unlock()
		if got != 0 {
			t.Errorf("got %d tasks with copies, want none", got)
		}
		stop()
		time.Sleep(20 * time.Second)
	})
}

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
