package jobkeeper

import (
	"bytes"
	"testing"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/internal/jobs/crashclassifier"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// crash starts a task and ends its next attempt with a crash of the worker.
func (fixture *fixture) crash(step, index int, kind scheduler.EndKind) {
	fixture.t.Helper()
	attempt := fixture.start("j", step, index)[0]
	fixture.end("j", step, index, attempt, kind, "")
}

func (fixture *fixture) mark(attempt scheduler.AttemptNumber, kind scheduler.EndKind) {
	fixture.t.Helper()
	run := scheduler.RunID{Task: scheduler.StepTaskID{Job: "j"}, Attempt: attempt}
	fixture.apply(Command{Mark: []Mark{{Run: run, Kind: kind}}})
}

func (fixture *fixture) clearBlame(attempt scheduler.AttemptNumber) {
	fixture.t.Helper()
	fixture.apply(Command{ClearBlame: []scheduler.RunID{{Task: scheduler.StepTaskID{Job: "j"}, Attempt: attempt}}})
}

func (fixture *fixture) failureReason() (reason string) {
	fixture.keeper.View(func(state *State) {
		if job, found := state.Job("j"); found {
			reason = job.FailureReason()
		}
	})
	return reason
}

// Guards against a task that is started without end because the workers that crash under it report no failure, and against
// a task that is given up for the crashes of others.
func TestCrashesOfWorkers(t *testing.T) {
	const starting, running, lost = scheduler.EndCrashedStarting, scheduler.EndCrashedRunning, scheduler.EndLost
	crashes := func(kinds ...scheduler.EndKind) func(fixture *fixture) {
		return func(fixture *fixture) {
			for _, kind := range kinds {
				fixture.crash(0, 0, kind)
			}
		}
	}
	tests := map[string]struct {
		step scheduler.Step
		act  func(fixture *fixture)
		want scheduler.WorkflowState
	}{
		"two crashes at the start":        {singleTask(), crashes(starting, starting), scheduler.WorkflowFailed},
		"one crash at the start":          {singleTask(), crashes(starting, lost, lost, lost), scheduler.WorkflowActive},
		"four crashes of a running task":  {singleTask(), crashes(running, running, running, running), scheduler.WorkflowFailed},
		"three crashes of a running task": {singleTask(), crashes(running, running, running), scheduler.WorkflowActive},
		"one crash at the start, two of a running task": {
			singleTask(), crashes(starting, running, running), scheduler.WorkflowActive,
		},
		"one crash at the start, three of a running task": {
			singleTask(), crashes(running, starting, running, running), scheduler.WorkflowFailed,
		},
		"crashes of a long-running task": {scheduler.Step{Count: 1, LongRunning: true}, crashes(starting, starting), scheduler.WorkflowFailed},
		"crashes of different tasks": {scheduler.Step{Count: 2}, func(fixture *fixture) {
			fixture.crash(0, 0, starting)
			fixture.crash(0, 1, starting)
		}, scheduler.WorkflowActive},
		"an attempt survives between crashes": {singleTask(), func(fixture *fixture) {
			fixture.crash(0, 0, starting)
			attempt := fixture.place("j", 0, 0)[0]
			fixture.clearBlame(attempt)
			fixture.end("j", 0, 0, attempt, lost, "")
			fixture.crash(0, 0, starting)
		}, scheduler.WorkflowActive},
		"a report of survival after the crash": {singleTask(), func(fixture *fixture) {
			fixture.crash(0, 0, starting)
			fixture.clearBlame(1)
			fixture.crash(0, 0, starting)
		}, scheduler.WorkflowFailed},
		"marked attempts are lost": {singleTask(), func(fixture *fixture) {
			fixture.mark(fixture.place("j", 0, 0)[0], starting)
			fixture.end("j", 0, 0, 1, lost, "")
			fixture.mark(fixture.place("j", 0, 0)[0], starting)
			fixture.end("j", 0, 0, 2, scheduler.EndLeaseExpired, "")
		}, scheduler.WorkflowFailed},
		"a marked attempt goes on": {singleTask(), func(fixture *fixture) {
			fixture.crash(0, 0, starting)
			fixture.mark(fixture.place("j", 0, 0)[0], starting)
			fixture.mark(2, "")
			fixture.end("j", 0, 0, 2, lost, "")
			fixture.mark(fixture.place("j", 0, 0)[0], starting)
			fixture.end("j", 0, 0, 3, scheduler.EndStopped, "")
		}, scheduler.WorkflowActive},
		"a member of a gang": {scheduler.Step{Count: 2, Gang: true}, func(fixture *fixture) {
			for attempt := range scheduler.AttemptNumber(2) {
				fixture.place("j", 0, 0, 1)
				fixture.end("j", 0, 1, attempt+1, scheduler.EndGangBroken, "")
				fixture.end("j", 0, 0, attempt+1, starting, "")
			}
		}, scheduler.WorkflowFailed},
		"the copy crashes while the original runs": {scheduler.Step{Count: 1, Speculative: true}, func(fixture *fixture) {
			fixture.start("j", 0, 0)
			fixture.placeCopy()
			fixture.end("j", 0, 0, 2, starting, "")
		}, scheduler.WorkflowActive},
		"both attempts crash, and one finishes first": {scheduler.Step{Count: 1, Speculative: true}, func(fixture *fixture) {
			fixture.place("j", 0, 0)
			fixture.placeCopy()
			fixture.end("j", 0, 0, 2, starting, "")
			fixture.end("j", 0, 0, 1, scheduler.EndFinished, "")
		}, scheduler.WorkflowCompleted},
		"both attempts crash": {scheduler.Step{Count: 1, Speculative: true}, func(fixture *fixture) {
			fixture.place("j", 0, 0)
			fixture.placeCopy()
			fixture.end("j", 0, 0, 2, starting, "")
			fixture.end("j", 0, 0, 1, starting, "")
		}, scheduler.WorkflowFailed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture(t)
			fixture.submit("j", test.step)
			test.act(fixture)
			if got := fixture.state("j"); got != test.want {
				t.Errorf("got state %s, want %s", got, test.want)
			}
			if got, want := fixture.failureReason() != "", test.want == scheduler.WorkflowFailed; got != want {
				t.Errorf("got failure reason %q for state %s", fixture.failureReason(), test.want)
			}
		})
	}
}

