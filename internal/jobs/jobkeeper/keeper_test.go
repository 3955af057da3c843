package jobkeeper

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const testWorker scheduler.WorkerName = "w1"

// bench applies commands to a Keeper.
type bench struct {
	t      *testing.T
	keeper *Keeper
	index  scheduler.Index
}

func newBench(t *testing.T) *bench {
	bench := &bench{t: t, keeper: New()}
	bench.apply(Command{Configure: configuration(1)})
	return bench
}

func configuration(version uint64, queues ...scheduler.Queue) *scheduler.QueueConfiguration {
	if len(queues) == 0 {
		queues = []scheduler.Queue{{Name: "checks", PathPrefix: "/c/", Pool: "pool", MaxAttempts: 2, Timeout: time.Second}}
	}
	return &scheduler.QueueConfiguration{Version: version, Pools: []scheduler.Pool{{Name: "pool"}}, Queues: queues, Source: fmt.Appendf(nil, "v%d", version)}
}

func (bench *bench) apply(command Command) Result {
	bench.t.Helper()
	data, err := command.Encode()
	if err != nil {
		bench.t.Fatal(err)
	}
	bench.index++
	result, err := DecodeResult(bench.keeper.Apply(bench.index, data))
	if err != nil {
		bench.t.Fatal(err)
	}
	return result
}

func (bench *bench) submit(id scheduler.JobID, steps ...scheduler.Step) Result {
	bench.t.Helper()
	return bench.apply(Command{Submit: &Submit{Job: id, Queue: "checks", Workflow: scheduler.Workflow{Steps: steps}}})
}

// place places the tasks of a step and returns the attempts.
func (bench *bench) place(job scheduler.JobID, step int, indexes ...int) []scheduler.AttemptNumber {
	bench.t.Helper()
	var placements []Placement
	for _, index := range indexes {
		placements = append(placements, Placement{Task: scheduler.StepTaskID{Job: job, Step: step, Index: index}, Worker: testWorker, Instance: 1})
	}
	return bench.apply(Command{Place: placements}).Attempts
}

func (bench *bench) end(job scheduler.JobID, step, index int, attempt scheduler.AttemptNumber, kind scheduler.EndKind, checkpoint string) {
	bench.t.Helper()
	id := scheduler.RunID{Task: scheduler.StepTaskID{Job: job, Step: step, Index: index}, Attempt: attempt}
	bench.apply(Command{End: []End{{Run: id, Kind: kind, Checkpoint: checkpoint}}})
}

func (bench *bench) state(job scheduler.JobID) (found scheduler.WorkflowState) {
	bench.keeper.View(func(state *State) {
		if job, known := state.Job(job); known {
			found = job.State()
		}
	})
	return found
}

func (bench *bench) ready() (count int) {
	bench.keeper.View(func(state *State) { count = state.ReadyCount() })
	return count
}

func one() scheduler.Step { return scheduler.Step{Count: 1} }

