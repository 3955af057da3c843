package overseer

import (
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
)

// stopBatchDelay limits how often the obsolete attempts are visited, because the state changes many times a second.
const stopBatchDelay = 20 * time.Millisecond

// stopObsoleteAttempts stops obsolete attempts until the term ends. It does not run in the planning cycle: with many
// waiting tasks or a slow replication, a cycle takes longer than the tasks of a cancelled job may run on.
func (leadership *leadership) stopObsoleteAttempts() {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for leadership.context.Err() == nil {
		changed := leadership.overseer.keeper.Changed()
		if leadership.mayAct() {
			leadership.stopObsolete()
		}
		select {
		case <-leadership.context.Done():
			return
		case <-changed:
		case <-ticker.C: // A worker whose address was not known before may have sent a heartbeat.
		}
		leadership.pause(stopBatchDelay)
	}
}

// stopObsolete stops the obsolete attempts, which are those of jobs that have ended and of tasks that have finished.
func (leadership *leadership) stopObsolete() {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	leadership.overseer.keeper.View(func(state *jobkeeper.State) {
		state.VisitObsolete(func(run *jobkeeper.Run) {
			if instance := leadership.instances[run.Worker()]; instance != nil && instance.hasHeartbeat {
				leadership.stopAttempt(instance, run.ID(), "no longer wanted")
			}
		})
	})
}