// Guards against blame, or the reason of a failed job, that a snapshot loses, and against snapshots that an earlier build
// cannot read although no task is blamed.
func TestSnapshotsOfBlame(t *testing.T) {
	blamed := func(fixture *fixture) { fixture.crash(0, 0, scheduler.EndCrashedStarting) }
	tests := map[string]struct {
		act         func(fixture *fixture)
		wantFormat  int
		wantCrashes bool
	}{
		"no blame":  {func(fixture *fixture) { fixture.crash(0, 0, scheduler.EndLost) }, snapshotFormat2, false},
		"evacuated": {func(fixture *fixture) { fixture.apply(evacuate("d1", scheduler.EvacuationBegin, 0)) }, snapshotFormat3, false},
		"blame":     {blamed, snapshotFormat4, true},
		"given up": {func(fixture *fixture) {
			blamed(fixture)
			blamed(fixture)
		}, snapshotFormat4, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			original := newFixture(t)
			original.submit("j", singleTask())
			test.act(original)
			var format struct {
				_      struct{} `cbor:",toarray"`
				Format int
			}
			// The format is the first element, which follows the header of the array.
			if err := encoder.Unmarshal(append([]byte{0x81}, original.snapshot()[1:2]...), &format); err != nil {
				t.Fatal(err)
			}
			if format.Format != test.wantFormat {
				t.Errorf("got format %d, want %d", format.Format, test.wantFormat)
			}
			restored := &fixture{t: t, keeper: New()}
			if err := restored.keeper.Restore(bytes.NewReader(original.snapshot())); err != nil {
				t.Fatal(err)
			}
			if got, want := restored.failureReason(), original.failureReason(); got != want {
				t.Errorf("got failure reason %q, want %q", got, want)
			}
			if restored.failureReason() == "" {
				restored.crash(0, 0, scheduler.EndCrashedStarting)
			}
			if got, want := restored.state("j") == scheduler.WorkflowFailed, test.wantCrashes; got != want {
				t.Errorf("got state %s after one more crash, want failed %v", restored.state("j"), want)
			}
		})
	}
}

