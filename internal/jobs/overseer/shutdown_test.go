package overseer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// shutdownWorkTime is longer than any lease, so that the tasks of a worker that shuts down are at work until then.
const shutdownWorkTime = 20 * time.Second

// startShutdown runs tasks on all workers and lets the first worker drain. It returns that worker once the leader has
// received its heartbeat.
func startShutdown(simulation *simulation) *fakeWorker {
	simulation.fleet.runTimeOf = func(scheduler.RunID) time.Duration { return shutdownWorkTime }
	for range 10 {
		simulation.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{{Count: 2, Request: oneCore}}})
	}
	time.Sleep(3 * time.Second)
	simulation.fleet.mutex.Lock()
	leaving := simulation.fleet.workers[addressOf(simulation.names[0])]
	leaving.draining = true
	simulation.fleet.mutex.Unlock()
	simulation.sendHeartbeats()
	return leaving
}

// deregister sends the notification that a worker shuts down to the leader.
func (simulation *simulation) deregister(name scheduler.WorkerName) {
	for _, overseer := range simulation.overseers {
		if overseer.HandleShutdown(name) == nil {
			return
		}
	}
	simulation.t.Error("got no leader that accepts the deregistration, want one")
}

// check fails the test if an invariant was violated or a job that can end has not.
func (simulation *simulation) check() {
	simulation.t.Helper()
	simulation.fleet.mutex.Lock()
	for _, violation := range simulation.fleet.violations {
		simulation.t.Error(violation)
	}
	simulation.fleet.mutex.Unlock()
	if got := simulation.openJobs(); got != 0 {
		simulation.t.Errorf("got %d jobs that have not ended, want none", got)
	}
}

func (fleet *fakeFleet) runsOn(worker *fakeWorker) int {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return len(worker.runs)
}

// Guards against tasks that run twice: a worker whose deregistration gets no answer runs on for seconds, and a leader that
// takes it for ended after a fixed time starts its tasks elsewhere.
func TestTasksOfWorkerThatRunsOnAfterItsDeregistration(t *testing.T) {
	tests := map[string]struct {
		runsOn time.Duration
		// electBefore and electAfter change the leader before and after the deregistration.
		electBefore, electAfter bool
		reachable               bool
	}{
		"for 3 s":                               {runsOn: 3 * time.Second},
		"for 10 s":                              {runsOn: 10 * time.Second},
		"until its lease ends":                  {runsOn: time.Minute},
		"for 10 s, reachable":                   {runsOn: 10 * time.Second, reachable: true},
		"for 10 s, new leader before":           {runsOn: 10 * time.Second, electBefore: true},
		"for 10 s, new leader after":            {runsOn: 10 * time.Second, electAfter: true},
		"for 10 s, new leader after, reachable": {runsOn: 10 * time.Second, electAfter: true, reachable: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulation := newSimulation(t, 1)
				stop := simulation.start()
				leaving := startShutdown(simulation)
				simulation.setPartitioned(leaving.name, !test.reachable)
				if got := simulation.fleet.runsOn(leaving); got == 0 {
					t.Fatal("got no task on the worker that shuts down, want some")
				}
				if test.electBefore {
					simulation.domain.elect(1)
					time.Sleep(100 * time.Millisecond)
				}
				simulation.deregister(leaving.name)
				if test.electAfter {
					time.Sleep(100 * time.Millisecond)
					simulation.domain.elect(1)
				}
				time.Sleep(test.runsOn)
				simulation.fleet.kill(leaving.name)
				simulation.settle()
				simulation.check()
				stop()
				time.Sleep(20 * time.Second)
			})
		})
	}
}

// Guards against tasks that wait for the end of a lease although their worker has stopped them before it ended.
func TestTasksOfReachableWorkerMoveAtItsDeregistration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		simulation := newSimulation(t, 1)
		stop := simulation.start()
		leaving := startShutdown(simulation)
		leadership := simulation.overseers[0].current.Load()
		leadership.mutex.Lock()
		instance := leadership.instances[leaving.name]
		leadership.mutex.Unlock()
		simulation.deregister(leaving.name)
		time.Sleep(500 * time.Millisecond)
		if got := simulation.fleet.runsOn(leaving); got != 0 {
			t.Errorf("got %d tasks at work on the worker after its deregistration, want none", got)
		}
		simulation.fleet.kill(leaving.name)
		time.Sleep(500 * time.Millisecond)
		running := 0
		simulation.fleet.mutex.Lock()
		for _, count := range simulation.fleet.running {
			running += count
		}
		simulation.fleet.mutex.Unlock()
		if want := 20; running != want {
			t.Errorf("got %d tasks at work a second after the deregistration, want %d", running, want)
		}
		leadership.mutex.Lock()
		if !instance.ended {
			t.Error("got an instance that goes on after all its ends were reported, want it ended")
		}
		leadership.mutex.Unlock()
		stop()
		time.Sleep(20 * time.Second)
	})
}
