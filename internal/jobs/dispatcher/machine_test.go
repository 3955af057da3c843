package dispatcher

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// harness runs a machine without an engine.
type harness struct {
	*Machine
	t     testing.TB
	index scheduler.Index
	at    int64
}

func newHarness(t testing.TB, workers int) *harness {
	harness := &harness{Machine: NewMachine("couva"), t: t}
	var put []scheduler.Worker
	for i := range workers {
		put = append(put, scheduler.Worker{
			Name: scheduler.WorkerName(fmt.Sprintf("worker-%04d", i)), DataCentre: "couva", Rack: fmt.Sprint(i / 8),
			Capacity: scheduler.Resources{MilliCores: 32000, MemoryBytes: 125 << 30},
			Labels:   map[string]string{"hosts": "batch"},
		})
	}
	harness.execute(Operation{Term: 1, TakeOver: &TakeOver{VM: "couva-1"}},
		Operation{Term: 1, Inventory: &Inventory{Revision: 1, Put: put}})
	return harness
}

func (harness *harness) execute(operations ...Operation) []Result {
	harness.t.Helper()
	harness.index++
	harness.at += 1000
	encoded, err := encoder.Marshal(Command{AtUnixMilli: harness.at, Operations: operations})
	if err != nil {
		harness.t.Fatal(err)
	}
	var results []Result
	if err := encoder.Unmarshal(harness.Apply(harness.index, encoded), &results); err != nil {
		harness.t.Fatal(err)
	}
	return results
}

func (harness *harness) expect(operation Operation, want ResultOutcome) {
	harness.t.Helper()
	if got := harness.execute(operation)[0]; got.Outcome != want {
		harness.t.Errorf("got %s (%s), want %s", got.Outcome, got.Reason, want)
	}
}

func batchSpec(milliCores int64) scheduler.TaskSpec {
	return scheduler.TaskSpec{
		Class: scheduler.ClassBatch, Kind: "fit-record",
		Request: scheduler.Resources{MilliCores: milliCores, MemoryBytes: 1 << 30},
	}
}

func submitOperation(job scheduler.JobID, count int, spec scheduler.TaskSpec) Operation {
	return Operation{Submit: &Submission{
		Job: job, Team: "patterns", MaxFailures: 3, Tasks: []TaskGroup{{Count: count, Spec: spec}},
	}}
}

func assignOperation(task scheduler.TaskID, attempt scheduler.AttemptNumber, worker scheduler.WorkerName) Operation {
	return Operation{Term: 1, Assign: &Assign{Task: task, Attempt: attempt, Worker: worker, Incarnation: 1}}
}

func endOperation(lease scheduler.LeaseNumber, outcome scheduler.AttemptOutcome) Operation {
	return Operation{Term: 1, End: &End{Lease: lease, Outcome: outcome, Checkpoint: "c"}}
}

// step is an operation with its expected outcome.
type step struct {
	operation Operation
	want      ResultOutcome
}