// Guards against a job that completes early, never, or runs a task that it must not.
func TestLifeOfJobs(t *testing.T) {
	tests := map[string]struct {
		steps     []scheduler.Step
		act       func(bench *bench)
		want      scheduler.WorkflowState
		wantReady int
	}{
		"a dependent step waits": {
			steps: []scheduler.Step{one(), {Count: 2, DependsOn: []int{0}}}, act: func(bench *bench) { bench.place("j", 0, 0) },
			want: scheduler.WorkflowActive, wantReady: 0,
		},
		"a dependent step is ready once all tasks before it have finished": {
			steps: []scheduler.Step{{Count: 2}, {Count: 2, DependsOn: []int{0}}},
			act: func(bench *bench) {
				bench.place("j", 0, 0, 1)
				bench.end("j", 0, 0, 1, scheduler.EndFinished, "")
				bench.end("j", 0, 1, 1, scheduler.EndFinished, "")
			},
			want: scheduler.WorkflowActive, wantReady: 2,
		},
		"all steps finish": {
			steps: []scheduler.Step{one()},
			act: func(bench *bench) {
				bench.place("j", 0, 0)
				bench.end("j", 0, 0, 1, scheduler.EndFinished, "")
			},
			want: scheduler.WorkflowCompleted,
		},
		"an end that arrives twice counts once": {
			steps: []scheduler.Step{{Count: 2}},
			act: func(bench *bench) {
				bench.place("j", 0, 0, 1)
				bench.end("j", 0, 0, 1, scheduler.EndFinished, "")
				bench.end("j", 0, 0, 1, scheduler.EndFinished, "")
			},
			want: scheduler.WorkflowActive,
		},
		"a result that comes after its attempt was given up counts": {
			steps: []scheduler.Step{one()},
			act: func(bench *bench) {
				bench.place("j", 0, 0)
				bench.end("j", 0, 0, 1, scheduler.EndLeaseExpired, "")
				bench.end("j", 0, 0, 1, scheduler.EndFinished, "")
			},
			want: scheduler.WorkflowCompleted,
		},
		"a late result does not count once the task is placed again": {
			steps: []scheduler.Step{one()},
			act: func(bench *bench) {
				bench.place("j", 0, 0)
				bench.end("j", 0, 0, 1, scheduler.EndLeaseExpired, "")
				bench.place("j", 0, 0)
				bench.end("j", 0, 0, 1, scheduler.EndFinished, "")
			},
			want: scheduler.WorkflowActive,
		},
		"a lost attempt is no failure of the task": {
			steps: []scheduler.Step{one()},
			act: func(bench *bench) {
				for attempt := range 5 {
					bench.place("j", 0, 0)
					bench.end("j", 0, 0, scheduler.AttemptNumber(attempt+1), scheduler.EndLost, "")
				}
			},
			want: scheduler.WorkflowActive, wantReady: 1,
		},
		"a task fails as often as the queue allows": {
			steps: []scheduler.Step{one(), one()},
			act: func(bench *bench) {
				for attempt := range 2 {
					bench.place("j", 0, 0)
					bench.end("j", 0, 0, scheduler.AttemptNumber(attempt+1), scheduler.EndFailed, "")
				}
			},
			want: scheduler.WorkflowFailed, wantReady: 0,
		},
		"a long-running task starts again however it ends": {
			steps: []scheduler.Step{{Count: 1, LongRunning: true}},
			act: func(bench *bench) {
				for attempt, kind := range []scheduler.EndKind{scheduler.EndFailed, scheduler.EndFailed, scheduler.EndFailed, scheduler.EndFinished} {
					bench.place("j", 0, 0)
					bench.end("j", 0, 0, scheduler.AttemptNumber(attempt+1), kind, "")
				}
			},
			want: scheduler.WorkflowActive, wantReady: 1,
		},
		"a cancelled job starts nothing": {
			steps: []scheduler.Step{{Count: 3}},
			act: func(bench *bench) {
				bench.place("j", 0, 0)
				bench.cancel("j")
				bench.end("j", 0, 0, 1, scheduler.EndStopped, "")
			},
			want: scheduler.WorkflowCancelled, wantReady: 0,
		},
		"one end stands for a whole gang": {
			steps: []scheduler.Step{{Count: 3, Gang: true}},
			act: func(bench *bench) {
				bench.place("j", 0, 0, 1, 2)
				bench.end("j", 0, 1, 1, scheduler.EndFinished, "")
			},
			want: scheduler.WorkflowCompleted,
		},
		"a gang waits until all its members have ended": {
			steps: []scheduler.Step{{Count: 2, Gang: true}},
			act: func(bench *bench) {
				bench.place("j", 0, 0, 1)
				bench.end("j", 0, 0, 1, scheduler.EndGangBroken, "")
			},
			want: scheduler.WorkflowActive, wantReady: 0,
		},
		"a gang starts again with one attempt number": {
			steps: []scheduler.Step{{Count: 2, Gang: true}},
			act: func(bench *bench) {
				bench.place("j", 0, 0, 1)
				bench.end("j", 0, 0, 1, scheduler.EndGangIncomplete, "")
				bench.end("j", 0, 1, 1, scheduler.EndGangBroken, "")
				if got := bench.place("j", 0, 0, 1); got[0] != 2 || got[1] != 2 {
					bench.t.Errorf("got attempts %v, want 2 for both", got)
				}
			},
			want: scheduler.WorkflowActive, wantReady: 0,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			bench := newBench(t)
			bench.submit("j", test.steps...)
			test.act(bench)
			if got := bench.state("j"); got != test.want {
				t.Errorf("got state %s, want %s", got, test.want)
			}
			if got := bench.ready(); got != test.wantReady {
				t.Errorf("got %d ready tasks, want %d", got, test.wantReady)
			}
		})
	}
}

