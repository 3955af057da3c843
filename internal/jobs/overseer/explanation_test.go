package overseer

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/internal/jobs/packer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Guards against an explanation that differs from what the leader then decides, and against one that changes something.
func TestExplainPlacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		simulation := newSimulation(t, 1)
		stop := simulation.start()
		time.Sleep(3 * time.Second)
		leader := simulation.overseers[0]
		queue := &simulation.configuration().Queues[0]
		workflow := &scheduler.Workflow{Steps: []scheduler.Step{
			{Count: 3, Request: oneCore, Estimate: time.Second},
			{Count: 1, Request: oneCore, Estimate: time.Second, DependsOn: []int{0}},
		}}
		before := simulation.snapshot()
		explanation, err := leader.ExplainPlacement(queue, workflow)
		if err != nil {
			t.Fatal(err)
		}
		if got := simulation.snapshot(); got != before {
			t.Error("got a changed state after the explanation, want the same state")
		}
		if got, want := explanation.Steps[0].Placed, 3; got != want || !explanation.Admitted {
			t.Errorf("got %d tasks placed, admitted %t, want %d and true", got, explanation.Admitted, want)
		}
		if got, want := len(explanation.Steps[1].WaitsFor), 1; got != want {
			t.Errorf("got %d steps to wait for, want %d", got, want)
		}
		simulation.submitWorkflow(workflow)
		time.Sleep(300 * time.Millisecond)
		simulation.checkPlacement(explanation)
		stop()
		time.Sleep(20 * time.Second)
	})
}

// Guards against an explanation that leaves out why no worker accepts a task.
func TestExplainPlacementReasons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		simulation := newSimulation(t, 1)
		stop := simulation.start()
		time.Sleep(3 * time.Second)
		explanation, err := simulation.overseers[0].ExplainPlacement(&simulation.configuration().Queues[0],
			&scheduler.Workflow{Steps: []scheduler.Step{
				{Count: 1, Request: scheduler.Resources{MilliCores: 1 << 40}},
				{Count: 1, Request: oneCore, RequiredLabel: "absent"},
			}})
		if err != nil {
			t.Fatal(err)
		}
		for step, want := range []packer.Exclusion{packer.ExcludedByCapacity, packer.ExcludedByLabel} {
			got, want := explanation.Steps[step].Excluded, WorkerCount{Reason: string(want), Workers: len(simulation.names)}
			if !slices.Equal(got, []WorkerCount{want}) {
				t.Errorf("step %d: got %v, want %v only", step, got, want)
			}
		}
		if _, err := simulation.overseers[1].ExplainPlacement(&scheduler.Queue{}, &scheduler.Workflow{}); !scheduler.ErrNotRun.Has(err) {
			t.Errorf("got error %v from a VM that does not lead, want class ErrNotRun", err)
		}
		stop()
		time.Sleep(20 * time.Second)
	})
}

func (simulation *simulation) snapshot() string {
	var buffer strings.Builder
	if err := simulation.domain.keeper.Snapshot(&buffer); err != nil {
		simulation.t.Error(err)
	}
	return buffer.String()
}

func (simulation *simulation) configuration() (configuration *scheduler.QueueConfiguration) {
	simulation.domain.keeper.View(func(state *jobkeeper.State) { configuration = state.Configuration() })
	return configuration
}

// checkPlacement compares the workers of the job that was submitted last with an explanation.
func (simulation *simulation) checkPlacement(explanation PlacementExplanation) {
	simulation.t.Helper()
	simulation.domain.keeper.View(func(state *jobkeeper.State) {
		job, _ := state.Job("job0")
		got := map[scheduler.WorkerName]bool{}
		for _, worker := range state.Workers() {
			state.VisitRuns(worker, func(run *jobkeeper.Run) {
				if run.Task().Step().Job() == job {
					got[worker] = true
				}
			})
		}
		if len(got) != len(explanation.Steps[0].Workers) {
			simulation.t.Errorf("got workers %v, want %v as explained", got, explanation.Steps[0].Workers)
		}
		for _, worker := range explanation.Steps[0].Workers {
			if !got[worker] {
				simulation.t.Errorf("got workers %v, want %s among them as explained", got, worker)
			}
		}
	})
}
