package overseer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Guards against a start that is repeated on a worker that has come back as one of another kind, without the label that the
// task requires (review/6).
func TestStartIsNotRepeatedOnWorkerOfOtherKind(t *testing.T) {
	tests := map[string]struct {
		away time.Duration
		// elects is true if the leader changes while the worker is away.
		elects bool
	}{
		"back at once": {100 * time.Millisecond, false}, "back after a while": {4500 * time.Millisecond, false},
		"back under a new leader": {4500 * time.Millisecond, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulation := newSimulation(t, 1)
				simulation.fleet.runTimeOf = func(scheduler.RunID) time.Duration { return 3 * time.Second }
				stop := simulation.start()
				for _, name := range simulation.names[:2] {
					simulation.setLabels(name, "b")
				}
				time.Sleep(startBound)
				simulation.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{{
					Count: 1, Request: oneCore, RequiredLabel: "b",
				}}})
				started := func() bool { return simulation.runningOn("w0")+simulation.runningOn("w1") > 0 }
				if !waitUntil(startBound, started) {
					t.Error("the task does not start")
				}
				lost := simulation.names[0]
				if simulation.runningOn(lost) == 0 {
					lost = simulation.names[1]
				}
				simulation.fleet.kill(lost)
				time.Sleep(test.away)
				if test.elects {
					simulation.domain.elect(1)
				}
				simulation.fleet.add(lost, simulation.nextIncarnation(lost))
				if !waitUntil(silenceBound+startBound, func() bool { return simulation.openJobs() == 0 }) {
					t.Error("got a job that has not ended, though another worker has the label")
				}
				simulation.check()
				stop()
				time.Sleep(20 * time.Second)
			})
		})
	}
}

// setLabels sets the labels of a worker.
func (simulation *simulation) setLabels(name scheduler.WorkerName, labels ...string) {
	simulation.fleet.mutex.Lock()
	defer simulation.fleet.mutex.Unlock()
	simulation.fleet.workers[addressOf(name)].labels = labels
}
