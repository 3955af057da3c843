package overseer

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// pendingBound is how old the number of pending jobs may be.
const pendingBound = 2 * time.Second

// pending returns the number of pending jobs, as callers see it.
func (simulation *simulation) pending() (count int) {
	simulation.domain.keeper.View(func(state *jobkeeper.State) { count = state.Queued(&state.Configuration().Queues[0]) })
	return count
}

// unstarted returns the jobs in one of the given states of which no task has ever started on a worker. The states are read first,
// so that a job that starts meanwhile is left out.
func (simulation *simulation) unstarted(states ...scheduler.WorkflowState) (unstarted []scheduler.JobID) {
	simulation.domain.keeper.View(func(state *jobkeeper.State) {
		for number := range simulation.jobs {
			id := scheduler.JobID(fmt.Sprintf("job%d", number))
			if job, found := state.Job(id); found && slices.Contains(states, job.State()) {
				unstarted = append(unstarted, id)
			}
		}
	})
	simulation.fleet.mutex.Lock()
	defer simulation.fleet.mutex.Unlock()
	started := map[scheduler.JobID]bool{}
	for task := range simulation.fleet.history {
		started[task.Job] = true
	}
	return slices.DeleteFunc(unstarted, func(id scheduler.JobID) bool { return started[id] })
}

func (simulation *simulation) partitionAll(partitioned bool) {
	for _, name := range simulation.names {
		simulation.setPartitioned(name, partitioned)
	}
}

func (simulation *simulation) submitTasks(jobs int, step scheduler.Step) {
	step.Request = oneCore
	for range jobs {
		simulation.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{step}})
	}
}

// Guards against a number of pending jobs that leaves out those whose start orders are refused or unanswered, or go to workers
// that no longer exist (review/9 and review/12), and against one that keeps jobs that have begun.
func TestPendingJobs(t *testing.T) {
	single := scheduler.Step{Count: 1}
	tests := map[string]struct {
		// act submits jobs and then brings about what happens to their start orders.
		act  func(simulation *simulation)
		want int
		// healed is true if all workers answer again before the number is read.
		healed bool
	}{
		"accepted": {act: func(simulation *simulation) { simulation.submitTasks(5, single) }},
		"unanswered by workers that are cut off": {act: func(simulation *simulation) {
			simulation.partitionAll(true)
			simulation.submitTasks(5, single)
		}, want: 5},
		"unanswered, and the workers are back": {act: func(simulation *simulation) {
			simulation.partitionAll(true)
			simulation.submitTasks(5, single)
			time.Sleep(4 * time.Second)
			simulation.partitionAll(false)
		}, healed: true},
		"sent to workers that are lost for good": {act: func(simulation *simulation) {
			for _, name := range simulation.names {
				simulation.fleet.kill(name)
			}
			simulation.submitTasks(5, single)
		}, want: 5},
		"refused": {act: func(simulation *simulation) {
			for _, name := range simulation.names {
				simulation.setUnhealthy(name, true)
			}
			simulation.submitTasks(5, single)
		}, want: 5},
		"carried out although the answer was lost": {act: func(simulation *simulation) {
			simulation.fleet.lateStart = scheduler.RunID{Task: scheduler.StepTaskID{Job: "job0"}, Attempt: 1}
			simulation.submitTasks(1, single)
			time.Sleep(15 * time.Second)
		}},
		"one member of a gang is missing": {act: func(simulation *simulation) {
			for _, name := range simulation.names[1:] {
				simulation.setPartitioned(name, true)
			}
			simulation.submitGang()
		}, want: 1},
		"all members of a gang are present": {act: func(simulation *simulation) { simulation.submitGang() }},
		"not due": {act: func(simulation *simulation) {
			simulation.submitWorkflow(&scheduler.Workflow{
				Steps: []scheduler.Step{single}, Repeat: &scheduler.Repeat{First: time.Now().Add(time.Hour), Times: 2},
			})
		}, want: 1},
		"cancelled before the beginning": {act: func(simulation *simulation) {
			simulation.partitionAll(true)
			simulation.submitTasks(5, single)
			time.Sleep(time.Second)
			simulation.cancel("job0")
		}, want: 4},
		"unanswered, and the leader changes": {act: func(simulation *simulation) {
			simulation.partitionAll(true)
			simulation.submitTasks(5, single)
			time.Sleep(time.Second)
			simulation.domain.elect(1)
		}, want: 5},
		"accepted just before the leader changes": {act: func(simulation *simulation) {
			simulation.submitTasks(5, single)
			time.Sleep(100 * time.Millisecond)
			simulation.domain.elect(1)
		}},
		"accepted, then lost": {act: func(simulation *simulation) {
			simulation.submitTasks(5, single)
			time.Sleep(time.Second)
			for _, name := range simulation.names {
				simulation.fleet.kill(name)
			}
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulation := newSimulation(t, 1)
				simulation.fleet.runTime = time.Hour
				stop := simulation.start()
				time.Sleep(2 * time.Second)
				test.act(simulation)
				time.Sleep(pendingBound)
				if test.healed {
					time.Sleep(2 * time.Second) // The retry delay of orders.
				}
				if got := simulation.pending(); got != test.want {
					t.Errorf("got %d pending jobs, want %d", got, test.want)
				}
				stop()
				time.Sleep(20 * time.Second)
			})
		})
	}
}

