package overseer

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Guards against tasks that wait for a whole lease on workers that another writer has made up.
func TestWorkersThatNeverRespondGetNoWork(t *testing.T) {
	tests := map[string]struct {
		silent int
		// refused is true if connections to the silent workers are refused, and false if they get no response.
		refused bool
	}{
		"none": {}, "few": {silent: 5}, "many": {silent: 100}, "few, refused": {silent: 5, refused: true},
		"many, refused": {silent: 100, refused: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulation := newSimulation(t, 1)
				simulation.fleet.runTimeOf = func(scheduler.RunID) time.Duration { return 5 * time.Second }
				stop := simulation.start()
				stopHeartbeats := simulation.sendSilentHeartbeats(test.silent, test.refused)
				time.Sleep(2 * time.Second)
				began := time.Now()
				simulation.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{{Count: 40, Request: oneCore}}})
				for simulation.openJobs() > 0 && time.Since(began) < time.Minute {
					time.Sleep(10 * time.Millisecond)
				}
				if got, want := time.Since(began), 6*time.Second; got > want {
					t.Errorf("got a job that takes %v beside %d silent workers, want at most %v", got, test.silent, want)
				}
				simulation.check()
				stopHeartbeats()
				stop()
				time.Sleep(20 * time.Second)
			})
		})
	}
}

// sendSilentHeartbeats sends heartbeats of workers that do not exist, until stop is called. Connections to them are refused,
// or get no response.
func (simulation *simulation) sendSilentHeartbeats(count int, refused bool) (stop func()) {
	ctx, cancel := context.WithCancel(simulation.t.Context())
	for number := range count {
		name := scheduler.WorkerName(fmt.Sprintf("silent%d", number))
		if refused {
			worker := simulation.fleet.add(name, 1)
			simulation.fleet.mutex.Lock()
			worker.dead, worker.closed = true, true
			simulation.fleet.mutex.Unlock()
		}
	}
	go func() {
		for sequence := uint64(1); ctx.Err() == nil; sequence++ {
			for number := range count {
				name := scheduler.WorkerName(fmt.Sprintf("silent%d", number))
				_ = simulation.overseers[0].HandleHeartbeat(scheduler.WorkerHeartbeat{ // An error means that there is no leader yet.
					Worker: name, Instance: 1, Pool: "pool", Address: addressOf(name), Phase: scheduler.WorkerReady,
					Capacity: scheduler.Resources{MilliCores: 8000, MemoryBytes: 8 << 30}, Labels: []string{"a", "r1-1"},
					Clock: time.Duration(sequence) * time.Second, Sequence: sequence,
				})
			}
			time.Sleep(time.Second)
		}
	}()
	return cancel
}
