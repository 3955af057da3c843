package jobkeeper

import (
	"bytes"
	"testing"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// begin records that the worker of a task of the job has started it.
func (fixture *fixture) begin(jobs ...scheduler.JobID) {
	fixture.t.Helper()
	fixture.apply(Command{Begun: jobs})
}

// start places tasks of a step, of which the worker has accepted the attempts.
func (fixture *fixture) start(job scheduler.JobID, step int, indexes ...int) []scheduler.AttemptNumber {
	fixture.t.Helper()
	attempts := fixture.place(job, step, indexes...)
	fixture.begin(job)
	return attempts
}

func (fixture *fixture) queued() (count int) {
	fixture.keeper.View(func(state *State) { count = state.Queued(&scheduler.Queue{Name: "checks", PathPrefix: "/c/"}) })
	return count
}

// Guards against a number of pending jobs that leaves out jobs of which a task has been placed and none has started, and against
// one that holds jobs that have begun.
func TestPendingUntilStartIsCertain(t *testing.T) {
	lastEnd := func(kind scheduler.EndKind, checkpoint string) func(fixture *fixture) {
		return func(fixture *fixture) { fixture.end("j", 0, 0, fixture.place("j", 0, 0)[0], kind, checkpoint) }
	}
	tests := map[string]struct {
		step scheduler.Step
		act  func(fixture *fixture)
		want int
	}{
		"not placed":              {singleTask(), func(*fixture) {}, 1},
		"placed, not answered":    {singleTask(), func(fixture *fixture) { fixture.place("j", 0, 0) }, 1},
		"started":                 {singleTask(), func(fixture *fixture) { fixture.start("j", 0, 0) }, 0},
		"refused":                 {singleTask(), lastEnd(scheduler.EndRefused, ""), 1},
		"lease expired":           {singleTask(), lastEnd(scheduler.EndLeaseExpired, ""), 1},
		"lost with its worker":    {singleTask(), lastEnd(scheduler.EndLost, ""), 1},
		"blamed without answer":   {singleTask(), lastEnd(scheduler.EndCrashedRunning, ""), 1},
		"blamed after its answer": {singleTask(), lastEnd(scheduler.EndCrashedStarting, ""), 0},
		"lost with a checkpoint":  {singleTask(), lastEnd(scheduler.EndLost, "saved"), 0},
		"failed":                  {singleTask(), lastEnd(scheduler.EndFailed, ""), 0},
		"finished":                {singleTask(), lastEnd(scheduler.EndFinished, ""), 0},
		"late result": {scheduler.Step{Count: 2}, func(fixture *fixture) {
			lastEnd(scheduler.EndLeaseExpired, "")(fixture)
			fixture.end("j", 0, 0, 1, scheduler.EndFinished, "")
		}, 0},
		"started, then lost and placed again": {singleTask(), func(fixture *fixture) {
			fixture.start("j", 0, 0)
			fixture.end("j", 0, 0, 1, scheduler.EndLost, "")
			fixture.place("j", 0, 0)
		}, 0},
		"gang member alone":          {scheduler.Step{Count: 2, Gang: true}, lastEnd(scheduler.EndGangIncomplete, ""), 1},
		"gang member without others": {scheduler.Step{Count: 2, Gang: true}, lastEnd(scheduler.EndGangBroken, ""), 1},
		"crash under a waiting gang": {scheduler.Step{Count: 2, Gang: true}, lastEnd(scheduler.EndCrashedStarting, ""), 1},
		"gang fails":                 {scheduler.Step{Count: 2, Gang: true}, lastEnd(scheduler.EndFailed, ""), 0},
		"copy started": {scheduler.Step{Count: 1, Speculative: true}, func(fixture *fixture) {
			fixture.place("j", 0, 0)
			fixture.placeCopy()
			fixture.begin("j")
			fixture.end("j", 0, 0, 1, scheduler.EndLost, "")
		}, 0},
		"cancelled before the beginning": {singleTask(), func(fixture *fixture) {
			fixture.place("j", 0, 0)
			fixture.cancel("j")
			fixture.begin("j")
			fixture.end("j", 0, 0, 1, scheduler.EndStopped, "saved")
		}, 0},
		"withdrawn after the beginning": {singleTask(), func(fixture *fixture) {
			fixture.start("j", 0, 0)
			fixture.cancel("j")
		}, 0},
		"begins twice, and one that nobody submitted": {singleTask(), func(fixture *fixture) {
			fixture.submit("k", singleTask())
			fixture.begin("j", "j", "other")
			fixture.begin("j")
		}, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture(t)
			fixture.submit("j", test.step)
			test.act(fixture)
			if got := fixture.queued(); got != test.want {
				t.Errorf("got %d pending jobs, want %d", got, test.want)
			}
			fixture.restart()
			if got := fixture.queued(); got != test.want {
				t.Errorf("after a restart: got %d pending jobs, want %d", got, test.want)
			}
		})
	}
}

