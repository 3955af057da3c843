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
