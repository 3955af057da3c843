package jobkeeper

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const testWorker scheduler.WorkerName = "w1"

// fixture applies commands to a Keeper and reads its state.
type fixture struct {
	t      *testing.T
	keeper *Keeper
	index  scheduler.Index
}

func newFixture(t *testing.T) *fixture {
	fixture := &fixture{t: t, keeper: New()}
	fixture.apply(Command{Configure: configuration(1)})
	return fixture
}

func configuration(version uint64, queues ...scheduler.Queue) *scheduler.QueueConfiguration {
	if len(queues) == 0 {
		queues = []scheduler.Queue{{Name: "checks", PathPrefix: "/c/", Pool: "pool", MaxAttempts: 2, Timeout: time.Second}}
	}
	return &scheduler.QueueConfiguration{
		Version: version, Pools: []scheduler.Pool{{Name: "pool"}}, Queues: queues, Source: fmt.Appendf(nil, "v%d", version),
	}
}

func (fixture *fixture) apply(command Command) Result {
	fixture.t.Helper()
	data, err := command.Encode()
	if err != nil {
		fixture.t.Fatal(err)
	}
	fixture.index++
	result, err := DecodeResult(fixture.keeper.Apply(fixture.index, data))
	if err != nil {
		fixture.t.Fatal(err)
	}
	return result
}

func (fixture *fixture) submit(id scheduler.JobID, steps ...scheduler.Step) Result {
	fixture.t.Helper()
	return fixture.apply(Command{Submit: &Submit{Job: id, Queue: "checks", Workflow: scheduler.Workflow{Steps: steps}}})
}

// place places the tasks of a step and returns their attempt numbers.
func (fixture *fixture) place(job scheduler.JobID, step int, indexes ...int) []scheduler.AttemptNumber {
	fixture.t.Helper()
	var placements []Placement
	for _, index := range indexes {
		placements = append(placements, Placement{
			Task: scheduler.StepTaskID{Job: job, Step: step, Index: index}, Worker: testWorker, Instance: 1,
		})
	}
	return fixture.apply(Command{Place: placements}).Attempts
}

func (fixture *fixture) end(
	job scheduler.JobID, step, index int, attempt scheduler.AttemptNumber, kind scheduler.EndKind, checkpoint string,
) {
	fixture.t.Helper()
	id := scheduler.RunID{Task: scheduler.StepTaskID{Job: job, Step: step, Index: index}, Attempt: attempt}
	fixture.apply(Command{End: []End{{Run: id, Kind: kind, Checkpoint: checkpoint}}})
}

// restart continues from a snapshot, as a VM does after a restart.
func (fixture *fixture) restart() {
	fixture.t.Helper()
	if err := fixture.keeper.Restore(bytes.NewReader(fixture.snapshot())); err != nil {
		fixture.t.Fatal(err)
	}
}

func (fixture *fixture) state(job scheduler.JobID) (found scheduler.WorkflowState) {
	fixture.keeper.View(func(state *State) {
		if job, known := state.Job(job); known {
			found = job.State()
		}
	})
	return found
}

func (fixture *fixture) ready() (count int) {
	fixture.keeper.View(func(state *State) { count = state.ReadyCount() })
	return count
}

func singleTask() scheduler.Step { return scheduler.Step{Count: 1} }