// Guards against a beginning that gets lost beside another change in the same command.
func TestBeginningBesideOtherChanges(t *testing.T) {
	fixture := newFixture(t)
	fixture.submit("j", singleTask())
	fixture.submit("k", singleTask())
	fixture.place("j", 0, 0)
	task := scheduler.StepTaskID{Job: "k"}
	result := fixture.apply(Command{
		Place: []Placement{{Task: task, Worker: testWorker, Instance: 1}}, Begun: []scheduler.JobID{"j"},
	})
	if len(result.Attempts) != 1 || result.Attempts[0] != 1 || fixture.queued() != 1 {
		t.Errorf("got attempts %v and %d pending jobs, want [1] and 1", result.Attempts, fixture.queued())
	}
	fixture.apply(Command{
		End: []End{{Run: scheduler.RunID{Task: task, Attempt: 1}, Kind: scheduler.EndLost}}, Begun: []scheduler.JobID{"k"},
	})
	if got := fixture.queued(); got != 0 {
		t.Errorf("got %d pending jobs, want 0", got)
	}
}

// Guards against a snapshot of an earlier build, in which placed jobs are active, that hides jobs that have not begun.
func TestPendingAfterSnapshotOfEarlierBuild(t *testing.T) {
	tests := map[string]struct {
		act  func(fixture *fixture)
		want int
	}{
		"placed": {func(fixture *fixture) { fixture.place("j", 0, 0) }, 1},
		"placed again": {func(fixture *fixture) {
			fixture.end("j", 0, 0, fixture.place("j", 0, 0)[0], scheduler.EndLost, "")
			fixture.place("j", 0, 0)
		}, 1},
		"a task has finished": {func(fixture *fixture) {
			fixture.end("j", 0, 1, fixture.place("j", 0, 1)[0], scheduler.EndFinished, "")
		}, 0},
		"a task has failed": {func(fixture *fixture) {
			fixture.end("j", 0, 0, fixture.place("j", 0, 0)[0], scheduler.EndFailed, "")
		}, 0},
		"a task has saved its progress": {func(fixture *fixture) {
			fixture.end("j", 0, 0, fixture.place("j", 0, 0)[0], scheduler.EndLost, "saved")
		}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture(t)
			fixture.submit("j", scheduler.Step{Count: 2})
			test.act(fixture)
			fixture.restoreFromEarlierBuild()
			if got := fixture.queued(); got != test.want {
				t.Errorf("got %d pending jobs, want %d", got, test.want)
			}
		})
	}
}

// restoreFromEarlierBuild continues from the snapshot that an earlier build would have written.
func (fixture *fixture) restoreFromEarlierBuild() {
	fixture.t.Helper()
	stored := fixture.keeper.state.store()
	stored.Configuration.BeginsWithStart = false
	for position := range stored.Jobs {
		stored.Jobs[position].State = scheduler.WorkflowActive
	}
	data, err := encoder.Marshal(stored.encodable())
	if err != nil {
		fixture.t.Fatal(err)
	}
	if err := fixture.keeper.Restore(bytes.NewReader(data)); err != nil {
		fixture.t.Fatal(err)
	}
}
