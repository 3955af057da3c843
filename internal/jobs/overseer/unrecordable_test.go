package overseer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Guards against ends that are acknowledged although no VM could record them: an end whose checkpoint cannot be stored
// would take those of other tasks with it.
func TestEndsThatCannotBeRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		simulation := newSimulation(t, 1)
		stop := simulation.start()
		time.Sleep(time.Second)
		leadership := simulation.overseers[0].current.Load()
		_, err := leadership.propose(jobkeeper.Command{End: []jobkeeper.End{{Kind: scheduler.EndStopped, Checkpoint: "\xff"}}})
		if err == nil {
			t.Error("got no error for a command that cannot be applied")
		}
		stop()
		time.Sleep(20 * time.Second)
	})
}
