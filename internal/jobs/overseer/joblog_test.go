package overseer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Guards against the time for which a step's tasks ran counting as time for which it waited: a step that waits again after
// no task of the domain waited would be taken for an old or a starved one at once.
func TestStepWaitsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		simulation := newSimulation(t, 1)
		stop := simulation.start()
		simulation.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{
			{Count: 1, Request: oneCore, LongRunning: true},
		}})
		time.Sleep(time.Minute)
		for _, name := range simulation.names {
			simulation.fleet.kill(name)
		}
		const sinceLost = 15 * time.Second
		time.Sleep(sinceLost)
		waits := simulation.overseers[0].current.Load().waits()
		if len(waits) != 1 {
			t.Errorf("got %d waiting steps, want 1", len(waits))
		}
		for _, got := range waits {
			if got > sinceLost {
				t.Errorf("got a step that has waited for %v, want at most the %v since its worker was lost", got, sinceLost)
			}
		}
		stop()
	})
}

// waits returns for how long each of the waiting steps has waited.
func (leadership *leadership) waits() []time.Duration {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	var waits []time.Duration
	for _, wait := range leadership.jobLog.waiting {
		waits = append(waits, leadership.now()-wait.since)
	}
	return waits
}
