package overseer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Guards against tasks that run twice after a heartbeat of another writer that names the address and the start time of a
// running worker, which therefore seems to prove it with its own answers.
func TestHeartbeatsThatImitateAnotherWorker(t *testing.T) {
	tests := map[string]func(heartbeat, other *scheduler.WorkerHeartbeat){
		"nothing imitated": func(*scheduler.WorkerHeartbeat, *scheduler.WorkerHeartbeat) {},
		"later start at the address of another worker": func(heartbeat, other *scheduler.WorkerHeartbeat) {
			heartbeat.Worker, heartbeat.Instance, heartbeat.Address = "stranger", other.Instance+1, other.Address
		},
		"start and address of another worker": func(heartbeat, other *scheduler.WorkerHeartbeat) {
			heartbeat.Worker, heartbeat.Instance, heartbeat.Address = "stranger", other.Instance, other.Address
		},
		"name of one worker, start and address of another": func(heartbeat, other *scheduler.WorkerHeartbeat) {
			heartbeat.Instance, heartbeat.Address = other.Instance, other.Address
		},
		"start and address of another worker, no VM": func(heartbeat, other *scheduler.WorkerHeartbeat) {
			heartbeat.Worker, heartbeat.VM = "stranger", ""
			heartbeat.Instance, heartbeat.Address = other.Instance, other.Address
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulation := newSimulation(t, 1)
				simulation.fleet.withVMs = true
				simulation.fleet.runTimeOf = func(scheduler.RunID) time.Duration { return 8 * time.Second }
				stop := simulation.start()
				time.Sleep(time.Second)
				simulation.restart(simulation.names[1])
				time.Sleep(15 * time.Second)
				for range 10 {
					simulation.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{{Count: 2, Request: oneCore}}})
				}
				time.Sleep(2 * time.Second)
				simulation.fleet.mutex.Lock()
				worker := simulation.fleet.workers[addressOf(simulation.names[0])]
				second := simulation.fleet.workers[addressOf(simulation.names[1])]
				simulation.fleet.mutex.Unlock()
				for range 5 {
					heartbeat, _ := worker.heartbeat()
					other, _ := second.heartbeat()
					heartbeat.Sequence += 1000
					change(&heartbeat, &other)
					if err := simulation.overseers[0].HandleHeartbeat(heartbeat); err != nil {
						t.Fatal(err)
					}
					time.Sleep(time.Second)
				}
				time.Sleep(5 * time.Second)
				simulation.check()
				simulation.fleet.mutex.Lock()
				if got, want := simulation.fleet.starts, 20; got != want {
					t.Errorf("got %d runs, want %d", got, want)
				}
				simulation.fleet.mutex.Unlock()
				stop()
				time.Sleep(20 * time.Second)
			})
		})
	}
}

// Guards against tasks that run twice when a worker is cut for some seconds and another writer names a later start of it, and
// against a cut worker that is ended by it.
func TestCutWorkerIsEndedByProofOnly(t *testing.T) {
	tests := map[string]func(heartbeat *scheduler.WorkerHeartbeat){
		"same address":            func(*scheduler.WorkerHeartbeat) {},
		"other address":           func(heartbeat *scheduler.WorkerHeartbeat) { heartbeat.Address = addressOf("nobody") },
		"same name, unknown pool": func(heartbeat *scheduler.WorkerHeartbeat) { heartbeat.Pool = "unknown" },
		"other name":              func(heartbeat *scheduler.WorkerHeartbeat) { heartbeat.Worker = "stranger" },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulation := newSimulation(t, 1)
				simulation.fleet.withVMs = true
				simulation.fleet.lateRate, simulation.fleet.failureRate = 0, 0
				simulation.fleet.runTimeOf = func(scheduler.RunID) time.Duration { return 10 * time.Second }
				stop := simulation.start()
				for range 10 {
					simulation.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{{Count: 2, Request: oneCore}}})
				}
				time.Sleep(3 * time.Second)
				simulation.fleet.mutex.Lock()
				worker := simulation.fleet.workers[addressOf(simulation.names[0])]
				simulation.fleet.mutex.Unlock()
				heartbeat, _ := worker.heartbeat()
				heartbeat.Instance++
				heartbeat.Sequence += 1000
				change(&heartbeat)
				simulation.setPartitioned(simulation.names[0], true)
				time.Sleep(2500 * time.Millisecond)
				if err := simulation.overseers[0].HandleHeartbeat(heartbeat); err != nil {
					t.Fatal(err)
				}
				time.Sleep(2 * time.Second)
				simulation.setPartitioned(simulation.names[0], false)
				time.Sleep(20 * time.Second)
				simulation.check()
				stop()
				time.Sleep(20 * time.Second)
			})
		})
	}
}

// Guards against a worker that gets no work for the rest of a term, because the first heartbeat in its name that a new leader
// received was of another writer and named a pool that does not exist.
func TestFirstHeartbeatNamesUnknownPool(t *testing.T) {
	for name, busy := range map[string]bool{"idle": false, "busy": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulation := newSimulation(t, 1)
				simulation.names = simulation.names[:1]
				stop := simulation.start()
				if busy {
					simulation.submitLongRunning(scheduler.Step{Count: 1})
				}
				time.Sleep(4200 * time.Millisecond)
				simulation.fleet.mutex.Lock()
				worker := simulation.fleet.workers[addressOf(simulation.names[0])]
				simulation.fleet.mutex.Unlock()
				heartbeat, _ := worker.heartbeat()
				heartbeat.Pool = "unknown"
				simulation.domain.elect(1)
				if !waitUntil(time.Second, func() bool { return simulation.overseers[1].HandleHeartbeat(heartbeat) == nil }) {
					t.Fatal("got no leader that takes the heartbeat, want one")
				}
				time.Sleep(5 * time.Second)
				job := simulation.submitLongRunning(scheduler.Step{Count: 1})
				if !waitUntil(startBound, func() bool { return simulation.waitingTasks(job) == 0 }) {
					t.Errorf("got a task waiting for %v although the only worker has room, want it to run", startBound)
				}
				stop()
				time.Sleep(20 * time.Second)
			})
		})
	}
}
