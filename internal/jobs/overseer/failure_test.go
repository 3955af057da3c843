package overseer

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Guards against tasks of a permanently lost worker that wait forever, because each unanswered renewal was assumed to
// extend the worker's lease.
func TestTasksOfGoneWorkerStartElsewhere(t *testing.T) {
	tests := map[string]struct{ newLeader bool }{
		"same leader":   {},
		"leader change": {newLeader: true}, // The new leader never receives a heartbeat from the worker.
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { testLostWorker(t, test.newLeader) })
	}
}

func testLostWorker(t *testing.T, newLeader bool) {
	synctest.Test(t, func(t *testing.T) {
		simulation := newSimulation(t, 1)
		stop := simulation.start()
		for range 10 {
			simulation.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{{
				Count: 2, Request: oneCore, LongRunning: true,
			}}})
		}
		time.Sleep(3 * time.Second)
		simulation.fleet.kill(simulation.names[0])
		if newLeader {
			simulation.domain.elect(1)
		}
		time.Sleep(fakeLease + 3*time.Second)
		waiting, onLost := 0, 0
		simulation.domain.keeper.View(func(state *jobkeeper.State) {
			waiting = state.ReadyCount()
			state.VisitRuns(simulation.names[0], func(*jobkeeper.Run) { onLost++ })
		})
		if waiting != 0 || onLost != 0 {
			t.Errorf("got %d waiting tasks and %d runs on the lost worker, want none", waiting, onLost)
		}
		stop()
		time.Sleep(20 * time.Second)
	})
}

// Guards against tasks that start over although their progress was saved, after their worker has crashed or is
// partitioned.
func TestLostTasksResume(t *testing.T) {
	tests := map[string]func(simulation *simulation, worker scheduler.WorkerName){
		"worker crash": func(simulation *simulation, worker scheduler.WorkerName) { simulation.restart(worker) },
		"network partition": func(simulation *simulation, worker scheduler.WorkerName) {
			simulation.setPartitioned(worker, true)
		},
	}
	for name, injectFault := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulation := newSimulation(t, 1)
				simulation.fleet.runTime = time.Hour
				stop := simulation.start()
				for range 10 {
					simulation.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{{
						Count: 4, Request: oneCore, Checkpointing: true,
					}}})
				}
				time.Sleep(5 * time.Second)
				lost := 0
				simulation.domain.keeper.View(func(state *jobkeeper.State) {
					state.VisitRuns(simulation.names[0], func(*jobkeeper.Run) { lost++ })
				})
				injectFault(simulation, simulation.names[0])
				time.Sleep(fakeLease + 5*time.Second)
				simulation.fleet.mutex.Lock()
				if got := simulation.fleet.resumed; got < lost || lost == 0 {
					t.Errorf("got %d resumed tasks, want at least the %d of the lost worker", got, lost)
				}
				simulation.fleet.mutex.Unlock()
				stop()
				time.Sleep(20 * time.Second)
			})
		})
	}
}

// Guards against a worker that was partitioned for longer than its lease and never gets work again, because the
// leader repeats a renewal whose lease has expired, and against the loss of that worker's results.
func TestWorkerReturnsAfterItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		simulation := newSimulation(t, 1)
		simulation.fleet.runTime = 2 * time.Second
		stop := simulation.start()
		for range 8 {
			simulation.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{{Count: 6, Request: oneCore}}})
		}
		time.Sleep(100 * time.Millisecond)
		simulation.setPartitioned(simulation.names[0], true)
		time.Sleep(fakeLease + 5*time.Second)
		simulation.setPartitioned(simulation.names[0], false)
		time.Sleep(4 * time.Second)
		simulation.fleet.mutex.Lock()
		if got := len(simulation.fleet.workers[addressOf(simulation.names[0])].ends); got != 0 {
			t.Errorf("got %d unacknowledged ends, want none", got)
		}
		simulation.fleet.mutex.Unlock()
		for range 9 {
			simulation.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{{
				Count: 6, Request: oneCore, LongRunning: true,
			}}})
		}
		time.Sleep(2 * time.Second)
		onReturned := 0
		simulation.domain.keeper.View(func(state *jobkeeper.State) {
			state.VisitRuns(simulation.names[0], func(*jobkeeper.Run) { onReturned++ })
		})
		if onReturned == 0 {
			t.Error("got no runs on the reconnected worker, want some")
		}
		stop()
		time.Sleep(20 * time.Second)
	})
}