// Guards against over-committed workers, a second lease or a second resumption of the same attempt, operations of a
// previous leader, and cancellations that revert a finished task or are reverted by an eviction.
func TestLifeCycle(t *testing.T) {
	cancel := Operation{Cancel: &Cancellation{Jobs: []scheduler.JobID{"a"}, Operator: "ama"}}
	evict := Operation{Term: 1, Evict: &Evict{Task: "a/1", Attempt: 1, Reason: "makes room"}}
	started := Operation{Term: 1, Started: &Started{Lease: 1}}
	submit, assign := step{submitOperation("a", 1, batchSpec(20000)), ResultDone},
		step{assignOperation("a/1", 1, "worker-0000"), ResultDone}
	drain := Operation{Drain: &Drain{Worker: "worker-0000", Operator: "ama"}}
	unsatisfiable := batchSpec(1)
	unsatisfiable.Constraints = map[string]string{"hosts": "gpu"}
	tests := map[string]struct {
		steps   []step
		state   TaskState
		attempt scheduler.AttemptNumber
	}{
		"finish":                 {[]step{submit, assign, {started, ResultDone}, {endOperation(1, "finished"), ResultDone}}, TaskFinished, 1},
		"assigned twice":         {[]step{submit, assign, {assignOperation("a/1", 1, "worker-0001"), ResultUnchanged}}, TaskStarting, 1},
		"wrong attempt":          {[]step{submit, {assignOperation("a/1", 2, "worker-0000"), ResultUnchanged}}, TaskPending, 1},
		"unknown worker":         {[]step{submit, {assignOperation("a/1", 1, "worker-9"), ResultRefused}}, TaskPending, 1},
		"drained worker":         {[]step{submit, {drain, ResultDone}, {drain, ResultUnchanged}, {assignOperation("a/1", 1, "worker-0000"), ResultRefused}}, TaskPending, 1},
		"full worker":            {[]step{{submitOperation("b", 1, batchSpec(13000)), ResultDone}, {assignOperation("b/1", 1, "worker-0000"), ResultDone}, submit, {assign.operation, ResultRefused}}, TaskPending, 1},
		"evicting still counts":  {[]step{submit, assign, {evict, ResultDone}, {submitOperation("b", 1, batchSpec(13000)), ResultDone}, {assignOperation("b/1", 1, "worker-0000"), ResultRefused}}, TaskEvicting, 1},
		"evict then stop":        {[]step{submit, assign, {evict, ResultDone}, {evict, ResultUnchanged}, {endOperation(1, "stopped"), ResultDone}, {endOperation(1, "stopped"), ResultUnchanged}}, TaskPending, 2},
		"evict then expire":      {[]step{submit, assign, {evict, ResultDone}, {endOperation(1, "expired"), ResultDone}, {endOperation(1, "stopped"), ResultUnchanged}}, TaskPending, 2},
		"evict then finish":      {[]step{submit, assign, {evict, ResultDone}, {endOperation(1, "finished"), ResultDone}}, TaskFinished, 1},
		"cancel pending":         {[]step{submit, {cancel, ResultDone}, {assignOperation("a/1", 1, "worker-0000"), ResultUnchanged}}, TaskCancelled, 1},
		"cancel then stop":       {[]step{submit, assign, {cancel, ResultDone}, {evict, ResultUnchanged}, {endOperation(1, "stopped"), ResultDone}}, TaskCancelled, 1},
		"cancel then fail":       {[]step{submit, assign, {cancel, ResultDone}, {endOperation(1, "failed"), ResultDone}}, TaskCancelled, 1},
		"cancel then finish":     {[]step{submit, assign, {cancel, ResultDone}, {endOperation(1, "finished"), ResultDone}}, TaskFinished, 1},
		"evict then cancel":      {[]step{submit, assign, {evict, ResultDone}, {cancel, ResultDone}, {endOperation(1, "stopped"), ResultDone}}, TaskCancelled, 1},
		"finish then cancel":     {[]step{submit, assign, {endOperation(1, "finished"), ResultDone}, {cancel, ResultDone}}, TaskFinished, 1},
		"old leader":             {[]step{submit, assign, {Operation{Term: 2, TakeOver: &TakeOver{}}, ResultDone}, {endOperation(1, "expired"), ResultRefused}, {Operation{Term: 1, TakeOver: &TakeOver{}}, ResultRefused}}, TaskStarting, 1},
		"without a term":         {[]step{submit, {Operation{Assign: &Assign{Task: "a/1", Attempt: 1, Worker: "worker-0000"}}, ResultRefused}}, TaskPending, 1},
		"removed worker":         {[]step{submit, {Operation{Term: 1, Inventory: &Inventory{Base: 1, Revision: 2, Remove: []scheduler.WorkerName{"worker-0000"}}}, ResultDone}, {assignOperation("a/1", 1, "worker-0000"), ResultRefused}}, TaskPending, 1},
		"inventory mismatch":     {[]step{submit, {Operation{Term: 1, Inventory: &Inventory{Base: 4, Revision: 5}}, ResultRefused}, {Operation{Term: 1, Inventory: &Inventory{Revision: 1}}, ResultUnchanged}}, TaskPending, 1},
		"late checkpoint":        {[]step{submit, assign, {Operation{Term: 1, Checkpoint: &CheckpointSaved{Lease: 1, Number: 2, Name: "d"}}, ResultDone}, {Operation{Term: 1, Checkpoint: &CheckpointSaved{Lease: 1, Number: 1, Name: "c"}}, ResultUnchanged}}, TaskStarting, 1},
		"long reports":           {[]step{submit, assign, {Operation{Term: 1, Checkpoint: &CheckpointSaved{Lease: 1, Number: 1, Name: strings.Repeat("c", 1000)}}, ResultUnchanged}, {Operation{Term: 1, End: &End{Lease: 1, Outcome: "failed", Message: "x" + strings.Repeat("é", 1000)}}, ResultDone}}, TaskPending, 2},
		"resend":                 {[]step{submit, {submit.operation, ResultUnchanged}, {submitOperation("a", 2, batchSpec(1)), ResultRefused}}, TaskPending, 1},
		"too many failures":      {[]step{submit, assign, {endOperation(1, "failed"), ResultDone}, {assignOperation("a/1", 2, "worker-0000"), ResultDone}, {endOperation(2, "failed"), ResultDone}, {assignOperation("a/1", 3, "worker-0000"), ResultDone}, {endOperation(3, "failed"), ResultDone}}, TaskFailed, 3},
		"no matching worker":     {[]step{submit, {submitOperation("b", 1, batchSpec(99000)), ResultRefused}, {submitOperation("c", 1, unsatisfiable), ResultRefused}}, TaskPending, 1},
		"invalid submissions":    {[]step{submit, {submitOperation("", 1, batchSpec(1)), ResultRefused}, {submitOperation("b", 0, batchSpec(1)), ResultRefused}, {submitOperation("b", 1, batchSpec(-1)), ResultRefused}}, TaskPending, 1},
		"cancel of unknown jobs": {[]step{submit, {Operation{Cancel: &Cancellation{Jobs: []scheduler.JobID{"x"}}}, ResultDone}, {Operation{}, ResultRefused}}, TaskPending, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, 2)
			for i, step := range test.steps {
				if got := harness.execute(step.operation)[0]; got.Outcome != step.want {
					t.Errorf("step %d: got %s (%s), want %s", i, got.Outcome, got.Reason, step.want)
				}
			}
			report, _ := harness.Job("a")
			if got := report.Tasks[0]; got.State != test.state || got.Attempt != test.attempt {
				t.Errorf("got %s in attempt %d, want %s in attempt %d", got.State, got.Attempt, test.state, test.attempt)
			}
			checkSnapshot(t, harness.Machine)
		})
	}
}