func (bench *bench) cancel(id scheduler.JobID) { bench.apply(Command{Cancel: &id}) }

// Guards against two attempts of a task at a time and against an attempt of a task that must not run.
func TestPlacementsThatAreRefused(t *testing.T) {
	tests := map[string]struct {
		steps []scheduler.Step
		act   func(bench *bench) []scheduler.AttemptNumber
		want  []scheduler.AttemptNumber
	}{
		"a task that runs": {[]scheduler.Step{one()}, func(bench *bench) []scheduler.AttemptNumber {
			bench.place("j", 0, 0)
			return bench.place("j", 0, 0)
		}, []scheduler.AttemptNumber{0}},
		"twice in one command": {[]scheduler.Step{one()}, func(bench *bench) []scheduler.AttemptNumber {
			return bench.place("j", 0, 0, 0)
		}, []scheduler.AttemptNumber{1, 0}},
		"a step that waits": {[]scheduler.Step{one(), {Count: 1, DependsOn: []int{0}}}, func(bench *bench) []scheduler.AttemptNumber {
			return bench.place("j", 1, 0)
		}, []scheduler.AttemptNumber{0}},
		"a finished task": {[]scheduler.Step{{Count: 2}}, func(bench *bench) []scheduler.AttemptNumber {
			bench.place("j", 0, 0)
			bench.end("j", 0, 0, 1, scheduler.EndFinished, "")
			return bench.place("j", 0, 0)
		}, []scheduler.AttemptNumber{0}},
		"a cancelled job": {[]scheduler.Step{one()}, func(bench *bench) []scheduler.AttemptNumber {
			bench.cancel("j")
			return bench.place("j", 0, 0)
		}, []scheduler.AttemptNumber{0}},
		"a task that does not exist": {[]scheduler.Step{one()}, func(bench *bench) []scheduler.AttemptNumber {
			return append(bench.place("j", 0, 7), bench.place("other", 0, 0)...)
		}, []scheduler.AttemptNumber{0, 0}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			bench := newBench(t)
			bench.submit("j", test.steps...)
			if got := test.act(bench); fmt.Sprint(got) != fmt.Sprint(test.want) {
				t.Errorf("got attempts %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against a submission that is stored twice when it arrives again, and against one for no queue.
func TestSubmissions(t *testing.T) {
	bench := newBench(t)
	for range 2 {
		if got := bench.submit("j", one()).Status; got != StatusDone {
			t.Errorf("got %s, want %s", got, StatusDone)
		}
	}
	if got := bench.ready(); got != 1 {
		t.Errorf("got %d ready tasks, want 1", got)
	}
	unknown := bench.apply(Command{Submit: &Submit{Job: "k", Queue: "none", Workflow: scheduler.Workflow{Steps: []scheduler.Step{one()}}}})
	if got := unknown.Status; got != StatusUnknownQueue {
		t.Errorf("got %s, want %s", got, StatusUnknownQueue)
	}
}

// Guards against a configuration that goes back, and against one version with two contents.
func TestHighestVersionIsInForce(t *testing.T) {
	tests := map[string]struct {
		versions   []uint64
		want       uint64
		wantAnswer Status
	}{
		"higher":      {[]uint64{5}, 5, StatusDone},
		"uneven":      {[]uint64{5, 900}, 900, StatusDone},
		"older":       {[]uint64{5, 4}, 5, StatusUnchanged},
		"sent again":  {[]uint64{5, 5}, 5, StatusUnchanged},
		"older later": {[]uint64{9, 5, 7}, 9, StatusUnchanged},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			bench := newBench(t)
			var answer Status
			for _, version := range test.versions {
				answer = bench.apply(Command{Configure: configuration(version)}).Status
			}
			if answer != test.wantAnswer {
				t.Errorf("got answer %s, want %s", answer, test.wantAnswer)
			}
			bench.keeper.View(func(state *State) {
				if got := state.Configuration(); got.Version != test.want || string(got.Source) != fmt.Sprintf("v%d", test.want) {
					t.Errorf("got version %d with source %q, want %d", got.Version, got.Source, test.want)
				}
			})
		})
	}
}

// Guards against occurrences that begin twice, early or after the last one.
func TestRepeatedJob(t *testing.T) {
	bench := newBench(t)
	workflow := scheduler.Workflow{Steps: []scheduler.Step{one()}, Repeat: &scheduler.Repeat{Times: 2, Interval: time.Minute}}
	bench.apply(Command{Submit: &Submit{Job: "j", Queue: "checks", Workflow: workflow}})
	if got := bench.ready(); got != 0 {
		t.Fatalf("got %d ready tasks before the first occurrence, want 0", got)
	}
	for _, occurrence := range []int{1, 0, 0, 1, 2} {
		bench.apply(Command{StartOccurrence: &StartOccurrence{Job: "j", Occurrence: occurrence}})
	}
	if got := bench.ready(); got != 2 {
		t.Errorf("got %d ready tasks, want 2", got)
	}
	for occurrence := range 2 {
		id := scheduler.StepTaskID{Job: "j", Occurrence: occurrence}
		bench.apply(Command{Place: []Placement{{Task: id, Worker: testWorker, Instance: 1}}})
		bench.apply(Command{End: []End{{Run: scheduler.RunID{Task: id, Attempt: 1}, Kind: scheduler.EndFinished}}})
	}
	if got := bench.state("j"); got != scheduler.WorkflowCompleted {
		t.Errorf("got %s, want %s", got, scheduler.WorkflowCompleted)
	}
}

// Guards against a snapshot that forgets part of the state: after it, the same commands must have the same
// results and lead to the same state.
func TestSnapshotKeepsEverything(t *testing.T) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, seed))
		original := newBench(t)
		for range 200 {
			original.apply(randomCommand(random))
		}
		var stored bytes.Buffer
		if err := original.keeper.Snapshot(&stored); err != nil {
			t.Fatal(err)
		}
		restored := &bench{t: t, keeper: New()}
		if err := restored.keeper.Restore(bytes.NewReader(stored.Bytes())); err != nil {
			t.Fatal(err)
		}
		for step := range 100 {
			command := randomCommand(random)
			want, got := original.apply(command), restored.apply(command)
			if fmt.Sprint(got) != fmt.Sprint(want) || original.ready() != restored.ready() {
				t.Fatalf("seed %d, command %d: got %v with %d ready, want %v with %d", seed, step, got, restored.ready(), want, original.ready())
			}
		}
		var wantEnd, gotEnd bytes.Buffer
		if err := original.keeper.Snapshot(&wantEnd); err != nil {
			t.Fatal(err)
		}
		if err := restored.keeper.Snapshot(&gotEnd); err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(gotEnd.Bytes(), wantEnd.Bytes()) {
			t.Errorf("seed %d: the states differ at the end", seed)
		}
	}
}

