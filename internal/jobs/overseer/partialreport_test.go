package overseer

import (
	"cmp"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// listedEnds is how many ends a worker lists in one report, platformEnds how many one of the users' platform does.
const (
	listedEnds   = 50
	platformEnds = 500
)

// Guards against finished tasks that run again: a worker that was cut off has more ends than fit into one report, and the
// leader, or a new one, takes the attempts that the first report does not list for lost.
func TestEndsBeyondOneReport(t *testing.T) {
	tests := map[string]struct {
		ends int
		// limit is listedEnds if it is 0.
		limit int
		// electDuring and electAfter change the leader during the cut and right after it.
		electDuring, electAfter bool
	}{
		"users' platform, full":         {ends: platformEnds, limit: platformEnds},
		"users' platform, one more":     {ends: platformEnds + 1, limit: platformEnds},
		"a report that is not full":     {ends: listedEnds - 1},
		"a full report":                 {ends: listedEnds},
		"one end more":                  {ends: listedEnds + 1},
		"three full reports":            {ends: 3 * listedEnds},
		"new leader during the cut":     {ends: 3 * listedEnds, electDuring: true},
		"new leader after the cut":      {ends: 3 * listedEnds, electAfter: true},
		"new leader, a full report":     {ends: listedEnds, electDuring: true},
		"new leaders, and one end more": {ends: listedEnds + 1, electDuring: true, electAfter: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limit := cmp.Or(test.limit, listedEnds)
				simulation := newSimulation(t, 1, WithMaxReportedEnds(limit))
				simulation.fleet.maxListedEnds = limit
				simulation.fleet.runTimeOf = func(scheduler.RunID) time.Duration { return 4 * time.Second }
				stop := startOneWorker(simulation, test.ends)
				simulation.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{{Count: test.ends, Request: oneCore}}})
				time.Sleep(3 * time.Second)
				simulation.setPartitioned(simulation.names[0], true)
				time.Sleep(2 * time.Second)
				if test.electDuring {
					simulation.domain.elect(1)
				}
				time.Sleep(3500 * time.Millisecond)
				simulation.setPartitioned(simulation.names[0], false)
				simulation.sendHeartbeats()
				if test.electAfter {
					time.Sleep(20 * time.Millisecond)
					simulation.domain.elect(2)
				}
				if got := simulation.maxWaiting(8 * time.Second); got != 0 {
					t.Errorf("got %d tasks that are taken for lost, want none", got)
				}
				simulation.check()
				simulation.fleet.mutex.Lock()
				if got, want := simulation.fleet.starts, test.ends; got != want {
					t.Errorf("got %d runs, want %d: each task has ended", got, want)
				}
				if got := len(simulation.fleet.workers[addressOf(simulation.names[0])].ends); got != 0 {
					t.Errorf("got %d ends that are not acknowledged, want none", got)
				}
				simulation.fleet.mutex.Unlock()
				stop()
				time.Sleep(20 * time.Second)
			})
		})
	}
}

// maxWaiting returns the largest number of tasks that waited for placement at a time during the given period.
func (simulation *simulation) maxWaiting(period time.Duration) int {
	waiting := 0
	for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(time.Millisecond) {
		simulation.domain.keeper.View(func(state *jobkeeper.State) { waiting = max(waiting, state.ReadyCount()) })
	}
	return waiting
}

// startOneWorker starts the simulation with a single worker that has room for the given number of tasks.
func startOneWorker(simulation *simulation, tasks int) (stop func()) {
	simulation.names = simulation.names[:1]
	stop = simulation.start()
	simulation.fleet.mutex.Lock()
	worker := simulation.fleet.workers[addressOf(simulation.names[0])]
	worker.capacity = scheduler.Resources{
		MilliCores: int64(tasks) * oneCore.MilliCores, MemoryBytes: int64(tasks) * oneCore.MemoryBytes,
	}
	simulation.fleet.mutex.Unlock()
	time.Sleep(1500 * time.Millisecond)
	return stop
}

// Guards against a full report that counts as complete, and against losses that are never noticed because a report that is
// not full counts as incomplete.
func TestFullReportsAreIncomplete(t *testing.T) {
	leadership := &leadership{overseer: New(nil, nil, nil, WithMaxReportedEnds(platformEnds))}
	tests := map[string]struct {
		ends         int
		wantComplete bool
	}{
		"none": {0, true}, "one less than full": {platformEnds - 1, true}, "full": {platformEnds, false},
		"more than full": {platformEnds + 1, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			report := scheduler.WorkerReport{Ended: make([]scheduler.AttemptEnd, test.ends)}
			if got := leadership.isComplete(&report); got != test.wantComplete {
				t.Errorf("got complete %v, want %v", got, test.wantComplete)
			}
		})
	}
}