// checkSnapshot verifies that Restore recovers the complete state and that snapshots do not depend on the iteration
// order of maps.
func checkSnapshot(t *testing.T, machine *Machine) {
	t.Helper()
	var first, second bytes.Buffer
	restored := NewMachine("couva")
	if err := machine.Snapshot(&first); err != nil {
		t.Fatal(err)
	}
	if err := restored.Restore(bytes.NewReader(first.Bytes())); err != nil {
		t.Fatal(err)
	}
	if err := restored.Snapshot(&second); err != nil || !bytes.Equal(first.Bytes(), second.Bytes()) {
		t.Errorf("got a different snapshot after the restore, error %v", err)
	}
	if len(restored.pending) != len(machine.pending) || len(restored.leases) != len(machine.leases) {
		t.Errorf("got %d pending and %d leases, want %d and %d",
			len(restored.pending), len(restored.leases), len(machine.pending), len(machine.leases))
	}
	for name, worker := range machine.workers {
		if got := restored.workers[name].reserved; got != worker.reserved {
			t.Errorf("worker %s: got %v reserved, want %v", name, got, worker.reserved)
		}
	}
	if err := restored.Restore(bytes.NewReader(first.Bytes()[:first.Len()-1])); err == nil {
		t.Error("got no error for a truncated snapshot")
	}
}

// Guards against refusals that outlive their cause, accepted jobs that wait without a reason, and refused jobs that
// start after an inventory change without a resend, although the caller was told that they would not run.
func TestInventoryChangeReevaluatesJobs(t *testing.T) {
	harness := newHarness(t, 1)
	large := submitOperation("large", 1, batchSpec(64000))
	got := harness.execute(large)[0]
	if got.Outcome != ResultRefused || !strings.Contains(got.Reason, "1 workers with 32000") {
		t.Errorf("got %+v, want a refusal with the worker class", got)
	}
	harness.expect(submitOperation("small", 1, batchSpec(1000)), ResultDone)
	put := scheduler.Worker{Name: "worker-0000", Capacity: scheduler.Resources{MilliCores: 500, MemoryBytes: 1 << 40}}
	harness.expect(Operation{Term: 1, Inventory: &Inventory{
		Base: 1, Revision: 2, Put: []scheduler.Worker{put},
	}}, ResultDone)
	if reason := harness.jobs["small"].Groups[0].Unplaceable; reason == "" {
		t.Error("got no reason for a job that no worker can run any more")
	}
	put.Capacity.MilliCores = 64000
	harness.expect(Operation{Term: 1, Inventory: &Inventory{
		Base: 2, Revision: 3, Put: []scheduler.Worker{put},
	}}, ResultDone)
	if reason := harness.jobs["small"].Groups[0].Unplaceable; reason != "" {
		t.Errorf("got %q for a job that can run again", reason)
	}
	if report, _ := harness.Job("large"); report.State != JobRefused {
		t.Errorf("got %s before the resend, want %s", report.State, JobRefused)
	}
	harness.expect(large, ResultDone)
}