// Guards against jobs that stay pending although they run, or are left out although they do not, after a leader of an earlier
// build, which records no beginnings.
func TestPendingJobsAfterLeaderOfEarlierBuild(t *testing.T) {
	tests := map[string]struct {
		partitioned bool
		want        int
	}{"running": {false, 0}, "unanswered": {true, 5}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulation := newSimulation(t, 1)
				simulation.fleet.runTime, simulation.domain.earlierBuild = time.Hour, 0
				stop := simulation.start()
				time.Sleep(2 * time.Second)
				simulation.partitionAll(test.partitioned)
				simulation.submitTasks(5, scheduler.Step{Count: 1})
				time.Sleep(time.Second)
				if got := simulation.pending(); got != 5 {
					t.Fatalf("got %d pending jobs that the earlier build has placed, want 5", got)
				}
				simulation.domain.elect(1)
				time.Sleep(pendingBound)
				if got := simulation.pending(); got != test.want {
					t.Errorf("got %d pending jobs under the new leader, want %d", got, test.want)
				}
				stop()
				time.Sleep(20 * time.Second)
			})
		})
	}
}

// submitGang submits a gang of two tasks that fit on no worker together.
func (simulation *simulation) submitGang() {
	request := scheduler.Resources{MilliCores: 5000, MemoryBytes: 1 << 20}
	simulation.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{{Count: 2, Gang: true, Request: request}}})
}

// Guards against pending jobs that are not counted in any order of failures, leaders and late orders, and against jobs that
// run and stay pending.
func TestRandomBeginnings(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulation := newSimulation(t, uint64(seed))
				simulation.gangs, simulation.speculative = seed%3 == 1, seed%3 == 2
				simulation.fleet.lateRate, simulation.fleet.failureRate = 0.1, 0.05
				stop := simulation.start()
				for range 40 {
					simulation.submit()
					simulation.pause(500 * time.Millisecond)
					simulation.checkPending()
					if simulation.random.IntN(3) == 0 {
						simulation.injectFailure()
						simulation.checkPending()
					}
				}
				simulation.domain.elect(0)
				simulation.settle()
				if got, want := simulation.pending(), len(simulation.unstarted(scheduler.WorkflowQueued)); got != want {
					t.Errorf("got %d pending jobs at the end, want %d", got, want)
				}
				stop()
				time.Sleep(20 * time.Second)
			})
		})
	}
}

// checkPending checks that every job that has not begun is pending.
func (simulation *simulation) checkPending() {
	simulation.t.Helper()
	if got := simulation.unstarted(scheduler.WorkflowActive); len(got) > 0 {
		simulation.t.Errorf("got active jobs %v of which no task has started, want them queued", got)
	}
}
