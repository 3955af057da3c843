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
		"address of another worker":     func(heartbeat *scheduler.WorkerHeartbeat) { heartbeat.Address = addressOf("w1") },
		"address of no worker":          func(heartbeat *scheduler.WorkerHeartbeat) { heartbeat.Address = addressOf("nobody") },
		"other pool":                    func(heartbeat *scheduler.WorkerHeartbeat) { heartbeat.Pool = "other" },
		"other VM":                      func(heartbeat *scheduler.WorkerHeartbeat) { heartbeat.VM = "vm9" },
		"other data centre":             func(heartbeat *scheduler.WorkerHeartbeat) { heartbeat.DataCentre = "elsewhere" },
		"later, of an unknown pool":     otherWorker,
		"later instance at the address": func(heartbeat *scheduler.WorkerHeartbeat) { heartbeat.Instance++ },
		"later instance elsewhere": func(heartbeat *scheduler.WorkerHeartbeat) {
			heartbeat.Instance, heartbeat.Address = heartbeat.Instance+1000, addressOf("nobody")
		},
		"later worker at the address": func(heartbeat *scheduler.WorkerHeartbeat) {
			heartbeat.Worker, heartbeat.Instance = "stranger", heartbeat.Instance+1
		},
		"later worker on the VM": func(heartbeat *scheduler.WorkerHeartbeat) {
			heartbeat.Worker, heartbeat.Instance, heartbeat.Address = "stranger", heartbeat.Instance+1, addressOf("nobody")
		},
		"later worker on the VM, at another worker's address": func(heartbeat *scheduler.WorkerHeartbeat) {
			heartbeat.Worker, heartbeat.Instance, heartbeat.Address = "stranger", heartbeat.Instance+7, addressOf("w1")
		},
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

// Guards against a worker that gets no work because another writer has sent heartbeats of its name or location before, with a
// later start.
func TestWorkersThatStartAfterHeartbeatsOfOtherWriters(t *testing.T) {
	tests := map[string]func(heartbeat *scheduler.WorkerHeartbeat){
		"same name":     func(*scheduler.WorkerHeartbeat) {},
		"other name":    func(heartbeat *scheduler.WorkerHeartbeat) { heartbeat.Worker = "stranger" },
		"other address": func(heartbeat *scheduler.WorkerHeartbeat) { heartbeat.Address = addressOf("nobody") },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulation := newSimulation(t, 1)
				simulation.fleet.withVMs = true
				simulation.names = simulation.names[:1]
				stop := simulation.start()
				simulation.fleet.kill(simulation.names[0])
				simulation.domain.elect(1) // The leader knows no worker.
				time.Sleep(time.Second)
				heartbeat := scheduler.WorkerHeartbeat{
					Worker: simulation.names[0], VM: scheduler.VMName(simulation.names[0]), Address: addressOf(simulation.names[0]),
					Instance: 1000, Pool: "pool", Phase: scheduler.WorkerReady, Labels: []string{"a", "r1-1"}, Sequence: 1,
					Capacity: scheduler.Resources{MilliCores: 8000, MemoryBytes: 8 << 30}, Clock: time.Second,
				}
				change(&heartbeat)
				if err := simulation.overseers[1].HandleHeartbeat(heartbeat); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Second)
				simulation.restart(simulation.names[0])
				simulation.submitOneOf()
				stop()
				time.Sleep(20 * time.Second)
				simulation.check()
			})
		})
	}
}

// submitOneOf submits a long-running task and checks that it starts within startBound.
func (simulation *simulation) submitOneOf() {
	simulation.t.Helper()
	job := simulation.submitLongRunning(scheduler.Step{Count: 1})
	if !waitUntil(startBound, func() bool { return simulation.waitingTasks(job) == 0 }) {
		simulation.t.Error("got a task that waits, want it on the worker")
	}
}

// Guards against a proof that takes the place of a fast replacement: a worker that has started again gets its first task within
// a few round trips of its first heartbeat, also while nothing shows that the earlier instance has ended.
func TestWorkerThatStartsAgainGetsWorkAtOnce(t *testing.T) {
	tests := map[string]func(simulation *simulation, name scheduler.WorkerName){
		"same name": func(simulation *simulation, name scheduler.WorkerName) { simulation.fleet.add(name, 1000) },
		"other name": func(simulation *simulation, name scheduler.WorkerName) {
			simulation.fleet.addAt(addressOf(name), name+"b", 1000)
		},
	}
	for name, startAgain := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulation := newSimulation(t, 1)
				simulation.names = simulation.names[:1]
				stop := simulation.start()
				time.Sleep(3500 * time.Millisecond)
				startAgain(simulation, simulation.names[0])
				job := simulation.submitLongRunning(scheduler.Step{Count: 1})
				simulation.sendHeartbeats()
				heardAt := time.Now()
				waitUntil(startBound, func() bool { return simulation.waitingTasks(job) == 0 })
				if got, want := time.Since(heardAt), 150*time.Millisecond; got > want {
					t.Errorf("got the first start %v after the heartbeat, want at most %v", got, want)
				}
				t.Logf("first start %v after the heartbeat", time.Since(heardAt))
				stop()
				time.Sleep(20 * time.Second)
				simulation.check()
			})
		})
	}
}
