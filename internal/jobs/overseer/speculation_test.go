package overseer

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const usualRunTime = time.Second

// speculativeStep returns a step whose tasks may have copies.
func speculativeStep(count int) scheduler.Step {
	return scheduler.Step{Count: count, Request: oneCore, Estimate: usualRunTime, Speculative: true}
}

// stragglerID is the first attempt of the first task of the first job.
var stragglerID = scheduler.RunID{Task: scheduler.StepTaskID{Job: "job0"}, Attempt: 1}

var copyID = scheduler.RunID{Task: stragglerID.Task, Attempt: 2}

// runStraggler makes the straggler run for a minute and all other attempts for their usual time.
func runStraggler(simulation *simulation) {
	simulation.setRunTime(func(run scheduler.RunID) time.Duration {
		if run == stragglerID {
			return time.Minute
		}
		return usualRunTime
	})
}

func (simulation *simulation) setRunTime(runTimeOf func(run scheduler.RunID) time.Duration) {
	simulation.fleet.mutex.Lock()
	defer simulation.fleet.mutex.Unlock()
	simulation.fleet.runTimeOf = runTimeOf
}

// workerOf returns the worker on which an attempt is running.
func (simulation *simulation) workerOf(run scheduler.RunID) scheduler.WorkerName {
	simulation.fleet.mutex.Lock()
	defer simulation.fleet.mutex.Unlock()
	for _, worker := range simulation.fleet.workers {
		if worker.runs[run] != nil {
			return worker.name
		}
	}
	simulation.t.Errorf("%v is running nowhere", run)
	return simulation.names[0]
}

// waitForCopy waits until the straggler has a copy.
func (simulation *simulation) waitForCopy() {
	for range 10_000 {
		time.Sleep(time.Millisecond)
		runs := 0
		simulation.domain.keeper.View(func(state *jobkeeper.State) {
			if job, found := state.Job("job0"); found && !job.State().Ended() {
				runs = len(job.Step(0, 0).Tasks()[0].Runs())
			}
		})
		if runs == 2 {
			return
		}
	}
	simulation.t.Error("the straggler got no copy within 10 s")
}

// Guards against a job that waits for its straggler, a result that counts twice or not at all, and attempts that run on
// after the job has ended.
func TestCopyOfStraggler(t *testing.T) {
	tests := map[string]struct {
		prepare func(simulation *simulation)
		// act is called as soon as the copy has been recorded.
		act func(simulation *simulation)
	}{
		"copy finishes first": {runStraggler, func(*simulation) {}},
		"leader change between copy and end": {runStraggler, func(simulation *simulation) {
			simulation.domain.elect(1)
		}},
		"start of the copy is answered late": {func(simulation *simulation) {
			runStraggler(simulation)
			simulation.fleet.mutex.Lock()
			defer simulation.fleet.mutex.Unlock()
			simulation.fleet.lateStart = copyID
		}, func(*simulation) {}},
		"both finish at once": {func(simulation *simulation) {
			end := time.Now().Add(6 * time.Second)
			simulation.setRunTime(func(run scheduler.RunID) time.Duration {
				if run.Task == stragglerID.Task {
					return time.Until(end)
				}
				return usualRunTime
			})
		}, func(*simulation) {}},
		"original fails": {runStraggler, func(simulation *simulation) {
			simulation.fleet.mutex.Lock()
			defer simulation.fleet.mutex.Unlock()
			for _, worker := range simulation.fleet.workers {
				if worker.runs[stragglerID] != nil {
					worker.end(stragglerID, scheduler.EndFailed, "")
				}
			}
		}},
		"worker of the original is lost": {runStraggler, func(simulation *simulation) {
			simulation.restart(simulation.workerOf(stragglerID))
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulation := newSimulation(t, 1)
				stop := simulation.start()
				time.Sleep(2 * time.Second)
				test.prepare(simulation)
				simulation.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{
					speculativeStep(4), {Count: 1, Request: oneCore, DependsOn: []int{0}},
				}})
				simulation.waitForCopy()
				test.act(simulation)
				time.Sleep(20 * time.Second)
				simulation.checkSettled()
				stop()
				time.Sleep(20 * time.Second)
			})
		})
	}
}

// checkSettled checks that all jobs have ended, that no attempt is left, and that no invariant was violated.
func (simulation *simulation) checkSettled() {
	simulation.t.Helper()
	if got := simulation.openJobs(); got != 0 {
		simulation.t.Errorf("got %d jobs that have not ended, want 0", got)
	}
	simulation.domain.keeper.View(func(state *jobkeeper.State) {
		if got := state.Workers(); len(got) != 0 {
			simulation.t.Errorf("got attempts on %v, want none", got)
		}
	})
	simulation.fleet.mutex.Lock()
	defer simulation.fleet.mutex.Unlock()
	for _, violation := range simulation.fleet.violations {
		simulation.t.Error(violation)
	}
}

