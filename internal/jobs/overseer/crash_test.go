package overseer

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Guards against crashes that count for no task because the leader changes before the worker is back, or the worker is back
// only after its lease has expired.
func TestBlameOutlivesLeaderAndLease(t *testing.T) {
	const maxCrashes = 2
	back := func(simulation *simulation, crashed *fakeWorker, renamed bool) {
		name, incarnation := crashed.name, simulation.nextIncarnation(simulation.names[0])
		if renamed {
			name = scheduler.WorkerName(fmt.Sprintf("later-%d", incarnation))
		}
		simulation.fleet.addAt(crashed.address, name, incarnation)
	}
	tests := map[string]func(simulation *simulation, crashed *fakeWorker){
		"back under a new name": func(simulation *simulation, crashed *fakeWorker) {
			time.Sleep(crashRestartTime)
			back(simulation, crashed, true)
		},
		"back under its name": func(simulation *simulation, crashed *fakeWorker) {
			time.Sleep(crashRestartTime)
			back(simulation, crashed, false)
		},
		"leader changes before that": func(simulation *simulation, crashed *fakeWorker) {
			time.Sleep(time.Second)
			simulation.electFromSnapshot(1)
			time.Sleep(crashRestartTime)
			back(simulation, crashed, true)
		},
		"back after its lease": func(simulation *simulation, crashed *fakeWorker) {
			time.Sleep(2 * fakeLease)
			back(simulation, crashed, true)
		},
	}
	for name, restart := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulation := newSimulation(t, 1)
				simulation.addDeadlyTasks(1, 0)
				deadly := &deadlyTask{delay: 10 * time.Millisecond}
				simulation.fleet.deadly.tasks[scheduler.StepTaskID{Job: "job0"}] = deadly
				simulation.fleet.deadly.restart = func(crashed *fakeWorker) { restart(simulation, crashed) }
				stop := simulation.start()
				time.Sleep(3 * time.Second)
				simulation.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{{Count: 1, Request: oneCore}}})
				time.Sleep(time.Minute)
				simulation.fleet.mutex.Lock()
				if got := deadly.crashes; got != maxCrashes {
					t.Errorf("got %d crashes, want %d: %v", got, maxCrashes, simulation.fleet.history)
				}
				simulation.fleet.mutex.Unlock()
				simulation.domain.keeper.View(func(state *jobkeeper.State) {
					job, _ := state.Job("job0")
					if got := job.State(); got != scheduler.WorkflowFailed || !job.GivenUp() {
						t.Errorf("got state %s, given up %v, want %s", got, job.GivenUp(), scheduler.WorkflowFailed)
					}
				})
				stop()
				time.Sleep(20 * time.Second)
			})
		})
	}
}

// Guards against blame for an instance that goes on after its connections were reset, and is lost in silence later.
func TestResetConnectionsLeaveNoMark(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		simulation := newSimulation(t, 1)
		stop := simulation.start()
		time.Sleep(3 * time.Second)
		simulation.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{{Count: 6, Request: oneCore, LongRunning: true}}})
		time.Sleep(300 * time.Millisecond)
		setClosed := func(closed bool) {
			simulation.fleet.mutex.Lock()
			defer simulation.fleet.mutex.Unlock()
			for _, worker := range simulation.fleet.workers {
				worker.closed = closed
			}
		}
		marked := func() (count int) {
			simulation.domain.keeper.View(func(state *jobkeeper.State) {
				for _, worker := range state.Workers() {
					state.VisitRuns(worker, func(run *jobkeeper.Run) {
						if run.Mark() != "" {
							count++
						}
					})
				}
			})
			return count
		}
		setClosed(true)
		time.Sleep(4 * time.Second)
		if got := marked(); got == 0 {
			t.Error("got no marked attempts while connections are refused, want some")
		}
		setClosed(false)
		time.Sleep(4 * time.Second)
		if got := marked(); got != 0 {
			t.Errorf("got %d marked attempts after the workers have responded, want none", got)
		}
		stop()
		time.Sleep(20 * time.Second)
	})
}
