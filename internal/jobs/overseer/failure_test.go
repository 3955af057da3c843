package overseer

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Guards against a worker that is gone for good and whose tasks wait for ever, because each renewal that it
// does not answer might extend its lease.
func TestTasksOfGoneWorkerStartElsewhere(t *testing.T) {
	tests := map[string]struct{ newLeader bool }{
		"the leader stays":   {},
		"the leader changes": {newLeader: true}, // The new one never hears of the worker.
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { testGoneWorker(t, test.newLeader) })
	}
}

func testGoneWorker(t *testing.T, newLeader bool) {
	synctest.Test(t, func(t *testing.T) {
		schedule := newSchedule(t, 1)
		stop := schedule.start()
		for range 10 {
			schedule.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{{Count: 2, Request: oneCore, LongRunning: true}}})
		}
		time.Sleep(3 * time.Second)
		schedule.fleet.kill(schedule.names[0])
		if newLeader {
			schedule.domain.elect(1)
		}
		time.Sleep(fakeLease + 3*time.Second)
		waiting, onGone := 0, 0
		schedule.domain.keeper.View(func(state *jobkeeper.State) {
			waiting = state.ReadyCount()
			state.VisitRuns(schedule.names[0], func(*jobkeeper.Run) { onGone++ })
		})
		if waiting != 0 || onGone != 0 {
			t.Errorf("got %d waiting tasks and %d on the gone worker, want none", waiting, onGone)
		}
		stop()
		time.Sleep(20 * time.Second)
	})
}

// Guards against work that begins anew although its progress was saved, after its worker has crashed or is cut off.
func TestLostTasksResume(t *testing.T) {
	tests := map[string]func(schedule *schedule, worker scheduler.WorkerName){
		"the worker crashes":    func(schedule *schedule, worker scheduler.WorkerName) { schedule.rebirth(worker) },
		"the worker is cut off": func(schedule *schedule, worker scheduler.WorkerName) { schedule.setCut(worker, true) },
	}
	for name, disturb := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				schedule := newSchedule(t, 1)
				schedule.fleet.runTime = time.Hour
				stop := schedule.start()
				for range 10 {
					schedule.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{{Count: 4, Request: oneCore, Checkpointing: true}}})
				}
				time.Sleep(5 * time.Second)
				lost := 0
				schedule.domain.keeper.View(func(state *jobkeeper.State) {
					state.VisitRuns(schedule.names[0], func(*jobkeeper.Run) { lost++ })
				})
				disturb(schedule, schedule.names[0])
				time.Sleep(fakeLease + 5*time.Second)
				schedule.fleet.mutex.Lock()
				if got := schedule.fleet.resumed; got < lost || lost == 0 {
					t.Errorf("got %d tasks that were resumed, want the %d of the lost worker", got, lost)
				}
				schedule.fleet.mutex.Unlock()
				stop()
				time.Sleep(20 * time.Second)
			})
		})
	}
}

// Guards against a worker that was cut off for longer than its lease and gets no work ever after, because the
// leader repeats a renewal whose lease has ended; and against its results, which would be thrown away.
func TestWorkerReturnsAfterItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedule := newSchedule(t, 1)
		schedule.fleet.runTime = 2 * time.Second
		stop := schedule.start()
		for range 8 {
			schedule.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{{Count: 6, Request: oneCore}}})
		}
		time.Sleep(100 * time.Millisecond)
		schedule.setCut(schedule.names[0], true)
		time.Sleep(fakeLease + 5*time.Second)
		schedule.setCut(schedule.names[0], false)
		time.Sleep(4 * time.Second)
		schedule.fleet.mutex.Lock()
		if got := len(schedule.fleet.workers["10.0.0.1:"+string(schedule.names[0])].ends); got != 0 {
			t.Errorf("got %d ends that nobody has taken, want none", got)
		}
		schedule.fleet.mutex.Unlock()
		for range 9 {
			schedule.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{{Count: 6, Request: oneCore, LongRunning: true}}})
		}
		time.Sleep(2 * time.Second)
		onReturned := 0
		schedule.domain.keeper.View(func(state *jobkeeper.State) {
			state.VisitRuns(schedule.names[0], func(*jobkeeper.Run) { onReturned++ })
		})
		if onReturned == 0 {
			t.Error("got no runs on the worker that returned, want some")
		}
		stop()
		time.Sleep(20 * time.Second)
	})
}

// Guards against a worker that fails everything at once, is therefore always free, and takes in all jobs until
// they have failed as often as their queue allows.
func TestWorkerThatFailsEverything(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedule := newSchedule(t, 1)
		schedule.attempts = 3
		stop := schedule.start()
		schedule.fleet.mutex.Lock()
		for _, worker := range schedule.fleet.workers {
			worker.broken = worker.name == schedule.names[0]
		}
		schedule.fleet.mutex.Unlock()
		for range 30 {
			schedule.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{{Count: 3, Request: oneCore}}})
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(10 * time.Second)
		failed := 0
		schedule.domain.keeper.View(func(state *jobkeeper.State) {
			for number := range schedule.jobs {
				if job, _ := state.Job(scheduler.JobID(fmt.Sprintf("job%d", number))); job.State() != scheduler.WorkflowCompleted {
					failed++
				}
			}
		})
		if failed > 0 {
			t.Errorf("got %d jobs that have not completed, want none", failed)
		}
		stop()
		time.Sleep(20 * time.Second)
	})
}

// Guards against healthy workers without work: long-running tasks may fail at any time, which is no fault of the
// worker (seen as LOST on mix --seed 78481724314 of bb-rehome).
func TestFailedLongRunningTasksDoNotQuarantine(t *testing.T) {
	failures := newFailures()
	life := newWorker("w", 1)
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
				failures.quarantiner.Add(other)
			}
			failures.observe(life, test.ended, jobkeeper.End{Run: run, Kind: scheduler.EndFailed}, now)
		}
		if got := failures.isQuarantined("w", now); got != test.want {
			t.Errorf("%s: got quarantined %v, want %v", name, got, test.want)
		}
		failures = newFailures()
	}
}

// Guards against a task that runs twice at a time, that starts again after its finish was acknowledged, or
// that starts before the steps that it depends on have finished, whatever fails; and against work that is
// never taken up again.
func TestRandomFailures(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				schedule := newSchedule(t, uint64(seed))
				schedule.fleet.lateShare, schedule.fleet.failShare = 0.05, 0.05
				schedule.run()
				time.Sleep(20 * time.Second) // Late orders end before the bubble does.
				for _, breach := range schedule.fleet.breaches {
					t.Error(breach)
				}
				if got := schedule.open(); got != 0 {
					t.Errorf("got %d jobs that never end, want 0", got)
				}
				if schedule.fleet.starts == 0 {
					t.Error("no task was started")
				}
			})
		})
	}
}