// Guards against a job that completes too early or never, and against a ready task that must not run.
func TestJobLifecycle(t *testing.T) {
	tests := map[string]struct {
		steps     []scheduler.Step
		act       func(fixture *fixture)
		want      scheduler.WorkflowState
		wantReady int
	}{
		"dependent step not ready": {
			steps: []scheduler.Step{singleTask(), {Count: 2, DependsOn: []int{0}}},
			act:   func(fixture *fixture) { fixture.start("j", 0, 0) },
			want:  scheduler.WorkflowActive, wantReady: 0,
		},
		"dependent step ready once its dependency has finished": {
			steps: []scheduler.Step{{Count: 2}, {Count: 2, DependsOn: []int{0}}},
			act: func(fixture *fixture) {
				fixture.place("j", 0, 0, 1)
				fixture.end("j", 0, 0, 1, scheduler.EndFinished, "")
				fixture.end("j", 0, 1, 1, scheduler.EndFinished, "")
			},
			want: scheduler.WorkflowActive, wantReady: 2,
		},
		"all steps finished": {
			steps: []scheduler.Step{singleTask()},
			act: func(fixture *fixture) {
				fixture.place("j", 0, 0)
				fixture.end("j", 0, 0, 1, scheduler.EndFinished, "")
			},
			want: scheduler.WorkflowCompleted,
		},
		"repeated end counts once": {
			steps: []scheduler.Step{{Count: 2}},
			act: func(fixture *fixture) {
				fixture.place("j", 0, 0, 1)
				fixture.end("j", 0, 0, 1, scheduler.EndFinished, "")
				fixture.end("j", 0, 0, 1, scheduler.EndFinished, "")
			},
			want: scheduler.WorkflowActive,
		},
		"late result of an expired attempt counts": {
			steps: []scheduler.Step{singleTask()},
			act: func(fixture *fixture) {
				fixture.place("j", 0, 0)
				fixture.end("j", 0, 0, 1, scheduler.EndLeaseExpired, "")
				fixture.end("j", 0, 0, 1, scheduler.EndFinished, "")
			},
			want: scheduler.WorkflowCompleted,
		},
		"late result does not count after the next placement": {
			steps: []scheduler.Step{singleTask()},
			act: func(fixture *fixture) {
				fixture.place("j", 0, 0)
				fixture.end("j", 0, 0, 1, scheduler.EndLeaseExpired, "")
				fixture.place("j", 0, 0)
				fixture.end("j", 0, 0, 1, scheduler.EndFinished, "")
			},
			want: scheduler.WorkflowActive,
		},
		"lost attempt is no failure of the task": {
			steps: []scheduler.Step{singleTask()},
			act: func(fixture *fixture) {
				for attempt := range 5 {
					fixture.start("j", 0, 0)
					fixture.end("j", 0, 0, scheduler.AttemptNumber(attempt+1), scheduler.EndLost, "")
				}
			},
			want: scheduler.WorkflowActive, wantReady: 1,
		},
		"job fails with the maximum number of attempts": {
			steps: []scheduler.Step{singleTask(), singleTask()},
			act: func(fixture *fixture) {
				for attempt := range 2 {
					fixture.place("j", 0, 0)
					fixture.end("j", 0, 0, scheduler.AttemptNumber(attempt+1), scheduler.EndFailed, "")
				}
			},
			want: scheduler.WorkflowFailed, wantReady: 0,
		},
		"long-running task restarts after every end": {
			steps: []scheduler.Step{{Count: 1, LongRunning: true}},
			act: func(fixture *fixture) {
				for attempt, kind := range []scheduler.EndKind{
					scheduler.EndFailed, scheduler.EndFailed, scheduler.EndFailed, scheduler.EndFinished,
				} {
					fixture.place("j", 0, 0)
					fixture.end("j", 0, 0, scheduler.AttemptNumber(attempt+1), kind, "")
				}
			},
			want: scheduler.WorkflowActive, wantReady: 1,
		},
		"cancelled job starts no task": {
			steps: []scheduler.Step{{Count: 3}},
			act: func(fixture *fixture) {
				fixture.place("j", 0, 0)
				fixture.cancel("j")
				fixture.end("j", 0, 0, 1, scheduler.EndStopped, "")
			},
			want: scheduler.WorkflowCancelled, wantReady: 0,
		},
		"one finished member finishes the gang": {
			steps: []scheduler.Step{{Count: 3, Gang: true}},
			act: func(fixture *fixture) {
				fixture.place("j", 0, 0, 1, 2)
				fixture.end("j", 0, 1, 1, scheduler.EndFinished, "")
			},
			want: scheduler.WorkflowCompleted,
		},
		"gang not ready until all members have ended": {
			steps: []scheduler.Step{{Count: 2, Gang: true}},
			act: func(fixture *fixture) {
				fixture.start("j", 0, 0, 1)
				fixture.end("j", 0, 0, 1, scheduler.EndGangBroken, "")
			},
			want: scheduler.WorkflowActive, wantReady: 0,
		},
		"gang whose members fail together has failed once": {
			steps: []scheduler.Step{{Count: 3, Gang: true}},
			act: func(fixture *fixture) {
				fixture.place("j", 0, 0, 1, 2)
				fixture.end("j", 0, 0, 1, scheduler.EndFailed, "")
				fixture.restart()
				fixture.end("j", 0, 1, 1, scheduler.EndFailed, "")
				fixture.end("j", 0, 2, 1, scheduler.EndFailed, "")
			},
			want: scheduler.WorkflowActive, wantReady: 3,
		},
		"gang fails as often as its queue allows": {
			steps: []scheduler.Step{{Count: 2, Gang: true}},
			act: func(fixture *fixture) {
				fixture.place("j", 0, 0, 1)
				fixture.end("j", 0, 0, 1, scheduler.EndFailed, "")
				fixture.end("j", 0, 1, 1, scheduler.EndGangBroken, "")
				fixture.place("j", 0, 0, 1)
				fixture.restart()
				fixture.end("j", 0, 1, 2, scheduler.EndFailed, "")
			},
			want: scheduler.WorkflowFailed,
		},
		"gang restarts with a common attempt number": {
			steps: []scheduler.Step{{Count: 2, Gang: true}},
			act: func(fixture *fixture) {
				fixture.start("j", 0, 0, 1)
				fixture.end("j", 0, 0, 1, scheduler.EndGangIncomplete, "")
				fixture.end("j", 0, 1, 1, scheduler.EndGangBroken, "")
				if got := fixture.place("j", 0, 0, 1); got[0] != 2 || got[1] != 2 {
					fixture.t.Errorf("got attempts %v, want 2 for both members", got)
				}
			},
			want: scheduler.WorkflowActive, wantReady: 0,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture(t)
			fixture.submit("j", test.steps...)
			test.act(fixture)
			if got := fixture.state("j"); got != test.want {
				t.Errorf("got state %s, want %s", got, test.want)
			}
			if got := fixture.ready(); got != test.wantReady {
				t.Errorf("got %d ready tasks, want %d", got, test.wantReady)
			}
		})
	}
}

