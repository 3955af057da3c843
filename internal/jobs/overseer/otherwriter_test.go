package overseer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Guards against heartbeats of another writer that end a worker which is up, or send its orders elsewhere, so that its
// tasks run twice or wait.
func TestHeartbeatsOfOtherWriters(t *testing.T) {
	tests := map[string]func(heartbeat *scheduler.WorkerHeartbeat){
		"address of another worker":  func(heartbeat *scheduler.WorkerHeartbeat) { heartbeat.Address = addressOf("w1") },
		"address of no worker":       func(heartbeat *scheduler.WorkerHeartbeat) { heartbeat.Address = addressOf("nobody") },
		"other pool":                 func(heartbeat *scheduler.WorkerHeartbeat) { heartbeat.Pool = "other" },
		"other VM":                   func(heartbeat *scheduler.WorkerHeartbeat) { heartbeat.VM = "vm9" },
		"other data centre":          func(heartbeat *scheduler.WorkerHeartbeat) { heartbeat.DataCentre = "elsewhere" },
		"later, of an unknown pool":  otherWorker,
		"later, the largest numbers": func(heartbeat *scheduler.WorkerHeartbeat) { otherWorker(heartbeat); heartbeat.Instance = 1<<63 - 1 },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulation := newSimulation(t, 1)
				simulation.fleet.withVMs = true
				simulation.fleet.runTimeOf = func(scheduler.RunID) time.Duration { return 8 * time.Second }
				stop := simulation.start()
				for range 10 {
					simulation.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{{Count: 2, Request: oneCore}}})
				}
				time.Sleep(2 * time.Second)
				simulation.fleet.mutex.Lock()
				worker := simulation.fleet.workers[addressOf(simulation.names[0])]
				simulation.fleet.mutex.Unlock()
				for range 5 {
					heartbeat, _ := worker.heartbeat()
					heartbeat.Sequence += 1000
					change(&heartbeat)
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

// otherWorker turns a heartbeat into one of another worker of an unknown pool that started later at the same location.
func otherWorker(heartbeat *scheduler.WorkerHeartbeat) {
	heartbeat.Worker, heartbeat.Pool = "stranger", "unknown"
	heartbeat.Instance++
}
