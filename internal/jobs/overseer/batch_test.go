package overseer

import (
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Guards against a planning cycle whose placements exceed the size of a command, so that nothing is placed any more, and
// against a worker with as many attempts whose ends are never recorded.
func TestMorePlacementsThanFitIntoACommand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const tasks = 1200
		simulation := newSimulation(t, 1)
		simulation.names = []scheduler.WorkerName{scheduler.WorkerName(strings.Repeat("w", 1000))}
		simulation.fleet.runTimeOf = func(scheduler.RunID) time.Duration { return 3 * time.Second }
		stop := startOneWorker(simulation, tasks)
		simulation.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{{Count: tasks, Request: oneCore}}})
		time.Sleep(2 * time.Second)
		simulation.fleet.mutex.Lock()
		if got, want := simulation.fleet.starts, tasks; got != want {
			t.Errorf("got %d runs after 2 s, want %d", got, want)
		}
		simulation.fleet.mutex.Unlock()
		simulation.restart(simulation.names[0])
		time.Sleep(5 * time.Second)
		unrecorded := 0
		simulation.domain.keeper.View(func(state *jobkeeper.State) {
			state.VisitRuns(simulation.names[0], func(run *jobkeeper.Run) {
				if run.Instance() == 1 {
					unrecorded++
				}
			})
		})
		if unrecorded != 0 {
			t.Errorf("got %d attempts of the crashed instance whose ends are not recorded, want none", unrecorded)
		}
		stop()
		time.Sleep(20 * time.Second)
	})
}

// Guards against blame that is never recorded or cleared after a crash of many workers, because its command exceeds the limit.
func TestMoreBlameThanFitsIntoACommand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		simulation := newSimulation(t, 1)
		logs := simulation.recordLogs()
		stop := simulation.start()
		time.Sleep(2 * time.Second)
		leader := simulation.leading()
		runs := make([]scheduler.RunID, 20_000)
		marks := make([]jobkeeper.Mark, len(runs))
		for index := range runs {
			task := scheduler.StepTaskID{Job: scheduler.JobID(strings.Repeat("j", 64)), Index: index}
			runs[index] = scheduler.RunID{Task: task, Attempt: 1}
			marks[index] = jobkeeper.Mark{Run: runs[index], Kind: scheduler.EndCrashedRunning}
		}
		var recorded atomic.Bool
		leader.goroutines.Go(func() { recorded.Store(leader.commitMarks(marks)) })
		time.Sleep(time.Second)
		if !recorded.Load() {
			t.Errorf("got %d marks that are not recorded after 1 s, want all recorded", len(marks))
		}
		leader.clearBlame(runs)
		stop()
		for line := range strings.Lines(logs.String()) {
			if strings.Contains(line, `"blameCleared"`) && strings.Contains(line, `"error"`) {
				t.Errorf("clearing the blame of %d attempts: got %s, want no error", len(runs), line)
			}
		}
		time.Sleep(20 * time.Second)
	})
}

// Guards against lists that do not fit into a command, against items that are left out, and against a gang that is split.
func TestSplitBySize(t *testing.T) {
	end := jobkeeper.End{Kind: scheduler.EndStopped, Checkpoint: strings.Repeat("c", 4096)}
	tests := map[string]struct{ ends, wantLists int }{"none": {0, 0}, "one": {1, 1}, "a full report": {500, 5}, "many": {10_000, 81}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			lists := splitEnds(slices.Repeat([]jobkeeper.End{end}, test.ends))
			if got := len(lists); got != test.wantLists {
				t.Errorf("got %d lists, want %d", got, test.wantLists)
			}
			total := 0
			for _, list := range lists {
				command := jobkeeper.Command{End: list}
				if data, err := command.Encode(); err != nil || len(data) > maxFakeCommandBytes {
					t.Errorf("got a command of %d bytes, %v", len(data), err)
				}
				total += len(list)
			}
			if total != test.ends {
				t.Errorf("got %d ends in all lists, want %d", total, test.ends)
			}
		})
	}
}

func TestGangsAreNotSplit(t *testing.T) {
	const members = 300
	var placements []jobkeeper.Placement
	for index := range members { // The members of the jobs take turns.
		for _, job := range []scheduler.JobID{"gang1", "plain", "gang2"} {
			placements = append(placements, jobkeeper.Placement{
				Task: scheduler.StepTaskID{Job: job, Index: index}, Worker: scheduler.WorkerName(strings.Repeat("w", 2000)),
			})
		}
	}
	lists := splitPlacements(placements, func(placement *jobkeeper.Placement) bool { return placement.Task.Job != "plain" })
	placed, listsOf := 0, map[scheduler.JobID]int{}
	for _, list := range lists {
		inList := map[scheduler.JobID]bool{}
		for _, placement := range list {
			inList[placement.Task.Job] = true
			placed++
		}
		for job := range inList {
			listsOf[job]++
		}
	}
	if placed != len(placements) || listsOf["gang1"] != 1 || listsOf["gang2"] != 1 || len(lists) < 2 {
		t.Errorf("got %d of %d placements in %d lists, gangs in %v lists, want each gang in one", placed, len(placements),
			len(lists), listsOf)
	}
}