// Guards against a task that runs twice: the end of an attempt on a crashed worker is being recorded while the leader adopts
// the attempt from the log and starts it again on the worker's next instance.
func TestAttemptWithPendingEndIsNotAdopted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		simulation := newSimulation(t, 1)
		stop := simulation.start()
		for range 6 {
			simulation.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{{
				Count: 2, Request: oneCore, LongRunning: true,
			}}})
		}
		time.Sleep(3 * time.Second)
		leadership := simulation.overseers[0].current.Load()
		for _, name := range simulation.names {
			leadership.mutex.Lock()
			instance := leadership.instances[name]
			attempts := len(instance.attempts)
			leadership.endInstance(instance, "another worker responds at the address")
			leadership.mutex.Unlock()
			leadership.adoptAll()
			leadership.mutex.Lock()
			if adopted := leadership.instances[name]; adopted != nil {
				t.Errorf("got %d of %d ended attempts adopted again, want none", len(adopted.attempts), attempts)
			}
			leadership.mutex.Unlock()
		}
		stop()
		time.Sleep(20 * time.Second)
	})
}

// Guards against a worker that fails every attempt immediately, therefore always has free capacity, and attracts all
// jobs until they have used up their attempts.
func TestWorkerThatFailsEverything(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		simulation := newSimulation(t, 1)
		simulation.maxAttempts = 3
		stop := simulation.start()
		simulation.fleet.mutex.Lock()
		for _, worker := range simulation.fleet.workers {
			worker.broken = worker.name == simulation.names[0]
		}
		simulation.fleet.mutex.Unlock()
		for range 30 {
			simulation.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{{Count: 3, Request: oneCore}}})
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(10 * time.Second)
		failed := 0
		simulation.domain.keeper.View(func(state *jobkeeper.State) {
			for number := range simulation.jobs {
				if job, _ := state.Job(scheduler.JobID(fmt.Sprintf("job%d", number))); job.State() != scheduler.WorkflowCompleted {
					failed++
				}
			}
		})
		if failed > 0 {
			t.Errorf("got %d incomplete jobs, want none", failed)
		}
		stop()
		time.Sleep(20 * time.Second)
	})
}

// Guards against healthy workers that get no work: long-running tasks may fail at any time, which does not indicate a
// faulty worker (seen as LOST on mix --seed 78481724314 of bb-rehome).
func TestFailedLongRunningTasksDoNotQuarantine(t *testing.T) {
	failureTracker := newFailureTracker()
	instance := newWorker("w", 1)
	serving := &attempt{spec: scheduler.Step{LongRunning: true}}
	batch := &attempt{}
	now := time.Now()
	for name, test := range map[string]struct {
		ended *attempt
		want  bool
	}{"long-running": {serving, false}, "batch": {batch, true}} {
		for number := range 4 {
			run := scheduler.RunID{Task: scheduler.StepTaskID{Job: scheduler.JobID(fmt.Sprintf("%s%d", name, number))}}
			for _, other := range []scheduler.WorkerName{"a", "b", "c", "d", "e"} {
				failureTracker.quarantiner.Add(other)
			}
			failureTracker.observe(instance, test.ended, jobkeeper.End{Run: run, Kind: scheduler.EndFailed}, now)
		}
		if got := failureTracker.isQuarantined("w", now); got != test.want {
			t.Errorf("%s: got quarantined %v, want %v", name, got, test.want)
		}
		failureTracker = newFailureTracker()
	}
}

// Guards against a task that runs twice at the same time, restarts after its completion was acknowledged, or starts
// before its dependencies have finished, and against work that is never resumed, under random failures.
func TestRandomFailures(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulation := newSimulation(t, uint64(seed))
				simulation.fleet.lateRate, simulation.fleet.failureRate = 0.05, 0.05
				simulation.run()
				time.Sleep(20 * time.Second) // Late orders must end before the synctest bubble does.
				for _, violation := range simulation.fleet.violations {
					t.Error(violation)
				}
				if got := simulation.openJobs(); got != 0 {
					t.Errorf("got %d jobs that have not ended, want 0", got)
				}
				if simulation.fleet.starts == 0 {
					t.Error("no task was started")
				}
			})
		})
	}
}

// openJobs counts the jobs that can end but have not.
func (simulation *simulation) openJobs() int {
	openJobs := 0
	simulation.domain.keeper.View(func(state *jobkeeper.State) {
		for number := range simulation.jobs {
			job, _ := state.Job(scheduler.JobID(fmt.Sprintf("job%d", number)))
			if job.State().Ended() || job.Workflow().Steps[0].LongRunning {
				continue
			}
			openJobs++
		}
	})
	return openJobs
}