// Guards against a burst of cancellations that skips or repeats jobs, and against a memory leak through ended jobs.
func TestCancelBurst(t *testing.T) {
	harness, audited := newHarness(t, 1), 0
	harness.auditHandler = func(AuditRecord) { audited++ }
	var jobs []scheduler.JobID
	for i := range 10_000 {
		submit := Operation{Submit: &Submission{
			Key: fmt.Sprint(i), Team: "patterns", Tasks: []TaskGroup{{Count: 1, Spec: batchSpec(1)}},
		}}
		jobs = append(jobs, harness.execute(submit)[0].Job)
	}
	harness.expect(assignOperation(scheduler.TaskID(jobs[0]+"/1"), 1, "worker-0000"), ResultDone)
	burst := Operation{Cancel: &Cancellation{Jobs: append(jobs, jobs...), Operator: "ama"}}
	if got := harness.execute(burst)[0]; got.Count != 10_001 {
		t.Errorf("got %d cancelled jobs, want 10,000 and the running one twice", got.Count)
	}
	if audited != 10_001 || len(harness.AuditRecords(0)) != maxAuditRecords {
		t.Errorf("got %d audit records and %d retained, want 10,001 and %d",
			audited, len(harness.AuditRecords(0)), maxAuditRecords)
	}
	harness.expect(Operation{Purge: &Purge{BeforeUnixMilli: harness.at + 1}}, ResultDone)
	if len(harness.jobs) != 1 || len(harness.keys) != 1 || len(harness.tasks) != 1 {
		t.Errorf("got %d jobs, %d keys, %d tasks, want the running one",
			len(harness.jobs), len(harness.keys), len(harness.tasks))
	}
}

// Guards against a moved job that is active in two data centres or in none: while its attempts are still running, after
// a repeated or late Accept, and after it has been moved again.
func TestMove(t *testing.T) {
	couva, other := newHarness(t, 1), newHarness(t, 1)
	other.group = "chaguanas"
	release := Operation{Release: &Release{Job: "a", To: "chaguanas", Operator: "ama"}}
	couva.expect(release, ResultRefused)
	couva.execute(submitOperation("a", 2, batchSpec(1)), assignOperation("a/1", 1, "worker-0000"), release)
	if _, _, ok := couva.MovedRecord("a"); ok {
		t.Error("got a record while an attempt occupies a worker")
	}
	couva.expect(assignOperation("a/2", 1, "worker-0000"), ResultUnchanged)
	couva.expect(endOperation(1, scheduler.AttemptStopped), ResultDone)
	checkSnapshot(t, couva.Machine)
	record, _, ok := couva.MovedRecord("a")
	if !ok || len(couva.pending) != 0 || len(couva.MovedJobs()) != 1 {
		t.Fatalf("got moved %v with %d pending tasks", ok, len(couva.pending))
	}
	accept := Operation{Accept: &Accept{Record: record}}
	couva.expect(accept, ResultRefused)
	other.expect(accept, ResultDone)
	other.expect(accept, ResultUnchanged)
	couva.expect(Operation{ConfirmMove: &ConfirmMove{Job: "a"}}, ResultDone)
	if task := other.jobs["a"].Tasks[0]; task.Attempt != 2 || task.Checkpoint != "c" {
		t.Errorf("got attempt %d from %q, want 2 from c", task.Attempt, task.Checkpoint)
	}
	other.expect(Operation{Release: &Release{Job: "a", To: "couva", Operator: "raj"}}, ResultDone)
	other.expect(accept, ResultUnchanged)
	record, _, _ = other.MovedRecord("a")
	couva.expect(Operation{Accept: &Accept{Record: record}}, ResultDone)
	if len(couva.pending) != 2 || len(other.pending) != 0 {
		t.Errorf("got %d and %d pending tasks, want 2 and 0", len(couva.pending), len(other.pending))
	}
}

// Guards against a back-off that overflows or grows without limit.
func TestBackOff(t *testing.T) {
	for failures, want := range map[uint32]string{0: "0s", 1: "1s", 4: "8s", 9: "4m16s", 10: "5m0s", 1 << 30: "5m0s"} {
		if got := backOff(failures).String(); got != want {
			t.Errorf("%d failures: got %s, want %s", failures, got, want)
		}
	}
}