// Guards against copies where the step, the load of the pool or its kind of tasks forbid them.
func TestNoCopy(t *testing.T) {
	tests := map[string]struct {
		step    scheduler.Step
		further int
	}{
		"not speculative":  {scheduler.Step{Count: 4, Request: oneCore, Estimate: usualRunTime}, 0},
		"gang":             {scheduler.Step{Count: 4, Request: oneCore, Estimate: usualRunTime, Speculative: true, Gang: true}, 0},
		"no free capacity": {speculativeStep(4), 60},
		"no other worker has the label": {scheduler.Step{
			Count: 1, Request: oneCore, Estimate: usualRunTime, Speculative: true, RequiredLabel: "a", MaxPerWorker: 1,
			PreferredRack: "r2-1",
		}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulation := newSimulation(t, 1)
				stop := simulation.start()
				time.Sleep(2 * time.Second)
				simulation.setRunTime(func(scheduler.RunID) time.Duration { return 20 * time.Second })
				simulation.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{test.step}})
				if test.further > 0 {
					time.Sleep(time.Second) // The tasks that may have copies are placed first.
					simulation.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{{Count: test.further, Request: oneCore}}})
				}
				time.Sleep(45 * time.Second)
				simulation.fleet.mutex.Lock()
				starts := simulation.fleet.starts
				simulation.fleet.mutex.Unlock()
				if got, want := starts, test.step.Count+test.further; got != want {
					t.Errorf("got %d starts, want %d", got, want)
				}
				simulation.checkSettled()
				stop()
				time.Sleep(20 * time.Second)
			})
		})
	}
}

// Guards against tasks on silent workers that wait for the lease although they may have a copy, and against copies of
// those that may not.
func TestSilentWorkers(t *testing.T) {
	for name, speculative := range map[string]bool{"speculative": true, "other": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulation := newSimulation(t, 1)
				stop := simulation.start()
				time.Sleep(2 * time.Second)
				simulation.setRunTime(func(scheduler.RunID) time.Duration { return 4 * time.Second })
				step := speculativeStep(3)
				step.MaxPerWorker, step.Estimate, step.Speculative = 1, 4*time.Second, speculative
				simulation.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{step}})
				time.Sleep(500 * time.Millisecond)
				simulation.setPartitioned(simulation.workerOf(stragglerID), true)
				// The task would be placed again when the lease has expired, and then run for 4 s.
				time.Sleep(fakeLease + 2*time.Second)
				if got, want := simulation.openJobs() == 0, speculative; got != want {
					t.Errorf("got job ended = %v before the task could have run again, want %v", got, want)
				}
				time.Sleep(20 * time.Second)
				stop()
				time.Sleep(20 * time.Second)
			})
		})
	}
}

// Guards against a new leader that takes workers of which it has not heard yet for silent and starts copies of all their
// tasks.
func TestNoCopyAfterLeaderChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		simulation := newSimulation(t, 1)
		stop := simulation.start()
		time.Sleep(5 * time.Second)
		simulation.setRunTime(func(scheduler.RunID) time.Duration { return 4 * time.Second })
		step := speculativeStep(3)
		step.MaxPerWorker, step.Estimate = 1, 4*time.Second
		simulation.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{step}})
		time.Sleep(200 * time.Millisecond)
		busy := make([]scheduler.WorkerName, step.Count)
		for index := range busy {
			task := scheduler.StepTaskID{Job: stragglerID.Task.Job, Index: index}
			busy[index] = simulation.workerOf(scheduler.RunID{Task: task, Attempt: 1})
			simulation.setPartitioned(busy[index], true)
		}
		simulation.domain.elect(1)
		time.Sleep(1500 * time.Millisecond)
		for _, name := range busy {
			simulation.setPartitioned(name, false)
		}
		time.Sleep(10 * time.Second)
		simulation.fleet.mutex.Lock()
		starts := simulation.fleet.starts
		simulation.fleet.mutex.Unlock()
		if got, want := starts, step.Count; got != want {
			t.Errorf("got %d starts, want %d", got, want)
		}
		simulation.checkSettled()
		stop()
		time.Sleep(20 * time.Second)
	})
}