func (fixture *fixture) cancel(id scheduler.JobID) { fixture.apply(Command{Cancel: &id}) }

// Guards against two concurrent attempts of a task and against an attempt of a task that must not run.
func TestRefusedPlacements(t *testing.T) {
	tests := map[string]struct {
		steps []scheduler.Step
		act   func(fixture *fixture) []scheduler.AttemptNumber
		want  []scheduler.AttemptNumber
	}{
		"running task": {[]scheduler.Step{singleTask()}, func(fixture *fixture) []scheduler.AttemptNumber {
			fixture.place("j", 0, 0)
			return fixture.place("j", 0, 0)
		}, []scheduler.AttemptNumber{0}},
		"same task twice in one command": {[]scheduler.Step{singleTask()}, func(fixture *fixture) []scheduler.AttemptNumber {
			return fixture.place("j", 0, 0, 0)
		}, []scheduler.AttemptNumber{1, 0}},
		"unmet dependency": {
			[]scheduler.Step{singleTask(), {Count: 1, DependsOn: []int{0}}},
			func(fixture *fixture) []scheduler.AttemptNumber { return fixture.place("j", 1, 0) },
			[]scheduler.AttemptNumber{0},
		},
		"finished task": {[]scheduler.Step{{Count: 2}}, func(fixture *fixture) []scheduler.AttemptNumber {
			fixture.place("j", 0, 0)
			fixture.end("j", 0, 0, 1, scheduler.EndFinished, "")
			return fixture.place("j", 0, 0)
		}, []scheduler.AttemptNumber{0}},
		"cancelled job": {[]scheduler.Step{singleTask()}, func(fixture *fixture) []scheduler.AttemptNumber {
			fixture.cancel("j")
			return fixture.place("j", 0, 0)
		}, []scheduler.AttemptNumber{0}},
		"unknown task": {[]scheduler.Step{singleTask()}, func(fixture *fixture) []scheduler.AttemptNumber {
			return append(fixture.place("j", 0, 7), fixture.place("other", 0, 0)...)
		}, []scheduler.AttemptNumber{0, 0}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture(t)
			fixture.submit("j", test.steps...)
			if got := test.act(fixture); fmt.Sprint(got) != fmt.Sprint(test.want) {
				t.Errorf("got attempts %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against a repeated submission that creates a second job, and against a job for an unknown queue.
func TestSubmissions(t *testing.T) {
	fixture := newFixture(t)
	for range 2 {
		if got := fixture.submit("j", singleTask()).Status; got != StatusDone {
			t.Errorf("got %s, want %s", got, StatusDone)
		}
	}
	if got := fixture.ready(); got != 1 {
		t.Errorf("got %d ready tasks, want 1", got)
	}
	unknown := fixture.apply(Command{Submit: &Submit{
		Job: "k", Queue: "none", Workflow: scheduler.Workflow{Steps: []scheduler.Step{singleTask()}},
	}})
	if got := unknown.Status; got != StatusUnknownQueue {
		t.Errorf("got %s, want %s", got, StatusUnknownQueue)
	}
}

// Guards against a return to an older configuration, and against one version with two different contents.
func TestHighestVersionWins(t *testing.T) {
	tests := map[string]struct {
		versions   []uint64
		want       uint64
		wantStatus Status
	}{
		"higher":             {[]uint64{5}, 5, StatusDone},
		"uneven":             {[]uint64{5, 900}, 900, StatusDone},
		"older":              {[]uint64{5, 4}, 5, StatusUnchanged},
		"same version again": {[]uint64{5, 5}, 5, StatusUnchanged},
		"older after newer":  {[]uint64{9, 5, 7}, 9, StatusUnchanged},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture(t)
			var status Status
			for _, version := range test.versions {
				status = fixture.apply(Command{Configure: configuration(version)}).Status
			}
			if status != test.wantStatus {
				t.Errorf("got status %s, want %s", status, test.wantStatus)
			}
			fixture.keeper.View(func(state *State) {
				if got := state.Configuration(); got.Version != test.want || string(got.Source) != fmt.Sprintf("v%d", test.want) {
					t.Errorf("got version %d with source %q, want %d", got.Version, got.Source, test.want)
				}
			})
		})
	}
}

// Guards against occurrences that start twice, out of order or after the last one.
func TestRepeatedJob(t *testing.T) {
	fixture := newFixture(t)
	workflow := scheduler.Workflow{
		Steps: []scheduler.Step{singleTask()}, Repeat: &scheduler.Repeat{Times: 2, Interval: time.Minute},
	}
	fixture.apply(Command{Submit: &Submit{Job: "j", Queue: "checks", Workflow: workflow}})
	if got := fixture.ready(); got != 0 {
		t.Fatalf("got %d ready tasks before the first occurrence, want 0", got)
	}
	for _, occurrence := range []int{1, 0, 0, 1, 2} {
		fixture.apply(Command{StartOccurrence: &StartOccurrence{Job: "j", Occurrence: occurrence}})
	}
	if got := fixture.ready(); got != 2 {
		t.Errorf("got %d ready tasks, want 2", got)
	}
	for occurrence := range 2 {
		id := scheduler.StepTaskID{Job: "j", Occurrence: occurrence}
		fixture.apply(Command{Place: []Placement{{Task: id, Worker: testWorker, Instance: 1}}})
		fixture.apply(Command{End: []End{{Run: scheduler.RunID{Task: id, Attempt: 1}, Kind: scheduler.EndFinished}}})
	}
	if got := fixture.state("j"); got != scheduler.WorkflowCompleted {
		t.Errorf("got %s, want %s", got, scheduler.WorkflowCompleted)
	}
}

// Guards against a wave that is accepted twice or completed before all of its VMs are done, and against a late step
// that reverts a maintenance that is done.
func TestWave(t *testing.T) {
	fixture := newFixture(t)
	submission := Command{SubmitWave: &SubmitWave{Wave: scheduler.Wave{
		Number: 3, VMs: []scheduler.VMName{"a", "b"}, MaxConcurrent: 1, Duration: time.Minute,
	}}}
	if got := fixture.apply(submission).Status; got != StatusDone {
		t.Errorf("first submission: got %s, want %s", got, StatusDone)
	}
	if got := fixture.apply(submission).Status; got != StatusUnchanged {
		t.Errorf("repeated submission: got %s, want %s", got, StatusUnchanged)
	}
	step := func(vm scheduler.VMName, phase MaintenancePhase) {
		fixture.apply(Command{MaintenanceSteps: []MaintenanceStep{{Wave: 3, VM: vm, Phase: phase}}})
	}
	completed := func() (completed bool) {
		fixture.keeper.View(func(state *State) {
			wave, _ := state.Wave(3)
			completed = wave.Completed()
		})
		return completed
	}
	step("a", MaintenanceBegun)
	step("a", MaintenanceDone)
	step("a", MaintenanceWaiting) // A late step.
	if completed() {
		t.Error("got a completed wave with one of two VMs done")
	}
	step("b", MaintenanceDone)
	if !completed() {
		t.Error("got an active wave with all VMs done")
	}
}

// Guards against a VM that cannot start because its snapshot has format version 1.
func TestSnapshotVersion1(t *testing.T) {
	original := newFixture(t)
	original.submit("j", scheduler.Step{Count: 2})
	original.keeper.mutex.Lock()
	stored := original.keeper.state.store()
	original.keeper.mutex.Unlock()
	data, err := encoder.Marshal(storedStateV1{
		Format: 1, Configuration: stored.Configuration, Sequence: stored.Sequence, Jobs: stored.Jobs,
	})
	if err != nil {
		t.Fatal(err)
	}
	restored := &fixture{t: t, keeper: New()}
	if err := restored.keeper.Restore(bytes.NewReader(data)); err != nil {
		t.Fatal(err)
	}
	if got, want := restored.ready(), original.ready(); got != want {
		t.Errorf("got %d ready tasks, want %d", got, want)
	}
	if err := restored.keeper.Restore(bytes.NewReader([]byte{0x83, 0x09, 0x01, 0x02})); err == nil {
		t.Error("got no error for a snapshot of an unknown format version")
	}
}

// Guards against a log entry that makes the state machine panic or return an unreadable result.
func FuzzApply(f *testing.F) {
	data, err := Command{Place: []Placement{{Worker: testWorker}}}.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0xa1})
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := DecodeResult(New().Apply(1, data)); err != nil {
			t.Errorf("result could not be decoded: %v", err)
		}
	})
}