func randomCommand(random *rand.Rand) Command {
	id := scheduler.JobID(fmt.Sprintf("j%d", random.IntN(8)))
	task := scheduler.StepTaskID{Job: id, Step: random.IntN(2), Index: random.IntN(3), Occurrence: random.IntN(2)}
	switch random.IntN(7) {
	case 6:
		return randomMaintenance(random)
	case 0:
		workflow := scheduler.Workflow{Steps: []scheduler.Step{
			{Count: 1 + random.IntN(3), Gang: random.IntN(4) == 0, Request: scheduler.Resources{MilliCores: 10}},
			{Count: 2, DependsOn: []int{0}, LongRunning: random.IntN(5) == 0, Speculative: true},
		}}
		if random.IntN(4) == 0 {
			workflow.Repeat = &scheduler.Repeat{Times: 2}
		}
		return Command{Submit: &Submit{Job: id, Queue: "checks", Workflow: workflow}}
	case 1:
		return Command{StartOccurrence: &StartOccurrence{Job: id, Occurrence: random.IntN(2)}}
	case 2:
		if random.IntN(4) == 0 {
			return Command{Cancel: &id}
		}
		fallthrough
	case 3:
		return Command{Place: []Placement{{Task: task, Worker: testWorker, Instance: 1, Speculative: random.IntN(4) == 0}}}
	default:
		kinds := []scheduler.EndKind{scheduler.EndFinished, scheduler.EndFinished, scheduler.EndFailed, scheduler.EndLost}
		run := scheduler.RunID{Task: task, Attempt: scheduler.AttemptNumber(1 + random.IntN(3))}
		return Command{End: []End{{Run: run, Kind: kinds[random.IntN(len(kinds))], Checkpoint: []string{"", "saved"}[random.IntN(2)]}}}
	}
}