// Guards against the same faults as TestRandomFailures while stragglers have copies: in addition, against more than two
// attempts of a task at once.
func TestRandomFailuresWithCopies(t *testing.T) {
	copies := 0
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulation := newSimulation(t, uint64(seed))
				simulation.fleet.lateRate, simulation.fleet.failureRate = 0.05, 0.05
				simulation.speculative = true
				simulation.run()
				time.Sleep(20 * time.Second)
				for _, violation := range simulation.fleet.violations {
					t.Error(violation)
				}
				if got := simulation.openJobs(); got != 0 {
					t.Errorf("got %d jobs that have not ended, want 0", got)
				}
				copies += simulation.fleet.copies
			})
		})
	}
	if copies == 0 {
		t.Error("no task had a copy")
	}
}

// Guards against copies chosen in the same decision that together exceed the maximum number of attempts per worker.
func TestCopiesKeepMaxPerWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		simulation := newSimulation(t, 1)
		stop := simulation.start()
		time.Sleep(2 * time.Second)
		simulation.setRunTime(func(run scheduler.RunID) time.Duration {
			if run.Attempt == 1 && run.Task.Index < 2 {
				return time.Minute
			}
			return usualRunTime
		})
		step := speculativeStep(4)
		step.MaxPerWorker = 1
		simulation.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{step}})
		most := 0
		for range 8000 {
			time.Sleep(time.Millisecond)
			simulation.domain.keeper.View(func(state *jobkeeper.State) {
				if job, found := state.Job("job0"); found && !job.State().Ended() {
					for _, attempts := range attemptsByWorker(job.Step(0, 0)) {
						most = max(most, attempts)
					}
				}
			})
		}
		if got, want := most, step.MaxPerWorker; got != want {
			t.Errorf("got %d attempts on one worker, want at most %d", got, want)
		}
		simulation.fleet.mutex.Lock()
		copies := simulation.fleet.copies
		simulation.fleet.mutex.Unlock()
		if copies == 0 {
			t.Error("no task had a copy")
		}
		time.Sleep(20 * time.Second)
		simulation.checkSettled()
		stop()
		time.Sleep(20 * time.Second)
	})
}

// Guards against stragglers that get no copy because a task waits that can run on no worker, and against copies that take
// the capacity of a waiting task, also after the removal of the straggler's queue.
func TestWaitingTaskAndCopies(t *testing.T) {
	// Each worker runs one task of the long-running step, so that the last one waits for a worker.
	limited := scheduler.Step{Count: simulationWorkers + 1, Request: oneCore, LongRunning: true, MaxPerWorker: 1}
	tests := map[string]struct {
		step    scheduler.Step
		removed bool
		want    bool
	}{
		"no worker has the label":                {scheduler.Step{Count: 1, Request: oneCore, RequiredLabel: "missing"}, false, true},
		"workers could run it":                   {limited, false, false},
		"workers could run it, queue is removed": {limited, true, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulation := newSimulation(t, 1)
				stop := simulation.start()
				time.Sleep(2 * time.Second)
				other := scheduler.Queue{Name: "other", PathPrefix: "/o/", Pool: "pool", Timeout: time.Second}
				queue := scheduler.Queue{Name: "queue", PathPrefix: "/q/", Pool: "pool", Timeout: time.Second}
				simulation.configureQueues(2, other, queue)
				runStraggler(simulation)
				simulation.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{speculativeStep(4)}})
				time.Sleep(100 * time.Millisecond)
				simulation.submitTo("other", test.step)
				if test.removed {
					simulation.configureQueues(3, other)
				}
				time.Sleep(30 * time.Second)
				simulation.fleet.mutex.Lock()
				got := simulation.fleet.copies > 0
				simulation.fleet.mutex.Unlock()
				if got != test.want {
					t.Errorf("got a copy = %v, want %v", got, test.want)
				}
				stop()
				time.Sleep(20 * time.Second)
			})
		})
	}
}

// configureQueues replaces the queues of the simulation's pool.
func (simulation *simulation) configureQueues(version uint64, queues ...scheduler.Queue) {
	simulation.t.Helper()
	simulation.apply(jobkeeper.Command{Configure: &scheduler.QueueConfiguration{
		Version: version, Pools: []scheduler.Pool{{Name: "pool"}}, Queues: queues,
	}})
}

// submitTo submits a job with one step to a queue.
func (simulation *simulation) submitTo(queue scheduler.QueueName, step scheduler.Step) {
	simulation.t.Helper()
	id, workflow := scheduler.JobID("other0"), scheduler.Workflow{Steps: []scheduler.Step{step}}
	simulation.fleet.mutex.Lock()
	simulation.fleet.workflows[id] = &workflow
	simulation.fleet.mutex.Unlock()
	simulation.apply(jobkeeper.Command{Submit: &jobkeeper.Submit{
		Job: id, Queue: queue, Accepted: time.Now(), Workflow: workflow,
	}})
}
