package jobkeeper

import (
	"testing"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// placeCopy places a second attempt of the only task of job j and returns its number, or 0 if it is refused.
func (fixture *fixture) placeCopy() scheduler.AttemptNumber {
	fixture.t.Helper()
	return fixture.apply(Command{Place: []Placement{{
		Task: scheduler.StepTaskID{Job: "j"}, Worker: "w2", Instance: 1, Speculative: true,
	}}}).Attempts[0]
}

func (fixture *fixture) obsolete() (runs []scheduler.RunID) {
	fixture.keeper.View(func(state *State) {
		state.VisitObsolete(func(run *Run) { runs = append(runs, run.ID()) })
	})
	return runs
}

// Guards against a result of a task with a copy that counts twice or not at all, and against a loser that runs on.
func TestCopyEnds(t *testing.T) {
	end := func(attempt scheduler.AttemptNumber, kind scheduler.EndKind) End {
		return End{Run: scheduler.RunID{Task: scheduler.StepTaskID{Job: "j"}, Attempt: attempt}, Kind: kind}
	}
	tests := map[string]struct {
		ends         []End
		want         scheduler.WorkflowState
		wantReady    int
		wantObsolete int
	}{
		"copy finishes":     {[]End{end(2, scheduler.EndFinished)}, scheduler.WorkflowActive, 1, 1},
		"original finishes": {[]End{end(1, scheduler.EndFinished)}, scheduler.WorkflowActive, 1, 1},
		"both finish": {
			[]End{end(1, scheduler.EndFinished), end(2, scheduler.EndFinished)}, scheduler.WorkflowActive, 1, 0,
		},
		"finish is listed twice": {
			[]End{end(2, scheduler.EndFinished), end(2, scheduler.EndFinished)}, scheduler.WorkflowActive, 1, 1,
		},
		"loser is stopped": {
			[]End{end(2, scheduler.EndFinished), end(1, scheduler.EndStopped)}, scheduler.WorkflowActive, 1, 0,
		},
		"loser fails": {
			[]End{end(2, scheduler.EndFinished), end(1, scheduler.EndFailed)}, scheduler.WorkflowActive, 1, 0,
		},
		"one is lost":   {[]End{end(1, scheduler.EndLost)}, scheduler.WorkflowActive, 0, 0},
		"both are lost": {[]End{end(1, scheduler.EndLost), end(2, scheduler.EndLost)}, scheduler.WorkflowActive, 1, 0},
		"both fail":     {[]End{end(1, scheduler.EndFailed), end(2, scheduler.EndFailed)}, scheduler.WorkflowFailed, 0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture(t)
			fixture.submit("j", scheduler.Step{Count: 1, Speculative: true}, scheduler.Step{Count: 1, DependsOn: []int{0}})
			fixture.start("j", 0, 0)
			if got := fixture.placeCopy(); got != 2 {
				t.Fatalf("got attempt %d of the copy, want 2", got)
			}
			fixture.apply(Command{End: test.ends})
			if got := fixture.state("j"); got != test.want {
				t.Errorf("got state %s, want %s", got, test.want)
			}
			if got := fixture.ready(); got != test.wantReady {
				t.Errorf("got %d ready tasks, want %d", got, test.wantReady)
			}
			if got := fixture.obsolete(); len(got) != test.wantObsolete {
				t.Errorf("got obsolete attempts %v, want %d", got, test.wantObsolete)
			}
		})
	}
}

// Guards against copies that the step does not allow, against more than one copy, and against a copy of a task that has
// finished or waits.
func TestCopyIsRefused(t *testing.T) {
	tests := map[string]struct {
		step scheduler.Step
		act  func(fixture *fixture)
	}{
		"step does not allow it": {scheduler.Step{Count: 1}, func(fixture *fixture) { fixture.place("j", 0, 0) }},
		"task waits":             {scheduler.Step{Count: 1, Speculative: true}, func(*fixture) {}},
		"task has a copy": {scheduler.Step{Count: 1, Speculative: true}, func(fixture *fixture) {
			fixture.place("j", 0, 0)
			fixture.placeCopy()
		}},
		"task has finished": {scheduler.Step{Count: 1, Speculative: true}, func(fixture *fixture) {
			fixture.place("j", 0, 0)
			fixture.end("j", 0, 0, 1, scheduler.EndFinished, "")
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture(t)
			fixture.submit("j", test.step)
			test.act(fixture)
			if got := fixture.placeCopy(); got != 0 {
				t.Errorf("got attempt %d, want none", got)
			}
		})
	}
}