func randomMaintenance(random *rand.Rand) Command {
	number, vm := uint64(random.IntN(3)), scheduler.VMName(fmt.Sprintf("m%d", random.IntN(4)))
	if random.IntN(3) == 0 {
		wave := scheduler.Wave{Number: number, VMs: []scheduler.VMName{"m0", "m1", "m1", "m2"}, Duration: time.Minute, MaxConcurrent: random.IntN(3)}
		return Command{SubmitWave: &SubmitWave{Wave: wave, Accepted: time.Unix(9, 7).UTC()}}
	}
	phases := []MaintenancePhase{MaintenanceWaiting, MaintenanceBegun, MaintenanceDone}
	return Command{MaintenanceSteps: []MaintenanceStep{{Wave: number, VM: vm, Phase: phases[random.IntN(3)]}}}
}

// Guards against a wave that is taken on twice, completed before all of its VMs are done, or begun anew.
func TestWave(t *testing.T) {
	bench := newBench(t)
	order := Command{SubmitWave: &SubmitWave{Wave: scheduler.Wave{Number: 3, VMs: []scheduler.VMName{"a", "b"}, MaxConcurrent: 1, Duration: time.Minute}}}
	if got := bench.apply(order).Status; got != StatusDone {
		t.Errorf("first order: got %s, want %s", got, StatusDone)
	}
	if got := bench.apply(order).Status; got != StatusUnchanged {
		t.Errorf("the same order again: got %s, want %s", got, StatusUnchanged)
	}
	step := func(vm scheduler.VMName, phase MaintenancePhase) {
		bench.apply(Command{MaintenanceSteps: []MaintenanceStep{{Wave: 3, VM: vm, Phase: phase}}})
	}
	completed := func() (completed bool) {
		bench.keeper.View(func(state *State) {
			wave, _ := state.Wave(3)
			completed = wave.Completed()
		})
		return completed
	}
	step("a", MaintenanceBegun)
	step("a", MaintenanceDone)
	step("a", MaintenanceWaiting) // Arrives late.
	if completed() {
		t.Error("got the wave completed with one of two VMs done")
	}
	step("b", MaintenanceDone)
	if !completed() {
		t.Error("got the wave active with all VMs done")
	}
}

// Guards against a VM that cannot start because its snapshot is of the first version.
func TestSnapshotOfFirstVersion(t *testing.T) {
	original := newBench(t)
	original.submit("j", scheduler.Step{Count: 2})
	original.keeper.mutex.Lock()
	stored := original.keeper.state.store()
	original.keeper.mutex.Unlock()
	data, err := encoder.Marshal(firstStoredState{Format: 1, Configuration: stored.Configuration, Order: stored.Order, Jobs: stored.Jobs})
	if err != nil {
		t.Fatal(err)
	}
	restored := &bench{t: t, keeper: New()}
	if err := restored.keeper.Restore(bytes.NewReader(data)); err != nil {
		t.Fatal(err)
	}
	if got, want := restored.ready(), original.ready(); got != want {
		t.Errorf("got %d tasks that wait, want %d", got, want)
	}
	if err := restored.keeper.Restore(bytes.NewReader([]byte{0x83, 0x09, 0x01, 0x02})); err == nil {
		t.Error("got no error for a snapshot of an unknown version")
	}
}

// Guards against bytes in the log that stop the state machine.
func FuzzApply(f *testing.F) {
	data, err := Command{Place: []Placement{{Worker: testWorker}}}.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0xa1})
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := DecodeResult(New().Apply(1, data)); err != nil {
			t.Errorf("got no readable result: %v", err)
		}
	})
}