// Guards against evidence that is counted twice, gets lost with a leader or a restart, or counts for another end than a crash.
func TestEvidenceOfCrashes(t *testing.T) {
	const half = crashclassifier.Conviction / 2
	run := func(attempt scheduler.AttemptNumber) scheduler.RunID {
		return scheduler.RunID{Task: scheduler.StepTaskID{Job: "j"}, Attempt: attempt}
	}
	crash := func(fixture *fixture, evidence crashclassifier.Evidence) {
		id := run(fixture.start("j", 0, 0)[0])
		fixture.apply(Command{
			End:      []End{{Run: id, Kind: scheduler.EndCrashedRunning}},
			Evidence: []RunEvidence{{Run: id, Evidence: evidence}},
		})
	}
	tests := map[string]struct {
		act  func(fixture *fixture)
		want scheduler.WorkflowState
	}{
		"conclusive": {func(fixture *fixture) { crash(fixture, half); crash(fixture, half) }, scheduler.WorkflowFailed},
		"many crashes that prove nothing": {func(fixture *fixture) {
			for range 20 {
				crash(fixture, 100)
			}
		}, scheduler.WorkflowActive},
		"a crash that exonerates": {func(fixture *fixture) {
			crash(fixture, half)
			crash(fixture, -half)
			crash(fixture, half)
		}, scheduler.WorkflowActive},
		"no less than none": {func(fixture *fixture) {
			crash(fixture, -half)
			crash(fixture, half)
			crash(fixture, half)
		}, scheduler.WorkflowFailed},
		"restarts in between": {func(fixture *fixture) {
			crash(fixture, half)
			fixture.restart()
			crash(fixture, half)
		}, scheduler.WorkflowFailed},
		"the mark of a leader that is lost": {func(fixture *fixture) {
			crash(fixture, half)
			id := run(fixture.start("j", 0, 0)[0])
			fixture.apply(Command{
				Mark:     []Mark{{Run: id, Kind: scheduler.EndCrashedRunning}},
				Evidence: []RunEvidence{{Run: id, Evidence: half}},
			})
			fixture.restart()
			fixture.end("j", 0, 0, id.Attempt, scheduler.EndLost, "")
		}, scheduler.WorkflowFailed},
		"a mark that is cleared": {func(fixture *fixture) {
			crash(fixture, half)
			id := run(fixture.start("j", 0, 0)[0])
			fixture.apply(Command{
				Mark:     []Mark{{Run: id, Kind: scheduler.EndCrashedRunning}},
				Evidence: []RunEvidence{{Run: id, Evidence: half}},
			})
			fixture.apply(Command{Mark: []Mark{{Run: id}}})
			fixture.end("j", 0, 0, id.Attempt, scheduler.EndLost, "")
		}, scheduler.WorkflowActive},
		"the same end twice": {func(fixture *fixture) {
			crash(fixture, half)
			fixture.apply(Command{
				End:      []End{{Run: run(1), Kind: scheduler.EndCrashedRunning}},
				Evidence: []RunEvidence{{Run: run(1), Evidence: half}},
			})
		}, scheduler.WorkflowActive},
		"attempts that do not exist": {func(fixture *fixture) {
			fixture.start("j", 0, 0)
			fixture.apply(Command{Evidence: []RunEvidence{{Run: run(7), Evidence: half}, {Run: scheduler.RunID{}, Evidence: half}}})
			fixture.end("j", 0, 0, 7, scheduler.EndCrashedRunning, "")
		}, scheduler.WorkflowActive},
		"survival in between": {func(fixture *fixture) {
			crash(fixture, half)
			fixture.clearBlame(fixture.start("j", 0, 0)[0])
			fixture.end("j", 0, 0, 2, scheduler.EndLost, "")
			crash(fixture, half)
		}, scheduler.WorkflowActive},
		"counted by an earlier build": {func(fixture *fixture) {
			fixture.crash(0, 0, scheduler.EndCrashedStarting)
			fixture.restart()
			fixture.crash(0, 0, scheduler.EndCrashedStarting)
		}, scheduler.WorkflowFailed},
		"one crash counted by an earlier build": {func(fixture *fixture) {
			fixture.crash(0, 0, scheduler.EndCrashedStarting)
			crash(fixture, half-1000)
		}, scheduler.WorkflowActive},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture(t)
			fixture.submit("j", singleTask())
			test.act(fixture)
			if got := fixture.state("j"); got != test.want {
				t.Errorf("got state %s, want %s", got, test.want)
			}
		})
	}
}
